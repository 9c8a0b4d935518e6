"""Divides customers' rates and bursts among daemons without exceeding the limits.

A holding counts in full until its daemon reports a smaller one, or until its lease
has expired by the leader's clock too. Only what no holding covers is granted. The
division follows demand, so that shares move to the daemons where statements arrive.
"""

from dataclasses import dataclass

from immutables import Map

from lovagewalk.buckets import PartOwner
from lovagewalk.catalogue import CustomerEntry
from lovagewalk.consensus import (
    ELECTION_TIMEOUT_MIN_S,
    RaftState,
    has_committed_in_term,
    have_earlier_leases_expired,
)
from lovagewalk.core import replace
from lovagewalk.node import NodeState

from ._messages import FollowRequest, ShareGrant, ShareReport
from ._ownership import (
    UNREPORTED_KEY,
    adopt_owners,
    burst_held_by,
    find_owners,
    holding_key,
    is_lent_to,
)
from ._regions import (
    WAITING_DEMAND_PER_S,
    EntryFleet,
    Target,
    compute_parts,
    demand_fraction,
    describe_entry_fleet,
    find_entry_daemons,
    is_lent_by_region,
)
from ._state import (
    FOLLOWER_LOST_S,
    LEASE_MARGIN,
    LEASE_S,
    OWNER_LEASE_S,
    ControlState,
    Follower,
    Holding,
    Ledger,
)

# A share shrinks only if its target is less than this fraction of it, so that a
# difference of less than a twentieth moves nothing.
SHRINK_THRESHOLD = 0.95
# The part of a region shrinks only if its target is less than this fraction of it. At a
# few needs a second, smoothed demand varies by half; each move keeps tokens from both
# regions until the next report. Up to there, needs are forwarded.
PART_SHRINK_THRESHOLD = 0.5
# The time between two removals of expired holdings is short against a lease of 3 s, and
# keeps the cost of a report constant.
SWEEP_PERIOD_S = 0.25
# Sums of floats have rounding errors.
EPSILON = 1e-9
# A burst is divided only if each daemon's part holds at least this many tokens: one
# for the next request, and one to move to another daemon.
MIN_PART_TOKENS = 2.0
# A target has at least this burst, so that a daemon's first request finds a token even
# while there is no leader.
MIN_TARGET_TOKENS = 1.0


@dataclass(frozen=True, slots=True)
class Recall:
    """A request to a daemon to shrink its share."""

    daemon: str
    grant: ShareGrant


@dataclass(frozen=True, slots=True)
class GrantResult:
    """Grants to one daemon, and the control state that records them."""

    control: ControlState
    grants: tuple[ShareGrant, ...]


def record_reports(
    state: NodeState,
    control: ControlState,
    peer: str,
    request: FollowRequest,
    now: float,
) -> Map:
    """Return the ledgers with the holdings and the demand that a daemon reports."""
    ledgers = control.ledgers
    key = holding_key(peer, request)
    is_consecutive = _is_consecutive(control, peer, request)
    for report in request.shares:
        entry = state.catalogue.customer(report.customer)
        if entry is None:
            continue
        ledger = get_ledger(state, control, report.customer, now)
        ledger = refresh_ledger(state, control, ledger, entry, now)
        holding = Holding(report.rate, report.burst, _reported_expiry(ledger, key, now))
        ledger = _reduce_unreported(ledger, key, holding, is_consecutive)
        ledger = _set_holding(ledger, key, holding)
        ledger = _record_demand(ledger, peer, request, report)
        returned = min(report.returned, max(_free_burst(ledger, entry), 0.0))
        ledger = replace(ledger, tokens=ledger.tokens + returned)
        ledgers = ledgers.set(report.customer, ledger)
    return ledgers


def _reported_expiry(ledger: Ledger, key: str, now: float) -> float:
    """Return when the lease of a share that is reported has certainly expired.

    A grant that answers the report extends it.
    """
    previous = ledger.holdings.get(key)
    if previous is None:
        return now + LEASE_S * LEASE_MARGIN
    return max(previous.expires_at, now + OWNER_LEASE_S * LEASE_MARGIN)


