"""State of the connection pools and of the fair queue of each."""

from dataclasses import dataclass, field

from immutables import Map

from lovagewalk.pace import Pace


@dataclass(frozen=True, slots=True)
class PoolConnection:
    """A connection to an endpoint.

    Attributes
    ----------
    conn : int
        Its number on this daemon.
    incarnation : str
        Identity of the endpoint's data when the connection was opened.
    assigned_at : float
        When it was last assigned to a request, in monotonic seconds.
    in_use : bool
        Whether a request or a transaction uses it.
    customer : str
        Customer that uses it; empty if none does or its caller has no customer.
    owner : str
        The customer that it was opened for; empty if it may serve any customer.
    variables : Map of str to str
        Session variables set on it.
    prepared : Map of str to int
        Bytes of each statement prepared on it, by the name of its shape.
    """

    conn: int
    endpoint: str
    incarnation: str = ""
    assigned_at: float = 0.0
    in_use: bool = False
    customer: str = ""
    owner: str = ""
    variables: Map = field(default_factory=Map)
    prepared: Map = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class CustomerQueue:
    """One customer's requests in a pool.

    Attributes
    ----------
    reqs : tuple of int
        Waiting requests, in the order in which they will run.
    virtual_time : float
        Weighted connection seconds used so far.
    in_use_count : int
        Connections in use by the customer.
    """

    customer: str
    reqs: tuple[int, ...] = ()
    virtual_time: float = 0.0
    in_use_count: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """All connections of this daemon to one endpoint.

    Attributes
    ----------
    limit : int
        Maximum number of connections of this daemon.
    opening : int
        Connections being opened.
    queues : Map of str to CustomerQueue
    waiting : int
        Requests in all queues.
    virtual_time : float
        Virtual time of the last dispatch; newly active customers start here.
    retry_at : float
        No new connection is opened before this time, in monotonic seconds.
    dedicated : bool
        Whether each connection is opened for one customer and serves no other.
    opening_for : Map of int to str
        In a dedicated pool, the customer of each connection being opened.
    ejected_until : float
        The endpoint is ejected until then, and others are preferred; in monotonic
        seconds.
    answered_at : float
        When the endpoint last sent any answer.
    latency_s : float
        Smoothed duration of a read at the endpoint, in seconds; 0 if no read
        has been measured.
    latency_measured_at : float
        When a read was last measured.
    fair_limit : int
        This daemon's equal part of the endpoint's connections. The pool may hold
        more while the endpoint accepts them and they are in use.
    limit_lowered_until : float
        `limit` is lowered until then, since the endpoint had too many connections.
    refusals : int
        Consecutive refusals for lack of a free slot; each statement that the
        endpoint runs lowers it by one.
    refused_at : float
        When the endpoint last refused a statement.
    backoff_until : float
        After recent refusals, nothing is sent to the endpoint before this time.
    saturated : bool
        Whether the refusals were more than a burst; reset once `refusals` is 0.
    settling : Map of int to float
        Connections whose request has ended while its endpoint still owes an answer, and
        since when, in monotonic seconds. They stay in use until all is answered.
    pace : Pace or None
        Pace of sends, determined from the answers; None where a fixed backoff applies.
    """

    endpoint: str
    limit: int
    idle: tuple[int, ...] = ()
    connections: Map = field(default_factory=Map)
    opening: int = 0
    queues: Map = field(default_factory=Map)
    waiting: int = 0
    virtual_time: float = 0.0
    retry_at: float = 0.0
    dedicated: bool = False
    opening_for: Map = field(default_factory=Map)
    ejected_until: float = 0.0
    answered_at: float = 0.0
    latency_s: float = 0.0
    latency_measured_at: float = 0.0
    fair_limit: int = 0
    limit_lowered_until: float = 0.0
    refusals: int = 0
    refused_at: float = 0.0
    backoff_until: float = 0.0
    saturated: bool = False
    settling: Map = field(default_factory=Map)
    pace: Pace | None = None

    @property
    def busy(self) -> int:
        """Requests running or waiting."""
        return len(self.connections) - len(self.idle) + self.waiting

    @property
    def size(self) -> int:
        """Connections open or being opened."""
        return len(self.connections) + self.opening

    @property
    def load(self) -> float:
        """Requests running or waiting, divided by the connection limit."""
        return self.busy / max(self.limit, 1)
