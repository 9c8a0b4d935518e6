"""Tokens that the leader grants one by one, as to the daemons of a large fleet."""

import pytest

from lovagewalk import catalogue as cat
from lovagewalk.buckets import TokenAnswer, TokenAsk, TokenNeed
from lovagewalk.consensus import RaftRole, SendToPeer
from lovagewalk.control import ControlState, DrainRequested, PeerMessage
from lovagewalk.control._ledger import may_grant
from lovagewalk.core import reduce, replace

from .test_fleet_machine import CUSTOMER, NAMES, Daemons

RATE, BURST = 8.0, 4.0


@pytest.fixture
def fleet():
    """Daemons with one customer, whose burst is too small to be divided."""
    running = Daemons()
    revision = running.states[NAMES[0]].catalogue.customers[CUSTOMER].revision
    entry = cat.CustomerEntry(CUSTOMER, "o", RATE, BURST)
    running.change(cat.PutCustomer(entry, revision))
    running.run(4.0)
    return running


def _leader(fleet):
    return next(n for n in NAMES if fleet.states[n].consensus.is_leader)


def _follower(fleet):
    return next(n for n in NAMES if not fleet.states[n].consensus.is_leader)


def _request_tokens(
    fleet, name, count, wait_s=0.4, first_req=1000, customer=CUSTOMER, priority=0
):
    """Request tokens from a VM and return its answers."""
    needs = tuple(
        TokenNeed(first_req + n, customer, wait_s, priority=priority)
        for n in range(count)
    )
    message = PeerMessage(fleet.now, _follower(fleet), TokenAsk(needs))
    step = reduce(fleet.states[name], message)
    fleet.states[name] = step.state
    return [
        effect.message
        for effect in step.effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, TokenAnswer)
    ]


def test_free_tokens_are_granted_without_a_round_of_the_quorum(fleet):
    (answer,) = _request_tokens(fleet, _leader(fleet), 3)
    assert [admission.req for admission in answer.admitted] == [1000, 1001, 1002]


def test_a_need_whose_token_comes_too_late_is_denied_with_a_retry_time(fleet):
    """A customer sends many times its rate, so some requests can never be admitted."""
    (answer,) = _request_tokens(fleet, _leader(fleet), 12)
    assert len(answer.admitted) == BURST
    waiting = int(0.4 * RATE)
    assert len(answer.denied) == 12 - BURST - waiting
    for denial in answer.denied:
        assert 0.4 <= denial.retry_after_s <= (waiting + 1) / RATE


def test_the_oldest_need_gets_the_next_token(fleet):
    leader = _leader(fleet)
    _request_tokens(fleet, leader, int(BURST))
    assert _request_tokens(fleet, leader, 1, first_req=2000) == []
    assert _request_tokens(fleet, leader, 1, first_req=3000) == []
    fleet.run(1.1 / RATE)
    queue = fleet.states[leader].control.ledgers[CUSTOMER].queue
    assert [need.req for need in queue] == [3000]


def test_an_urgent_need_gets_the_next_token_of_a_customer_above_its_rate(fleet):
    """In order of arrival, needs that may wait long would displace urgent ones."""
    leader = _leader(fleet)
    _request_tokens(fleet, leader, int(BURST))
    _request_tokens(fleet, leader, 20, wait_s=0.4, first_req=2000, priority=2)
    answers = _request_tokens(fleet, leader, 1, wait_s=0.2, first_req=3000, priority=1)
    assert all(d.req != 3000 for answer in answers for d in answer.denied)
    fleet.run(1.1 / RATE)
    queue = fleet.states[leader].control.ledgers[CUSTOMER].queue
    assert 3000 not in [need.req for need in queue]
    assert {need.priority for need in queue} == {2}


def test_a_need_displaced_by_an_urgent_one_is_denied_at_once(fleet):
    leader = _leader(fleet)
    _request_tokens(fleet, leader, int(BURST))
    _request_tokens(fleet, leader, 20, wait_s=0.4, first_req=2000, priority=2)
    (answer,) = _request_tokens(
        fleet, leader, 1, wait_s=0.4, first_req=3000, priority=1
    )
    (denial,) = answer.denied
    assert 2000 <= denial.req < 3000 and denial.retry_after_s >= 0.4 - 1 / RATE


def test_an_isolated_leader_grants_nothing(fleet):
    """Another leader may have been elected, without a message to this one."""
    leader = _leader(fleet)
    fleet.isolated = {leader}
    fleet.run(0.38)
    assert fleet.states[leader].consensus.is_leader
    assert _request_tokens(fleet, leader, 1) == []


def test_a_resumed_leader_grants_nothing_before_it_confirms_its_lease(fleet):
    """Its VM was suspended for longer than an election takes."""
    fleet.now += 1.0
    assert _request_tokens(fleet, _leader(fleet), 1) == []


def test_a_follower_names_the_leader(fleet):
    (answer,) = _request_tokens(fleet, _follower(fleet), 1)
    assert not answer.is_leader and answer.leader == _leader(fleet)