def _is_consecutive(control: ControlState, peer: str, request: FollowRequest) -> bool:
    """Whether no report of this run may have reached another leader since the last."""
    follower = control.followers.get(peer)
    return (
        follower is not None
        and follower.request.boot == request.boot
        and follower.request.seq + 1 == request.seq
    )


def _reduce_unreported(
    ledger: Ledger, key: str, holding: Holding, is_consecutive: bool
) -> Ledger:
    """Take what a daemon reports out of what is counted as held by unknown daemons.

    What a daemon gives up between two consecutive reports is free. A reduction behind a
    gap may have been reported to a former leader, which may have granted it to a daemon
    that has not reported yet.
    """
    unreported = ledger.holdings.get(UNREPORTED_KEY)
    previous = ledger.holdings.get(key)
    if unreported is None or (previous is not None and is_consecutive):
        return ledger
    previous = previous or Holding(0.0, 0.0, 0.0)
    unreported = replace(
        unreported,
        rate=max(unreported.rate - holding.rate + previous.rate, 0.0),
        burst=max(unreported.burst - holding.burst + previous.burst, 0.0),
    )
    return _set_holding(ledger, UNREPORTED_KEY, unreported)


def get_ledger(
    state: NodeState, control: ControlState, customer: str, now: float
) -> Ledger:
    """Return a customer's ledger, or a new one if there is none yet.

    A new bucket is empty. It fills from the time at which no former leader can grant
    tokens any more; where daemons may hold shares, which fill too, it fills only from
    now on. Until all of these have reported, the rest of the limits counts as held.
    """
    ledger = control.ledgers.get(customer)
    if ledger is not None:
        return ledger
    raft: RaftState = state.consensus
    filling_since = raft.elected_at
    if raft.may_overlap_earlier_lease:
        filling_since += ELECTION_TIMEOUT_MIN_S
    if customer in state.catalogue.divided:
        filling_since = max(filling_since, now)
    ledger = Ledger(customer, updated_at=filling_since)
    entry = state.catalogue.customer(customer)
    if entry is None or knows_all_holdings(state, control, customer, now):
        return ledger
    unreported = Holding(entry.rate, entry.burst, control.former_shares_expire_at)
    return _set_holding(ledger, UNREPORTED_KEY, unreported)


def _set_holding(ledger: Ledger, key: str, holding: Holding) -> Ledger:
    """Store a holding and update the sums."""
    previous = ledger.holdings.get(key) or Holding(0.0, 0.0, 0.0)
    return replace(
        ledger,
        holdings=ledger.holdings.set(key, holding),
        held_rate=ledger.held_rate + holding.rate - previous.rate,
        held_burst=ledger.held_burst + holding.burst - previous.burst,
    )


def _record_demand(
    ledger: Ledger, peer: str, request: FollowRequest, report: ShareReport
) -> Ledger:
    """Record the demand that a daemon reports; a draining daemon has none."""
    demands = ledger.demands
    previous = demands.get(peer, 0.0)
    demand = report.demand + WAITING_DEMAND_PER_S * report.waiting
    if request.draining:
        demand = 0.0
        demands = demands.delete(peer) if peer in demands else demands
    else:
        demands = demands.set(peer, demand)
    total = ledger.total_demand + demand - previous
    return replace(ledger, demands=demands, total_demand=max(total, 0.0))


def add_queued_demand(ledger: Ledger, peer: str) -> Ledger:
    """Add a queued request to its daemon's demand.

    The daemon's next report replaces the demand.
    """
    demand = ledger.demands.get(peer, 0.0) + WAITING_DEMAND_PER_S
    return replace(
        ledger,
        demands=ledger.demands.set(peer, demand),
        total_demand=ledger.total_demand + WAITING_DEMAND_PER_S,
    )


