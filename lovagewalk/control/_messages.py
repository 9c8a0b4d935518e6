"""Messages between daemons about the catalogue, shares and primaries."""

from dataclasses import dataclass

from lovagewalk.buckets import BucketOwner, PartOwner
from lovagewalk.catalogue import CatalogueDelta, ChangeResult, Proposal
from lovagewalk.groups import Position


@dataclass(frozen=True, slots=True)
class ShareReport:
    """What a daemon holds of a customer's limits, and what it needs.

    Attributes
    ----------
    rate, burst : float
        The share that it holds, after any reduction.
    returned : float
        Tokens returned since the last report.
    demand : float
        Smoothed arrivals per second.
    waiting : int
        Requests that wait for tokens.
    """

    customer: str
    rate: float
    burst: float
    returned: float
    demand: float
    waiting: int


@dataclass(frozen=True, slots=True)
class ShareGrant:
    """The share that a daemon is granted, or has to shrink to.

    Attributes
    ----------
    rate, burst : float
        The new share as a whole.
    tokens : float
        Tokens to add to the level of its bucket.
    on_demand : bool
        Whether the bucket is not divided: the daemon either owns the whole, or gets
        no share and requests each token.
    lease_s : float
        Length of the lease, counted from when the answered report was sent, in
        seconds; 0 for that of all other shares.
    by_region : bool
        Whether the share is the part of an undivided bucket for one region.
    others : tuple of PartOwner
        Owners of the other parts, the largest part first.
    """

    customer: str
    rate: float
    burst: float
    tokens: float
    on_demand: bool = False
    lease_s: float = 0.0
    by_region: bool = False
    others: tuple[PartOwner, ...] = ()


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """A primary that a daemon considers failed."""

    group: str
    term: int


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """A daemon's regular report, which renews its leases.

    It names every share that the daemon holds.

    Attributes
    ----------
    boot : str
        Identity of this run of the daemon.
    seq : int
        Number of the request in this run; only the answer to the latest one changes
        shares.
    revision : int
        The catalogue revision that the daemon has in force.
    draining : bool
        Whether it accepts no operations any more and returns its shares.
    entry : bool
        Whether it serves callers, and so gets a part of rates and connections.
    observes : bool
        Whether it watches primaries itself.
    has_log : bool
        Whether it takes the catalogue from its own consensus log.
    region : str
        Its region.
    may_own : bool
        Whether other daemons can reach it, so that it may own buckets.
    low_bandwidth : bool
        Whether its network link is narrow.
    owners_revision : int
        Revision of the owners of buckets that it was last told; 0 for none.
    """

    boot: str
    seq: int
    revision: int
    draining: bool
    suspects: tuple[SuspectReport, ...]
    shares: tuple[ShareReport, ...]
    entry: bool = True
    observes: bool = True
    has_log: bool = False
    region: str = ""
    may_own: bool = False
    low_bandwidth: bool = False
    owners_revision: int = 0


@dataclass(frozen=True, slots=True)
class SuspectNotice:
    """A daemon's changed suspicions, sent at once between two reports."""

    suspects: tuple[SuspectReport, ...]


@dataclass(frozen=True, slots=True)
class GroupSample:
    """Log position of a group's primary a known time ago.

    Attributes
    ----------
    age_s : float
        Time since the primary was polled, in seconds, when this was sent.
    """

    group: str
    term: int
    position: Position
    age_s: float


@dataclass(frozen=True, slots=True)
class FollowReply:
    """The answer to a `FollowRequest`.

    Attributes
    ----------
    leader : str
        Control VM to report to instead; empty if unknown.
    is_latest : bool
        Whether a quorum has confirmed, after the request came, that `revision`
        is the latest; only then are leases renewed.
    delta : CatalogueDelta or None
        What the daemon lacks of the catalogue; None if it lacks nothing, or has a
        consensus log of its own.
    entry_daemons : int
        Daemons that serve callers at present.
    samples : tuple of GroupSample
        The latest position of each primary that a provider promotes.
    owners : tuple of BucketOwner
        Owners of buckets that have changed since those that the daemon knows.
    owners_revision : int
        Revision of the owners with these changes.
    """

    seq: int
    leader: str
    is_latest: bool
    revision: int
    delta: CatalogueDelta | None
    grants: tuple[ShareGrant, ...]
    entry_daemons: int = 0
    samples: tuple[GroupSample, ...] = ()
    owners: tuple[BucketOwner, ...] = ()
    owners_revision: int = 0


@dataclass(frozen=True, slots=True)
class CatalogueUpdate:
    """A change pushed to a follower as soon as it is committed."""

    delta: CatalogueDelta


@dataclass(frozen=True, slots=True)
class ShareRecall:
    """Requests that a daemon shrink a share, since another daemon needs it."""

    grant: ShareGrant


@dataclass(frozen=True, slots=True)
class ForwardProposal:
    """Forwards a proposal to the leader on behalf of a daemon."""

    ticket: int
    proposal: Proposal


@dataclass(frozen=True, slots=True)
class ProposalResult:
    """The answer to a `ForwardProposal`; no result if the sender does not lead."""

    ticket: int
    result: ChangeResult | None
    leader: str
