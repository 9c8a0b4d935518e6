"""Divides customers' rates and bursts so that the sum never exceeds the limit.

A holding counts in full until its daemon reports a smaller one, or its lease has
expired by the leader's clock too. Only the rest is granted. The division follows
demand, so that shares move to the daemons where statements arrive.
"""

from dataclasses import dataclass

from immutables import Map

from lovagewalk.catalogue import CustomerEntry
from lovagewalk.consensus import ELECTION_MIN_S, RaftState, is_former_leader_over
from lovagewalk.core import replace
from lovagewalk.node import NodeState

from ._messages import FollowRequest, ShareGrant, ShareReport
from ._state import (
    FOLLOWER_LOST_S,
    LEASE_MARGIN,
    LEASE_S,
    ControlState,
    Holding,
    Ledger,
)

# Part of a rate that is divided evenly, so that first requests find a token.
BASE_SHARE = 0.2
# A waiting request counts as four arrivals a second, so that tokens reach its daemon
# within one report.
WAITING_WEIGHT = 4.0
# A share shrinks only if its target is more than a twentieth smaller.
SHRINK_BAND = 0.95
# Time between two removals of expired holdings: small against a lease of 3 s, and
# the cost of a report stays constant.
SWEEP_PERIOD_S = 0.25
# Tolerance for rounding errors in sums of floats.
EPSILON = 1e-9
# Least tokens in each daemon's part of a burst for a division to be of use: one for
# the next request, and one to move to another daemon.
MIN_PART_TOKENS = 2.0
# Least burst of a target: a daemon's first request finds a token, also while there
# is no leader.
FLOOR_TOKENS = 1.0


@dataclass(frozen=True, slots=True)
class Recall:
    """A request to a daemon to shrink its share."""

    daemon: str
    grant: ShareGrant


@dataclass(frozen=True, slots=True)
class GrantResult:
    """Grants for one daemon, and the state in which they are booked."""

    control: ControlState
    grants: tuple[ShareGrant, ...]


@dataclass(frozen=True, slots=True)
class Target:
    """The share that a daemon's demand entitles it to."""

    rate: float
    burst: float


def holder_key(peer: str, request: FollowRequest) -> str:
    """Return the key of a daemon's run in `Ledger.holdings`."""
    return f"{peer}/{request.boot}"


def record_reports(
    state: NodeState,
    control: ControlState,
    peer: str,
    request: FollowRequest,
    now: float,
) -> Map:
    """Return the ledgers with the holdings and the demand that a daemon reports."""
    ledgers = control.ledgers
    key = holder_key(peer, request)
    until = now + LEASE_S * LEASE_MARGIN
    for report in request.shares:
        entry = state.catalogue.customer(report.customer)
        if entry is None:
            continue
        ledger = ledger_of(state, control, report.customer, now)
        ledger = refresh(state, control, ledger, entry, now)
        ledger = _set_holding(ledger, key, Holding(report.rate, report.burst, until))
        ledger = _record_demand(ledger, peer, request, report)
        returned = min(report.returned, max(_free_burst(ledger, entry), 0.0))
        ledger = replace(ledger, tokens=ledger.tokens + returned)
        ledgers = ledgers.set(report.customer, ledger)
    return ledgers


def ledger_of(
    state: NodeState, control: ControlState, customer: str, now: float
) -> Ledger:
    """Return a customer's ledger, an empty one at its first use.

    Its bucket starts empty. It has filled since the time from which no former
    leader can grant tokens; where daemons may hold shares that fill as well, it
    fills only from now on.
    """
    ledger = control.ledgers.get(customer)
    if ledger is not None:
        return ledger
    raft: RaftState = state.consensus
    since = raft.led_since
    if raft.is_lease_open:
        since += ELECTION_MIN_S
    if customer in state.catalogue.divided:
        since = max(since, now)
    return Ledger(customer, updated_at=since)


def _set_holding(ledger: Ledger, key: str, held: Holding) -> Ledger:
    """Store a holding and update the sums."""
    before = ledger.holdings.get(key) or Holding(0.0, 0.0, 0.0)
    return replace(
        ledger,
        holdings=ledger.holdings.set(key, held),
        held_rate=ledger.held_rate + held.rate - before.rate,
        held_burst=ledger.held_burst + held.burst - before.burst,
    )