def refresh_ledger(
    state: NodeState,
    control: ControlState,
    ledger: Ledger,
    entry: CustomerEntry,
    now: float,
) -> Ledger:
    """Refill the free tokens; every `SWEEP_PERIOD_S`, remove expired holdings.

    No token is added for shares that daemons may hold and have not reported yet,
    since those shares fill with the same tokens.
    """
    free_rate = max(_free_rate(ledger, entry), 0.0)
    free_burst = max(_free_burst(ledger, entry), 0.0)
    gained_tokens = max(now - ledger.updated_at, 0.0) * free_rate
    filling_since = ledger.updated_at
    if not may_grant(state, now):
        gained_tokens, filling_since = 0.0, now
    tokens = max(min(ledger.tokens + gained_tokens, free_burst), 0.0)
    ledger = replace(ledger, tokens=tokens, updated_at=max(now, ledger.updated_at))
    if UNREPORTED_KEY in ledger.holdings and knows_all_holdings(
        state, control, ledger.customer, now
    ):
        ledger = _set_holding(ledger, UNREPORTED_KEY, Holding(0.0, 0.0, now))
        return _remove_expired(ledger, entry, now, filling_since)
    if now - ledger.swept_at < SWEEP_PERIOD_S:
        return ledger
    return _remove_expired(ledger, entry, now, filling_since)


def _remove_expired(
    ledger: Ledger, entry: CustomerEntry, now: float, filling_since: float
) -> Ledger:
    """Remove holdings whose lease has expired, and recompute the sums.

    The free tokens fill at an expired holding's rate from the end of its lease on, at
    the earliest from `filling_since`.
    """
    gained_tokens = sum(
        (now - max(holding.expires_at, filling_since)) * holding.rate
        for holding in ledger.holdings.values()
        if holding.expires_at <= now
    )
    valid_holdings = {
        key: holding
        for key, holding in ledger.holdings.items()
        if now < holding.expires_at
    }
    daemons = {key.partition("/")[0] for key in valid_holdings}
    demands = {
        name: demand for name, demand in ledger.demands.items() if name in daemons
    }
    held_burst = sum(holding.burst for holding in valid_holdings.values())
    free_burst = max(entry.burst - held_burst, 0.0)
    return replace(
        ledger,
        holdings=Map(valid_holdings),
        held_rate=sum(holding.rate for holding in valid_holdings.values()),
        held_burst=held_burst,
        tokens=min(ledger.tokens + max(gained_tokens, 0.0), free_burst),
        demands=Map(demands),
        total_demand=sum(demands.values()),
        swept_at=now,
    )


def next_expiry(ledger: Ledger, now: float) -> float:
    """Return when the next holding expires; now if there is none."""
    return min((h.expires_at for h in ledger.holdings.values() if h.burst), default=now)


def _free_rate(ledger: Ledger, entry: CustomerEntry) -> float:
    return entry.rate - ledger.held_rate


def _free_burst(ledger: Ledger, entry: CustomerEntry) -> float:
    return entry.burst - ledger.held_burst


def grant_shares(
    state: NodeState, control: ControlState, peer: str, now: float
) -> GrantResult:
    """Decide the grants to a daemon that has just reported."""
    follower = control.followers[peer]
    request = follower.request
    entry_daemons = count_entry_daemons(state, control, now)
    fleet: EntryFleet | None = None
    ledgers = control.ledgers
    grants: tuple[ShareGrant, ...] = ()
    for report in request.shares:
        entry = state.catalogue.customer(report.customer)
        if entry is None:
            grants += (ShareGrant(report.customer, 0.0, 0.0, 0.0),)
            continue
        ledger = ledgers.get(report.customer)
        if ledger is not None:
            ledger = refresh_ledger(state, control, ledger, entry, now)
        if ledger is None or holding_key(peer, request) not in ledger.holdings:
            # The customer was unknown when the report came, or the holding has
            # expired since; the next report records it again.
            continue
        is_divided = report.customer in state.catalogue.divided
        may_hold = (
            not request.draining
            and may_grant(state, now)
            and is_divided
            and is_recorded_holder(state, peer, request)
        )
        if is_on_demand(entry, entry_daemons):
            fleet = fleet or describe_entry_fleet(control, now)
            by_region = is_lent_by_region(entry, fleet)
            control = adopt_owners(control, ledger, now, by_region=by_region)
            decide = _decide_part_grant if by_region else _decide_bucket_grant
            grant = decide(control, ledger, entry, peer, report, may_hold, now)
        else:
            target = compute_target(ledger, entry, peer)
            # Queued requests take free tokens before a share may grow.
            may_grow = may_hold and not ledger.queue
            grant = _decide_grant(ledger, entry, report, target, may_grow)
        ledger = _record_grant(ledger, follower, grant)
        ledgers = ledgers.set(report.customer, ledger)
        grants += (grant,)
    return GrantResult(replace(control, ledgers=ledgers), grants)


