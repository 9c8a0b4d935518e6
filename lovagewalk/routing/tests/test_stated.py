"""Routes that state what reads must include, before a provider's group."""

import pytest

from lovagewalk.core import Code, replace
from lovagewalk.groups import Position
from lovagewalk.pools import Refused
from lovagewalk.routing import (
    DiscardSettings,
    Failure,
    PrepareShape,
    SetValue,
    StatementKind,
)
from lovagewalk.sessions import PreparedShape

from .stated_site import FAR, KEY, NEAR, PRIMARY, ROUTES, STALENESS_S, Site


def test_bounded_read_takes_the_near_replica_and_the_oldest_young_proof():
    site = Site()
    site.now += 1.0
    site.prove(Position(1, 20))
    caller = site.connect("board")
    site.read(caller)
    run = site.take()
    assert site.where(run) == NEAR
    assert run.wait_for == Position(1, 10) and not run.vouch
    site.done(run, Position(1, 15))
    site.now += 1.0
    site.read(caller)
    assert site.take().wait_for == Position(1, 20), "the first proof is too old"


def test_without_a_young_proof_the_primary_has_to_prove_its_role():
    site = Site()
    site.now += STALENESS_S + 0.1
    req = site.read(site.connect("board"))
    run = site.take()
    assert site.where(run) == PRIMARY and run.vouch and run.wait_for is None
    site.done(run, Position(1, 30))
    assert site.answers[req].refusal is None
    site.read(site.connect("board"))
    assert site.take().wait_for == Position(1, 30), "its answer is a proof itself"


def test_a_read_on_a_primary_route_is_vouched_for():
    site = Site()
    site.read(site.connect("till"))
    run = site.take()
    assert site.where(run) == PRIMARY and run.vouch


def test_a_sessions_read_waits_for_its_own_write():
    site = Site()
    caller = site.connect("alloc")
    site.write(caller)
    run = site.take()
    assert site.where(run) == PRIMARY and not run.begin
    site.done(run, Position(1, 44))
    site.read(caller)
    run = site.take()
    assert site.where(run) == NEAR and run.wait_for == Position(1, 44)
    site.read(site.connect("alloc"))
    assert site.take().wait_for == Position(1, 10), "another session need not wait"


def test_a_write_of_an_older_term_is_read_at_the_primary():
    """No log may hold its position, if the promotion rolled it back."""
    site = Site()
    caller = site.connect("alloc")
    site.write(caller)
    site.done(site.take(), Position(1, 44))
    site.install(2, NEAR)
    site.prove(Position(1, 40))
    site.read(caller)
    run = site.take()
    assert site.where(run) == NEAR and run.vouch and run.wait_for is None
    site.done(run, Position(2, 50))
    site.read(caller)
    assert site.take().wait_for == Position(2, 50)


def test_a_change_of_term_drops_proofs_of_the_old_one():
    site = Site()
    site.install(2, NEAR)
    site.read(site.connect("board"))
    assert site.take().vouch


def test_a_transaction_for_reading_stays_on_its_replica():
    site = Site()
    caller = site.connect("board")
    site.ask(caller, StatementKind.BEGIN_READ)
    assert not site.runs, "it takes no connection before its first statement"
    site.read(caller)
    first = site.take()
    assert first.begin and first.read_only and first.wait_for == Position(1, 10)
    site.done(first, Position(1, 12), open_transaction=True)
    site.read(caller)
    second = site.take()
    assert second.conn == first.conn and not second.begin
    assert second.wait_for is None


def test_a_plain_transaction_runs_at_the_primary():
    site = Site()
    caller = site.connect("alloc")
    site.ask(caller, StatementKind.BEGIN)
    site.read(caller)
    run = site.take()
    assert site.where(run) == PRIMARY and run.begin and not run.read_only


def test_reading_for_a_primary_route_opens_a_plain_transaction():
    """Only a plain transaction is refused by an instance that lost the lead."""
    site = Site()
    caller = site.connect("till")
    site.ask(caller, StatementKind.BEGIN_READ)
    site.read(caller)
    assert not site.take().read_only


