"""Buckets with an owner in each region: where tokens come from, loads and failures."""

import random
from collections import Counter

import pytest

from lovagewalk.buckets import TokenAnswer
from lovagewalk.control import DrainRequested, PeerLost
from lovagewalk.control._state import FOLLOW_PERIOD_S, LEASE_MARGIN, LEASE_S
from lovagewalk.records import NeedsForwarded, OwnerSilent

from .regional_fleet import (
    EPSILON,
    LOCAL_DELAY_S,
    REGION_DELAY_S,
    STEP_S,
    RegionalFleet,
)

# Too small for the daemons of one region, and large enough for two regions.
RATE, BURST = 20.0, 5.0
CUSTOMER = "c"
COUNTS = {"north": 3, "south": 3}
ROUND_TRIP_S = 2 * REGION_DELAY_S
# A lost part is lent again once its lease has expired at the leader. The daemons of the
# region hear that it has no owner, and the offer and the grant follow within reports.
REPLACEMENT_S = LEASE_S * LEASE_MARGIN + 3 * FOLLOW_PERIOD_S


def _start(limits=(RATE, BURST), low_bandwidth=True, seconds=6.0):
    """Return a fleet after both regions have sent half of the rate for some time."""
    fleet = RegionalFleet(COUNTS, {CUSTOMER: limits}, low_bandwidth)
    fleet.send_evenly(_alternating(fleet), CUSTOMER, limits[0] / 2, seconds)
    return fleet


def _alternating(fleet):
    pairs = zip(fleet.in_region("north"), fleet.in_region("south"), strict=True)
    return [name for pair in pairs for name in pair]


def _refused(fleet, reqs):
    return [req for req in reqs if req in fleet.refused_after]


def test_each_region_with_demand_owns_a_part_and_answers_its_own_callers():
    """Half of all operations waited for a round trip between the regions."""
    fleet = _start()
    assert set(fleet.owners(CUSTOMER)) == {"north", "south"}
    assert fleet.sum_held(CUSTOMER, "burst") == pytest.approx(BURST)
    assert fleet.sum_held(CUSTOMER, "rate") > 0.9 * RATE
    reqs = fleet.send_evenly(_alternating(fleet), CUSTOMER, RATE / 2, 3.0)
    fleet.run(0.2)
    assert max(fleet.waits[req] for req in reqs) < ROUND_TRIP_S
    fleet.check_limits()


@pytest.mark.parametrize(
    ("limits", "low_bandwidth"), [((RATE, BURST), False), ((RATE, 3.0), True)]
)
def test_a_bucket_stays_whole_on_wide_links_and_with_too_small_a_burst(
    limits, low_bandwidth
):
    fleet = _start(limits, low_bandwidth)
    assert len(fleet.owners(CUSTOMER)) == 1
    assert fleet.sum_held(CUSTOMER, "burst") == limits[1]


def test_a_single_region_keeps_one_owner():
    fleet = RegionalFleet({"north": 4}, {CUSTOMER: (RATE, BURST)})
    fleet.send_evenly(fleet.entries, CUSTOMER, RATE / 2, 4.0)
    assert len(fleet.owners(CUSTOMER)) == 1
    assert not fleet.sum_held(CUSTOMER, "by_region")


def test_a_customer_within_its_rate_is_served_from_either_regions_tokens():
    """All callers move to one region, whose part is half of the bucket."""
    fleet = _start()
    south = fleet.in_region("south")
    reqs = fleet.send_evenly(south, CUSTOMER, 0.95 * RATE, 3.0)
    fleet.run(0.5)
    assert not _refused(fleet, reqs)
    assert all(req in fleet.waits for req in reqs)
    assert any(isinstance(record, NeedsForwarded) for record in fleet.records)
    fleet.check_limits()


def test_a_burst_in_one_region_gets_the_tokens_of_both():
    fleet = _start()
    fleet.run(1.0)
    name = fleet.in_region("south")[0]
    reqs = [fleet.send(name, CUSTOMER) for _ in range(int(BURST))]
    fleet.run(0.3)
    assert all(req in fleet.waits for req in reqs)
    fleet.check_limits()


