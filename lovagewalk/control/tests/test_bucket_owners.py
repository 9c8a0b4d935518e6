"""Undivided buckets that daemons own: lending, requests, hand-over and loss."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from lovagewalk import catalogue as cat
from lovagewalk.buckets import BucketOwner, TokenAnswer, TokenAsk
from lovagewalk.control import DrainRequested, PeerLost, PeerMessage
from lovagewalk.control._token_requests import OWNER_TIMEOUT_S

from .test_fleet_machine import CUSTOMER, EPSILON, NAMES, RATE, Daemons, FleetMachine

# Too small to be divided, also between the two daemons that are left after a loss.
SMALL_BURST = 3.0


class OwnerMachine(FleetMachine):
    """The machine of the fleet, with daemons that own the bucket of its customer."""

    burst = SMALL_BURST
    may_own = True

    @rule(name=st.sampled_from(NAMES))
    def drain(self, name):
        if not self.fleet.states[name].consensus.is_leader:
            self.fleet.feed(name, DrainRequested(self.fleet.now))

    @rule(name=st.sampled_from(NAMES), lost=st.sampled_from(NAMES))
    def lose_link(self, name, lost):
        self.fleet.feed(name, PeerLost(self.fleet.now, lost))

    @rule(seconds=st.sampled_from((1.0, 2.5, 4.0)))
    def suspend_all(self, seconds):
        self.fleet.now += seconds


TestOwnerMachine = OwnerMachine.TestCase
TestOwnerMachine.settings = settings(
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def _lend(seconds=4.0):
    """Return a fleet whose customer's bucket is lent to one daemon."""
    fleet = Daemons(SMALL_BURST, may_own=True)
    _send_evenly(fleet, NAMES, 0.5 * RATE, seconds)
    return fleet


def _owner(fleet):
    owners = [
        name
        for name in NAMES
        if name not in fleet.isolated
        and fleet.states[name].shares[CUSTOMER].is_whole_bucket
        and fleet.states[name].shares[CUSTOMER].lease_until > fleet.now
    ]
    assert len(owners) <= 1
    return owners[0] if owners else ""


def _leader(fleet):
    return next(
        name
        for name in NAMES
        if fleet.states[name].consensus.is_leader and name not in fleet.isolated
    )


def _send_evenly(fleet, names, rate, seconds):
    """Send requests at a rate, spread over daemons, and return how many."""
    count = round(rate * seconds)
    for number in range(count):
        fleet.send_request(names[number % len(names)])
        fleet.run(1 / rate)
    return count


def test_a_bucket_too_small_to_divide_is_lent_to_one_daemon():
    fleet = _lend()
    assert _owner(fleet)
    assert fleet.sum_shares("burst") == SMALL_BURST


def test_requests_within_the_rate_are_admitted_by_the_owner():
    fleet = _lend()
    before = len(fleet.admitted)
    sent = _send_evenly(fleet, NAMES, 0.9 * RATE, 3.0)
    fleet.run(0.2)
    assert len(fleet.admitted) - before == sent


def test_a_customer_above_its_rate_gets_its_rate_and_no_more():
    fleet = _lend()
    fleet.run(1.0)
    before, started = len(fleet.admitted), fleet.now
    _send_evenly(fleet, NAMES, 3 * RATE, 3.0)
    allowed = RATE * (fleet.now - started) + SMALL_BURST
    assert 0.9 * allowed <= len(fleet.admitted) - before <= allowed + EPSILON


def _fleet_with_owner_apart_from_leader():
    """Return a fleet whose owner is not the control leader."""
    fleet = _lend()
    if _owner(fleet) == _leader(fleet):
        lost = _leader(fleet)
        fleet.isolated = {lost}
        _send_evenly(fleet, [n for n in NAMES if n != lost], 0.4 * RATE, 6.0)
        fleet.isolated = set()
        _send_evenly(fleet, NAMES, 0.5 * RATE, 4.0)
    assert _owner(fleet) != _leader(fleet)
    return fleet


