"""State of control: of a daemon that follows the leader, and of the leader."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from lovagewalk.buckets import QueuedNeed
from lovagewalk.catalogue import Proposal, Voter
from lovagewalk.groups import InstanceStatus

from ._messages import FollowRequest

# A lease lasts for three fifths of the shortest time within which a withdrawn key has
# to be refused, 5 s. A daemon that has no working connection to control for as long as
# a lease refuses requests with a key.
LEASE_S = 3.0
# The leader counts a lease as expired only after this factor of its length: the clocks
# of two VMs drift apart by far less than a tenth in 3 s.
LEASE_MARGIN = 1.1
# A daemon reports six times in a lease, so that five reports in a row may be lost.
FOLLOW_PERIOD_S = 0.5
# A daemon that has not reported for three periods is not counted any more.
FOLLOWER_LOST_S = 1.5
# An owner's lease bounds how long its customers get no tokens after it is lost. It
# outlasts an election, 0.8 s, and the first report to the new leader.
OWNER_LEASE_S = 2.0
# While no VM has named a leader, reports are two round trips between regions apart.
LEADERLESS_RETRY_S = 0.1
# An answer is awaited for half a lease at most, so that one more report fits into the
# lease.
MAX_ANSWER_TIMEOUT_S = 1.5
# A VM that is not known to lead answers within several round trips between regions.
# Among unresponsive VMs, the leader is found before the lease expires.
PROBE_TIMEOUT_S = 0.25
# Unless a link fails, an answer takes less than 1.5 times as long as the last one.
ANSWER_TIMEOUT_MARGIN = 1.5


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A request for the latest catalogue that waits for the leader.

    Attributes
    ----------
    requested_at : float
        When it arrived, in monotonic seconds.
    min_revision : int or None
        Revision that the answer must include; None until the leader has stated it.
    with_document : bool
        Whether the answer must include the configuration as the operator sent it.
    """

    ticket: int
    requested_at: float
    with_document: bool = False
    min_revision: int | None = None


