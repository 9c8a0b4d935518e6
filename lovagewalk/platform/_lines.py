"""Encodes and parses the line protocol of callers and endpoints.

A message is a word and fields, separated by spaces, on one line; the last field
extends to the end of the line.
"""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Code, LovageError, Outcome, parse_count
from lovagewalk.groups import InstanceStatus, Position, Role
from lovagewalk.routing import (
    Failure,
    NamedStatement,
    PrepareStatement,
    SessionStatement,
    SetVariable,
    StatementKind,
)
from lovagewalk.runtime import LINE_END, BoundedRows, LineSplitter
from lovagewalk.sessions import PreparedShape

# The protocol's limit for a message.
MAX_LINE_BYTES = 1024 * 1024
# Request id of the proxy's own statements, and user if there is no customer.
PROXY_ID = "-"
# Placeholder for an absent position or signature.
ABSENT = "-"


def encode_message(*fields: str) -> bytes:
    """Return an encoded message."""
    return " ".join(fields).encode() + LINE_END


@dataclass(frozen=True, slots=True)
class Startup:
    """Message that opens a session.

    Attributes
    ----------
    key : str
        The caller's key; empty if it states none.
    """

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class Query:
    """Message with a statement and the caller's request id."""

    request_id: str
    text: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """Message that ends a session."""


def parse_caller_message(line: str) -> Startup | Query | Terminate:
    """Parse a message of a caller.

    Raises
    ------
    LovageError
        ``PACKET_BAD`` if it is malformed or not a message of a caller.
    """
    word, _, rest = line.partition(" ")
    if word == "QUERY":
        request_id, separator, text = rest.partition(" ")
        if request_id and separator and text:
            return Query(request_id, text)
    elif word == "STARTUP":
        database, _, key = rest.partition(" ")
        if database:
            return Startup(database, key)
    elif word == "TERMINATE":
        return Terminate()
    raise LovageError(Code.PACKET_BAD, "no message of a caller")


@dataclass(frozen=True, slots=True)
class Statement:
    """A caller's statement as the reducers handle it.

    Attributes
    ----------
    text : str
        Text for the endpoint; for a prepared statement its arguments.
    """

    kind: StatementKind
    text: str
    detail: SessionStatement | None = None


_KINDS_BY_TEXT = {
    "BEGIN": StatementKind.BEGIN,
    "BEGIN READ": StatementKind.BEGIN_READ,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
}
_WRITES_BY_MODE = {"READ": False, "WRITE": True}


def parse_statement(text: str) -> Statement:
    """Parse the statement of a query.

    Raises
    ------
    LovageError
        ``STATEMENT_BAD`` if it is unknown or malformed.
    """
    kind = _KINDS_BY_TEXT.get(text)
    if kind is not None:
        return Statement(kind, text)
    word, _, arguments = text.partition(" ")
    name, _, value = arguments.partition(" ")
    if word == "READ" and name and not value:
        return Statement(StatementKind.READ, text)
    if word == "WRITE" and name and value:
        return Statement(StatementKind.WRITE, text)
    if word == "SET" and name and value:
        return Statement(StatementKind.SET_VARIABLE, text, SetVariable(name, value))
    if word == "EXECUTE" and name and value:
        return Statement(StatementKind.EXECUTE, value, NamedStatement(name))
    if word == "DEALLOC" and name and not value:
        return Statement(StatementKind.DEALLOCATE, text, NamedStatement(name))
    if word == "PREPARE" and name:
        mode, _, shape = value.partition(" ")
        if mode in _WRITES_BY_MODE and shape:
            prepared = PreparedShape(_WRITES_BY_MODE[mode], shape)
            detail = PrepareStatement(name, prepared)
            return Statement(StatementKind.PREPARE, text, detail)
    raise LovageError(Code.STATEMENT_BAD, "unknown statement")