@pytest.mark.parametrize("sources", ["north", "south", "both"])
def test_a_customer_above_its_rate_gets_its_whole_rate_and_no_more(sources):
    """Three times the rate, from one region or from both."""
    fleet = _start()
    names = _alternating(fleet) if sources == "both" else fleet.in_region(sources)
    fleet.run(1.0)
    fleet.send_evenly(names, CUSTOMER, 3 * RATE, 3.0)
    before, started = len(fleet.waits), fleet.now
    fleet.send_evenly(names, CUSTOMER, 3 * RATE, 5.0)
    admitted = len(fleet.waits) - before
    assert admitted >= 0.95 * RATE * (fleet.now - started)
    fleet.check_limits()


def test_an_excess_need_is_refused_within_two_round_trips_between_regions():
    """Refusals came after half a second in a queue."""
    fleet = _start()
    reqs = fleet.send_evenly(_alternating(fleet), CUSTOMER, 3 * RATE, 3.0)
    fleet.run(0.5)
    refused = [fleet.refused_after[req] for req in _refused(fleet, reqs)]
    bound_s = 2 * ROUND_TRIP_S + 2 * STEP_S + 4 * LOCAL_DELAY_S
    assert refused and max(refused) <= bound_s


def test_parts_follow_the_demand_of_the_regions():
    fleet = _start()
    fleet.send_evenly(fleet.in_region("south"), CUSTOMER, RATE / 2, 8.0)
    owners = fleet.owners(CUSTOMER)
    south = fleet.states[owners["south"]].shares[CUSTOMER]
    assert south.rate > 0.75 * RATE
    fleet.check_limits()


def _lose_owner_of(fleet, region):
    """Return the owner of a region's part, and the region's other daemons."""
    owner = fleet.owners(CUSTOMER)[region]
    return owner, [name for name in fleet.in_region(region) if name != owner]


def test_a_suspended_owner_delays_its_region_by_the_time_of_one_unanswered_request():
    fleet = _start()
    owner, others = _lose_owner_of(fleet, "south")
    fleet.suspended = {owner}
    reqs = fleet.send_evenly(others, CUSTOMER, RATE / 8, REPLACEMENT_S)
    fleet.run(0.5)
    assert not _refused(fleet, reqs)
    assert max(fleet.waits[req] for req in reqs) < 0.3 + 2 * ROUND_TRIP_S + 2 * STEP_S
    assert any(isinstance(record, OwnerSilent) for record in fleet.records)
    assert fleet.owners(CUSTOMER)["south"] in others
    fleet.resume(owner)
    fleet.run(1.0)
    fleet.check_limits()


def test_a_killed_owner_is_replaced_by_a_daemon_of_its_region():
    fleet = _start()
    owner, others = _lose_owner_of(fleet, "north")
    del fleet.states[owner]
    fleet.entries.remove(owner)
    for name in fleet.states:
        fleet.feed(name, PeerLost(fleet.now, owner))
    reqs = fleet.send_evenly(others, CUSTOMER, RATE / 8, REPLACEMENT_S + 0.5)
    assert not _refused(fleet, reqs)
    assert fleet.owners(CUSTOMER)["north"] in others
    fleet.check_limits()


def test_an_owner_that_stops_as_planned_gives_its_part_to_its_region():
    fleet = _start()
    owner, others = _lose_owner_of(fleet, "south")
    fleet.feed(owner, DrainRequested(fleet.now))
    reqs = fleet.send_evenly(others, CUSTOMER, 0.4 * RATE, 4.0)
    fleet.run(0.5)
    assert not _refused(fleet, reqs)
    assert fleet.owners(CUSTOMER)["south"] in others
    fleet.check_limits()


