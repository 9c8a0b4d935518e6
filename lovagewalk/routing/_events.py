"""Events of callers and of statements at endpoints."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Code, Event
from lovagewalk.groups import Position

from ._effects import SetupStep
from ._types import Marks, SessionStatement, StatementKind


@dataclass(frozen=True, slots=True)
class CallerConnected(Event):
    """A caller authenticated with a key, or connected without one (`key_id` empty)."""

    caller: int
    key_id: str
    route: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected(Event):
    """A caller's connection ended."""

    caller: int


@dataclass(frozen=True, slots=True)
class CallerReset(Event):
    """A caller requested a new session on the same connection."""

    caller: int


@dataclass(frozen=True, slots=True)
class StatementArrived(Event):
    """A caller sent a statement.

    Attributes
    ----------
    req : int
        Number of the request on this daemon, never reused.
    text : str
        Text of the statement without its marks; the reducer does not parse it.
    session_statement : SessionStatement or None
        Operands of a statement that acts on the session itself; None for others.
    """

    req: int
    caller: int
    kind: StatementKind
    text: str
    marks: Marks
    session_statement: SessionStatement | None = None


@dataclass(frozen=True, slots=True)
class StatementRejected(Event):
    """A statement was refused before it was classified; the refusal is counted."""

    caller: int
    code: Code


@dataclass(frozen=True, slots=True)
class StatementDone(Event):
    """An endpoint ran a statement.

    Attributes
    ----------
    position : Position or None
        The instance's position afterwards, if it was requested.
    insert_id : int
        Row id that the endpoint assigned to an inserted row; 0 for none.
    streaming : bool
        Whether more rows follow on the connection.
    in_transaction : bool
        Whether the endpoint reports an open transaction.
    sent_at : float
        When the statement was sent, in monotonic seconds.
    answers_owed : bool
        Whether the endpoint has not yet answered all that was sent with the statement;
        a `ConnectionSettled` then follows.
    """

    req: int
    conn: int
    position: Position | None = None
    insert_id: int = 0
    streaming: bool = False
    in_transaction: bool = False
    sent_at: float = 0.0
    answers_owed: bool = False


class Failure(Enum):
    """How a statement failed at an endpoint.

    Attributes
    ----------
    NOT_SENT
        The statement was not sent.
    LOST
        It was sent but not answered, so its outcome is unknown.
    READ_ONLY
        The instance is not a primary and accepts no writes.
    DUPLICATE_ID
        The id of a request that must run at most once is recorded already.
    ROLLED_BACK
        The endpoint has rolled the transaction back.
    ERROR
        The endpoint reported an error of another kind.
    BUSY
        The endpoint is saturated and did not run the statement.
    BEHIND
        The instance's log lacks the position that the statement requires.
    UNKNOWN_NAME
        The connection has no prepared statement of this name.
    """

    NOT_SENT = "not sent"
    LOST = "lost"
    READ_ONLY = "read only"
    DUPLICATE_ID = "duplicate id"
    ROLLED_BACK = "rolled back"
    ERROR = "error"
    BUSY = "busy"
    BEHIND = "behind"
    UNKNOWN_NAME = "unknown prepared name"


@dataclass(frozen=True, slots=True)
class StatementFailed(Event):
    """A statement failed at an endpoint, or could not be sent to it.

    Attributes
    ----------
    errno : int
        MySQL error number of the endpoint; 0 for none.
    detail : str
        Error message of the endpoint, or why the statement counts as failed.
    usable : bool
        Whether the connection may be reused.
    position : Position or None
        The instance's position after a `DUPLICATE_ID`.
    in_transaction : bool
        Whether the endpoint reports an open transaction.
    answers_owed : bool
        As in `StatementDone`.
    """

    req: int
    conn: int
    failure: Failure
    errno: int = 0
    detail: str = ""
    usable: bool = False
    position: Position | None = None
    in_transaction: bool = False
    answers_owed: bool = False


@dataclass(frozen=True, slots=True)
class SetupAnswered(Event):
    """An endpoint answered all steps that set up a connection, or was lost.

    Attributes
    ----------
    applied : tuple of SetupStep
        The steps that the endpoint accepted, in their order.
    failure : Failure or None
        How the first other step failed; None if all were accepted.
    detail : str
        Error of the endpoint for that step.
    usable : bool
        Whether the connection may be reused.
    in_transaction : bool
        Whether the endpoint reports an open transaction.
    """

    req: int
    conn: int
    applied: tuple[SetupStep, ...] = ()
    failure: Failure | None = None
    detail: str = ""
    usable: bool = False
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class StreamEnded(Event):
    """Reading a streamed result ended.

    Attributes
    ----------
    complete : bool
        Whether the last row was read.
    """

    req: int
    conn: int
    complete: bool
