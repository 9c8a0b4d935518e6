"""The reducer, its registries and the shell, with no socket."""

from dataclasses import dataclass, replace

import pytest

from lovagewalk.core import (
    Code,
    DuplicateHandlerError,
    Effect,
    Event,
    RequiredEffect,
    Shell,
    Step,
    TimerService,
    UnknownTypeError,
    draw,
    performs,
    reduce,
    reduces,
)


@dataclass(frozen=True, slots=True)
class Counted(Event):
    amount: int


@dataclass(frozen=True, slots=True)
class Unhandled(Event):
    pass


@dataclass(frozen=True, slots=True)
class Announce(Effect):
    total: int


@dataclass(frozen=True, slots=True)
class Total:
    value: int = 0


@reduces(Counted)
def _counted(state: Total, event: Counted) -> Step[Total]:
    state = replace(state, value=state.value + event.amount)
    return Step(state, (Announce(state.value),))


class Ports:
    def __init__(self):
        self.totals = []
        self.shell = None


@performs(Announce)
def _announce(ports: Ports, effect: Announce) -> None:
    ports.totals.append(effect.total)
    if effect.total == 1:
        ports.shell.feed(Counted(0.0, 10))


def test_reduce_returns_state_and_effects():
    assert reduce(Total(1), Counted(0.0, 2)) == Step(Total(3), (Announce(3),))


def test_unknown_event_is_an_error():
    with pytest.raises(UnknownTypeError):
        reduce(Total(), Unhandled(0.0))


def test_second_handler_is_an_error():
    with pytest.raises(DuplicateHandlerError):
        reduces(Counted)(_counted)


def test_events_fed_by_performers_are_queued():
    ports = Ports()
    ports.shell = Shell(Total(), ports, TimerService(lambda: 0.0))
    ports.shell.feed(Counted(0.0, 1))
    assert ports.totals == [1, 11]
    assert ports.shell.state == Total(11)


def test_then_joins_effects_in_order():
    step = Step(Total(1), (Announce(1),)).then(Step(Total(2), (Announce(2),)))
    assert step == Step(Total(2), (Announce(1), Announce(2)))


def test_draw_is_a_function_of_the_seed():
    assert draw(7) == draw(7)
    assert draw(draw(7).seed) != draw(7)
    assert 0.0 <= draw(7).value < 1.0


@dataclass(frozen=True, slots=True)
class Save(RequiredEffect):
    pass


@dataclass(frozen=True, slots=True)
class SaveRequested(Event):
    pass


@reduces(SaveRequested)
def _save_requested(state: Total, event: SaveRequested) -> Step[Total]:
    return Step(state, (Save(), Announce(1)))


@performs(Save)
def _save(ports: Ports, effect: Save) -> None:
    raise ValueError("file is closed")


def test_a_failed_write_stops_before_the_effects_that_depend_on_it():
    """An entry was acknowledged though its write had failed without a code."""
    faults = []
    ports = Ports()
    timer = TimerService(lambda: 0.0)
    ports.shell = Shell(Total(), ports, timer, faults.append)
    ports.shell.feed(SaveRequested(0.0))
    assert ports.totals == []
    assert [fault.code for fault in faults] == [Code.EFFECT_FAILED]
