"""Sessions of callers over the line protocol."""

import asyncio
import logging

from lovagewalk.catalogue import hash_key
from lovagewalk.clients import ClientKind
from lovagewalk.core import Code, LovageError, Refusal
from lovagewalk.routing import (
    AnswerCaller,
    CallerConnected,
    CallerDisconnected,
    Marks,
    StatementArrived,
    StatementRejected,
)
from lovagewalk.runtime import CallerServer, LineClient, Ports

from ._lines import (
    ABSENT,
    MAX_LINE_BYTES,
    Query,
    Startup,
    StatementResult,
    Terminate,
    encode_message,
    error_word,
    parse_caller_message,
    parse_statement,
)

# A caller's failed VM is detected before the idle limit may end its transaction.
CALLER_TCP_TIMEOUT_S = 3.0
IDLE, IN_TRANSACTION, FAILED = "I", "T", "E"
EMPTY_RESULT = StatementResult()

log = logging.getLogger("lovagewalk.callers")


class CallerSession(LineClient):
    """One caller's connection."""

    def __init__(self, ports: Ports) -> None:
        super().__init__(ports, ClientKind.CALLER, MAX_LINE_BYTES, CALLER_TCP_TIMEOUT_S)
        self._server: CallerServer = ports.callers
        self.caller = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self._server.open_connections.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the caller has left."""
        super().connection_lost(exc)
        self._server.open_connections.discard(self)
        if self.caller:
            self._server.sessions.pop(self.caller, None)
            self._ports.feed(CallerDisconnected(self._ports.now(), self.caller))

    def handle_line(self, line: str) -> None:
        """Process one message."""
        self._handle(parse_caller_message(line))

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
        self.caller = self._client.number
        self._client.set_waiting(False)
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
            self.send_refusal(exc.refusal)
            self._send_ready(self._transaction_state())
            return
        self._awaiting_answer = True
        self._statement_bytes = len(message.text)
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

    def answer(self, effect: AnswerCaller, result: StatementResult | None) -> None:
        """Send the answer to a statement."""
        self._awaiting_answer = False
        self._statement_bytes = 0
        state = IN_TRANSACTION if effect.in_transaction else IDLE
        if effect.failed_transaction:
            state = FAILED
        if effect.refusal is not None:
            self.send_refusal(effect.refusal)
        else:
            result = result or EMPTY_RESULT
            for row in result.rows:
                self._send("DATAROW", row)
            self._send("COMPLETE", result.signature)
        self._send_ready(state)
        self._schedule_pending()
        self._report()

    def close(self, refusal: Refusal) -> None:
        """Close the connection; a caller that has no answer yet receives the reason."""
        if not self._accepted:
            self.send_refusal(refusal)
        elif not self._transport.is_closing():
            self._refuse_pending(refusal)
        self._splitter.clear()
        self._transport.close()

    def _refuse_pending(self, refusal: Refusal) -> None:
        """Refuse the statements that were sent ahead, which are not run."""
        try:
            while (line := self._splitter.next_line()) is not None:
                if line.startswith("QUERY "):
                    self.send_refusal(refusal)
                    self._send_ready(FAILED)
        except LovageError as exc:
            log.warning("callers: cannot refuse what was sent ahead: %s", exc)

    def abort(self) -> None:
        """Abort the connection without sending what is buffered."""
        self._transport.abort()

    def _send(self, *fields: str) -> None:
        if not self._transport.is_closing():
            self._transport.write(encode_message(*fields))

    def send_refusal(self, refusal: Refusal) -> None:
        """Send an error."""
        self._send("ERROR", error_word(refusal.code), str(refusal))

    def _send_ready(self, state: str) -> None:
        self._send("READY", state, ABSENT)