def _record_demand(
    ledger: Ledger, peer: str, request: FollowRequest, report: ShareReport
) -> Ledger:
    demands = ledger.demands
    before = demands.get(peer, 0.0)
    demand = report.demand + WAITING_WEIGHT * report.waiting
    if request.draining:
        demand = 0.0
        demands = demands.delete(peer) if peer in demands else demands
    else:
        demands = demands.set(peer, demand)
    total = ledger.total_demand + demand - before
    return replace(ledger, demands=demands, total_demand=max(total, 0.0))


def record_need(ledger: Ledger, peer: str) -> Ledger:
    """Add a queued request to its daemon's demand.

    The daemon's next report replaces the demand.
    """
    demand = ledger.demands.get(peer, 0.0) + WAITING_WEIGHT
    return replace(
        ledger,
        demands=ledger.demands.set(peer, demand),
        total_demand=ledger.total_demand + WAITING_WEIGHT,
    )


def refresh(
    state: NodeState,
    control: ControlState,
    ledger: Ledger,
    entry: CustomerEntry,
    now: float,
) -> Ledger:
    """Refill the free tokens; every `SWEEP_PERIOD_S`, remove expired holdings.

    No token is added as long as daemons may hold shares that they have not
    reported yet, since those shares fill with the same tokens.
    """
    free_rate = max(_free_rate(ledger, entry), 0.0)
    free_burst = max(_free_burst(ledger, entry), 0.0)
    gained = max(now - ledger.updated_at, 0.0) * free_rate
    if not may_grant(state, control, ledger.customer, now):
        gained = 0.0
    tokens = max(min(ledger.tokens + gained, free_burst), 0.0)
    ledger = replace(ledger, tokens=tokens, updated_at=max(now, ledger.updated_at))
    if now - ledger.swept_at < SWEEP_PERIOD_S:
        return ledger
    return _remove_expired(ledger, now)


def _remove_expired(ledger: Ledger, now: float) -> Ledger:
    """Remove holdings whose lease has expired, and sum up the rest afresh."""
    held = {key: h for key, h in ledger.holdings.items() if now < h.expires_at}
    daemons = {key.partition("/")[0] for key in held}
    demands = {name: d for name, d in ledger.demands.items() if name in daemons}
    return replace(
        ledger,
        holdings=Map(held),
        held_rate=sum(holding.rate for holding in held.values()),
        held_burst=sum(holding.burst for holding in held.values()),
        demands=Map(demands),
        total_demand=sum(demands.values()),
        swept_at=now,
    )


def _free_rate(ledger: Ledger, entry: CustomerEntry) -> float:
    return entry.rate - ledger.held_rate


def _free_burst(ledger: Ledger, entry: CustomerEntry) -> float:
    return entry.burst - ledger.held_burst


def grant_shares(
    state: NodeState, control: ControlState, peer: str, now: float
) -> GrantResult:
    """Decide the shares of one daemon that has just reported."""
    request = control.followers[peer].request
    entry_daemons = count_entry_daemons(control, now)
    ledgers = control.ledgers
    grants: tuple[ShareGrant, ...] = ()
    for report in request.shares:
        entry = state.catalogue.customer(report.customer)
        if entry is None:
            grants += (ShareGrant(report.customer, 0.0, 0.0, 0.0),)
            continue
        ledger = ledgers.get(report.customer)
        if ledger is not None:
            ledger = refresh(state, control, ledger, entry, now)
        if ledger is None or holder_key(peer, request) not in ledger.holdings:
            # The customer was unknown when the report came, or the holding has
            # expired since; the next report enters it again.
            continue
        may_grow = not request.draining and may_grant(
            state, control, report.customer, now
        )
        if may_grow and is_on_demand(entry, entry_daemons):
            grant = ShareGrant(report.customer, 0.0, 0.0, 0.0, on_demand=True)
        else:
            is_divided = report.customer in state.catalogue.divided
            may_grow = (
                may_grow and is_divided and is_recorded_holder(state, peer, request)
            )
            target = compute_target(ledger, entry, peer)
            # Queued requests take free tokens before a share may grow.
            grant = _decide_grant(
                ledger, entry, report, target, may_grow and not ledger.queue
            )
        ledger = _book_grant(ledger, holder_key(peer, request), grant)
        ledgers = ledgers.set(report.customer, ledger)
        grants += (grant,)
    return GrantResult(replace(control, ledgers=ledgers), grants)


