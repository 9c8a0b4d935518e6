"""State of the client budget."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from ._limits import DEFAULT_LIMITS, ClientLimits


class ClientKind(Enum):
    """Whose connections a listener accepts.

    `PEER` stands for connections at the port for other daemons that have not proved to
    come from one; a proved link is not a client.
    """

    CALLER = "caller"
    OPERATOR = "operator"
    READINESS = "readiness"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Holding:
    """What one connection holds beyond the threshold.

    Attributes
    ----------
    message : int
        Bytes of a message that is not complete.
    ahead : int
        Bytes of complete messages: those that wait, and the one that is processed.
    unread : int
        Bytes of answers that the client has not read.
    stored : int
        Bytes of the session's variables and prepared statements.
    since : float
        When it began to hold more than the threshold, in monotonic seconds.
    message_since : float
        When its incomplete message began; 0 for none.
    progressed_at : float
        When a message was last completed, or grew, or an answer was read.
    """

    kind: ClientKind
    message: int = 0
    ahead: int = 0
    unread: int = 0
    stored: int = 0
    since: float = 0.0
    message_since: float = 0.0
    progressed_at: float = 0.0
    paused: bool = False

    @property
    def total(self) -> int:
        """All bytes that it holds."""
        return self.message + self.ahead + self.unread + self.stored


@dataclass(frozen=True, slots=True)
class ConnectionSource:
    """Key of a counter of connections: the kind of client and its address."""

    kind: ClientKind
    address: str


@dataclass(frozen=True, slots=True)
class WaitingClient:
    """A connection on which no request has begun yet."""

    kind: ClientKind
    since: float


@dataclass(frozen=True, slots=True)
class ClosureKey:
    """Key of a tally of closures.

    Attributes
    ----------
    reason : str
        As in `ClosureReason`.
    refused : bool
        Whether the connections were refused at their start.
    """

    kind: ClientKind
    reason: str
    refused: bool


@dataclass(frozen=True, slots=True)
class ClosureTally:
    """Connections closed for one reason since the last log record, and their bytes.

    Attributes
    ----------
    first : int
        Number of the first of these connections.
    """

    first: int
    count: int = 0
    held_bytes: int = 0


@dataclass(frozen=True, slots=True)
class ClientBudget:
    """What the clients of a process hold, and what they may hold.

    Attributes
    ----------
    connections : Map of ClientKind to int
    sources : Map of ConnectionSource to int
        Connections by kind and address of the client.
    waiting : Map of int to WaitingClient
        Connections without a session or request, by number.
    holdings : Map of int to Holding
        Connections that hold more than the threshold, by number.
    held_bytes : int
        Sum over the holdings.
    paused : int
        Number of paused connections.
    closures : Map of ClosureKey to ClosureTally
        Closures that no log record has reported yet.
    """

    limits: ClientLimits = DEFAULT_LIMITS
    connections: Map = field(default_factory=Map)
    sources: Map = field(default_factory=Map)
    waiting: Map = field(default_factory=Map)
    holdings: Map = field(default_factory=Map)
    held_bytes: int = 0
    paused: int = 0
    closures: Map = field(default_factory=Map)


def create_budget(limits: ClientLimits) -> ClientBudget:
    """Return the budget of a process without clients."""
    return ClientBudget(limits)
