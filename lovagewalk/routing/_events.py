"""Events of callers and of statements at endpoints."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.core import Code, Event
from lovagewalk.groups import Position

from ._types import Detail, Marks, StatementKind


@dataclass(frozen=True, slots=True)
class CallerConnected(Event):
    """A caller authenticated with a key, or connected without one (`key_id` empty)."""

    caller: int
    key_id: str
    route: str


@dataclass(frozen=True, slots=True)
class CallerLeft(Event):
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
        Not interpreted by the reducer; the marks have been removed from it.
    detail : SetValue or PrepareStatement or NamedStatement or None
        Content of a statement that acts on the session itself.
    """

    req: int
    caller: int
    kind: StatementKind
    text: str
    marks: Marks
    detail: Detail | None = None


@dataclass(frozen=True, slots=True)
class StatementRejected(Event):
    """A statement was refused before it was classified; it is counted."""

    caller: int
    code: Code


@dataclass(frozen=True, slots=True)
class StatementDone(Event):
    """An endpoint ran a statement.

    Attributes
    ----------
    position : Position or None
        The instance's position afterwards, if it was requested.
    streaming : bool
        Whether more rows follow on the connection.
    in_transaction : bool
        Whether the endpoint reports an open transaction.
    sent_at : float
        When the statement was sent, in monotonic seconds.
    """

    req: int
    conn: int
    position: Position | None = None
    insert_id: int = 0
    streaming: bool = False
    in_transaction: bool = False
    sent_at: float = 0.0


class Failure(Enum):
    """How a statement failed at an endpoint."""

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
    """A statement failed.

    Attributes
    ----------
    errno : int
        MySQL error number of the endpoint; 0 for none.
    usable : bool
        Whether the connection may be reused.
    in_transaction : bool
        Whether the endpoint reports an open transaction.
    """

    req: int
    conn: int
    failure: Failure
    errno: int = 0
    detail: str = ""
    usable: bool = False
    position: Position | None = None
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class StreamEnded(Event):
    """The last row of a streamed answer was read, or reading stopped."""

    req: int
    conn: int
    complete: bool
