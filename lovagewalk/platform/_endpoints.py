"""The client towards endpoints: pool connections, statements and polls."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lovagewalk.core import Handlers, LovageError
from lovagewalk.groups import InstanceStatus, PollInstance, Receiving
from lovagewalk.pools import OpenConnection, Refused
from lovagewalk.routing import (
    DiscardSettings,
    Failure,
    PrepareShape,
    RunStatement,
    SetValue,
    StatementDone,
    StatementFailed,
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
    FAILURES,
    NOTHING,
    OWN_ID,
    Answer,
    AnswerParser,
    EndpointState,
    join_line,
    parse_status,
    prepare_text,
    refused_start,
    wait_prefix,
)

# Two round trips to the other region, a handshake of 12 ms, and a wait for a slot.
CONNECT_LIMIT_S = 0.5
# Round trip to the other region and a wait for a slot.
POLL_LIMIT_S = 0.4
# A dark endpoint drops its side after 3 s; this side is quicker.
ENDPOINT_SILENT_S = 2.0
# Who connects where it is not a customer.
WATCHER = "lovagewalk"

log = logging.getLogger("lovagewalk.endpoints")

AnswerHandler = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Rows of a statement, kept until the caller is answered."""

    rows: tuple[str, ...] = ()
    signature: str = NOTHING


class EndpointConnection(asyncio.Protocol):
    """One connection to an endpoint; answers come in the order of messages."""

    def __init__(self, on_lost: Callable[[], None]) -> None:
        self._on_lost = on_lost
        self._waiting: asyncio.Future | None = None
        self._parser = AnswerParser()
        self._handlers: deque[AnswerHandler] = deque()
        self._transport: asyncio.Transport | None = None
        self._closed = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the transport."""
        self._transport = transport
        set_tcp_options(transport.get_extra_info("socket"), ENDPOINT_SILENT_S)

    def data_received(self, data: bytes) -> None:
        """Hand each whole answer to whoever waits for it."""
        try:
            answers = self._parser.feed(data)
        except LovageError as exc:
            log.warning("endpoints: connection ended: %s", exc)
            self._transport.abort()
            return
        for answer in answers:
            if self._closed:
                return
            if not self._handlers:
                log.warning("endpoints: an answer to nothing, connection ended")
                self._transport.abort()
                return
            self._handlers.popleft()(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Say so, unless this side has closed it.

        An endpoint that refuses a session closes it right after the error.
        """
        if self._closed:
            return
        self._closed = True
        if self._waiting is None or self._waiting.done():
            self._on_lost()
        elif self._parser.open_error:
            self._waiting.set_result(refused_start(self._parser.open_error))
        else:
            self._waiting.set_exception(ConnectionResetError("endpoint closed"))

    async def open(self, effect: OpenConnection | PollInstance, customer: str) -> str:
        """Connect to an instance, by its name, and open a customer's session.

        Returns the code by which the instance refused it, or an empty text.

        Raises
        ------
        OSError
            If the connection fails.
        """
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, effect.host, effect.port)
            answer = await self.ask("STARTUP", effect.group, customer, effect.endpoint)
        except BaseException:
            self.close()
            raise
        if answer.error:
            self.close()
        return answer.error

    async def ask(self, *fields: str) -> Answer:
        """Send a message and return its answer.

        Raises
        ------
        OSError
            If the connection fails.
        """
        waiting = self._waiting = asyncio.get_running_loop().create_future()
        self.send(lambda answer: set_result_if_pending(waiting, answer), *fields)
        return await waiting

    def send(self, handler: AnswerHandler, *fields: str) -> None:
        """Send a message whose answer goes to `handler`."""
        self._handlers.append(handler)
        if not self._transport.is_closing():
            self._transport.write(join_line(*fields))

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
        """Close the connection; nothing is heard of it any more."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()


class Run:
    """One statement on a pool connection, with what has to precede it."""

    def __init__(
        self, ports: Ports, conn: EndpointConnection, effect: RunStatement
    ) -> None:
        self._ports = ports
        self._conn = conn
        self._effect = effect
        self._ended = False
        self._sent = False
        self._sent_at = 0.0

    def start(self) -> None:
        """Send the settings, then the statement or the start of a transaction."""
        effect = self._effect
        self._sent_at = self._ports.now()
        if not self._may_send():
            return
        for step in effect.setup:
            self._conn.query(self._on_setup, OWN_ID, _setup_texts[type(step)](step))
        if effect.vouch:
            self._send_vouched()
        elif effect.begin:
            mode = "BEGIN READ" if effect.read_only else "BEGIN"
            text = wait_prefix(effect.wait_for) + mode
            self._conn.query(self._on_begin, OWN_ID, text)
        else:
            self._send_main(wait_prefix(effect.wait_for))

    def _may_send(self) -> bool:
        """Check the lease once more: this VM may have been suspended."""
        valid_until = self._effect.valid_until
        if not self._conn.is_open or 0 < valid_until <= self._ports.now():
            self._fail(Failure.NOT_SENT, usable=False)
            return False
        return True

    def _send_main(self, prefix: str) -> None:
        effect = self._effect
        self._sent = True
        text = effect.text
        if effect.prepared is not None:
            text = f"EXECUTE {effect.prepared.name} {text}"
        request_id = effect.request_id or OWN_ID
        self._conn.query(self._on_main, request_id, prefix + text)

    def _send_vouched(self) -> None:
        """Send a read in a transaction of its own, which only a primary opens."""
        self._conn.query(self._on_vouch, OWN_ID, "BEGIN")
        self._send_main("")
        self._conn.query(self._on_unwind, OWN_ID, "ROLLBACK")

    def _on_setup(self, answer: Answer) -> None:
        if answer.error:
            log.error("endpoints: a setting was refused: %s", answer.error)
            self._fail(Failure.NOT_SENT, usable=False)

    def _on_vouch(self, answer: Answer) -> None:
        if answer.error:
            self._fail(_failure_of(answer), usable=True, detail=answer.error)

    def _on_unwind(self, answer: Answer) -> None:
        """Take in the end of a read's own transaction."""

    def _on_begin(self, answer: Answer) -> None:
        if answer.error:
            usable = answer.state is EndpointState.IDLE
            self._fail(_failure_of(answer), usable=usable, detail=answer.error)
        elif not self._ended and self._may_send():
            self._send_main("")

    def _on_main(self, answer: Answer) -> None:
        if self._ended:
            return
        if answer.error:
            self._on_main_error(answer)
            return
        self._ended = True
        effect = self._effect
        self._ports.results[effect.req] = StatementResult(answer.rows, answer.signature)
        self._ports.feed(
            StatementDone(
                self._ports.now(),
                effect.req,
                effect.conn,
                position=answer.position,
                in_transaction=self._is_open(answer),
                sent_at=self._sent_at,
            )
        )

    def _on_main_error(self, answer: Answer) -> None:
        usable = answer.state is not EndpointState.FAILED or self._effect.vouch
        self._fail(
            _failure_of(answer),
            usable=usable,
            detail=answer.error,
            in_transaction=self._is_open(answer),
        )

    def _is_open(self, answer: Answer) -> bool:
        """Whether a transaction of the caller's is open on the connection."""
        return answer.state is EndpointState.TRANSACTION and not self._effect.vouch

    def connection_lost(self) -> None:
        """Note that the connection is gone."""
        self._fail(Failure.LOST if self._sent else Failure.NOT_SENT)

    def _fail(self, failure: Failure, **fields: object) -> None:
        if self._ended:
            return
        self._ended = True
        effect = self._effect
        now = self._ports.now()
        self._ports.feed(
            StatementFailed(now, effect.req, effect.conn, failure, **fields)
        )