@pytest.mark.parametrize("failure", [Failure.BUSY, Failure.BEHIND, Failure.ERROR])
def test_a_read_goes_on_to_the_next_endpoint(failure):
    site = Site()
    req = site.read(site.connect("board"))
    seen = []
    for _ in range(3):
        run = site.take()
        seen.append(site.where(run))
        site.fail(run, failure)
    assert seen == [NEAR, PRIMARY, FAR]
    assert req not in site.answers
    site.sweep()
    assert site.where(site.take()) in (NEAR, PRIMARY), "then from the start again"


def test_a_lost_read_is_run_again_elsewhere():
    site = Site()
    req = site.read(site.connect("board"))
    site.lose(site.take())
    run = site.take()
    assert site.where(run) == PRIMARY and req not in site.answers


def test_a_busy_primary_is_asked_again_shortly():
    site = Site()
    req = site.write(site.connect("till"))
    site.fail(site.take(), Failure.BUSY)
    assert not site.runs and req not in site.answers
    site.sweep()
    run = site.take()
    assert site.where(run) == PRIMARY
    site.done(run, Position(1, 11))
    assert site.answers[req].refusal is None


def test_a_lost_write_is_never_sent_again():
    site = Site()
    req = site.write(site.connect("till"))
    site.lose(site.take())
    site.sweep()
    assert not site.runs
    assert site.refusal(req) is Code.CONNECTION_LOST


def test_a_write_that_never_left_is_sent_again():
    site = Site()
    req = site.write(site.connect("till"))
    site.fail(site.take(), Failure.NOT_SENT, usable=False)
    assert site.take().req == req


def test_a_write_that_meets_a_replaced_primary_waits_for_the_new_one():
    site = Site()
    req = site.write(site.connect("till"))
    site.fail(site.take(), Failure.READ_ONLY)
    site.sweep()
    assert not site.runs and req not in site.answers
    site.install(2, NEAR)
    assert site.where(site.take()) == NEAR


def test_what_no_primary_takes_is_refused_as_not_run_at_its_limit():
    site = Site()
    req = site.write(site.connect("till"))
    site.fail(site.take(), Failure.READ_ONLY)
    site.sweep(1.1)
    assert site.refusal(req) is Code.NO_ENDPOINT


def test_a_write_without_an_answer_is_in_doubt_at_its_limit():
    site = Site()
    req = site.write(site.connect("till"))
    site.sweep(1.1)
    assert site.refusal(req) is Code.TIMED_OUT


def test_a_read_without_an_answer_keeps_nothing_at_its_limit():
    site = Site()
    req = site.read(site.connect("till"))
    site.sweep(1.1)
    assert site.refusal(req) is Code.OVERLOADED


def _begin(site, name, statement=StatementKind.WRITE):
    caller = site.connect(name)
    site.ask(caller, StatementKind.BEGIN)
    site.ask(caller, statement)
    return caller


def test_a_transaction_is_opened_anew_if_its_first_statement_is_lost():
    """What an uncommitted transaction did is rolled back with its connection."""
    site = Site()
    _begin(site, "till")
    first = site.take()
    site.lose(first)
    site.sweep()
    again = site.take()
    assert again.begin and again.conn != first.conn and again.req == first.req


def test_a_later_loss_ends_the_transaction():
    site = Site()
    caller = _begin(site, "till")
    site.done(site.take(), Position(1, 10), open_transaction=True)
    req = site.write(caller)
    site.lose(site.take())
    assert site.refusal(req) is Code.TRANSACTION_LOST
    assert site.answers[req].failed_transaction
    late = site.read(caller)
    assert site.refusal(late) is Code.TRANSACTION_LOST and not site.runs
    end = site.ask(caller, StatementKind.ROLLBACK)
    assert site.answers[end].refusal is None
    assert not site.answers[end].failed_transaction


def test_a_busy_statement_stays_in_its_transaction():
    site = Site()
    caller = _begin(site, "till")
    first = site.take()
    site.done(first, Position(1, 10), open_transaction=True)
    req = site.write(caller)
    site.fail(site.take(), Failure.BUSY, open_transaction=True)
    site.sweep()
    run = site.take()
    assert run.conn == first.conn and run.req == req and not run.begin


