"""State of control: following, leading, failovers, share ledgers."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from lovagewalk.catalogue import Proposal, Voter
from lovagewalk.groups import InstanceStatus

from ._messages import FollowRequest

# Three fifths of the shortest time within which a withdrawn key has to be refused,
# 5 s. A daemon that has no working connection to control for as long as a lease
# refuses requests with a key.
LEASE_S = 3.0
# Clocks of two VMs drift by far less than a tenth in 3 s.
LEASE_MARGIN = 1.1
# A sixth of a lease: five reports in a row may be lost.
FOLLOW_PERIOD_S = 0.5
# Three periods of reports.
FOLLOWER_LOST_S = 1.5
# Between reports while no VM has named a leader: two round trips between regions.
LEADERLESS_RETRY_S = 0.1
# Half a lease, so that one more report fits into it.
MAX_ANSWER_TIMEOUT_S = 1.5
# Unless a link fails, an answer takes less than 1.5 times as long as the last one.
ANSWER_TIMEOUT_MARGIN = 1.5


@dataclass(frozen=True, slots=True)
class FollowState:
    """How this daemon follows the control leader.

    Attributes
    ----------
    seeds : tuple of str
        Control VMs to contact first, from the settings.
    target : str
        The control VM that reports are sent to at present.
    boot : str
        Identity of this run of the process.
    seq, answered_seq : int
        Number of the latest report, and of the latest one that any VM answered.
    sent_at : float
        When the latest report was sent, in monotonic seconds.
    last_asked_req : int
        Number of the latest request for which a token was requested from the leader.
    next_ask_at : float
        No token is requested before this time, in monotonic seconds.
    answered_at : float
        When a report was last answered by the leader.
    suspects : tuple
        Suspected primaries as last reported.
    has_held_shares : bool
        Whether shares of all customers have been held at least once.
    is_report_urgent : bool
        Whether the next report is sent without waiting for its period.
    holds_lease : bool
        Whether the lease was held at the last tick.
    unanswered : Map of int to float
        When each report was sent that may still be answered, by its number.
    answer_timeout_s : float
        How long an answer is waited for before another VM is contacted, in seconds.
    access_batch : Proposal or None
        Access counts that the leader has not yet confirmed.
    access_batch_number : int
        Number of the latest batch of this run.
    access_batch_sent_at, access_batch_built_at : float
        When the batch was last sent and when it was built, in monotonic seconds.
    """

    seeds: tuple[str, ...]
    target: str
    boot: str
    seq: int = 0
    answered_seq: int = 0
    sent_at: float = 0.0
    last_asked_req: int = 0
    next_ask_at: float = 0.0
    answered_at: float = 0.0
    suspects: tuple = ()
    has_held_shares: bool = False
    is_report_urgent: bool = False
    holds_lease: bool = False
    unanswered: Map = field(default_factory=Map)
    answer_timeout_s: float = FOLLOW_PERIOD_S
    access_batch: Proposal | None = None
    access_batch_number: int = 0
    access_batch_sent_at: float = 0.0
    access_batch_built_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Follower:
    """The leader's record of a daemon that reports to it.

    Attributes
    ----------
    revision : int
        Catalogue revision that it has, or has been sent.
    request : FollowRequest
        Its latest report.
    """

    name: str
    revision: int
    seen_at: float
    request: FollowRequest


@dataclass(frozen=True, slots=True)
class PendingReply:
    """A report whose reply waits until a quorum has answered heartbeat `round`."""

    peer: str
    seq: int
    round: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """The VM that waits for the result of a log entry; `peer` is empty for this one."""

    peer: str
    number: int


@dataclass(frozen=True, slots=True)
class Holding:
    """A share that a daemon holds until its lease has certainly expired."""

    rate: float
    burst: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class QueuedNeed:
    """A daemon's request for a token, in the queue of the leader.

    Attributes
    ----------
    deadline : float
        Its deadline, in monotonic seconds.
    missing : float
        Part of a token that it still needs.
    priority : int
        Priority of its route; 0 is served first.
    """

    peer: str
    req: int
    deadline: float
    missing: float = 1.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Ledger:
    """One customer's limits, as divided among the daemons.

    Attributes
    ----------
    holdings : Map of str to Holding
        Shares by daemon and its run, so that a restarted daemon does not take over
        what its previous run may have spent.
    demands : Map of str to float
        Demand by daemon, of those that report and do not drain.
    total_demand : float
        Sum of `demands`.
    tokens : float
        Tokens that no daemon holds, as of `updated_at`.
    held_rate, held_burst : float
        Sums over `holdings`.
    swept_at : float
        When expired holdings were last removed.
    recalled_at : float
        When shares were last recalled.
    queue : tuple of QueuedNeed
        Requests that wait for `tokens`, by priority and then by arrival.
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


