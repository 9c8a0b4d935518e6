"""State of control: following, leading, failovers, share ledgers."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from lovagewalk.catalogue import Proposal, Voter
from lovagewalk.groups import InstanceStatus

from ._messages import FollowRequest

# Three fifths of the shortest time in which a withdrawn key has to be dead, 5 s;
# without a sound way to control for so long, keyed requests are refused.
LEASE_S = 3.0
# Clocks of two VMs drift by far less than a tenth in 3 s.
LEASE_MARGIN = 1.1
# A sixth of a lease: five reports may be lost.
FOLLOW_PERIOD_S = 0.5
# Three reports.
FOLLOWER_LOST_S = 1.5
# While no VM has named a leader: two round trips between regions.
LEADERLESS_RETRY_S = 0.1
# Half a lease, so that one report more fits into it.
MAX_PATIENCE_S = 1.5
# An answer takes longer than the last one by less than half, unless a link fails.
PATIENCE_MARGIN = 1.5


@dataclass(frozen=True, slots=True)
class FollowState:
    """How this daemon follows the control leader.

    Attributes
    ----------
    controls : tuple of str
        Control VMs to ask at first, from the settings.
    target : str
        The one asked at present.
    boot : str
        Identity of this run.
    seq, answered_seq : int
        The latest request, and the latest one that anybody answered.
    sent_at : float
        When the latest request was sent, in monotonic seconds.
    asked_req : int
        The latest request whose token the leader was asked for.
    ask_at : float
        No token is asked for before this time, in monotonic seconds.
    answered_at : float
        When a request was last answered by the leader.
    suspects : tuple
        Suspicions as last reported.
    has_started : bool
        Whether shares of all customers have once been held.
    urgent : bool
        Whether the next request must not wait for its period.
    holds_lease : bool
        Whether the lease was held at the last look.
    unanswered : Map of int to float
        When each report was sent that may still be answered, by its number.
    patience_s : float
        How long an answer is waited for before another VM is asked, in seconds.
    batch : Proposal or None
        Access counts that the leader has not yet confirmed.
    batch_sent_at, batch_built_at : float
    """

    controls: tuple[str, ...]
    target: str
    boot: str
    seq: int = 0
    answered_seq: int = 0
    sent_at: float = 0.0
    asked_req: int = 0
    ask_at: float = 0.0
    answered_at: float = 0.0
    suspects: tuple = ()
    has_started: bool = False
    urgent: bool = False
    holds_lease: bool = False
    unanswered: Map = field(default_factory=Map)
    patience_s: float = FOLLOW_PERIOD_S
    batch: Proposal | None = None
    batch_number: int = 0
    batch_sent_at: float = 0.0
    batch_built_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Follower:
    """A daemon as the leader knows it.

    Attributes
    ----------
    revision : int
        What it has, or has been sent.
    request : FollowRequest
        Its latest request.
    """

    name: str
    revision: int
    seen_at: float
    request: FollowRequest


@dataclass(frozen=True, slots=True)
class PendingFollow:
    """A request that waits until a quorum has answered heartbeat `round`."""

    peer: str
    seq: int
    round: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """Who waits for the result of a log entry; `peer` is empty for this VM."""

    peer: str
    number: int


@dataclass(frozen=True, slots=True)
class Holding:
    """A share that a daemon holds, until its lease has surely run out."""

    rate: float
    burst: float
    until: float


@dataclass(frozen=True, slots=True)
class QueuedNeed:
    """A daemon's request that waits for a token of the leader's.

    Attributes
    ----------
    until : float
        When it is given up, in monotonic seconds.
    missing : float
        Part of a token that it still needs.
    priority : int
        Its route's; 0 goes first.
    """

    peer: str
    req: int
    until: float
    missing: float = 1.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Ledger:
    """One customer's limits, as handed out.

    Attributes
    ----------
    holdings : Map of str to Holding
        By daemon and its run, so that a restarted daemon does not take over
        what its predecessor may still have spent.
    demands : Map of str to float
        Demand by daemon, of those that report and do not drain.
    total_demand : float
        Sum of `demands`.
    tokens : float
        Tokens that nobody holds, as of `updated_at`.
    held_rate, held_burst : float
        Sums over `holdings`.
    swept_at : float
        When holdings were last checked for having run out.
    recalled_at : float
        When shares were last asked back.
    queue : tuple of QueuedNeed
        Requests that wait for `tokens`: urgent ones first, then the oldest.
    """

    customer: str
    holdings: Map = field(default_factory=Map)
    demands: Map = field(default_factory=Map)
    total_demand: float = 0.0
    held_rate: float = 0.0
    held_burst: float = 0.0
    swept_at: float = 0.0
    tokens: float = 0.0
    updated_at: float = 0.0
    recalled_at: float = 0.0
    queue: tuple[QueuedNeed, ...] = ()


class Stage(Enum):
    """Stages of a change of primary, in their order."""

    ALLOCATE = "allocate"
    DRAIN = "drain"
    FENCE = "fence"
    PROMOTE = "promote"
    CATCH_UP = "catch up"
    INSTALL = "install"


@dataclass(frozen=True, slots=True)
class Fenced:
    """An instance that has confirmed its fencing."""

    endpoint: str
    status: InstanceStatus


@dataclass(frozen=True, slots=True)
class Failover:
    """A change of a group's term under way.

    Attributes
    ----------
    target : str
        The wanted primary of a planned change; empty for any.
    voters : tuple of Voter
        The voting set to install.
    ousted : str
        The primary that failed; chosen again only if nothing else will do.
    started_at : float
        When this attempt began, in monotonic seconds.
    tickets : tuple of Ticket
        Who waits for the end of a planned change.
    """

    group: str
    term: int
    stage: Stage
    started_at: float
    voters: tuple[Voter, ...]
    target: str = ""
    ousted: str = ""
    fenced: tuple[Fenced, ...] = ()
    chosen: str = ""
    start_index: int = 0
    prior_term: int = 0
    tickets: tuple[Ticket, ...] = ()


class PromotionStage(Enum):
    """Stages of a promotion through the provider, in their order."""

    ALLOCATE = "allocate"
    SURVEY = "survey"
    ORDER = "order"
    INSTALL = "install"


@dataclass(frozen=True, slots=True)
class Promotion:
    """A promotion through the provider under way.

    Attributes
    ----------
    since : float
        When the stage began, in monotonic seconds.
    fence : int
        The fence of this attempt; while it is being allocated, the last one.
    target : str
        The instance that was ordered to lead.
    ordered_at : float
        When the order was last given.
    accepted : bool
        Whether the provider has taken the order.
    term : int
        The term that is being installed.
    """

    group: str
    stage: PromotionStage
    since: float
    fence: int
    target: str = ""
    ordered_at: float = 0.0
    accepted: bool = False
    term: int = 0


@dataclass(frozen=True, slots=True)
class ControlState:
    """What a control VM keeps while it leads.

    Attributes
    ----------
    led_term : int
        The consensus term in which the rest was built up; 0 while not leading.
    ready_at : float
        From then on every share that a former leader granted has run out.
    tickets : Map of int to Ticket
        By log index.
    lost_since : Map of str to float
        When each silent voter was first missed.
    promotions : Map of str to Promotion
        By group, those through the provider.
    past : Map of int to Catalogue
        Earlier catalogues by revision, from which followers are brought up to date.
    resumed : frozenset of str
        Groups whose replicas this leader has told to receive.
    queued : frozenset of str
        Customers with requests that wait for tokens.
    noting : Map of str to str
        By daemon, the run that is being written into the log as a holder.
    dividing : frozenset of str
        Customers that are being written into the log as divided.
    """

    led_term: int = 0
    ready_at: float = 0.0
    followers: Map = field(default_factory=Map)
    pending: tuple[PendingFollow, ...] = ()
    tickets: Map = field(default_factory=Map)
    failovers: Map = field(default_factory=Map)
    ledgers: Map = field(default_factory=Map)
    lost_since: Map = field(default_factory=Map)
    promotions: Map = field(default_factory=Map)
    past: Map = field(default_factory=Map)
    resumed: frozenset[str] = frozenset()
    queued: frozenset[str] = frozenset()
    noting: Map = field(default_factory=Map)
    dividing: frozenset[str] = frozenset()