@pytest.mark.parametrize(
    ("kind", "code"),
    [
        (StatementKind.WRITE, Code.CONNECTION_LOST),
        (StatementKind.READ, Code.TRANSACTION_LOST),
    ],
)
def test_a_lost_commit_is_in_doubt_only_if_something_was_written(kind, code):
    site = Site()
    caller = _begin(site, "till", kind)
    site.done(site.take(), Position(1, 10), open_transaction=True)
    req = site.ask(caller, StatementKind.COMMIT, "COMMIT")
    site.lose(site.take())
    assert site.refusal(req) is code
    assert not site.answers[req].failed_transaction


def test_an_idle_transaction_is_rolled_back():
    site = Site()
    caller = _begin(site, "till")
    site.done(site.take(), Position(1, 10), open_transaction=True)
    site.sweep(3.5)
    assert site.state.sessions[caller].conn, "the statement's own time is added"
    site.sweep(0.6)
    req = site.ask(caller, StatementKind.COMMIT, "COMMIT")
    assert site.refusal(req) is Code.TRANSACTION_LOST


def _expire_lease(site):
    site.state = replace(site.state, fresh_until=site.now)


def test_no_keyed_statement_leaves_without_a_lease():
    site = Site(connections=1)
    busy = site.connect("till")
    site.write(busy)
    held = site.take()
    waiting = site.write(site.connect("till"))
    _expire_lease(site)
    site.done(held, Position(1, 11))
    assert not site.runs
    assert site.refusal(waiting) is Code.CONFIG_STALE
    assert site.refusal(site.write(busy)) is Code.CONFIG_STALE


def test_a_commit_without_a_lease_is_rolled_back():
    site = Site()
    caller = _begin(site, "till")
    site.done(site.take(), Position(1, 10), open_transaction=True)
    _expire_lease(site)
    req = site.ask(caller, StatementKind.COMMIT, "COMMIT")
    assert not site.runs and site.refusal(req) is Code.TRANSACTION_LOST


def test_a_statement_carries_the_end_of_its_lease():
    site = Site()
    site.write(site.connect("till"))
    assert site.take().valid_until == site.state.fresh_until


def test_a_withdrawn_key_ends_its_sessions():
    site = Site()
    idle, busy = site.connect("till"), site.connect("till")
    req = site.write(busy)
    site.configure(2, keys=("another",))
    assert site.closed[idle].code is Code.KEY_WITHDRAWN
    assert busy not in site.closed, "what an endpoint runs is answered"
    site.done(site.take(), Position(1, 11))
    assert site.answers[req].refusal is None and busy in site.closed
    site.connect("till", KEY)
    assert site.closed[max(site.closed)].code is Code.KEY_UNKNOWN


def test_a_route_that_moved_is_followed_from_the_next_operation():
    site = Site()
    caller = site.connect("board")
    site.configure(2, routes=(replace(ROUTES[1], statement_timeout_s=0.2),))
    req = site.read(caller)
    site.sweep(0.3)
    assert site.refusal(req) is Code.OVERLOADED
    site.configure(3, routes=ROUTES[:1])
    assert site.closed[caller].code is Code.ROUTE_UNKNOWN


def test_a_connection_carries_just_the_sessions_settings():
    site = Site(connections=1)
    first, second = site.connect("till"), site.connect("till")
    site.set(first, "tz", "utc")
    site.set(first, "lang", "ja")
    site.write(first)
    run = site.take()
    assert set(run.setup) == {SetValue("tz", "utc"), SetValue("lang", "ja")}
    site.done(run, Position(1, 11))
    site.write(first)
    again = site.take()
    assert again.setup == (), "only what differs is sent"
    site.done(again, Position(1, 12))
    site.set(second, "tz", "jst")
    site.write(second)
    other = site.take()
    assert other.conn == run.conn
    assert other.setup == (DiscardSettings(), SetValue("tz", "jst"))