def test_old_and_new_leader_together_stay_within_rate_and_burst(fleet):
    """The new leader's bucket fills only once the old one's lease has expired."""
    old = _leader(fleet)
    others = [name for name in NAMES if name != old]
    fleet.run(2.0)
    started, granted = fleet.now, 0
    fleet.isolated = {old}
    for number in range(300):
        fleet.run(0.02)
        for name in (old, *others):
            raft = fleet.states[name].consensus
            if raft.is_leader:
                for answer in _request_tokens(
                    fleet, name, 1, 0.02, first_req=5000 + number
                ):
                    granted += len(answer.admitted)
    assert granted <= RATE * (fleet.now - started) + BURST + 1e-6


def _restart(fleet, name):
    """Start a VM again from its disk, without its last contact with a leader."""
    old = fleet.states[name]
    raft = replace(
        old.consensus,
        role=RaftRole.FOLLOWER,
        leader="",
        leader_contact_at=0.0,
        election_due_at=0.0,
    )
    restarted = fleet._new_state(name)
    fleet.states[name] = replace(
        restarted, consensus=raft, catalogue=old.catalogue, control=ControlState()
    )


def test_voters_that_restarted_elect_a_leader_that_waits(fleet):
    """After the restart, they do not know that a leader may still grant tokens."""
    old = _leader(fleet)
    fleet.run(2.0)
    others = [name for name in NAMES if name != old]
    fleet.isolated = {old}
    for name in others:
        _restart(fleet, name)
    elected_at = None
    for _ in range(60):
        fleet.run(0.02)
        new_leaders = [n for n in others if fleet.states[n].consensus.is_leader]
        if not new_leaders:
            continue
        elected_at = elected_at or fleet.now
        leader = fleet.states[new_leaders[0]]
        if fleet.now < elected_at + 0.4 - 0.04:
            assert not may_grant(leader, fleet.now)
    assert elected_at is not None


def test_a_daemon_that_is_down_blocks_no_customer_that_was_never_divided(fleet):
    """The leader is lost during a rolling restart, when some daemon is always down."""
    fleet.change(cat.PutCustomer(cat.CustomerEntry("small", "o", RATE, BURST), 0))
    fleet.run(2.0)
    old = _leader(fleet)
    fleet.isolated = {old}
    fleet.run(1.1)
    new = next(n for n in NAMES if n != old and fleet.states[n].consensus.is_leader)
    fleet.run(1 / RATE)
    assert not _request_tokens(fleet, new, 1, customer=CUSTOMER)
    (answer,) = _request_tokens(fleet, new, 1, customer="small")
    assert answer.admitted


def test_a_daemon_that_has_returned_its_shares_is_not_waited_for(fleet):
    name = _follower(fleet)
    assert name in fleet.states[name].catalogue.holders
    fleet.feed(name, DrainRequested(fleet.now))
    fleet.run(0.2)
    assert name not in fleet.states[_leader(fleet)].catalogue.holders


def test_token_requests_wait_for_a_new_leader_and_are_repeated(fleet):
    """The leader fails with requests under way; callers wait through the election."""
    old = _leader(fleet)
    name = _follower(fleet)
    fleet.run(2.0)
    before = len(fleet.admitted)
    fleet.isolated = {old}
    fleet.run(0.7)
    fleet.send_request(name)
    fleet.run(3.5)
    fleet.send_request(name)
    fleet.run(0.3)
    assert len(fleet.admitted) > before


@pytest.mark.parametrize(("low_bandwidth", "waiting_s"), [(False, 0.4), (True, 0.2)])
def test_the_leaders_queue_is_short_where_the_links_are_narrow(
    low_bandwidth, waiting_s
):
    """A customer sends many times its rate to a bucket that has no owner yet."""
    fleet = Daemons(BURST, low_bandwidth=low_bandwidth)
    revision = fleet.states[NAMES[0]].catalogue.customers[CUSTOMER].revision
    fleet.change(
        cat.PutCustomer(cat.CustomerEntry(CUSTOMER, "o", RATE, BURST), revision)
    )
    fleet.run(4.0)
    leader = _leader(fleet)
    (answer,) = _request_tokens(fleet, leader, 12)
    waiting = int(waiting_s * RATE - 1e-6)
    assert len(answer.admitted) == BURST
    assert len(answer.denied) == 12 - BURST - waiting
    assert all(denial.retry_after_s >= waiting_s for denial in answer.denied)


def test_the_queue_is_bounded_however_often_needs_are_sent(fleet):
    """Guards against a leader whose memory grows with the requests for tokens.

    A session has one need at a time, so that the sessions bound the queue, and each
    need leaves it at its deadline.
    """
    leader = _leader(fleet)
    longest = 0
    for _ in range(5):
        _request_tokens(fleet, leader, 500, wait_s=2.0)
        longest = max(
            longest, len(fleet.states[leader].control.ledgers[CUSTOMER].queue)
        )
    assert 0 < longest <= 500
    fleet.run(4.0)
    assert len(fleet.states[leader].control.ledgers[CUSTOMER].queue) == 0
