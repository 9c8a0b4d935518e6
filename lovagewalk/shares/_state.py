"""A daemon's share of each customer's rate and burst."""

from dataclasses import dataclass

from lovagewalk.buckets import QueuedNeed


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

    @property
    def is_whole_bucket(self) -> bool:
        """Whether this daemon owns the customer's bucket."""
        return self.on_demand and self.burst > 0
