"""The checker reports each kind of violation, and none in a correct run."""

import pytest

from lovagewalk.core import reduce
from soak._promises import (
    ChangeEnded,
    ChangeRead,
    CheckerState,
    KeyWithdrawn,
    LimitedServed,
    NotRecovered,
    ReducersFailed,
    RowsRead,
    WithdrawnServed,
    WriteEnded,
    WriteOutcome,
)


def _check(*events):
    state = CheckerState(rate=10.0, burst=2.0)
    for event in events:
        state = reduce(state, event).state
    return state.violations


CORRECT_RUNS = [
    (WriteEnded(1.0, 1, (1,), WriteOutcome.ACKNOWLEDGED), RowsRead(2.0, 1, (1,))),
    (WriteEnded(1.0, 1, (1,), WriteOutcome.UNKNOWN), RowsRead(2.0, 1, ())),
    (WriteEnded(1.0, 1, (1,), WriteOutcome.UNKNOWN), RowsRead(2.0, 1, (1,))),
    (WriteEnded(1.0, 1, (1, 2), WriteOutcome.NOT_STORED), RowsRead(2.0, 1, ())),
    (WriteEnded(1.0, 1, (1,), WriteOutcome.ACKNOWLEDGED), RowsRead(2.0, 2, ())),
    tuple(LimitedServed(1.0 + n * 0.1, 1.0 + n * 0.1) for n in range(20)),
    (KeyWithdrawn(1.0), WithdrawnServed(6.1, 6.0)),
    (ChangeEnded(1.0, 3, True), ChangeEnded(2.0, 4, False), ChangeRead(3.0, 4)),
]
VIOLATIONS = [
    (
        (WriteEnded(1.0, 1, (1,), WriteOutcome.ACKNOWLEDGED), RowsRead(2.0, 1, ())),
        "not visible to",
    ),
    (
        (
            WriteEnded(1.0, 1, (1,), WriteOutcome.ACKNOWLEDGED),
            RowsRead(2.0, 1, (), final=True),
        ),
        "lost",
    ),
    (
        (WriteEnded(1.0, 1, (1,), WriteOutcome.NOT_STORED), RowsRead(2.0, 1, (1,))),
        "reported as not stored",
    ),
    (
        (WriteEnded(1.0, 1, (1,), WriteOutcome.UNKNOWN), RowsRead(2.0, 1, (1, 1))),
        "written twice",
    ),
    (
        (WriteEnded(1.0, 1, (1, 2), WriteOutcome.UNKNOWN), RowsRead(2.0, 1, (2,))),
        "only a part of the transaction",
    ),
    (tuple(LimitedServed(1.0, 1.0) for _ in range(3)), "3 requests served"),
    ((KeyWithdrawn(1.0), WithdrawnServed(6.3, 6.2)), "withdrawn key served"),
    ((ChangeEnded(1.0, 3, True), ChangeRead(3.0, 2)), "change 2 in force"),
    ((NotRecovered(9.0, 20.0),), "not recovered 20 s"),
    ((ReducersFailed(9.0, "vm1", ("SweepTick",)),), "vm1: reducing SweepTick failed"),
]


@pytest.mark.parametrize("events", CORRECT_RUNS)
def test_no_violation_is_reported_for_a_correct_run(events):
    assert _check(*events) == ()


@pytest.mark.parametrize(("events", "text"), VIOLATIONS)
def test_each_kind_of_violation_is_reported(events, text):
    (violation,) = _check(*events)
    assert text in violation
