"""Effects on callers and on statements at endpoints."""

from dataclasses import dataclass

from lovagewalk.core import Effect, Refusal
from lovagewalk.groups import Position
from lovagewalk.sessions import PreparedShape

from ._state import Phase
from ._types import SetValue, StatementKind


@dataclass(frozen=True, slots=True)
class OnceMark:
    """Identity of a request that must run at most once."""

    customer: str
    request_id: str


@dataclass(frozen=True, slots=True)
class DiscardSettings:
    """Drop all values and prepared statements of a connection."""


@dataclass(frozen=True, slots=True)
class PrepareShape:
    """Prepare a statement on a connection, under its own name."""

    shape: PreparedShape


SetupStep = DiscardSettings | SetValue | PrepareShape


@dataclass(frozen=True, slots=True)
class RunStatement(Effect):
    """Run a statement on a pool connection.

    Attributes
    ----------
    begin : bool
        Open a transaction first.
    want_position : bool
        Ask for the instance's position afterwards.
    stream : bool
        Rows may be many; read them as the caller takes them.
    once : OnceMark or None
        Record this id in the same transaction; fail if it is there already.
    request_id : str
        The caller's name for the request, shown to the endpoint.
    setup : tuple of SetupStep
        What the connection needs to carry the session's settings.
    read_only : bool
        Open the transaction for reading only.
    wait_for : Position or None
        Run only on a log that holds this position.
    vouch : bool
        Let the endpoint prove that it is the primary at this time.
    prepared : PreparedShape or None
        What to execute; the text holds the arguments.
    valid_until : float
        The statement must not be sent later, in monotonic seconds; 0 for no
        limit.
    """

    req: int
    conn: int
    text: str
    begin: bool = False
    want_position: bool = False
    stream: bool = False
    once: OnceMark | None = None
    request_id: str = ""
    setup: tuple[SetupStep, ...] = ()
    read_only: bool = False
    wait_for: Position | None = None
    vouch: bool = False
    prepared: PreparedShape | None = None
    valid_until: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """What decided the answer to a request.

    Attributes
    ----------
    phase : Phase
        What it waited for last.
    endpoint : str
        Where it was queued or ran last.
    attempts : int
        Times it was sent.
    arrived_at : float
        In monotonic seconds.
    term : int
        Term of the group as last sent.
    revision : int
        Catalogue revision in force.
    """

    request_id: str
    route: str
    kind: StatementKind
    phase: Phase
    endpoint: str
    attempts: int
    arrived_at: float
    term: int
    revision: int


@dataclass(frozen=True, slots=True)
class AnswerCaller(Effect):
    """Answer a request: with its result, or with a refusal.

    Attributes
    ----------
    value : str or int or None
        A value that the daemon itself answers with.
    in_transaction : bool
        What the caller is told of its transaction.
    autocommit : bool
        Whether its statements outside a transaction commit by themselves.
    customer : str
        Whose request it was.
    failed_transaction : bool
        Whether the caller has to end a transaction that is lost.
    trace : RequestTrace or None
        What decided the answer, for the log.
    """

    req: int
    caller: int
    refusal: Refusal | None = None
    value: str | int | None = None
    in_transaction: bool = False
    autocommit: bool = True
    customer: str = ""
    failed_transaction: bool = False
    trace: RequestTrace | None = None


@dataclass(frozen=True, slots=True)
class AcceptCaller(Effect):
    """Tell a caller that it is connected."""

    caller: int


@dataclass(frozen=True, slots=True)
class CloseCaller(Effect):
    """End a caller's connection, with a reason."""

    caller: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class HurryReport(Effect):
    """Look at once whether a report to control is due: a request waits for it."""


@dataclass(frozen=True, slots=True)
class DropResult(Effect):
    """Forget the result of a request that nobody waits for."""

    req: int