def may_grant(
    state: NodeState, control: ControlState, customer: str, now: float
) -> bool:
    """Whether this leader can rule out unknown holdings, so that it may grant more."""
    raft: RaftState = state.consensus
    if raft.log.term_at(raft.commit) != raft.term:
        return False
    if not is_former_leader_over(raft, now):
        return False
    if (
        customer not in state.catalogue.divided
        or now >= control.former_shares_expire_at
    ):
        return True
    return _have_holders_reported(state, control)


def _have_holders_reported(state: NodeState, control: ControlState) -> bool:
    """Whether every daemon that may hold shares has reported what it holds.

    A daemon that reports with another run holds nothing of the earlier run.
    """
    return all(name in control.followers for name in state.catalogue.holders)


def is_recorded_holder(state: NodeState, peer: str, request: FollowRequest) -> bool:
    """Whether the log records this run as a holder, so that it may get shares."""
    return state.catalogue.holders.get(peer) == request.boot


def compute_target(
    ledger: Ledger, entry: CustomerEntry, peer: str, floor: float = FLOOR_TOKENS
) -> Target:
    """Return the part of a customer's limits that a daemon's demand entitles it to.

    Every daemon keeps a small base share, so that a first request does not wait
    for a transfer.

    Parameters
    ----------
    floor : float
        Least burst, in tokens.
    """
    if peer not in ledger.demands:
        return Target(0.0, 0.0)
    count = len(ledger.demands)
    part = 1 / count
    if ledger.total_demand > EPSILON:
        part = ledger.demands[peer] / ledger.total_demand
    share = BASE_SHARE / count + (1 - BASE_SHARE) * part
    return Target(entry.rate * share, max(entry.burst * share, floor))


def is_on_demand(entry: CustomerEntry, entry_daemons: int) -> bool:
    """Whether a customer's burst is too small to be divided between daemons.

    A fraction of a token admits no request. The leader then keeps the whole
    bucket and admits requests one by one, as daemons ask for tokens.
    """
    return entry.burst < entry_daemons * MIN_PART_TOKENS


def count_entry_daemons(control: ControlState, now: float) -> int:
    """Return how many daemons that serve callers reported in `FOLLOWER_LOST_S`."""
    return sum(
        follower.request.entry and now - follower.seen_at < FOLLOWER_LOST_S
        for follower in control.followers.values()
    )


def _decide_grant(
    ledger: Ledger,
    entry: CustomerEntry,
    report: ShareReport,
    target: Target,
    may_grow: bool,
) -> ShareGrant:
    free_rate = max(_free_rate(ledger, entry), 0.0) if may_grow else 0.0
    free_burst = max(_free_burst(ledger, entry), 0.0) if may_grow else 0.0
    rate = _adjust_amount(report.rate, target.rate, free_rate)
    burst = _adjust_amount(report.burst, target.burst, free_burst)
    tokens = 0.0
    if may_grow:
        tokens = min(ledger.tokens, max(burst - report.burst, 0.0))
    return ShareGrant(report.customer, rate, burst, tokens)


def _adjust_amount(held: float, target: float, free: float) -> float:
    if target >= held:
        return held + min(target - held, free)
    if target < held * SHRINK_BAND:
        return target
    return held


def _book_grant(ledger: Ledger, key: str, grant: ShareGrant) -> Ledger:
    """Book a grant as held at once; a smaller share is booked when it is reported."""
    held = ledger.holdings[key]
    booked = replace(
        held, rate=max(held.rate, grant.rate), burst=max(held.burst, grant.burst)
    )
    ledger = _set_holding(ledger, key, booked)
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
        target = compute_target(ledger, entry, name, floor=0.0)
        held = ledger.holdings.get(holder_key(name, follower.request))
        if held is None or held.burst <= target.burst + EPSILON:
            continue
        grant = ShareGrant(ledger.customer, target.rate, target.burst, 0.0)
        recalls.append(Recall(name, grant))
    return tuple(recalls)