class FailoverStage(Enum):
    """Stages of a change of primary, in their order."""

    ALLOCATE = "allocate"
    DRAIN = "drain"
    FENCE = "fence"
    PROMOTE = "promote"
    CATCH_UP = "catch up"
    INSTALL = "install"


@dataclass(frozen=True, slots=True)
class FencedInstance:
    """An instance that has confirmed its fencing."""

    endpoint: str
    status: InstanceStatus


@dataclass(frozen=True, slots=True)
class Failover:
    """A change of a group's term in progress.

    Attributes
    ----------
    target : str
        The requested primary of a planned change; empty if any voter may be promoted.
    voters : tuple of Voter
        The voting set to install.
    failed_primary : str
        The primary that failed; promoted again only if the fence quorum needs it.
    started_at : float
        When this attempt began, in monotonic seconds.
    tickets : tuple of Ticket
        Those that wait for the result of a planned change.
    """

    group: str
    term: int
    stage: FailoverStage
    started_at: float
    voters: tuple[Voter, ...]
    target: str = ""
    failed_primary: str = ""
    fenced: tuple[FencedInstance, ...] = ()
    new_primary: str = ""
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
    """A promotion through the provider in progress.

    Attributes
    ----------
    stage_started_at : float
        When the stage began, in monotonic seconds.
    fence : int
        The fence of this attempt; while it is being allocated, the last one.
    target : str
        The instance whose promotion was ordered.
    ordered_at : float
        When the order was last given.
    accepted : bool
        Whether the provider has accepted the order.
    term : int
        The term that is being installed.
    """

    group: str
    stage: PromotionStage
    stage_started_at: float
    fence: int
    target: str = ""
    ordered_at: float = 0.0
    accepted: bool = False
    term: int = 0


@dataclass(frozen=True, slots=True)
class ControlState:
    """State of a control VM while it is the leader.

    Attributes
    ----------
    led_term : int
        The consensus term that the other fields belong to; 0 while not the leader.
    former_shares_expire_at : float
        When every share that a former leader granted has expired.
    tickets : Map of int to Ticket
        Those that wait for the result of a log entry, by its index.
    unresponsive_since : Map of str to float
        When each silent voter was first found silent, by "group/voter".
    promotions : Map of str to Promotion
        Promotions through the provider, by group.
    past_catalogues : Map of int to Catalogue
        Earlier catalogues by revision, to compute the followers' deltas from.
    resumed_groups : frozenset of str
        Groups whose replicas this leader has ordered to receive again.
    queued_customers : frozenset of str
        Customers with requests that wait for tokens.
    proposed_holders : Map of str to str
        Runs of daemons that are being recorded in the log as holders, by daemon.
    proposed_divided : frozenset of str
        Customers that are being recorded in the log as divided among daemons.
    """

    led_term: int = 0
    former_shares_expire_at: float = 0.0
    followers: Map = field(default_factory=Map)
    pending_replies: tuple[PendingReply, ...] = ()
    tickets: Map = field(default_factory=Map)
    failovers: Map = field(default_factory=Map)
    ledgers: Map = field(default_factory=Map)
    unresponsive_since: Map = field(default_factory=Map)
    promotions: Map = field(default_factory=Map)
    past_catalogues: Map = field(default_factory=Map)
    resumed_groups: frozenset[str] = frozenset()
    queued_customers: frozenset[str] = frozenset()
    proposed_holders: Map = field(default_factory=Map)
    proposed_divided: frozenset[str] = frozenset()