@dataclass(frozen=True, slots=True)
class FollowState:
    """A daemon's state as a follower of the control leader.

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
    next_ask_at : float
        No token is requested before this time, in monotonic seconds.
    answered_at : float
        When the leader last answered a report, in monotonic seconds.
    suspects : tuple of SuspectReport
        Suspected primaries as last reported.
    has_held_shares : bool
        Whether shares of all customers have been held at least once.
    is_report_urgent : bool
        Whether the next report is sent without waiting for its period.
    holds_lease : bool
        Whether the lease was held at the last tick.
    unanswered : Map of int to float
        Send times of the reports that may still be answered, by number.
    answer_timeout_s : float
        Time to wait for the leader's answer before another VM is contacted, in seconds.
    known_leader : str
        The control VM that last answered as the leader or was named as such; empty
        since it has missed an answer.
    reads : tuple of PendingRead
        Requests for the latest catalogue, by their arrival.
    owners_revision : int
        Revision of the owners of buckets that the leader last named; 0 for none.
    access_batch : Proposal or None
        Access counts that the leader has not yet confirmed.
    access_batch_number : int
        Number of the latest batch of this run.
    access_batch_sent_at, access_batch_built_at : float
        When that batch was last sent, and when it was built, in monotonic seconds.
    """

    seeds: tuple[str, ...]
    target: str
    boot: str
    seq: int = 0
    answered_seq: int = 0
    sent_at: float = 0.0
    next_ask_at: float = 0.0
    answered_at: float = 0.0
    suspects: tuple = ()
    has_held_shares: bool = False
    is_report_urgent: bool = False
    holds_lease: bool = False
    unanswered: Map = field(default_factory=Map)
    answer_timeout_s: float = FOLLOW_PERIOD_S
    known_leader: str = ""
    reads: tuple[PendingRead, ...] = ()
    owners_revision: int = 0
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
    seen_at : float
        When its latest report or suspicion arrived, in monotonic seconds.
    request : FollowRequest
        Its latest report.
    """

    name: str
    revision: int
    seen_at: float
    request: FollowRequest


@dataclass(frozen=True, slots=True)
class PendingReply:
    """A reply that waits until a quorum has answered heartbeat `round`."""

    peer: str
    seq: int
    round: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """The proposer that waits for the result of a log entry.

    Attributes
    ----------
    peer : str
        The daemon that forwarded the proposal; empty if it was made at this one.
    number : int
        Number by which that daemon identifies the proposal.
    """

    peer: str
    number: int


@dataclass(frozen=True, slots=True)
class Holding:
    """A share that a daemon holds, as the leader counts it.

    Attributes
    ----------
    expires_at : float
        When the daemon's lease has certainly expired, by the leader's clock.
    """

    rate: float
    burst: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class Ownership:
    """The daemon that a customer's bucket, or a part, is lent to, or is to be lent to.

    Attributes
    ----------
    offered_at : float
        When the bucket was last offered to it, in monotonic seconds.
    region : str
        The owner's region.
    """

    owner: str
    offered_at: float
    region: str = ""


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
    """Stages of a change of term, in their order.

    Only a change with a requested primary goes through `DRAIN`, and only a change of
    voters through `CATCH_UP`.
    """

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
        The instance to promote; empty if any voter may be promoted.
    requested_primary : str
        The primary that an operator has requested; empty for none.
    voters : tuple of Voter
        The voting set to install.
    failed_primary : str
        The primary that failed; promoted again only if the fence quorum needs it.
    fenced : tuple of FencedInstance
        Instances that have confirmed their fencing for `term`.
    new_primary : str
        The instance whose promotion was ordered.
    start_index, prior_term : int
        Log index at which the new term starts, and the term of the entry there.
        While the old primary is drained, `start_index` is the end of its log.
    started_at : float
        When this attempt began, in monotonic seconds.
    tickets : tuple of Ticket
        Proposers that wait for the result of a planned change.
    """

    group: str
    term: int
    stage: FailoverStage
    started_at: float
    voters: tuple[Voter, ...]
    target: str = ""
    requested_primary: str = ""
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
        The instance whose promotion was ordered; during the survey, the one that is not
        paused.
    ordered_at : float
        When the order was last sent, in monotonic seconds.
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
class OwnerList:
    """The owners of buckets that the leader names to daemons.

    Attributes
    ----------
    revision : int
        Number of changes so far.
    listed_at : float
        When it was last brought up to date, in monotonic seconds.
    owners : Map of str to tuple of PartOwner
        The owners of each customer's bucket.
    revisions : Map of str to int
        Revision of the latest change of each customer's owners.
    """

    revision: int = 0
    listed_at: float = 0.0
    owners: Map = field(default_factory=Map)
    revisions: Map = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class ControlState:
    """State of a control VM while it is the leader.

    Attributes
    ----------
    led_term : int
        The consensus term that the other fields belong to; 0 while not the leader.
    former_shares_expire_at : float
        When every share that a former leader granted has certainly expired.
    is_caught_up : bool
        Whether an entry of the led term has been applied, and so all earlier ones.
    tickets : Map of int to Ticket
        Proposers that wait for the result of a log entry, by its index.
    unresponsive_since : Map of str to float
        When each unresponsive voter was first found so, by "group/voter".
    promotions : Map of str to Promotion
        Promotions through the provider, by group.
    past_catalogues : Map of int to Catalogue
        Earlier catalogues by revision, to compute the followers' deltas from.
    unanswered_resumes : Map of str to tuple of float
        When orders to resume that are not answered were sent, by replica.
    queued_customers : frozenset of str
        Customers with requests in the queues of their ledgers.
    proposed_holders : Map of str to str
        Runs that are proposed to the log as holders of shares, by daemon.
    proposed_divided : frozenset of str
        Customers that are proposed to the log as divided among daemons.
    recent_orders : tuple of float
        Times of the last orders to the provider, in monotonic seconds.
    owners : Map of str to tuple of Ownership
        Owners of undivided buckets, by customer: one, or one for each region.
    owner_list : OwnerList
        Those of them that hold a bucket, as they are named to daemons.
    """

    led_term: int = 0
    former_shares_expire_at: float = 0.0
    is_caught_up: bool = False
    followers: Map = field(default_factory=Map)
    pending_replies: tuple[PendingReply, ...] = ()
    tickets: Map = field(default_factory=Map)
    failovers: Map = field(default_factory=Map)
    ledgers: Map = field(default_factory=Map)
    unresponsive_since: Map = field(default_factory=Map)
    promotions: Map = field(default_factory=Map)
    past_catalogues: Map = field(default_factory=Map)
    unanswered_resumes: Map = field(default_factory=Map)
    queued_customers: frozenset[str] = frozenset()
    proposed_holders: Map = field(default_factory=Map)
    proposed_divided: frozenset[str] = frozenset()
    owners: Map = field(default_factory=Map)
    recent_orders: tuple[float, ...] = ()
    owner_list: OwnerList = OwnerList()
