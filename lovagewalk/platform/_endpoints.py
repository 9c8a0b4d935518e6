"""Client of endpoints: pool connections, statements and status polls."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from lovagewalk.core import Handlers, LovageError
from lovagewalk.groups import InstanceStatus, PollInstance, ReplicationOrder
from lovagewalk.pools import OpenConnection, OpenFailure
from lovagewalk.routing import (
    BeginTransaction,
    DiscardSettings,
    EndTransaction,
    PrepareShape,
    RunStatement,
    SetUpConnection,
    SetupStep,
    SetVariable,
)
from lovagewalk.runtime import (
    AnswerHandler,
    InstancePoller,
    NoStatusError,
    OpenRefusedError,
    PoolClient,
    Ports,
    SetupRun,
    StatementRun,
    set_result_if_pending,
    set_tcp_options,
)

from ._lines import (
    PROXY_ID,
    Answer,
    AnswerParser,
    encode_message,
    parse_status,
    prepare_text,
    refused_startup,
    wait_prefix,
)

# Covers two round trips to the remote region, a 12 ms handshake and a slot wait.
CONNECT_TIMEOUT_S = 0.5
# Covers a round trip to the remote region and a wait for a slot.
POLL_TIMEOUT_S = 0.4
# An unreachable endpoint drops its side after 3 s; this side fails before that.
ENDPOINT_TCP_TIMEOUT_S = 2.0
# User of the connections on which the status of instances is polled.
STATUS_USER = "lovagewalk"

log = logging.getLogger("lovagewalk.endpoints")


class EndpointConnection(asyncio.Protocol):
    """One connection to an endpoint, which answers messages in their order."""

    def __init__(self, on_lost: Callable[[], None]) -> None:
        self._on_lost = on_lost
        self._answer_future: asyncio.Future | None = None
        self._parser = AnswerParser()
        self._handlers: deque[AnswerHandler] = deque()
        self._transport: asyncio.Transport | None = None
        self._closed = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport
        set_tcp_options(transport.get_extra_info("socket"), ENDPOINT_TCP_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        """Pass each complete answer to the handler of its message."""
        try:
            answers = self._parser.feed(data)
        except LovageError as exc:
            log.warning("endpoints: aborting a connection: %s", exc)
            self._transport.abort()
            return
        for answer in answers:
            if self._closed:
                return
            if not self._handlers:
                log.warning("endpoints: aborting a connection: unexpected answer")
                self._transport.abort()
                return
            self._handlers.popleft()(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss, unless this side has closed the connection.

        An endpoint that refuses a session closes it right after the error.
        """
        if self._closed:
            return
        self._closed = True
        if self._answer_future is None or self._answer_future.done():
            self._on_lost()
        elif self._parser.pending_error:
            self._answer_future.set_result(refused_startup(self._parser.pending_error))
        else:
            self._answer_future.set_exception(
                ConnectionResetError("endpoint closed the connection")
            )

    async def open(self, effect: OpenConnection | PollInstance, user: str) -> str:
        """Connect to an instance and open a user's session, naming the instance.

        Returns the code with which the instance refused it; empty if it did not.

        Raises
        ------
        OSError
            If the connection fails.
        """
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, effect.host, effect.port)
            answer = await self.request("STARTUP", effect.group, user, effect.endpoint)
        except BaseException:
            self.close()
            raise
        if answer.error:
            self.close()
        return answer.error

    async def request(self, *fields: str) -> Answer:
        """Send a message and return its answer.

        Raises
        ------
        OSError
            If the connection fails.
        """
        future = self._answer_future = asyncio.get_running_loop().create_future()
        self.send(lambda answer: set_result_if_pending(future, answer), *fields)
        return await future

    def send(self, handler: AnswerHandler, *fields: str) -> None:
        """Send a message and pass its answer to `handler`."""
        self._handlers.append(handler)
        if not self._transport.is_closing():
            self._transport.write(encode_message(*fields))

    def send_step(
        self, handler: AnswerHandler, step: SetupStep | EndTransaction
    ) -> None:
        """Send a step that belongs to no caller."""
        self.send(handler, "QUERY", PROXY_ID, _step_texts[type(step)](step))

    def send_statement(
        self, handler: AnswerHandler, effect: RunStatement, wait: bool
    ) -> None:
        """Send the statement of an effect."""
        text = effect.text
        if effect.prepared is not None:
            text = f"EXECUTE {effect.prepared.name} {text}"
        if wait:
            text = wait_prefix(effect.min_position) + text
        self.send(handler, "QUERY", effect.request_id or PROXY_ID, text)

    @property
    def is_open(self) -> bool:
        """Whether a message can still be sent."""
        if self._closed or self._transport is None:
            return False
        return not self._transport.is_closing()

    def close(self) -> None:
        """Close the connection without reporting its loss."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()


_step_texts: Handlers[type, Callable[..., str]] = Handlers()


@_step_texts.on(DiscardSettings)
def _discard_text(step: DiscardSettings) -> str:
    return "DISCARD"


@_step_texts.on(SetVariable)
def _set_text(step: SetVariable) -> str:
    return f"SET {step.name} {step.value}"


@_step_texts.on(PrepareShape)
def _prepare_text(step: PrepareShape) -> str:
    return prepare_text(step.shape)


@_step_texts.on(BeginTransaction)
def _begin_text(step: BeginTransaction) -> str:
    mode = "BEGIN READ" if step.read_only else "BEGIN"
    return wait_prefix(step.min_position) + mode


@_step_texts.on(EndTransaction)
def _end_text(step: EndTransaction) -> str:
    return "ROLLBACK"


_STATUS_STATEMENTS = {
    ReplicationOrder.NO_CHANGE: "STATUS",
    ReplicationOrder.PAUSE: "PAUSE {}",
    ReplicationOrder.RESUME: "RESUME",
}
_FAILURES = {"TOOMANY": OpenFailure.TOO_MANY, "MISROUTED": OpenFailure.WRONG_INSTANCE}


class EndpointClient(PoolClient):
    """Connections of one daemon to endpoints."""

    def __init__(self, ports: Ports) -> None:
        super().__init__(ports, CONNECT_TIMEOUT_S)
        self._status_poller = LineStatusPoller(ports, POLL_TIMEOUT_S)
        self.poll = self._status_poller.poll
        self.close_status_connections = self._status_poller.close_connection

    async def connect(self, effect: OpenConnection) -> EndpointConnection:
        """Open a connection for a customer."""
        conn = EndpointConnection(lambda: self.connection_lost(effect))
        user = effect.customer or PROXY_ID
        error = await conn.open(effect, user)
        if not error:
            return conn
        raise OpenRefusedError(_FAILURES.get(error, OpenFailure.UNREACHABLE), error)

    def start(self, conn: EndpointConnection, effect: RunStatement) -> StatementRun:
        """Start a statement on its connection."""
        run = StatementRun(self._ports, conn, effect)
        run.start()
        return run

    def start_setup(
        self, conn: EndpointConnection, effect: SetUpConnection
    ) -> SetupRun:
        """Start the steps that set up a connection."""
        run = SetupRun(self._ports, conn, effect)
        run.start()
        return run

    def close_all(self) -> None:
        """Close every connection."""
        super().close_all()
        self._status_poller.close()


class LineStatusPoller(InstancePoller):
    """Polls the status of instances over the line protocol."""

    async def connect(self, effect: PollInstance) -> EndpointConnection:
        """Open a connection to an instance."""
        conn = EndpointConnection(lambda: None)
        error = await conn.open(effect, STATUS_USER)
        if error:
            raise NoStatusError(error == "TOOMANY", error)
        return conn

    async def query_status(
        self, conn: EndpointConnection, effect: PollInstance
    ) -> InstanceStatus:
        """Return an instance's status."""
        text = _STATUS_STATEMENTS[effect.order].format(effect.term)
        answer = await conn.request("QUERY", PROXY_ID, text)
        if answer.error or not answer.rows:
            raise NoStatusError(answer.error == "BUSY", answer.error)
        incarnation = self._ports.state.catalogue.get_incarnation(effect.endpoint)
        try:
            return parse_status(answer.rows[0], incarnation)
        except LovageError as exc:
            log.warning("endpoints: malformed status of %s: %s", effect.endpoint, exc)
            raise NoStatusError(False, "malformed") from exc