def may_grant(state: NodeState, now: float) -> bool:
    """Whether no former leader can grant anything any more, so that this one may."""
    raft: RaftState = state.consensus
    return has_committed_in_term(raft) and have_earlier_leases_expired(raft, now)


def knows_all_holdings(
    state: NodeState, control: ControlState, customer: str, now: float
) -> bool:
    """Whether every share of a customer that a former leader granted is known."""
    if (
        customer not in state.catalogue.divided
        or now >= control.former_shares_expire_at
    ):
        return True
    return _all_holders_reported(state, control)


def _all_holders_reported(state: NodeState, control: ControlState) -> bool:
    """Whether every daemon that may hold shares has reported what it holds.

    A daemon that has restarted holds nothing of its previous run.
    """
    return all(name in control.followers for name in state.catalogue.holders)


def is_recorded_holder(state: NodeState, peer: str, request: FollowRequest) -> bool:
    """Whether the log records this run as a holder, so that it may get shares."""
    return state.catalogue.holders.get(peer) == request.boot


def compute_target(
    ledger: Ledger,
    entry: CustomerEntry,
    peer: str,
    min_burst: float = MIN_TARGET_TOKENS,
) -> Target:
    """Return the part of a customer's limits that a daemon's demand entitles it to.

    Every daemon keeps a small base share, so that a first request does not wait
    for a transfer.

    Parameters
    ----------
    min_burst : float
        Least burst, in tokens.
    """
    if peer not in ledger.demands:
        return Target(0.0, 0.0)
    total = ledger.total_demand if ledger.total_demand > EPSILON else 0.0
    fraction = demand_fraction(ledger.demands[peer], total, len(ledger.demands))
    return Target(entry.rate * fraction, max(entry.burst * fraction, min_burst))


def is_on_demand(entry: CustomerEntry, entry_daemons: int) -> bool:
    """Whether a customer's burst is too small to be divided between daemons.

    A fraction of a token admits no request. The whole bucket is then lent to one
    daemon, or kept by the leader, which grant tokens one by one on request.
    """
    return entry.burst < entry_daemons * MIN_PART_TOKENS


def count_entry_daemons(state: NodeState, control: ControlState, now: float) -> int:
    """Count the daemons that serve callers and reported within `FOLLOWER_LOST_S`.

    A new leader has not heard from all of them yet; until it can have, their number
    is at least the one that its predecessor stated.
    """
    count = len(find_entry_daemons(control, now))
    raft: RaftState = state.consensus
    if now - raft.elected_at < FOLLOWER_LOST_S:
        count = max(count, state.entry_daemons)
    return count


def _decide_bucket_grant(
    control: ControlState,
    ledger: Ledger,
    entry: CustomerEntry,
    peer: str,
    report: ShareReport,
    may_hold: bool,
    now: float,
) -> ShareGrant:
    """Return the grant of an undivided bucket: the whole to its owner, else nothing.

    Until the log records the owner, it goes on reporting the customer. Needs that are
    queued at the leader are sent on to it.
    """
    name = report.customer
    parts = compute_parts(control, ledger, entry, now, by_region=False)
    if peer not in parts or control.followers[peer].request.draining:
        return ShareGrant(name, 0.0, 0.0, 0.0, on_demand=True)
    grant = _decide_grant(ledger, entry, report, parts[peer], may_hold)
    return replace(grant, on_demand=may_hold or grant.burst > 0, lease_s=OWNER_LEASE_S)


