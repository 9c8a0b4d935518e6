"""Pure decisions on the pace, for any order of answers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lovagewalk.core import replace
from lovagewalk.pace import (
    PaceCause,
    PaceState,
    compute_interval,
    compute_share,
    count_sendable,
    create_pace,
    record_answer,
    record_busy,
    record_error,
    record_lost,
    record_sent,
    record_time_out,
    restart_pace,
)
from lovagewalk.pace._decisions import (
    DEFAULT_SLOTS,
    DISTURBING_ERRORS,
    JITTER_FRACTION,
    MAX_INTERVAL_S,
    STEADY_LIMIT,
)

SHARE = compute_share(4, 60)
OUTCOMES = ("answer", "slow", "busy", "time-out", "lost", "error", "restart", "send")


def _probing(cause=PaceCause.RESTARTED, now=10.0):
    return restart_pace(create_pace(SHARE, 7), cause, now)


def _apply(pace, outcome, sent_at, now):
    return {
        "answer": lambda: record_answer(pace, 1, 0.014, sent_at, now),
        "slow": lambda: record_answer(pace, 1, 0.5, sent_at, now),
        "busy": lambda: record_busy(pace, 1, 2, sent_at, now),
        "time-out": lambda: record_time_out(pace, 2, sent_at, now),
        "lost": lambda: record_lost(pace, sent_at, now),
        "error": lambda: record_error(pace, now),
        "restart": lambda: restart_pace(pace, PaceCause.PROMOTED, now),
        "send": lambda: record_sent(pace, (1,), now),
    }[outcome]()


@given(
    st.lists(st.tuples(st.sampled_from(OUTCOMES), st.floats(0.0, 0.3)), max_size=40),
    st.integers(1, 900),
)
@settings(deadline=None, derandomize=True)
def test_whatever_is_answered_a_probe_leaves_within_the_longest_interval(steps, fleet):
    """A pace that stops leaves an endpoint idle for good while requests wait."""
    pace, now = create_pace(compute_share(4, fleet), 7), 10.0
    for outcome, elapsed_s in steps:
        now += elapsed_s
        pace = _apply(pace, outcome, now - 0.01, now)
        floor = min(pace.share, STEADY_LIMIT)
        assert not pace.is_limited or floor <= pace.limit <= STEADY_LIMIT
        later = now + MAX_INTERVAL_S * (1 + JITTER_FRACTION)
        assert count_sendable(pace, 0, later) != 0


def test_an_endpoint_without_a_disturbance_is_not_limited():
    pace = create_pace(SHARE, 7)
    assert count_sendable(pace, 1000, 10.0) is None
    assert record_sent(pace, (1,), 10.0) is pace
    assert record_answer(pace, 1, 0.3, 9.0, 10.0) is pace


def test_refusals_of_what_was_sent_before_the_last_one_count_once():
    pace = record_busy(create_pace(SHARE, 7), 1, 8, 9.9, 10.0)
    assert pace.limit == 4.0 and pace.state is PaceState.RISING
    assert record_busy(pace, 2, 7, 9.95, 10.01).limit == 4.0
    assert record_busy(pace, 2, 7, 10.0, 10.02).limit == 2.0


def test_latency_far_above_the_best_lowers_the_limit_to_the_equal_part_at_most():
    """A slow endpoint still runs as many statements at a time as it has slots."""
    pace = record_answer(_probing(), 1, 0.02, 10.0, 10.1)
    raised = pace.limit
    assert raised > SHARE
    now = 10.1
    for _ in range(30):
        now += 0.1
        pace = record_answer(pace, 1, 0.9, now, now)
        pace = replace(pace, best_s=0.02)
    assert pace.limit == SHARE and pace.cause is PaceCause.LATENCY


def test_an_answer_that_is_not_comparable_does_not_change_the_latency():
    """A commit also waits for replicas."""
    pace = record_answer(_probing(), 1, 0.02, 10.0, 10.1)
    assert record_answer(pace, 1, 0.0, 10.1, 10.2).latency_s == 0.02


def test_single_errors_are_no_disturbance():
    """One caller's wrong statements must not limit what others send."""
    pace = create_pace(SHARE, 7)
    for _ in range(3):
        for _ in range(DISTURBING_ERRORS - 1):
            pace = record_error(pace, 10.0)
        pace = record_answer(pace, 1, 0.01, 9.9, 10.0)
        assert not pace.is_limited
    for _ in range(DISTURBING_ERRORS):
        pace = record_error(pace, 10.0)
    assert pace.state is PaceState.UNKNOWN and pace.cause is PaceCause.ERRORS


def test_errors_lower_a_pace_that_has_risen():
    """With a limit on statements in flight alone, fast errors make a high rate."""
    pace = record_answer(_probing(), 1, 0.014, 10.0, 10.1)
    while pace.limit < 1.0:
        pace = record_answer(pace, 1, 0.014, 10.1, 10.2)
    for _ in range(DISTURBING_ERRORS):
        pace = record_error(pace, 10.3)
    assert pace.limit == SHARE
    assert record_error(pace, 10.4).next_send_at == pace.next_send_at


def test_a_cold_endpoint_is_not_steady_before_its_time():
    pace = restart_pace(create_pace(SHARE, 7), PaceCause.JOINED, 10.0, 2.0)
    now = 10.0
    while now < 11.9:
        now += 0.1
        pace = record_answer(pace, 1, 0.02, now, now)
    assert pace.state is PaceState.RISING
    pace = record_answer(pace, 1, 0.02, 12.0, 12.0)
    assert pace.state is PaceState.STEADY


def test_unknown_numbers_of_slots_and_daemons():
    """Before the first report, and for endpoints that announce no slots."""
    assert compute_share(0, 0) == DEFAULT_SLOTS
    pace = restart_pace(create_pace(DEFAULT_SLOTS, 7), PaceCause.LOST, 10.0)
    assert pace.limit == DEFAULT_SLOTS and compute_interval(pace) == 0.0


def test_a_single_daemon_may_use_all_slots_of_an_endpoint_that_restarts():
    """Its equal part is all of them; one statement at a time would leave three idle."""
    pace = restart_pace(create_pace(compute_share(4, 1), 7), PaceCause.RESTARTED, 10.0)
    assert count_sendable(pace, 0, 10.0) == 4
    assert record_busy(pace, 1, 4, 10.0, 10.1).limit == 4
