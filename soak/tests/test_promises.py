"""The checker reports each kind of violation, and none in a correct run."""

import pytest

from lovagewalk.core import reduce
from soak._promises import (
    ChangeEnded,
    ChangeSeen,
    KeyWithdrawn,
    LimitedServed,
    NotRecovered,
    Promises,
    RowsSeen,
    Told,
    WithdrawnServed,
    WriteEnded,
)


def _judge(*events):
    state = Promises(rate=10.0, burst=2.0)
    for event in events:
        state = reduce(state, event).state
    return state.broken


HONEST = [
    (WriteEnded(1.0, 1, (1,), Told.DONE), RowsSeen(2.0, 1, (1,))),
    (WriteEnded(1.0, 1, (1,), Told.UNKNOWN), RowsSeen(2.0, 1, ())),
    (WriteEnded(1.0, 1, (1,), Told.UNKNOWN), RowsSeen(2.0, 1, (1,))),
    (WriteEnded(1.0, 1, (1, 2), Told.NOT_KEPT), RowsSeen(2.0, 1, ())),
    (WriteEnded(1.0, 1, (1,), Told.DONE), RowsSeen(2.0, 2, ())),
    tuple(LimitedServed(1.0 + n * 0.1, 1.0 + n * 0.1) for n in range(20)),
    (KeyWithdrawn(1.0), WithdrawnServed(6.1, 6.0)),
    (ChangeEnded(1.0, 3, True), ChangeEnded(2.0, 4, False), ChangeSeen(3.0, 4)),
]
BROKEN = [
    ((WriteEnded(1.0, 1, (1,), Told.DONE), RowsSeen(2.0, 1, ())), "not visible to"),
    (
        (WriteEnded(1.0, 1, (1,), Told.DONE), RowsSeen(2.0, 1, (), final=True)),
        "lost",
    ),
    (
        (WriteEnded(1.0, 1, (1,), Told.NOT_KEPT), RowsSeen(2.0, 1, (1,))),
        "reported as not stored",
    ),
    (
        (WriteEnded(1.0, 1, (1,), Told.UNKNOWN), RowsSeen(2.0, 1, (1, 1))),
        "written twice",
    ),
    (
        (WriteEnded(1.0, 1, (1, 2), Told.UNKNOWN), RowsSeen(2.0, 1, (2,))),
        "only a part of the transaction",
    ),
    (tuple(LimitedServed(1.0, 1.0) for _ in range(3)), "3 requests served"),
    ((KeyWithdrawn(1.0), WithdrawnServed(6.3, 6.2)), "withdrawn key served"),
    ((ChangeEnded(1.0, 3, True), ChangeSeen(3.0, 2)), "change 2 in force"),
    ((NotRecovered(9.0, 20.0),), "not recovered 20 s"),
]


@pytest.mark.parametrize("events", HONEST)
def test_an_honest_run_breaks_nothing(events):
    assert _judge(*events) == ()


@pytest.mark.parametrize(("events", "text"), BROKEN)
def test_a_broken_promise_is_named(events, text):
    (broken,) = _judge(*events)
    assert text in broken
