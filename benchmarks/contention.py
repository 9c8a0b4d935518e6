"""Tokens of undivided buckets: one owner for two regions, and one in each region."""

from dataclasses import dataclass
from random import Random
from statistics import median

from benchmarks._rows import Row, benchmark
from lovagewalk.buckets import QUEUE_WAIT_FRACTION
from lovagewalk.control import PeerLost
from lovagewalk.control.tests.regional_fleet import (
    LOCAL_DELAY_S,
    OBJECTIVE_S,
    REGION_DELAY_S,
    STEP_S,
    RegionalFleet,
)
from lovagewalk.routing._admit import TOKEN_WAIT_FRACTION

FLEET_SIZES = (30, 100, 300)
CUSTOMERS = 4
RATE, BURST = 10.0, 12.0
LOAD = 0.8
WARM_UP_S = 6.0
RUN_S = 16.0
LOSS_RUN_S = 5.0
ROUND_TRIP_MS = 2 * REGION_DELAY_S * 1000
# A request is sent at the next step, and answered over links within the region.
STEP_MS = (STEP_S + 2 * LOCAL_DELAY_S) * 1000
# A request may stand in an owner's queue for this time.
QUEUE_MS = OBJECTIVE_S * TOKEN_WAIT_FRACTION * 1000
# The bound on the service gap: the time until a silent owner is left, a tick before and
# after it, and a round trip to the leader and one to the next owner.
GAP_BOUND_S = 0.3 + 2 * STEP_S + 4 * REGION_DELAY_S
# The lease of an owner by the leader's clock, a report, its log entry and an offer.
LEASE_GAP_BOUND_S = 2.2 + 1.5


@dataclass(frozen=True, slots=True)
class Figures:
    """What one fleet measured.

    Attributes
    ----------
    messages : float
        Messages about tokens between the regions for each request.
    refused : float
        Fraction of the requests refused, all of customers within their rates.
    gap_s : float
        Longest time without an admission after the loss of an owner, in the region
        that lost it.
    """

    median_ms: float
    p99_ms: float
    messages: float
    refused: float
    gap_s: float


def _measure(size: int, by_region: bool) -> Figures:
    limits = {f"customer{number}": (RATE, BURST) for number in range(CUSTOMERS)}
    counts = {"north": size // 2, "south": size - size // 2}
    fleet = RegionalFleet(counts, limits, low_bandwidth=by_region)
    random = Random(size)
    _send(fleet, random, WARM_UP_S)
    messages_before = sum(fleet.region_messages.values())
    reqs = _send(fleet, random, RUN_S)
    messages = sum(fleet.region_messages.values()) - messages_before
    fleet.run(1.5)
    fleet.check_limits()
    waits_ms = sorted(fleet.waits[req] * 1000 for req in reqs if req in fleet.waits)
    return Figures(
        median_ms=median(waits_ms),
        p99_ms=waits_ms[int(len(waits_ms) * 0.99)],
        messages=messages / len(reqs),
        refused=sum(req in fleet.refused_after for req in reqs) / len(reqs),
        gap_s=_measure_gap(fleet, random),
    )


def _send(fleet: RegionalFleet, random: Random, seconds: float) -> list[int]:
    """Send at a random time and from a random daemon, below the customers' rates."""
    end = fleet.now + seconds
    reqs = []
    while fleet.now < end:
        fleet.run(random.expovariate(RATE * LOAD * CUSTOMERS))
        customer = random.choice(tuple(fleet.limits))
        reqs.append(fleet.send(random.choice(fleet.entries), customer))
    return reqs


def _measure_gap(fleet: RegionalFleet, random: Random) -> float:
    """Kill an owner; its region goes on sending at a quarter of the rate."""
    customer = next(iter(fleet.limits))
    region, owner = next(iter(fleet.owners(customer).items()))
    del fleet.states[owner]
    fleet.entries.remove(owner)
    for name in fleet.states:
        fleet.feed(name, PeerLost(fleet.now, owner))
    names = fleet.in_region(region)
    admitted_at = [fleet.now]
    end = fleet.now + LOSS_RUN_S
    while fleet.now < end:
        sent_at = fleet.now
        req = fleet.send(random.choice(names), customer)
        fleet.run(4 / RATE)
        if req in fleet.waits:
            admitted_at.append(sent_at + fleet.waits[req])
    pairs = zip(admitted_at, admitted_at[1:] + [end], strict=True)
    return max(later - earlier for earlier, later in pairs)


@benchmark("contention")
async def measure_contention() -> list[Row]:
    """Compare the wait for tokens, messages and gaps, in fleets of three sizes."""
    rows = []
    for size in FLEET_SIZES:
        for by_region in (False, True):
            figures = _measure(size, by_region)
            label = f"{size} daemons, {'by region' if by_region else 'one owner'}"
            # Without the division, a round trip to the other region is expected.
            wait_ms = STEP_MS if by_region else ROUND_TRIP_MS + STEP_MS
            queue_ms = QUEUE_MS * (QUEUE_WAIT_FRACTION if by_region else 1.0)
            p99_ms = queue_ms + ROUND_TRIP_MS + STEP_MS
            messages = 1.0 if by_region else 2.0
            gap_s = 4 / RATE + (GAP_BOUND_S if by_region else LEASE_GAP_BOUND_S)
            rows += [
                Row(
                    f"{label}: wait, median", figures.median_ms, "ms", wait_ms, wait_ms
                ),
                Row(f"{label}: wait, p99", figures.p99_ms, "ms", p99_ms, p99_ms),
                Row(
                    f"{label}: messages a request",
                    figures.messages,
                    "",
                    messages,
                    messages,
                ),
                Row(f"{label}: refused", figures.refused * 100, "%", 0.0, 1.0),
                Row(f"{label}: gap", figures.gap_s, "s", gap_s, gap_s),
            ]
    return rows
