"""The whole state of one daemon.

All packages share this state, so that a reducer reads what another one stored and
needs no messages to it.
"""

import math
from dataclasses import dataclass, field

from immutables import Map

from lovagewalk.catalogue import Catalogue
from lovagewalk.clients import ClientBudget

# A link of at most this bandwidth, in Mbit/s, is narrow. Links of VMs have 2 to 5.3 or
# 1,000 Mbit/s.
NARROW_LINK_MBPS = 100.0


def is_narrow_link(bandwidth_mbps: float) -> bool:
    """Whether a link of this bandwidth is narrow; 0 states no bandwidth."""
    return 0 < bandwidth_mbps <= NARROW_LINK_MBPS


@dataclass(frozen=True, slots=True)
class DrainLimits:
    """Limits of a graceful stop, in seconds since it began.

    Attributes
    ----------
    operations_s : float
        Until then, callers may begin operations; 0 to refuse them at once.
    transactions_s : float
        Until then, callers may continue open transactions, which are rolled back
        afterwards.
    answers_s : float
        By then, every request has been answered.
    """

    operations_s: float = 0.0
    transactions_s: float = math.inf
    answers_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a daemon and other values from its settings.

    Attributes
    ----------
    fleet_secret : bytes
        Key for signing session tokens, shared by all daemons of the fleet.
    fleet_size : int
        Number of entry daemons that share an endpoint's connections.
    control : bool
        Whether it is a control VM.
    entry : bool
        Whether it serves callers.
    may_own : bool
        Whether other daemons can open links to it, so that it may own buckets.
    low_bandwidth : bool
        Whether its network link is narrow, so that buckets are lent by region and
        queues for tokens are short.
    drain_limits : DrainLimits
        How long callers may continue while it drains.
    paces_endpoints : bool
        Whether it sends to endpoints at a pace that their answers determine.
    zones : frozenset of str
        Availability zones that its settings name.
    """

    name: str
    zone: str
    region: str
    fleet_secret: bytes = field(repr=False)
    fleet_size: int = 1
    control: bool = False
    entry: bool = True
    drain_limits: DrainLimits = DrainLimits()
    may_own: bool = False
    paces_endpoints: bool = False
    zones: frozenset[str] = frozenset()
    low_bandwidth: bool = False


@dataclass(frozen=True, slots=True)
class AccessKey:
    """Key of a counter of answered statements."""

    customer: str
    code: str


@dataclass(frozen=True, slots=True)
class NodeState:
    """State of one daemon.

    Attributes
    ----------
    fresh_until : float
        The catalogue is guaranteed to be the latest until then, in monotonic
        seconds; keyed routes are refused afterwards.
    sessions : Map of int to Session
    requests : Map of int to Request
    groups : Map of str to GroupView
    pools : Map of str to Pool
    shares : Map of str to Share
    early_callers : Map of int to CallerConnected
        Callers that came before the first lease since this daemon started.
    await_lease_until : float
        When these callers are refused, in monotonic seconds; 0 before the first one.
    conn_endpoints : Map of int to str
        Endpoint of each pool connection, open or opening.
    leaving_since : Map of str to float
        Since when this daemon knows that an endpoint leaves, in monotonic seconds.
    confirmed_at : float
        When a report was sent whose answer confirmed that the catalogue was the latest,
        in monotonic seconds.
    evacuated_since : Map of str to float
        Since when each evacuated zone may have been evacuated, in monotonic seconds.
    access_counts : Map of AccessKey to int
        Statements answered since the last audit report.
    entry_daemons : int
        Number of daemons that share endpoints' connections, as reported by the
        control leader; 0 before its first report.
    retry_credits : Map of str to float
        Retries still allowed to each customer; without an entry, the maximum.
    log_catalogue : Catalogue or None
        The catalogue of this control VM's log, as long as it is older than `catalogue`,
        which came from the leader meanwhile; None otherwise.
    draining_since : float
        When draining began, in monotonic seconds.
    client_budget : ClientBudget
        What this process's clients hold, and may hold.
    consensus, control, follow
        `RaftState`, `ControlState` and `FollowState`, set by the control package;
        None where a daemon has no such role.
    """

    identity: Identity
    catalogue: Catalogue = field(default_factory=Catalogue)
    log_catalogue: Catalogue | None = None
    fresh_until: float = 0.0
    sessions: Map = field(default_factory=Map)
    requests: Map = field(default_factory=Map)
    groups: Map = field(default_factory=Map)
    pools: Map = field(default_factory=Map)
    shares: Map = field(default_factory=Map)
    early_callers: Map = field(default_factory=Map)
    await_lease_until: float = 0.0
    conn_endpoints: Map = field(default_factory=Map)
    leaving_since: Map = field(default_factory=Map)
    confirmed_at: float = -math.inf
    evacuated_since: Map = field(default_factory=Map)
    access_counts: Map = field(default_factory=Map)
    retry_credits: Map = field(default_factory=Map)
    entry_daemons: int = 0
    next_conn: int = 1
    draining: bool = False
    draining_since: float = 0.0
    client_budget: ClientBudget = ClientBudget()
    consensus: object = None
    control: object = None
    follow: object = None
