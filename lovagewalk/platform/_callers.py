"""Sessions of callers over the line protocol."""

import asyncio
import logging
from collections import deque

from lovagewalk.catalogue import hash_key
from lovagewalk.core import Code, LovageError, Refusal
from lovagewalk.routing import (
    AnswerCaller,
    CallerConnected,
    CallerDisconnected,
    Marks,
    StatementArrived,
    StatementRejected,
)
from lovagewalk.runtime import CallerServer, LineSplitter, Ports, set_tcp_options

from ._endpoints import StatementResult
from ._lines import (
    ABSENT,
    MAX_LINE_BYTES,
    Query,
    Startup,
    Terminate,
    encode_message,
    error_word,
    parse_caller_message,
    parse_statement,
)

# A caller's failed VM is detected before the idle limit may end its transaction.
CALLER_TCP_TIMEOUT_S = 3.0
# Maximum number of lines that a caller may send ahead of its answers.
MAX_PENDING_LINES = 64
# Maximum bytes of answers that a caller has not read; more ends its connection.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
IDLE, IN_TRANSACTION, FAILED = "I", "T", "E"
EMPTY_RESULT = StatementResult()

log = logging.getLogger("lovagewalk.callers")


class CallerSession(asyncio.Protocol):
    """One caller's connection; it processes one message at a time."""

    def __init__(self, ports: Ports) -> None:
        self._ports = ports
        self._server: CallerServer = ports.callers
        self._splitter = LineSplitter(MAX_LINE_BYTES)
        self._pending_lines: deque[str] = deque()
        self._transport: asyncio.Transport | None = None
        self._accepted = False
        self._awaiting_answer = False
        self.caller = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self._transport = transport
        self._server.open_connections.add(self)
        set_tcp_options(transport.get_extra_info("socket"), CALLER_TCP_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        """Process the messages that are complete with these bytes."""
        try:
            self._pending_lines.extend(self._splitter.feed(data))
            if len(self._pending_lines) > MAX_PENDING_LINES:
                raise LovageError(Code.PACKET_BAD, "too many messages ahead")
            self._process_pending()
        except LovageError as exc:
            log.warning("callers: closing a connection: %s", exc)
            self._send_error(exc.refusal)
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the caller has left."""
        self._server.open_connections.discard(self)
        if self.caller:
            self._server.sessions.pop(self.caller, None)
            self._ports.feed(CallerDisconnected(self._ports.now(), self.caller))

    def _process_pending(self) -> None:
        while self._pending_lines and not self._awaiting_answer:
            if self._transport.is_closing():
                return
            self._handle(parse_caller_message(self._pending_lines.popleft()))

    def _handle(self, message: Startup | Query | Terminate) -> None:
        if isinstance(message, Terminate):
            self._transport.close()
        elif isinstance(message, Startup) and not self.caller:
            self._open_session(message)
        elif isinstance(message, Query) and self._accepted:
            self._submit_statement(message)
        else:
            raise LovageError(Code.PACKET_BAD, "out of order")

    def _open_session(self, message: Startup) -> None:
        self._awaiting_answer = True
        self.caller = next(self._ports.id_sequence)
        self._server.sessions[self.caller] = self
        key_id = hash_key(message.key)
        now = self._ports.now()
        self._ports.feed(CallerConnected(now, self.caller, key_id, message.database))

    def _submit_statement(self, message: Query) -> None:
        try:
            statement = parse_statement(message.text)
        except LovageError as exc:
            now = self._ports.now()
            self._ports.feed(StatementRejected(now, self.caller, exc.code))
            self._send_error(exc.refusal)
            self._send_ready(self._transaction_state())
            return
        self._awaiting_answer = True
        marks = Marks(request_id=message.request_id)
        self._ports.feed(
            StatementArrived(
                self._ports.now(),
                next(self._ports.id_sequence),
                self.caller,
                statement.kind,
                statement.text,
                marks,
                statement.detail,
            )
        )

    def _transaction_state(self) -> str:
        session = self._ports.state.sessions.get(self.caller)
        in_transaction = session is not None and session.in_transaction
        return IN_TRANSACTION if in_transaction else IDLE

    def accept(self) -> None:
        """Report to the caller that its session is open."""
        self._accepted = True
        self._awaiting_answer = False
        self._send_ready(IDLE)
        self._schedule_pending()

    def _schedule_pending(self) -> None:
        if self._pending_lines:
            asyncio.get_running_loop().call_soon(self.data_received, b"")

    def answer(self, effect: AnswerCaller, result: StatementResult | None) -> None:
        """Send the answer to a statement."""
        self._awaiting_answer = False
        state = IN_TRANSACTION if effect.in_transaction else IDLE
        if effect.failed_transaction:
            state = FAILED
        if effect.refusal is not None:
            self._send_error(effect.refusal)
        else:
            result = result or EMPTY_RESULT
            for row in result.rows:
                self._send("DATAROW", row)
            self._send("COMPLETE", result.signature)
        self._send_ready(state)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            log.warning("callers: caller %d reads too slowly; aborting", self.caller)
            self._transport.abort()
        self._schedule_pending()

    def close(self, refusal: Refusal) -> None:
        """Close the connection; a caller that has no answer yet receives the reason."""
        if not self._accepted:
            self._send_error(refusal)
        while self._accepted and self._pending_lines:
            if self._pending_lines.popleft().startswith("QUERY "):
                self._send_error(refusal)
                self._send_ready(FAILED)
        self._transport.close()

    def abort(self) -> None:
        """Abort the connection without sending what is buffered."""
        self._transport.abort()

    def _send(self, *fields: str) -> None:
        if not self._transport.is_closing():
            self._transport.write(encode_message(*fields))

    def _send_error(self, refusal: Refusal) -> None:
        self._send("ERROR", error_word(refusal.code), str(refusal))

    def _send_ready(self, state: str) -> None:
        self._send("READY", state, ABSENT)