def prepare_text(shape: PreparedShape) -> str:
    """Return the statement that prepares a shape under the shape's name."""
    mode = "WRITE" if shape.writes else "READ"
    return f"PREPARE {shape.name} {mode} {shape.content}"


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Result of a statement, kept until the caller is answered."""

    rows: tuple[str, ...] = ()
    signature: str = ABSENT


class TxnState(Enum):
    """Transaction state of a connection to an endpoint."""

    IDLE = "I"
    ACTIVE = "T"
    FAILED = "E"


@dataclass(frozen=True, slots=True)
class Answer:
    """An endpoint's complete answer to one message.

    Attributes
    ----------
    signature : str
        The endpoint's signature of a result; empty on an error.
    error : str
        Code of the error; empty on success.
    position : Position or None
        The instance's position afterwards; None if it states none.
    """

    rows: tuple[str, ...]
    signature: str
    error: str
    detail: str
    state: TxnState
    position: Position | None

    @property
    def failure(self) -> Failure | None:
        """How the message failed; None on success."""
        return _FAILURES_BY_WORD.get(self.error, Failure.ERROR) if self.error else None

    @property
    def result(self) -> StatementResult:
        """The result of a statement that was run."""
        return StatementResult(self.rows, self.signature)

    @property
    def is_signed(self) -> bool:
        """Whether it is the result of a read, a write or a commit."""
        return self.signature not in ("", ABSENT)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.state is TxnState.ACTIVE

    @property
    def transaction_failed(self) -> bool:
        """Whether a transaction has failed and waits for its end."""
        return self.state is TxnState.FAILED


def refused_startup(error: str) -> Answer:
    """Return the answer of an endpoint that refused a session and closed it."""
    return Answer((), "", error, "", TxnState.IDLE, None)


class AnswerParser:
    """Assembles the answers of an endpoint from its lines."""

    def __init__(self) -> None:
        self._splitter = LineSplitter(MAX_LINE_BYTES)
        self._rows = BoundedRows()
        self._signature = ""
        self._error = ""
        self._detail = ""

    def feed(self, data: bytes) -> list[Answer]:
        """Add received bytes and return the answers that are now complete.

        Raises
        ------
        LovageError
            ``PACKET_BAD`` if a line is malformed or not a message of an endpoint;
            ``STATEMENT_LARGE`` if a line or an answer is too long.
        """
        answers = []
        for line in self._splitter.feed(data):
            answer = self._parse_line(line)
            if answer is not None:
                answers.append(answer)
        return answers

    def _parse_line(self, line: str) -> Answer | None:
        word, _, rest = line.partition(" ")
        if word == "DATAROW":
            self._rows.append(rest)
        elif word == "COMPLETE":
            self._signature = rest
        elif word == "ERROR":
            self._error, _, self._detail = rest.partition(" ")
        elif word == "READY":
            return self._complete_answer(rest)
        else:
            raise LovageError(Code.PACKET_BAD, "unknown message of an endpoint")
        return None

    def _complete_answer(self, rest: str) -> Answer:
        state, _, position = rest.partition(" ")
        answer = Answer(
            self._rows.take(),
            self._signature,
            self._error,
            self._detail,
            _parse_state(state),
            parse_position(position),
        )
        self._signature, self._error, self._detail = "", "", ""
        return answer

    @property
    def pending_error(self) -> str:
        """Error code of an answer that is not complete yet; empty for none."""
        return self._error


def _parse_state(text: str) -> TxnState:
    try:
        return TxnState(text)
    except ValueError as exc:
        raise LovageError(Code.PACKET_BAD, "unknown transaction state") from exc


def parse_position(text: str) -> Position | None:
    """Parse a log position; None if the text states none.

    Raises
    ------
    LovageError
        ``PACKET_BAD`` if it is malformed.
    """
    if text in (ABSENT, ""):
        return None
    term, _, index = text.partition(".")
    try:
        return Position(parse_count(term), parse_count(index))
    except ValueError as exc:
        raise LovageError(Code.PACKET_BAD, "position") from exc


def wait_prefix(position: Position | None) -> str:
    """Return the prefix that makes a statement wait for a position; empty for None."""
    return f"WAITLSN {position.term}.{position.index} " if position else ""


def parse_status(row: str, incarnation: str) -> InstanceStatus:
    """Parse the status row of an instance.

    The fields are role, term, position received, term of a pause, lag in
    milliseconds, statements running, and connections; only the first four
    are used.

    Raises
    ------
    LovageError
        ``PACKET_BAD`` if it is malformed.
    """
    fields = row.split(" ")
    try:
        role, term = Role(fields[0]), parse_count(fields[1])
        position = parse_position(fields[2]) or Position(0, 0)
        paused_term = parse_count(fields[3]) if len(fields) > 3 else 0
    except (ValueError, IndexError) as exc:
        raise LovageError(Code.PACKET_BAD, "status") from exc
    return InstanceStatus(
        incarnation,
        role,
        term,
        position.index,
        position.term,
        paused_term=paused_term,
    )


_FAILURES_BY_WORD = {
    "BUSY": Failure.BUSY,
    "LAGGING": Failure.BEHIND,
    "READONLY": Failure.READ_ONLY,
    "NOSTMT": Failure.UNKNOWN_NAME,
}

# Error words that callers receive. A word that promises that nothing was stored is
# used only for codes whose outcome guarantees it.
_ERROR_WORDS = {
    Code.KEY_UNKNOWN: "NOAUTH",
    Code.KEY_WITHDRAWN: "NOAUTH",
    Code.ROUTE_FORBIDDEN: "NOAUTH",
    Code.ROUTE_UNKNOWN: "NODB",
    Code.STATEMENT_BAD: "MALFORMED",
    Code.STATEMENT_UNKNOWN: "NOSTMT",
    Code.STATEMENT_LARGE: "TOOLARGE",
    Code.PACKET_BAD: "MALFORMED",
    Code.TRANSACTION_LOST: "ABORTED",
    Code.ENDPOINT_ERROR: "FAILED",
    Code.TIMED_OUT: "INDOUBT",
    Code.CONNECTION_LOST: "INDOUBT",
    Code.UNCONFIRMED: "INDOUBT",
}
# Error words of all other codes; only BUSY promises that nothing was stored.
_ERROR_WORDS_BY_OUTCOME = {
    Outcome.NOT_RUN: "BUSY",
    Outcome.UNKNOWN: "INDOUBT",
    Outcome.FAILED: "FAILED",
    Outcome.RUN_BEFORE: "INDOUBT",
}


def error_word(code: Code) -> str:
    """Return the platform's error word for a code."""
    return _ERROR_WORDS.get(code) or _ERROR_WORDS_BY_OUTCOME[code.outcome]
