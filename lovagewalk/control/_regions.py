"""Buckets in parts: which regions get one, and how much of the bucket it is."""

from collections.abc import Mapping
from dataclasses import dataclass

from lovagewalk.catalogue import CustomerEntry

from ._ownership import recorded_owners
from ._state import FOLLOWER_LOST_S, ControlState, Follower, Ledger

# A bucket is divided by region only if each part holds at least this many tokens: one
# for the next request, and one for a request of the other region.
MIN_REGION_TOKENS = 2.0
# This fraction of each limit is divided evenly, so that first requests find a token.
BASE_FRACTION = 0.2
# A waiting request counts as four arrivals a second, so that tokens reach its daemon
# within one report.
WAITING_DEMAND_PER_S = 4.0
# A region without demand gives its part up. One need in 20 s costs more messages for
# the part than for the token.
MIN_REGION_DEMAND_PER_S = 0.05
# For this time a new owner counts as having demand: it gets its part with its second
# or third report, and then learns of its region's demand.
NEW_OWNER_S = 3.0


@dataclass(frozen=True, slots=True)
class Target:
    """The share that a daemon's demand entitles it to."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class EntryFleet:
    """What the links of the entry daemons that report require of buckets.

    Attributes
    ----------
    regions : frozenset of str
        Regions of the entry daemons with narrow links.
    has_narrow_links : bool
        Whether every entry daemon has a narrow link, so that queues are short.
    """

    regions: frozenset[str]
    has_narrow_links: bool


def describe_entry_fleet(control: ControlState, now: float) -> EntryFleet:
    """Return the properties of the entry daemons that report at present."""
    daemons = find_entry_daemons(control, now)
    narrow = [daemon for daemon in daemons if daemon.request.low_bandwidth]
    return EntryFleet(
        regions=frozenset(daemon.request.region for daemon in narrow),
        has_narrow_links=bool(daemons) and len(narrow) == len(daemons),
    )


def find_entry_daemons(control: ControlState, now: float) -> tuple[Follower, ...]:
    """Return the daemons that serve callers and reported within `FOLLOWER_LOST_S`."""
    return tuple(
        follower
        for follower in control.followers.values()
        if follower.request.entry and now - follower.seen_at < FOLLOWER_LOST_S
    )


def is_lent_by_region(entry: CustomerEntry, fleet: EntryFleet) -> bool:
    """Whether an undivided bucket is lent in parts, one to each region."""
    count = len(fleet.regions)
    return count > 1 and entry.burst >= count * MIN_REGION_TOKENS


def demand_fraction(demand: float, total: float, count: int) -> float:
    """Return the fraction of a limit for one of several daemons or regions."""
    by_demand = demand / total if total > 0 else 1 / count
    return BASE_FRACTION / count + (1 - BASE_FRACTION) * by_demand


def compute_parts(
    control: ControlState,
    ledger: Ledger,
    entry: CustomerEntry,
    now: float,
    *,
    by_region: bool,
) -> Mapping[str, Target]:
    """Return the part of an undivided bucket for each of its owners, by daemon.

    An owner without an entry gets nothing.
    """
    owners = recorded_owners(control, ledger, now)
    if not by_region:
        return {o.owner: Target(entry.rate, entry.burst) for o in owners[:1]}
    demands = dict.fromkeys((ownership.region for ownership in owners), 0.0)
    for name, demand in ledger.demands.items():
        region = find_region(control, name)
        if region in demands:
            demands[region] += demand
    for ownership in owners:
        if now - ownership.offered_at < NEW_OWNER_S:
            region = ownership.region
            demands[region] = max(demands[region], WAITING_DEMAND_PER_S)
    active = {r: d for r, d in demands.items() if d >= MIN_REGION_DEMAND_PER_S}
    demands = active or demands
    total, count = sum(demands.values()), len(demands)
    divisible_burst = entry.burst - count * MIN_REGION_TOKENS
    parts: dict[str, Target] = {}
    for ownership in owners:
        if ownership.region in demands:
            demand = demands.pop(ownership.region)
            fraction = demand_fraction(demand, total, count)
            burst = MIN_REGION_TOKENS + divisible_burst * fraction
            parts[ownership.owner] = Target(entry.rate * fraction, burst)
    return parts


def has_reported(control: ControlState, name: str, now: float) -> bool:
    """Whether a daemon has reported within `FOLLOWER_LOST_S`."""
    follower = control.followers.get(name)
    return follower is not None and now - follower.seen_at < FOLLOWER_LOST_S


def find_region(control: ControlState, name: str) -> str:
    """Return the region that a daemon reports; empty if it has not reported."""
    follower = control.followers.get(name)
    return follower.request.region if follower is not None else ""
