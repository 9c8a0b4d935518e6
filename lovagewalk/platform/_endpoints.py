"""The client towards endpoints: pool connections, statements and polls."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lovagewalk.core import LovageError, performs
from lovagewalk.groups import (
    ForgetInstance,
    InstanceFailed,
    InstanceSeen,
    PollInstance,
)
from lovagewalk.pools import (
    CloseConnection,
    ConnectionBroken,
    ConnectionOpened,
    ConnectionRefused,
    OpenConnection,
    Refused,
)
from lovagewalk.routing import (
    DiscardSettings,
    DropResult,
    Failure,
    PrepareShape,
    RunStatement,
    SetValue,
    StatementDone,
    StatementFailed,
)
from lovagewalk.runtime import Ports, limit_silence

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
        self._starting: asyncio.Future | None = None
        self._parser = AnswerParser()
        self._handlers: deque[AnswerHandler] = deque()
        self._transport: asyncio.Transport | None = None
        self._closed = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note the transport."""
        self._transport = transport
        limit_silence(transport.get_extra_info("socket"), ENDPOINT_SILENT_S)

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
        if self._starting is None or self._starting.done():
            self._on_lost()
        elif self._parser.open_error:
            self._starting.set_result(refused_start(self._parser.open_error))
        else:
            self._starting.set_exception(ConnectionResetError("endpoint closed"))

    async def start_up(self, group: str, customer: str, instance: str) -> Answer:
        """Open a session for a customer at an instance, by its name.

        Raises
        ------
        OSError
            If the connection fails.
        """
        starting = self._starting = asyncio.get_running_loop().create_future()
        self.send(lambda a: _resolve(starting, a), "STARTUP", group, customer, instance)
        return await starting

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
            self._conn.query(self._on_setup, OWN_ID, _setup_text(step))
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

    def lose(self) -> None:
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


def _setup_text(step: DiscardSettings | SetValue | PrepareShape) -> str:
    if isinstance(step, DiscardSettings):
        return "DISCARD"
    if isinstance(step, SetValue):
        return f"SET {step.name} {step.value}"
    return prepare_text(step.shape)


_REFUSALS = {"TOOMANY": Refused.TOO_MANY, "MISROUTED": Refused.MISPLACED}


class EndpointClient:
    """Connections of one daemon to endpoints."""

    def __init__(self, ports: Ports) -> None:
        self._ports = ports
        self._conns: dict[int, EndpointConnection] = {}
        self._runs: dict[int, Run] = {}
        self._watches: dict[str, Watch] = {}

    async def open(self, effect: OpenConnection) -> None:
        """Open a pool connection."""
        endpoint = self._ports.state.catalogue.endpoints.get(effect.endpoint)
        incarnation = str(endpoint.born) if endpoint else ""
        conn = EndpointConnection(lambda: self._lost(effect))
        self._conns[effect.conn] = conn
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                await _connect(conn, effect.host, effect.port)
                customer = effect.customer or OWN_ID
                answer = await conn.start_up(effect.group, customer, effect.endpoint)
        except (OSError, TimeoutError) as exc:
            if self._conns.pop(effect.conn, None) is conn:
                self._refuse(effect, Refused.UNREACHABLE, repr(exc))
            conn.close()
            return
        if self._conns.get(effect.conn) is not conn:
            conn.close()
            return
        if answer.error:
            self._conns.pop(effect.conn)
            conn.close()
            reason = _REFUSALS.get(answer.error, Refused.UNREACHABLE)
            self._refuse(effect, reason, answer.error)
            return
        now = self._ports.now()
        self._ports.feed(
            ConnectionOpened(now, effect.conn, effect.endpoint, incarnation)
        )

    def _refuse(self, effect: OpenConnection, reason: Refused, detail: str) -> None:
        self._ports.decisions.note_refused_connection(effect, reason, detail)
        now = self._ports.now()
        self._ports.feed(ConnectionRefused(now, effect.conn, effect.endpoint, reason))

    def _lost(self, effect: OpenConnection) -> None:
        if self._conns.pop(effect.conn, None) is None:
            return
        run = self._runs.pop(effect.conn, None)
        if run is not None:
            run.lose()
        now = self._ports.now()
        self._ports.feed(ConnectionBroken(now, effect.conn, effect.endpoint))

    def close(self, conn_id: int) -> None:
        """Close a pool connection and drop what runs on it."""
        self._runs.pop(conn_id, None)
        conn = self._conns.pop(conn_id, None)
        if conn is not None:
            conn.close()

    def run(self, effect: RunStatement) -> None:
        """Start a statement on its connection."""
        conn = self._conns.get(effect.conn)
        if conn is None:
            now = self._ports.now()
            self._ports.feed(
                StatementFailed(now, effect.req, effect.conn, Failure.NOT_SENT)
            )
            return
        run = Run(self._ports, conn, effect)
        self._runs[effect.conn] = run
        run.start()

    async def poll(self, effect: PollInstance) -> None:
        """Ask for an instance's status."""
        watch = self._watches.get(effect.endpoint)
        if watch is None or not watch.is_for(effect):
            self.forget(effect.endpoint)
            watch = self._watches[effect.endpoint] = Watch(effect)
        sent_at = self._ports.now()
        try:
            async with asyncio.timeout(POLL_LIMIT_S):
                answer = await watch.ask()
        except (OSError, TimeoutError) as exc:
            watch.close()
            broken = not isinstance(exc, TimeoutError)
            self._poll_failed(effect, broken)
            return
        if answer.error or not answer.rows:
            if answer.error != "BUSY":
                watch.close()
            alive = answer.error in ("BUSY", "TOOMANY")
            self._poll_failed(effect, False, alive)
            return
        self._note_status(effect, answer, sent_at)

    def _note_status(
        self, effect: PollInstance, answer: Answer, sent_at: float
    ) -> None:
        endpoint = self._ports.state.catalogue.endpoints.get(effect.endpoint)
        incarnation = str(endpoint.born) if endpoint else ""
        try:
            status = parse_status(answer.rows[0], incarnation)
        except LovageError as exc:
            log.warning("endpoints: %s sent a bad status: %s", effect.endpoint, exc)
            self._poll_failed(effect, False)
            return
        now = self._ports.now()
        self._ports.feed(InstanceSeen(now, effect.endpoint, status, sent_at, False))

    def _poll_failed(
        self, effect: PollInstance, broken: bool, alive: bool = False
    ) -> None:
        now = self._ports.now()
        self._ports.feed(InstanceFailed(now, effect.endpoint, False, broken, alive))

    def forget(self, endpoint: str) -> None:
        """Close the connection by which an instance is watched."""
        watch = self._watches.pop(endpoint, None)
        if watch is not None:
            watch.close()

    def close_all(self) -> None:
        """Close every connection."""
        for conn_id in list(self._conns):
            self.close(conn_id)
        for endpoint in list(self._watches):
            self.forget(endpoint)