def test_requests_are_admitted_while_no_control_vm_leads():
    """The leader's VM is lost; only the leader admitted such customers before."""
    fleet = _fleet_with_owner_apart_from_leader()
    lost = _leader(fleet)
    others = [name for name in NAMES if name != lost]
    fleet.isolated = {lost}
    before = len(fleet.admitted)
    sent = _send_evenly(fleet, others, 0.8 * RATE, 4.0)
    fleet.run(0.3)
    assert len(fleet.admitted) - before == sent


def test_another_daemon_owns_the_bucket_once_a_lost_owners_lease_is_over():
    fleet = _fleet_with_owner_apart_from_leader()
    lost = _owner(fleet)
    others = [name for name in NAMES if name != lost]
    fleet.isolated = {lost}
    _send_evenly(fleet, others, 0.5 * RATE, 3.5)
    assert _owner(fleet) in others
    before = len(fleet.admitted)
    sent = _send_evenly(fleet, others, 0.8 * RATE, 2.0)
    fleet.run(0.3)
    assert len(fleet.admitted) - before == sent


def test_no_request_within_the_rate_is_refused_when_an_owner_stops_as_planned():
    fleet = _fleet_with_owner_apart_from_leader()
    leaving = _owner(fleet)
    others = [name for name in NAMES if name != leaving]
    before = len(fleet.admitted)
    fleet.feed(leaving, DrainRequested(fleet.now))
    sent = _send_evenly(fleet, others, 0.8 * RATE, 3.0)
    fleet.run(0.3)
    assert _owner(fleet) in others
    assert len(fleet.admitted) - before == sent


def test_a_new_leader_leaves_small_buckets_whole():
    """Few daemons have reported to it; among them, the burst could be divided."""
    fleet = _fleet_with_owner_apart_from_leader()
    owner, lost = _owner(fleet), _leader(fleet)
    fleet.isolated = {lost}
    for _ in range(100):
        fleet.run(0.02)
        assert _owner(fleet) == owner


def test_a_lowered_limit_binds_the_owner():
    fleet = _lend()
    revision = fleet.states[NAMES[0]].catalogue.customers[CUSTOMER].revision
    entry = cat.CustomerEntry(CUSTOMER, "o", RATE / 4, 1.0)
    fleet.change(cat.PutCustomer(entry, revision))
    fleet.run(2.0)
    before, started = len(fleet.admitted), fleet.now
    _send_evenly(fleet, NAMES, RATE, 3.0)
    assert (
        len(fleet.admitted) - before <= RATE / 4 * (fleet.now - started) + 1.0 + EPSILON
    )


def test_requests_of_a_silent_owner_go_to_the_leader():
    """The owner's VM is suspended; its links stay open, and it answers nothing."""
    fleet = _fleet_with_owner_apart_from_leader()
    silent = _owner(fleet)
    asker = next(n for n in NAMES if n not in (silent, _leader(fleet)))
    fleet.send_request(asker)
    fleet.run(0.1)
    assert fleet.states[asker].shares[CUSTOMER].owner == silent
    fleet.isolated = {silent}
    fleet.run(4.0)
    before = len(fleet.admitted)
    fleet.send_request(asker)
    fleet.run(OWNER_TIMEOUT_S + 0.1)
    assert len(fleet.admitted) == before + 1


def test_a_share_of_an_earlier_owner_is_not_used_after_its_lease():
    fleet = _fleet_with_owner_apart_from_leader()
    old = _owner(fleet)
    fleet.isolated = {old}
    fleet.run(2.5)
    before = len(fleet.admitted)
    fleet.send_request(old)
    fleet.run(0.1)
    assert len(fleet.admitted) == before


def test_a_daemon_that_is_sent_back_and_forth_waits_for_its_next_tick():
    """The owner's lease has ended, and the leader still counts it for a moment."""
    fleet = _fleet_with_owner_apart_from_leader()
    owner, leader = _owner(fleet), _leader(fleet)
    asker = next(name for name in NAMES if name not in (owner, leader))
    fleet.send_request(asker)
    fleet.tick(asker)
    fleet.wire.clear()
    for source, name in ((owner, ""), (leader, leader), (leader, owner)):
        answer = TokenAnswer(owners=(BucketOwner(CUSTOMER, name),))
        fleet.feed(asker, PeerMessage(fleet.now, source, answer))
        is_asked = any(isinstance(message, TokenAsk) for _, _, message in fleet.wire)
        assert is_asked is (name == owner)