def _failure_of(answer: Answer) -> Failure:
    return FAILURES.get(answer.error, Failure.ERROR)


_setup_texts: Handlers[type, Callable[..., str]] = Handlers()


@_setup_texts.on(DiscardSettings)
def _discard_text(step: DiscardSettings) -> str:
    return "DISCARD"


@_setup_texts.on(SetValue)
def _set_text(step: SetValue) -> str:
    return f"SET {step.name} {step.value}"


@_setup_texts.on(PrepareShape)
def _prepare_text(step: PrepareShape) -> str:
    return prepare_text(step.shape)


_STATUS_ORDERS = {
    Receiving.AS_IT_IS: "STATUS",
    Receiving.HOLD: "PAUSE {}",
    Receiving.RESUME: "RESUME",
}
_REFUSALS = {"TOOMANY": Refused.TOO_MANY, "MISROUTED": Refused.MISPLACED}


class EndpointClient(PoolClient):
    """Connections of one daemon to endpoints."""

    def __init__(self, ports: Ports) -> None:
        super().__init__(ports, CONNECT_LIMIT_S)
        self._watcher = StatusWatcher(ports, POLL_LIMIT_S)
        self.poll = self._watcher.poll
        self.forget = self._watcher.forget

    async def connect(self, effect: OpenConnection) -> EndpointConnection:
        """Open a connection for a customer."""
        conn = EndpointConnection(lambda: self.connection_lost(effect))
        customer = effect.customer or OWN_ID
        error = await conn.open(effect, customer)
        if not error:
            return conn
        raise OpenRefusedError(_REFUSALS.get(error, Refused.UNREACHABLE), error)

    def start(self, conn: EndpointConnection, effect: RunStatement) -> Run:
        """Start a statement on its connection."""
        run = Run(self._ports, conn, effect)
        run.start()
        return run

    def close_all(self) -> None:
        """Close every connection."""
        super().close_all()
        self._watcher.close()


class StatusWatcher(InstancePoller):
    """Watches instances over the line protocol."""

    async def connect(self, effect: PollInstance) -> EndpointConnection:
        """Open a connection to an instance."""
        conn = EndpointConnection(lambda: None)
        error = await conn.open(effect, WATCHER)
        if error:
            raise NoStatusError(error == "TOOMANY", error)
        return conn

    async def query_status(
        self, conn: EndpointConnection, effect: PollInstance
    ) -> InstanceStatus:
        """Return an instance's status."""
        order = _STATUS_ORDERS[effect.receiving].format(effect.term)
        answer = await conn.ask("QUERY", OWN_ID, order)
        if answer.error or not answer.rows:
            raise NoStatusError(answer.error == "BUSY", answer.error)
        incarnation = self._ports.state.catalogue.incarnation_of(effect.endpoint)
        try:
            return parse_status(answer.rows[0], incarnation)
        except LovageError as exc:
            log.warning("endpoints: %s sent a bad status: %s", effect.endpoint, exc)
            raise NoStatusError(False, "malformed") from exc