class Watch:
    """The connection by which one instance is watched, opened when needed."""

    def __init__(self, effect: PollInstance) -> None:
        self._effect = effect
        self._conn: EndpointConnection | None = None
        self._waiting: asyncio.Future | None = None

    def is_for(self, effect: PollInstance) -> bool:
        """Whether the instance is still at the same place."""
        return self._effect == effect

    async def ask(self) -> Answer:
        """Ask for the status.

        Raises
        ------
        OSError
            If the connection fails.
        """
        if self._conn is None or not self._conn.is_open:
            effect = self._effect
            self._conn = EndpointConnection(self._lost)
            await _connect(self._conn, effect.host, effect.port)
            answer = await self._conn.start_up(effect.group, WATCHER, effect.endpoint)
            if answer.error:
                return answer
        waiting = self._waiting = asyncio.get_running_loop().create_future()
        self._conn.query(lambda answer: _resolve(waiting, answer), OWN_ID, "STATUS")
        return await waiting

    def _lost(self) -> None:
        waiting = self._waiting
        if waiting is not None and not waiting.done():
            waiting.set_exception(ConnectionResetError("endpoint closed"))

    def close(self) -> None:
        """Close the connection."""
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()


def _resolve(waiting: asyncio.Future, answer: Answer) -> None:
    if not waiting.done():
        waiting.set_result(answer)


async def _connect(conn: EndpointConnection, host: str, port: int) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: conn, host, port)


@performs(OpenConnection)
def _open_connection(ports: Ports, effect: OpenConnection) -> None:
    ports.metrics.note_opening(effect.endpoint)
    ports.spawn(ports.endpoints.open(effect))


@performs(CloseConnection)
def _close_connection(ports: Ports, effect: CloseConnection) -> None:
    ports.endpoints.close(effect.conn)


@performs(RunStatement)
def _run_statement(ports: Ports, effect: RunStatement) -> None:
    ports.endpoints.run(effect)


@performs(PollInstance)
def _poll_instance(ports: Ports, effect: PollInstance) -> None:
    ports.spawn(ports.endpoints.poll(effect))


@performs(ForgetInstance)
def _forget_instance(ports: Ports, effect: ForgetInstance) -> None:
    ports.endpoints.forget(effect.endpoint)


@performs(DropResult)
def _drop_result(ports: Ports, effect: DropResult) -> None:
    ports.results.pop(effect.req, None)