def test_needs_are_not_forwarded_to_an_owner_that_is_suspended():
    """Forwarded needs would wait for its answer until their deadlines."""
    fleet = _start()
    owner, _ = _lose_owner_of(fleet, "south")
    fleet.suspended = {owner}
    north = fleet.in_region("north")
    fleet.send_evenly(north, CUSTOMER, 2 * RATE, 0.5)
    reqs = fleet.send_evenly(north, CUSTOMER, 2 * RATE, 1.0)
    fleet.run(0.5)
    refused = [fleet.refused_after[req] for req in _refused(fleet, reqs)]
    assert refused and max(refused) <= 2 * LOCAL_DELAY_S + 2 * STEP_S


def test_both_regions_are_served_while_no_control_vm_leads():
    """The leader's VM is suspended; owners keep their parts during the election."""
    fleet = _start()
    fleet.suspended = {fleet.leader()}
    reqs = fleet.send_evenly(_alternating(fleet), CUSTOMER, 0.8 * RATE, 5.0)
    fleet.run(0.5)
    assert not _refused(fleet, reqs)
    assert set(fleet.owners(CUSTOMER)) == {"north", "south"}
    fleet.check_limits()


def test_a_partition_leaves_each_region_within_the_bucket():
    """The southern region loses its link to the north, and with it control."""
    fleet = _start()
    fleet.is_cut = lambda source, target: (
        fleet.regions[source] != fleet.regions[target]
    )
    for _ in range(30):
        fleet.send_evenly(_alternating(fleet), CUSTOMER, RATE, 0.2)
        fleet.check_limits()
    north = fleet.states[fleet.owners(CUSTOMER)["north"]].shares[CUSTOMER]
    assert north.rate == pytest.approx(RATE)
    fleet.is_cut = lambda source, target: False
    fleet.send_evenly(_alternating(fleet), CUSTOMER, RATE / 2, 6.0)
    reqs = fleet.send_evenly(_alternating(fleet), CUSTOMER, RATE / 2, 3.0)
    assert not _refused(fleet, reqs)
    assert set(fleet.owners(CUSTOMER)) == {"north", "south"}
    fleet.check_limits()


def test_an_answer_that_arrives_twice_returns_no_token():
    """A copy of an admission would add a token that no bucket has given."""
    fleet = _start()
    names = list(fleet.owners(CUSTOMER).values())
    send = fleet._send

    def send_answers_twice(name, effect):
        send(name, effect)
        if isinstance(effect.message, TokenAnswer):
            send(name, effect)

    fleet._send = send_answers_twice
    fleet.send_evenly(names, CUSTOMER, 3 * RATE, 1.0)
    before = len(fleet.waits) + fleet.sum_held(CUSTOMER, "level")
    started = fleet.now
    fleet.send_evenly(names, CUSTOMER, 3 * RATE, 3.0)
    after = len(fleet.waits) + fleet.sum_held(CUSTOMER, "level")
    assert after - before <= RATE * (fleet.now - started) + EPSILON


class CountingFleet(RegionalFleet):
    """A fleet that counts the tokens granted to each need."""

    def __init__(self, counts, limits):
        self.granted = Counter()
        super().__init__(counts, limits)

    def _send(self, name, effect):
        if isinstance(effect.message, TokenAnswer):
            for admission in effect.message.admitted:
                self.granted[effect.peer, admission.req] += 1
        super()._send(name, effect)


@pytest.mark.parametrize("seed", range(6))
def test_a_need_gets_one_token_while_parts_begin(seed):
    """Guards against tokens that are lost when daemons turn to another owner.

    Needs that stayed queued at the former owner were requested again.
    """
    rng = random.Random(seed)
    fleet = CountingFleet(COUNTS, {CUSTOMER: (10.0, 5.0)})
    north, south = fleet.in_region("north"), fleet.in_region("south")
    fleet.send_evenly(north, CUSTOMER, 9.0, 10.0)
    fleet.granted.clear()
    for number in range(80):
        fleet.send(rng.choice(north), CUSTOMER)
        if number > 10:
            fleet.send(rng.choice(south), CUSTOMER)
        fleet.run(rng.choice((0.01, 0.03, 0.1)))
    fleet.run(2.0)
    fleet.check_limits()
    assert fleet.granted and max(fleet.granted.values()) == 1
