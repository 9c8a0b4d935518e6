"""Statements that fail, are lost or reach a replaced primary."""

import pytest

from lovagewalk.core import Code
from lovagewalk.groups import Position
from lovagewalk.routing import Failure, StatementKind

from .provider_site import FAR, NEAR, PRIMARY, Site


@pytest.mark.parametrize("failure", [Failure.BUSY, Failure.BEHIND, Failure.ERROR])
def test_a_failed_read_moves_to_the_next_endpoint(failure):
    site = Site()
    req = site.read(site.connect("board"))
    endpoints = []
    for _ in range(3):
        run = site.pop_run()
        endpoints.append(site.get_endpoint(run))
        site.fail(run, failure)
    assert endpoints == [NEAR, PRIMARY, FAR]
    assert req not in site.answers
    site.sweep()
    assert site.get_endpoint(site.pop_run()) in (
        NEAR,
        PRIMARY,
    ), "all endpoints were tried, so the choice starts over"


def test_a_lost_read_is_run_again_elsewhere():
    site = Site()
    req = site.read(site.connect("board"))
    site.lose_answer(site.pop_run())
    run = site.pop_run()
    assert site.get_endpoint(run) == PRIMARY and req not in site.answers


def test_a_write_is_retried_after_a_backoff_at_a_busy_primary():
    site = Site()
    req = site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.BUSY)
    assert not site.runs and req not in site.answers
    site.sweep()
    run = site.pop_run()
    assert site.get_endpoint(run) == PRIMARY
    site.complete(run, Position(1, 11))
    assert site.answers[req].refusal is None


def test_a_lost_write_is_never_sent_again():
    site = Site()
    req = site.write(site.connect("till"))
    site.lose_answer(site.pop_run())
    site.sweep()
    assert not site.runs
    assert site.refusal_code(req) is Code.CONNECTION_LOST


def test_a_write_that_was_not_sent_is_retried():
    site = Site()
    req = site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.NOT_SENT, usable=False)
    assert site.pop_run().req == req


def test_a_write_refused_by_a_replaced_primary_waits_for_the_new_one():
    site = Site()
    req = site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.READ_ONLY)
    site.sweep()
    assert not site.runs and req not in site.answers
    site.install(2, NEAR)
    assert site.get_endpoint(site.pop_run()) == NEAR


def test_a_write_without_a_primary_is_refused_as_not_run_at_its_time_limit():
    site = Site()
    req = site.write(site.connect("till"))
    site.fail(site.pop_run(), Failure.READ_ONLY)
    site.sweep(1.1)
    assert site.refusal_code(req) is Code.NO_ENDPOINT


def test_a_write_without_an_answer_is_in_doubt_at_its_time_limit():
    site = Site()
    req = site.write(site.connect("till"))
    site.sweep(1.1)
    assert site.refusal_code(req) is Code.TIMED_OUT


def test_a_read_without_an_answer_is_refused_at_its_time_limit():
    site = Site()
    req = site.read(site.connect("till"))
    site.sweep(1.1)
    assert site.refusal_code(req) is Code.OVERLOADED


def test_a_transaction_is_reopened_if_its_first_statement_is_lost():
    """The effects of an uncommitted transaction are rolled back with its connection."""
    site = Site()
    site.begin("till")
    first = site.pop_run()
    site.lose_answer(first)
    site.sweep()
    again = site.pop_run()
    assert again.begin and again.conn != first.conn and again.req == first.req


def test_losing_a_later_statement_ends_the_transaction():
    site = Site()
    caller = site.begin("till")
    site.complete(site.pop_run(), Position(1, 10), open_transaction=True)
    req = site.write(caller)
    site.lose_answer(site.pop_run())
    assert site.refusal_code(req) is Code.TRANSACTION_LOST
    assert site.answers[req].failed_transaction
    late = site.read(caller)
    assert site.refusal_code(late) is Code.TRANSACTION_LOST and not site.runs
    end = site.send(caller, StatementKind.ROLLBACK)
    assert site.answers[end].refusal is None
    assert not site.answers[end].failed_transaction


def test_a_busy_statement_stays_in_its_transaction():
    site = Site()
    caller = site.begin("till")
    first = site.pop_run()
    site.complete(first, Position(1, 10), open_transaction=True)
    req = site.write(caller)
    site.fail(site.pop_run(), Failure.BUSY, open_transaction=True)
    site.sweep()
    run = site.pop_run()
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
    caller = site.begin("till", kind)
    site.complete(site.pop_run(), Position(1, 10), open_transaction=True)
    req = site.send(caller, StatementKind.COMMIT, "COMMIT")
    site.lose_answer(site.pop_run())
    assert site.refusal_code(req) is code
    assert not site.answers[req].failed_transaction


def test_an_idle_transaction_is_rolled_back():
    site = Site()
    caller = site.begin("till")
    site.complete(site.pop_run(), Position(1, 10), open_transaction=True)
    site.sweep(3.5)
    assert site.state.sessions[caller].conn, "the statement's own time is added"
    site.sweep(0.6)
    req = site.send(caller, StatementKind.COMMIT, "COMMIT")
    assert site.refusal_code(req) is Code.TRANSACTION_LOST