def _decide_part_grant(
    control: ControlState,
    ledger: Ledger,
    entry: CustomerEntry,
    peer: str,
    report: ShareReport,
    may_hold: bool,
    now: float,
) -> ShareGrant:
    """Return the grant of the part of an undivided bucket for one region.

    An owner goes on reporting the customer until it has its part, and once more when
    it has given the part up, so that the tokens are free for the other parts. A part
    has the lease of all shares, which is longer than that of a whole bucket: while
    control is lost, callers are admitted for as long as their keys are accepted, and a
    lost owner leaves the other parts.
    """
    name = report.customer
    is_owner = is_lent_to(control, name, peer)
    if not is_owner or control.followers[peer].request.draining:
        return ShareGrant(name, 0.0, 0.0, 0.0, on_demand=True)
    parts = compute_parts(control, ledger, entry, now, by_region=True)
    target = parts.get(peer, Target(0.0, 0.0))
    # An owner that has far less than its part gets it from the others without delay.
    is_other_short = any(
        burst_held_by(control, ledger, owner, now) < part.burst * PART_SHRINK_THRESHOLD
        for owner, part in parts.items()
        if owner != peer
    )
    threshold = SHRINK_THRESHOLD if is_other_short else PART_SHRINK_THRESHOLD
    grant = _decide_grant(ledger, entry, report, target, may_hold, threshold)
    is_released = target.burst == 0 and report.burst == 0
    others = tuple(
        PartOwner(ownership.owner, ownership.region)
        for ownership in find_owners(control, ledger, now, by_region=True)
        if ownership.owner != peer
    )
    return replace(
        grant,
        on_demand=grant.burst > 0 or is_released,
        by_region=True,
        others=others if grant.burst > 0 else (),
    )


def _decide_grant(
    ledger: Ledger,
    entry: CustomerEntry,
    report: ShareReport,
    target: Target,
    may_grow: bool,
    shrink_threshold: float = SHRINK_THRESHOLD,
) -> ShareGrant:
    """Return the grant that moves a share towards its target.

    Parameters
    ----------
    shrink_threshold : float
        The share shrinks only if its target is less than this fraction of it.
    """
    free_rate = max(_free_rate(ledger, entry), 0.0) if may_grow else 0.0
    free_burst = max(_free_burst(ledger, entry), 0.0) if may_grow else 0.0
    rate = _adjust_amount(report.rate, target.rate, free_rate, shrink_threshold)
    burst = _adjust_amount(report.burst, target.burst, free_burst, shrink_threshold)
    tokens = 0.0
    if may_grow:
        tokens = min(ledger.tokens, max(burst - report.burst, 0.0))
    return ShareGrant(report.customer, rate, burst, tokens)


def _adjust_amount(
    held: float, target: float, free: float, shrink_threshold: float
) -> float:
    """Return an amount moved towards its target, by at most `free` upwards."""
    if target >= held:
        return held + min(target - held, free)
    if target < held * shrink_threshold:
        return target
    return held


def _record_grant(ledger: Ledger, follower: Follower, grant: ShareGrant) -> Ledger:
    """Record a grant as held at once; a reduction counts only once it is reported.

    Its lease starts before the report arrived.
    """
    key = holding_key(follower.name, follower.request)
    holding = ledger.holdings[key]
    lease_s = (grant.lease_s or LEASE_S) * LEASE_MARGIN
    updated = replace(
        holding,
        rate=max(holding.rate, grant.rate),
        burst=max(holding.burst, grant.burst),
        expires_at=max(holding.expires_at, follower.seen_at + lease_s),
    )
    ledger = _set_holding(ledger, key, updated)
    return replace(ledger, tokens=ledger.tokens - grant.tokens)


def recall_shares(
    control: ControlState, ledger: Ledger, entry: CustomerEntry, peer: str
) -> tuple[Recall, ...]:
    """Return recalls for the daemons that hold more than their targets.

    Parameters
    ----------
    peer : str
        The daemon that needs tokens.
    """
    recalls = []
    for name in ledger.demands:
        follower = control.followers.get(name)
        if name == peer or follower is None:
            continue
        target = compute_target(ledger, entry, name, min_burst=0.0)
        holding = ledger.holdings.get(holding_key(name, follower.request))
        if holding is None or holding.burst <= target.burst + EPSILON:
            continue
        grant = ShareGrant(ledger.customer, target.rate, target.burst, 0.0)
        recalls.append(Recall(name, grant))
    return tuple(recalls)
