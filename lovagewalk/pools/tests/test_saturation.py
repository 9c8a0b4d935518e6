"""Backoff towards an endpoint that refuses statements while it is saturated."""

from lovagewalk.core import replace
from lovagewalk.pools import (
    Pool,
    enqueue,
    estimate_wait,
    grant,
    may_send,
    note_full,
    note_served,
    opened,
    plan_openings,
    take_idle,
)
from lovagewalk.pools._saturation import (
    FIRST_PAUSE_S,
    MAX_BACKOFF_S,
    REFUSAL_MAX_AGE_S,
    SATURATED_STRIKES,
)


def _refusing_pool(count, now=10.0, limit=5):
    pool = Pool("db1", limit, dedicated=True, fair_limit=3)
    for _ in range(count):
        pool = note_full(pool, now, now)
    return pool


def test_pauses_double_up_to_the_maximum():
    pauses = [_refusing_pool(count).paced_until - 10.0 for count in range(1, 8)]
    assert abs(pauses[0] - FIRST_PAUSE_S) < 1e-9
    assert abs(pauses[1] - 2 * FIRST_PAUSE_S) < 1e-9
    assert abs(pauses[-1] - MAX_BACKOFF_S) < 1e-9


def test_refusals_of_statements_sent_before_the_last_refusal_count_once():
    pool = _refusing_pool(1)
    assert note_full(pool, 9.9, 10.01) is pool


def test_a_saturated_endpoint_gets_one_statement_in_each_pause():
    pool = _refusing_pool(2)
    pool = opened(replace(pool, opening=2), 1, "x")
    pool = opened(replace(pool, opening=1), 2, "x")
    pool = enqueue(enqueue(pool, "", 7), "", 8)
    assert not grant(pool, lambda name: 1.0, 10.01).req
    assert not plan_openings(pool, 10.01).customers
    granted = grant(pool, lambda name: 1.0, 10.04)
    assert granted.req == 7
    assert not grant(granted.pool, lambda name: 1.0, 10.05).req
    served = note_served(granted.pool, 10.05)
    assert grant(served, lambda name: 1.0, 10.05).req == 8, "no pause after an answer"


def test_a_saturated_endpoint_gets_no_connection_beyond_the_fair_limit():
    pool = replace(_refusing_pool(1), opening=3)
    pool = enqueue(pool, "kiosk", 1)
    assert not plan_openings(pool, 10.02).customers
    assert plan_openings(pool, 10.02 + REFUSAL_MAX_AGE_S).customers == ("kiosk",)


def test_old_refusals_cause_no_pause():
    pool = opened(replace(_refusing_pool(6), opening=1), 1, "x")
    later = 10.0 + REFUSAL_MAX_AGE_S
    assert estimate_wait(pool, 10.01) > 0 and estimate_wait(pool, later) == 0
    assert may_send(pool, later)
    taken = take_idle(pool, "", later)
    assert taken.conn == 1 and may_send(taken.pool, later)
    assert note_full(pool, later, later).strikes == 1
    assert note_served(pool, later).strikes == 0


def test_a_short_burst_does_not_count_as_saturation():
    assert not _refusing_pool(SATURATED_STRIKES - 1).crowded
    pool = _refusing_pool(SATURATED_STRIKES)
    assert pool.crowded
    for _ in range(SATURATED_STRIKES - 1):
        pool = note_served(pool, 10.0)
        assert pool.crowded
    assert not note_served(pool, 10.0).crowded
