"""Client of endpoints: pool connections, statements and status polls."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lovagewalk.core import Handlers, LovageError
from lovagewalk.groups import InstanceStatus, PollInstance, ReplicationOrder
from lovagewalk.pools import OpenConnection, OpenFailure
from lovagewalk.routing import (
    DiscardSettings,
    Failure,
    PrepareShape,
    RunStatement,
    SetVariable,
    StatementDone,
    StatementFailed,
    may_send,
)
from lovagewalk.runtime import (
    InstancePoller,
    NoStatusError,
    OpenRefusedError,
    PoolClient,
    Ports,
    set_result_if_pending,
    set_tcp_options,
)

from ._lines import (
    ABSENT,
    FAILURES_BY_WORD,
    PROXY_ID,
    Answer,
    AnswerParser,
    TxnState,
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

AnswerHandler = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Result of a statement, kept until the caller is answered."""

    rows: tuple[str, ...] = ()
    signature: str = ABSENT


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

    def query(self, handler: AnswerHandler, request_id: str, text: str) -> None:
        """Send a statement."""
        self.send(handler, "QUERY", request_id, text)

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


class StatementRun:
    """One statement on a pool connection, with the steps that precede it."""

    def __init__(
        self, ports: Ports, conn: EndpointConnection, effect: RunStatement
    ) -> None:
        self._ports = ports
        self._conn = conn
        self._effect = effect
        self._finished = False
        self._statement_sent = False
        self._sent_at = 0.0

    def start(self) -> None:
        """Send the setup steps, then the statement or the start of a transaction."""
        effect = self._effect
        self._sent_at = self._ports.now()
        if not self._may_send():
            return
        for step in effect.setup:
            self._conn.query(self._on_setup, PROXY_ID, _setup_texts[type(step)](step))
        if effect.require_proof:
            self._send_with_proof()
        elif effect.begin:
            mode = "BEGIN READ" if effect.read_only else "BEGIN"
            text = wait_prefix(effect.min_position) + mode
            self._conn.query(self._on_begin, PROXY_ID, text)
        else:
            self._send_statement(wait_prefix(effect.min_position))

    def _may_send(self) -> bool:
        ports = self._ports
        if self._conn.is_open and may_send(ports.state, self._effect, ports.now()):
            return True
        self._fail(Failure.NOT_SENT, usable=False)
        return False

    def _send_statement(self, prefix: str) -> None:
        effect = self._effect
        self._statement_sent = True
        text = effect.text
        if effect.prepared is not None:
            text = f"EXECUTE {effect.prepared.name} {text}"
        request_id = effect.request_id or PROXY_ID
        self._conn.query(self._on_statement_answer, request_id, prefix + text)

    def _send_with_proof(self) -> None:
        """Send a read in a separate transaction, which only a primary opens."""
        self._conn.query(self._on_proof_begin, PROXY_ID, "BEGIN")
        self._send_statement("")
        self._conn.query(self._on_proof_rollback, PROXY_ID, "ROLLBACK")

    def _on_setup(self, answer: Answer) -> None:
        if answer.error:
            log.error("endpoints: a setup step was refused: %s", answer.error)
            self._fail(Failure.NOT_SENT, usable=False)

    def _on_proof_begin(self, answer: Answer) -> None:
        if answer.error:
            self._fail(_classify_failure(answer), usable=True, detail=answer.error)

    def _on_proof_rollback(self, answer: Answer) -> None:
        """Ignore the answer to the end of a read's separate transaction."""

    def _on_begin(self, answer: Answer) -> None:
        if answer.error:
            usable = answer.state is TxnState.IDLE
            self._fail(_classify_failure(answer), usable=usable, detail=answer.error)
        elif not self._finished and self._may_send():
            self._send_statement("")

    def _on_statement_answer(self, answer: Answer) -> None:
        if self._finished:
            return
        if answer.error:
            self._on_statement_error(answer)
            return
        self._finished = True
        effect = self._effect
        self._ports.results[effect.req] = StatementResult(answer.rows, answer.signature)
        self._ports.feed(
            StatementDone(
                self._ports.now(),
                effect.req,
                effect.conn,
                position=answer.position,
                in_transaction=self._has_open_transaction(answer),
                sent_at=self._sent_at,
            )
        )

    def _on_statement_error(self, answer: Answer) -> None:
        usable = answer.state is not TxnState.FAILED or self._effect.require_proof
        self._fail(
            _classify_failure(answer),
            usable=usable,
            detail=answer.error,
            in_transaction=self._has_open_transaction(answer),
        )

    def _has_open_transaction(self, answer: Answer) -> bool:
        """Whether the caller's transaction is open on the connection."""
        return answer.state is TxnState.ACTIVE and not self._effect.require_proof

    def connection_lost(self) -> None:
        """Report a failure, since the connection is lost."""
        self._fail(Failure.LOST if self._statement_sent else Failure.NOT_SENT)

    def _fail(self, failure: Failure, **fields: object) -> None:
        if self._finished:
            return
        self._finished = True
        effect = self._effect
        now = self._ports.now()
        self._ports.feed(
            StatementFailed(now, effect.req, effect.conn, failure, **fields)
        )


def _classify_failure(answer: Answer) -> Failure:
    return FAILURES_BY_WORD.get(answer.error, Failure.ERROR)


_setup_texts: Handlers[type, Callable[..., str]] = Handlers()


@_setup_texts.on(DiscardSettings)
def _discard_text(step: DiscardSettings) -> str:
    return "DISCARD"


@_setup_texts.on(SetVariable)
def _set_text(step: SetVariable) -> str:
    return f"SET {step.name} {step.value}"


@_setup_texts.on(PrepareShape)
def _prepare_text(step: PrepareShape) -> str:
    return prepare_text(step.shape)


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
