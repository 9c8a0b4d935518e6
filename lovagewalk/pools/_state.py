"""Pools of scarce connections, and the fair queue in front of each."""

from dataclasses import dataclass, field

from immutables import Map


@dataclass(frozen=True, slots=True)
class PoolConnection:
    """A connection to an endpoint.

    Attributes
    ----------
    conn : int
        Its number on this daemon.
    incarnation : str
        The data that the endpoint had when the connection was opened.
    held_since : float
        When it was last handed out, in monotonic seconds.
    held : bool
        Whether it is handed out.
    customer : str
        Who holds it; empty also for callers without a customer.
    owner : str
        The customer that it was opened for; empty if it may serve anybody.
    values : Map of str to str
        Session values set on it.
    prepared : Map of str to PreparedShape
        Statements prepared on it.
    """

    conn: int
    endpoint: str
    incarnation: str = ""
    held_since: float = 0.0
    held: bool = False
    customer: str = ""
    owner: str = ""
    values: Map = field(default_factory=Map)
    prepared: Map = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class CustomerQueue:
    """One customer's place in a pool.

    Attributes
    ----------
    reqs : tuple of int
        Waiting requests, in the order in which they are to run.
    virtual_time : float
        Weighted connection seconds used so far.
    held : int
        Connections the customer holds now.
    """

    customer: str
    reqs: tuple[int, ...] = ()
    virtual_time: float = 0.0
    held: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """All connections of this daemon to one endpoint.

    Attributes
    ----------
    limit : int
        Most connections this daemon may hold.
    opening : int
        Connections being opened.
    virtual_time : float
        Virtual time of the last dispatch; newly active customers start here.
    retry_at : float
        No new connection is opened before this time, in monotonic seconds.
    dedicated : bool
        Whether each connection is opened for one customer and serves no other.
    opening_for : Map of int to str
        In a dedicated pool, the customer of each connection being opened.
    shunned_until : float
        Until then other endpoints are preferred, in monotonic seconds.
    heard_at : float
        When the endpoint last answered anything.
    latency_s : float
        Smoothed time that the endpoint takes for a read, in seconds; 0 if no
        read has been timed.
    timed_at : float
        When a read was last timed.
    fair_limit : int
        This daemon's even part of the endpoint's connections. More may be held,
        as long as the endpoint takes them and they are in use.
    narrowed_until : float
        Until then `limit` is narrowed, since the endpoint had too many.
    strikes : int
        Statements in a row that the endpoint refused, since it was full; each one
        that it runs takes one off.
    struck_at : float
        When it last refused one.
    paced_until : float
        While it is full, nothing is sent to it before this time.
    crowded : bool
        Whether the refusals were more than a burst; until it runs as many.
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
    shunned_until: float = 0.0
    heard_at: float = 0.0
    latency_s: float = 0.0
    timed_at: float = 0.0
    fair_limit: int = 0
    narrowed_until: float = 0.0
    strikes: int = 0
    struck_at: float = 0.0
    paced_until: float = 0.0
    crowded: bool = False

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
        """Requests running or waiting, per connection allowed."""
        return self.busy / max(self.limit, 1)