def test_prepared_statements_are_shared_by_content():
    site = Site(connections=1)
    first, second = site.connect("till"), site.connect("till")
    shape = PreparedShape(True, "q2c")
    site.prepare(first, "s1", shape)
    site.prepare(second, "other", shape)
    site.execute(first, "s1")
    run = site.take()
    assert run.setup == (PrepareShape(shape),) and run.prepared == shape
    assert run.text == "item"
    site.done(run, Position(1, 11))
    site.execute(second, "other")
    assert site.take().setup == ()


def test_a_name_means_what_its_own_session_prepared():
    site = Site(connections=1)
    first, second = site.connect("till"), site.connect("till")
    site.prepare(first, "s1", PreparedShape(True, "one"))
    site.prepare(second, "s1", PreparedShape(True, "two"))
    site.execute(first, "s1")
    site.done(site.take(), Position(1, 11))
    site.execute(second, "s1")
    assert site.take().prepared.shape == "two"
    unknown = site.execute(site.connect("till"), "s1")
    assert site.refusal(unknown) is Code.STATEMENT_UNKNOWN


def test_an_endpoint_that_forgot_a_name_is_given_it_anew():
    site = Site()
    caller = site.connect("till")
    shape = PreparedShape(True, "q2c")
    site.prepare(caller, "s1", shape)
    site.execute(caller, "s1")
    run = site.take()
    site.fail(run, Failure.UNKNOWN_NAME, usable=False)
    again = site.take()
    assert again.conn != run.conn and again.setup == (PrepareShape(shape),)


def test_a_leaving_endpoint_gets_no_new_work():
    site = Site()
    site.read(site.connect("board"))
    running = site.take()
    assert site.where(running) == NEAR
    site.announce(NEAR, sequence=2, leaving=True)
    site.read(site.connect("board"))
    assert site.where(site.take()) == PRIMARY
    site.done(running, Position(1, 12))
    site.read(site.connect("board"))
    assert site.where(site.take()) == PRIMARY


def test_a_connection_to_an_earlier_start_is_not_used():
    site = Site()
    site.read(site.connect("board"))
    run = site.take()
    endpoint = site.state.catalogue.endpoints[NEAR]
    endpoints = site.state.catalogue.endpoints.set(NEAR, replace(endpoint, born=78))
    catalogue = replace(site.state.catalogue, endpoints=endpoints)
    site.state = replace(site.state, catalogue=catalogue)
    site.done(run, Position(1, 12))
    site.read(site.connect("board"))
    assert site.take().conn != run.conn


def test_an_unreachable_endpoint_is_left_at_once():
    site = Site()
    site.refusing[NEAR] = Refused.UNREACHABLE
    site.read(site.connect("board"))
    assert site.where(site.take()) == PRIMARY
    site.read(site.connect("board"))
    assert site.where(site.take()) == PRIMARY, "it is asked last for a while"


def test_a_full_endpoint_is_left_for_this_request_only():
    site = Site()
    site.refusing[NEAR] = Refused.TOO_MANY
    site.read(site.connect("board"))
    assert site.where(site.take()) == PRIMARY
    site.refusing.clear()
    site.sweep(0.1)
    site.read(site.connect("board"))
    assert site.where(site.take()) == NEAR


def test_a_silent_endpoint_is_left_while_there_is_another():
    site = Site()
    req = site.read(site.connect("board"))
    silent = site.take()
    assert site.where(silent) == NEAR
    site.sweep(0.7)
    run = site.take()
    assert site.where(run) == PRIMARY and run.req == req


def test_without_a_lease_nothing_is_said_to_be_unknown():
    """A daemon that has just started knows no route and no key yet."""
    site = Site()
    _expire_lease(site)
    for name, key in (("till", KEY), ("nowhere", KEY), ("till", "another")):
        caller = site.connect(name, key)
        assert site.closed[caller].code is Code.CONFIG_STALE
        assert site.closed[caller].retry_after_s > 0


def test_a_lapsed_lease_ends_no_session_for_good():
    site = Site()
    caller = site.connect("till")
    routes = site.state.catalogue.routes.delete("till")
    catalogue = replace(site.state.catalogue, routes=routes)
    site.state = replace(site.state, catalogue=catalogue)
    _expire_lease(site)
    assert site.refusal(site.read(caller)) is Code.CONFIG_STALE


