"""State of the requests that a daemon processes."""

from dataclasses import dataclass
from enum import Enum

from lovagewalk.catalogue import Consistency, RouteEntry
from lovagewalk.core import Refusal
from lovagewalk.groups import Position
from lovagewalk.sessions import PreparedShape

from ._types import Marks, StatementKind


class Phase(Enum):
    """What a request waits for.

    Attributes
    ----------
    TOKENS
        A token of its customer's rate.
    REPLICA
        A replica that holds the position that its session's reads need.
    PRIMARY
        A change of the group's primary or of its endpoints.
    CONNECTION
        A connection to its endpoint.
    SETUP
        The endpoint's answers to the steps that set up its connection. The statement
        itself has not been sent.
    RUNNING
        The endpoint's answer.
    STREAMING
        The last row of its result; the caller has been answered.
    CONFIRMING
        A quorum that holds its position.
    BACKOFF
        The time of its next attempt.
    """

    TOKENS = "tokens"
    REPLICA = "replica"
    PRIMARY = "primary"
    CONNECTION = "connection"
    SETUP = "setup"
    RUNNING = "running"
    STREAMING = "streaming"
    CONFIRMING = "confirming"
    BACKOFF = "backoff"


# Phases in which an endpoint owes an answer, whose end is an event of its own.
SENT_PHASES = frozenset((Phase.SETUP, Phase.RUNNING, Phase.STREAMING, Phase.CONFIRMING))


@dataclass(frozen=True, slots=True)
class Request:
    """A statement of a caller that this daemon processes.

    Attributes
    ----------
    deadline : float
        Time at which waiting ends, in monotonic seconds.
    endpoint : str
        Endpoint where it is queued or runs.
    conn : int
        The pool connection that it runs on; 0 for none.
    attempts : int
        Number of times it was sent.
    sent_term : int
        Group term in force when it was last sent.
    refused_term : int
        Term of the primary that refused it without running it; 0 for none.
    may_have_run : bool
        Whether an earlier attempt may have run.
    confirmed_refusal : Refusal or None
        Answer to the caller once the position is confirmed; None for the result.
    position : Position or None
        Position to confirm before the caller is answered.
    insert_id : int
        Row id that the endpoint assigned to an inserted row.
    route : RouteEntry or None
        The route's catalogue entry when the statement arrived.
    prepared : PreparedShape or None
        Prepared statement that it executes.
    tried_endpoints : tuple of str
        Endpoints that could not serve it so far.
    min_position : Position or None
        Position that the log it reads must hold.
    require_proof : bool
        Whether the primary has to prove its role.
    at_primary : bool
        Whether only the primary can serve it.
    in_transaction : bool
        Whether its session was in a transaction when it arrived. It then never runs
        outside of it.
    opens_transaction : bool
        Whether it opens the session's transaction.
    retry_at : float
        Time at which a request in backoff is retried, in monotonic seconds.
    sent_at : float
        Time at which it was last sent, in monotonic seconds.
    queued_at : float
        Time at which it was last queued for a connection, in monotonic seconds.
    reserved_fraction : float
        Fraction of a token that its daemon has reserved for it.
    """

    req: int
    caller: int
    customer: str
    group: str
    kind: StatementKind
    text: str
    marks: Marks
    arrived_at: float
    deadline: float
    phase: Phase = Phase.TOKENS
    endpoint: str = ""
    conn: int = 0
    attempts: int = 0
    sent_term: int = 0
    refused_term: int = 0
    may_have_run: bool = False
    confirmed_refusal: Refusal | None = None
    position: Position | None = None
    insert_id: int = 0
    route: RouteEntry | None = None
    prepared: PreparedShape | None = None
    tried_endpoints: tuple[str, ...] = ()
    min_position: Position | None = None
    require_proof: bool = False
    at_primary: bool = False
    in_transaction: bool = False
    opens_transaction: bool = False
    retry_at: float = 0.0
    sent_at: float = 0.0
    queued_at: float = 0.0
    reserved_fraction: float = 0.0

    @property
    def has_explicit_consistency(self) -> bool:
        """Whether the route has an explicit consistency for its reads.

        Otherwise the session token and the marks of the statement determine it.
        """
        return (
            self.route is not None and self.route.consistency is not Consistency.SESSION
        )

    @property
    def is_read(self) -> bool:
        """Whether the statement is a read."""
        return self.kind is StatementKind.READ

    @property
    def priority(self) -> int:
        """Priority of the route; 0 is the most urgent."""
        return self.route.priority if self.route is not None else 0
