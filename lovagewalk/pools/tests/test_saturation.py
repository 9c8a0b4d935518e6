"""Backoff towards an endpoint that refuses statements while it is saturated."""

from lovagewalk.core import replace
from lovagewalk.pools import (
    Pool,
    add_connection,
    assign_idle,
    assign_next,
    enqueue,
    estimate_wait,
    may_send,
    plan_openings,
    record_refusal,
    record_served,
)
from lovagewalk.pools._saturation import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    REFUSAL_MAX_AGE_S,
    SATURATION_REFUSALS,
)


def _refusing_pool(count, now=10.0, limit=5):
    pool = Pool("db1", limit, dedicated=True, fair_limit=3)
    for _ in range(count):
        pool = record_refusal(pool, now, now)
    return pool


def test_backoff_doubles_up_to_the_maximum():
    backoffs_s = [_refusing_pool(count).backoff_until - 10.0 for count in range(1, 8)]
    assert abs(backoffs_s[0] - FIRST_BACKOFF_S) < 1e-9
    assert abs(backoffs_s[1] - 2 * FIRST_BACKOFF_S) < 1e-9
    assert abs(backoffs_s[-1] - MAX_BACKOFF_S) < 1e-9


def test_refusals_of_statements_sent_before_the_last_refusal_count_once():
    pool = _refusing_pool(1)
    assert record_refusal(pool, 9.9, 10.01) is pool


def test_a_saturated_endpoint_gets_one_statement_in_each_backoff():
    pool = _refusing_pool(2)
    pool = add_connection(replace(pool, opening=2), 1, "x")
    pool = add_connection(replace(pool, opening=1), 2, "x")
    pool = enqueue(enqueue(pool, "", 7), "", 8)
    assert not assign_next(pool, lambda name: 1.0, 10.01).req
    assert not plan_openings(pool, 10.01).customers
    assigned = assign_next(pool, lambda name: 1.0, 10.04)
    assert assigned.req == 7
    assert not assign_next(assigned.pool, lambda name: 1.0, 10.05).req
    served = record_served(assigned.pool, 10.05)
    assert (
        assign_next(served, lambda name: 1.0, 10.05).req == 8
    ), "no backoff after an answer"


def test_a_saturated_endpoint_gets_no_connection_beyond_the_fair_limit():
    pool = replace(_refusing_pool(1), opening=3)
    pool = enqueue(pool, "kiosk", 1)
    assert not plan_openings(pool, 10.02).customers
    assert plan_openings(pool, 10.02 + REFUSAL_MAX_AGE_S).customers == ("kiosk",)


def test_old_refusals_cause_no_backoff():
    pool = add_connection(replace(_refusing_pool(6), opening=1), 1, "x")
    later = 10.0 + REFUSAL_MAX_AGE_S
    assert estimate_wait(pool, 10.01) > 0 and estimate_wait(pool, later) == 0
    assert may_send(pool, later)
    assigned = assign_idle(pool, "", later)
    assert assigned.conn == 1 and may_send(assigned.pool, later)
    assert record_refusal(pool, later, later).refusals == 1
    assert record_served(pool, later).refusals == 0


def test_a_short_burst_does_not_count_as_saturation():
    assert not _refusing_pool(SATURATION_REFUSALS - 1).saturated
    pool = _refusing_pool(SATURATION_REFUSALS)
    assert pool.saturated
    for _ in range(SATURATION_REFUSALS - 1):
        pool = record_served(pool, 10.0)
        assert pool.saturated
    assert not record_served(pool, 10.0).saturated
