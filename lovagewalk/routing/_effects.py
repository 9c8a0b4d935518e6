"""Effects on callers and on statements at endpoints."""

from dataclasses import dataclass

from lovagewalk.core import Effect, Refusal
from lovagewalk.groups import Position
from lovagewalk.sessions import PreparedShape

from ._state import Phase
from ._types import SetVariable, StatementKind


@dataclass(frozen=True, slots=True)
class OnceId:
    """Identity of a request that must run at most once."""

    customer: str
    request_id: str


@dataclass(frozen=True, slots=True)
class DiscardSettings:
    """Reset the session variables and prepared statements of a connection."""


@dataclass(frozen=True, slots=True)
class PrepareShape:
    """Prepare a statement on a connection, under the name of its shape."""

    shape: PreparedShape


@dataclass(frozen=True, slots=True)
class BeginTransaction:
    """Open a transaction on a connection.

    Attributes
    ----------
    min_position : Position or None
        Position that the log must hold before the transaction begins.
    """

    read_only: bool = False
    min_position: Position | None = None


@dataclass(frozen=True, slots=True)
class EndTransaction:
    """Roll back the transaction that is open on a connection."""


SetupStep = DiscardSettings | SetVariable | PrepareShape | BeginTransaction


@dataclass(frozen=True, slots=True)
class SetUpConnection(Effect):
    """Run the steps that a request's statement needs on its connection.

    The statement is sent once the endpoint has accepted all of them.
    """

    req: int
    conn: int
    steps: tuple[SetupStep, ...]


@dataclass(frozen=True, slots=True)
class RunStatement(Effect):
    """Run a statement on a pool connection.

    Attributes
    ----------
    begin : bool
        Open a transaction first.
    query_position : bool
        Query the instance's position afterwards.
    stream : bool
        The result may be large; read rows as fast as the caller accepts them.
    once : OnceId or None
        Record this id in the same transaction; fail if it is recorded already.
    request_id : str
        The caller's identifier of the request, passed to the endpoint.
    read_only : bool
        Open a read-only transaction.
    min_position : Position or None
        Position that the log must hold before the statement runs.
    require_proof : bool
        The endpoint has to prove that it is the primary at this time.
    prepared : PreparedShape or None
        Statement to execute; the text holds the arguments.
    signed : bool
        Whether the endpoint proves by a signature that it ran the statement.
    """

    req: int
    conn: int
    text: str
    begin: bool = False
    query_position: bool = False
    stream: bool = False
    once: OnceId | None = None
    request_id: str = ""
    read_only: bool = False
    min_position: Position | None = None
    require_proof: bool = False
    prepared: PreparedShape | None = None
    signed: bool = False


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """State that determined the answer to a request, for the log.

    Attributes
    ----------
    phase : Phase
        Last phase of the request.
    endpoint : str
        Endpoint where it was last queued or run.
    attempts : int
        Number of times it was sent.
    arrived_at : float
        Time at which the statement arrived, in monotonic seconds.
    term : int
        Term of the group when the request was last sent.
    revision : int
        Catalogue revision in force.
    min_position : Position or None
        Position that the log had to hold.
    session_position : Position or None
        Position of the session in the request's group before the answer.
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
    min_position: Position | None = None
    session_position: Position | None = None


@dataclass(frozen=True, slots=True)
class AnswerCaller(Effect):
    """Answer a request with its result or a refusal.

    Attributes
    ----------
    value : str or int or None
        Result that the daemon itself produces.
    in_transaction : bool
        Transaction status that is reported to the caller.
    autocommit : bool
        Autocommit status that is reported to the caller.
    customer : str
        Customer that sent the request.
    failed_transaction : bool
        Whether the transaction is lost and the caller still has to end it.
    trace : RequestTrace or None
        State that determined the answer, for the log.
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
    """Complete the connection of a caller."""

    caller: int


@dataclass(frozen=True, slots=True)
class CloseCaller(Effect):
    """Close a caller's connection and state the reason."""

    caller: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class CheckReportDue(Effect):
    """Check now whether a report to control is due, since a request waits for it."""


@dataclass(frozen=True, slots=True)
class DiscardResult(Effect):
    """Discard the result of a request whose caller no longer waits for it."""

    req: int
