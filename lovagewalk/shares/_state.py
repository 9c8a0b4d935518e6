"""A daemon's share of each customer's rate and burst."""

from dataclasses import dataclass, field

from immutables import Map

from lovagewalk.buckets import PartOwner, QueuedNeed


@dataclass(frozen=True, slots=True)
class Share:
    """A token bucket that holds part of a customer's fleet-wide limits.

    Attributes
    ----------
    rate : float
        Tokens gained per second.
    burst : float
        Maximum number of tokens.
    level : float
        Tokens at `updated_at`.
    lease_until : float
        End of the lease, after which nothing is admitted; in monotonic seconds.
    waiting : tuple of int
        Requests that wait for tokens, in the order in which they get them.
    demand : float
        Smoothed arrivals per second.
    arrivals : int
        Arrivals since `demand` was last updated.
    returned : float
        Tokens given up since the last report to the control leader.
    reported_at : float
        When `demand` was last updated, in monotonic seconds.
    on_demand : bool
        Whether the customer's bucket is not divided. The share is then the whole
        bucket or nothing.
    owner : str
        The daemon to request tokens from; empty for the control leader.
    last_asked_req : int
        Number of the latest request for which a token was requested there.
    asked_at : float
        When the owner was last asked without an answer yet, in monotonic seconds; 0
        if it has answered.
    queue : tuple of QueuedNeed
        Needs of all daemons that wait for a token of the bucket owned here.
    other_owner : str
        The owner of another part, asked if `owner` is silent; empty for none.
    silent_owner : str
        The daemon that last failed to answer in time.
    silent_until : float
        Until when `silent_owner` is not used if there is another, in monotonic seconds.
    by_region : bool
        Whether the bucket owned here is lent in parts, one to each region.
    other_parts : tuple of PartOwner
        Owners of the other parts of the bucket owned here, the largest part first.
    forward_sent_at : float
        Since when an answer to a `TokenForward` is expected, in monotonic seconds; 0
        for none.
    forward_answered_at : float
        When such an answer last came, in monotonic seconds.
    former_owner : str
        The daemon that still queues needs of this one, which now asks another; empty
        for none.
    queued_there : frozenset of int
        Requests whose needs `former_owner` queues. They are not requested again, since
        each would get a second token.
    unanswered : Map of int to float
        When a token was last requested for a request whose answer is expected, by its
        number, in monotonic seconds; kept where links are narrow.
    """

    customer: str
    rate: float = 0.0
    burst: float = 0.0
    level: float = 0.0
    updated_at: float = 0.0
    lease_until: float = 0.0
    waiting: tuple[int, ...] = ()
    demand: float = 0.0
    arrivals: int = 0
    returned: float = 0.0
    reported_at: float = 0.0
    on_demand: bool = False
    owner: str = ""
    last_asked_req: int = 0
    asked_at: float = 0.0
    queue: tuple[QueuedNeed, ...] = ()
    other_owner: str = ""
    silent_owner: str = ""
    silent_until: float = 0.0
    by_region: bool = False
    other_parts: tuple[PartOwner, ...] = ()
    forward_sent_at: float = 0.0
    forward_answered_at: float = 0.0
    former_owner: str = ""
    queued_there: frozenset[int] = frozenset()
    unanswered: Map = field(default_factory=Map)

    @property
    def is_whole_bucket(self) -> bool:
        """Whether this daemon owns the customer's bucket, or a part of it."""
        return self.on_demand and self.burst > 0

    def is_silent(self, owner: str, now: float) -> bool:
        """Whether a daemon has failed to answer a short time ago."""
        return owner == self.silent_owner and now < self.silent_until