def test_a_read_does_not_queue_for_one_endpoint_while_others_are_free():
    """Connections of VMs that lost power fill an instance for seconds."""
    site = Site()
    site.hanging.add(NEAR)
    req = site.read(site.connect("board"))
    assert not site.runs and site.state.requests[req].endpoint == NEAR
    for _ in range(10):
        site.sweep()
    run = site.take()
    assert site.where(run) == PRIMARY and run.req == req


def test_a_write_goes_on_waiting_for_a_connection_to_the_primary():
    site = Site()
    site.hanging.add(PRIMARY)
    req = site.write(site.connect("till"))
    for _ in range(10):
        site.sweep()
    assert not site.runs and site.state.requests[req].endpoint == PRIMARY


def _serve_reads(site, count, times):
    """Serve reads one after the other; return how often each endpoint ran one."""
    seen = {}
    caller = site.connect("board")
    for _ in range(count):
        site.prove(Position(1, 10))
        site.read(caller)
        run = site.take()
        name = site.where(run)
        seen[name] = seen.get(name, 0) + 1
        site.now += times.get(name, 0.03)
        site.done(run, Position(1, 12))
        site.now += 0.05
    return seen


def test_an_endpoint_that_has_turned_slow_is_left_and_tried_again_later():
    """An instance works at a fifth of its speed; its neighbour does not."""
    site = Site()
    _serve_reads(site, 5, {})
    slow = _serve_reads(site, 30, {NEAR: 0.25})
    assert slow[NEAR] <= 6 and slow[PRIMARY] >= 24
    site.now += 3.0
    again = _serve_reads(site, 20, {})
    assert again[NEAR] >= 15


def test_statements_of_unlike_length_make_no_endpoint_slow():
    site = Site()
    seen = {}
    for length in (0.008, 0.06, 0.02, 0.09, 0.03) * 4:
        for name, count in _serve_reads(site, 1, {NEAR: length}).items():
            seen[name] = seen.get(name, 0) + count
    assert seen == {NEAR: 20}


def test_an_endpoint_that_fails_reads_is_asked_last_for_a_while():
    """Its health is good, but it fails part of its requests."""
    site = Site()
    site.read(site.connect("board"))
    site.fail(site.take(), Failure.ERROR)
    site.done(site.take(), Position(1, 12))
    site.read(site.connect("board"))
    assert site.where(site.take()) == PRIMARY


def _cut_off(site, seconds):
    """Let a daemon fail to reach the primary for a while."""
    site.refusing[PRIMARY] = Refused.UNREACHABLE
    reqs = []
    for _ in range(int(seconds / 0.1)):
        reqs.append(site.write(site.connect("till")))
        site.sweep(0.1)
    return reqs


def test_a_daemon_that_is_cut_off_from_a_primary_refuses_at_once():
    """The callers' next try may reach a daemon that is not cut off."""
    site = Site()
    _cut_off(site, 1.0)
    req = site.write(site.connect("till"))
    assert site.refusal(req) is Code.NO_ENDPOINT
    assert site.answers[req].refusal.retry_after_s > 0
    read = site.read(site.connect("board"))
    assert read not in site.answers, "replicas serve on"


def test_a_cut_off_daemon_finds_out_when_it_is_over():
    site = Site()
    _cut_off(site, 1.0)
    site.refusing.clear()
    site.sweep(0.6)
    req = site.write(site.connect("till"))
    assert site.where(site.take()) == PRIMARY and req not in site.answers


def test_callers_are_held_while_a_primary_is_being_replaced():
    site = Site()
    site.refusing[PRIMARY] = Refused.UNREACHABLE
    held = site.write(site.connect("till"))
    site.sweep(0.3)
    site.allocate()
    site.sweep(0.3)
    late = site.write(site.connect("till"))
    site.sweep(0.2)
    assert held not in site.answers and late not in site.answers
    site.install(2, NEAR)
    assert {run.req for run in site.runs} == {held, late}
