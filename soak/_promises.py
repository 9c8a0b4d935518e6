"""Checks what callers observed against the guarantees of the fleet.

The checker is a reducer over observations, independent of processes and sockets.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from lovagewalk.core import Event, Step, reduces, replace

# Every daemon has to refuse a withdrawn key after this time.
REVOKE_LIMIT_S = 5.0


class Told(Enum):
    """Outcome of a write as its caller received it."""

    DONE = "done"
    NOT_KEPT = "not kept"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class WriteEnded(Event):
    """A write, or a transaction of writes, was answered or abandoned."""

    session: int
    rows: tuple[int, ...]
    told: Told


@dataclass(frozen=True, slots=True)
class RowsSeen(Event):
    """A session read its rows.

    Attributes
    ----------
    final : bool
        Whether the read took place after the fleet had recovered.
    """

    session: int
    rows: tuple[int, ...]
    final: bool = False


@dataclass(frozen=True, slots=True)
class LimitedServed(Event):
    """A request of the rate-limited customer was served.

    Attributes
    ----------
    sent_at : float
        Time at which it was sent; it was admitted between `sent_at` and `at`.
    """

    sent_at: float


@dataclass(frozen=True, slots=True)
class KeyWithdrawn(Event):
    """Control acknowledged the withdrawal of the key."""


@dataclass(frozen=True, slots=True)
class WithdrawnServed(Event):
    """A request with the key that is withdrawn during the run was served."""

    sent_at: float


@dataclass(frozen=True, slots=True)
class ChangeEnded(Event):
    """A change of the operator was answered; `number` increases with each change."""

    number: int
    accepted: bool


@dataclass(frozen=True, slots=True)
class ChangeSeen(Event):
    """The current number was read back after the fleet had recovered."""

    number: int


@dataclass(frozen=True, slots=True)
class NotRecovered(Event):
    """The fleet did not recover in time after the last fault."""

    after_s: float


@dataclass(frozen=True, slots=True)
class Promises:
    """State of the checker.

    Attributes
    ----------
    rate, burst : float
        Limits of the rate-limited customer.
    told : Map of int to Told
        Outcome of the write of each row.
    told_at : Map of int to float
        Time of the outcome of each row.
    written : Map of int to tuple of int
        Acknowledged rows of each session.
    groups : Map of int to tuple of int
        For each row, the rows of its transaction.
    served : tuple of LimitedServed
        Served requests of the rate-limited customer.
    withdrawn_at : float
        Time at which the withdrawal of the key was acknowledged; 0 before.
    accepted : int
        Highest number among accepted changes of the operator.
    started_at : float
        Start of the faults; violations state their times relative to it.
    broken : tuple of str
        One sentence for each violation of a guarantee.
    """

    rate: float
    burst: float
    told: Map = Map()
    told_at: Map = Map()
    written: Map = Map()
    groups: Map = Map()
    served: tuple[LimitedServed, ...] = ()
    withdrawn_at: float = 0.0
    accepted: int = 0
    started_at: float = 0.0
    broken: tuple[str, ...] = ()


def _break(state: Promises, at: float, text: str) -> Promises:
    at_s = at - state.started_at
    return replace(state, broken=state.broken + (f"{at_s:.3f} s: {text}",))


@reduces(WriteEnded)
def _write_ended(state: Promises, event: WriteEnded) -> Step[Promises]:
    told, groups, told_at = state.told, state.groups, state.told_at
    for row in event.rows:
        told = told.set(row, event.told)
        told_at = told_at.set(row, event.at)
        groups = groups.set(row, event.rows)
    written = state.written
    if event.told is Told.DONE:
        held = written.get(event.session, ())
        written = written.set(event.session, held + event.rows)
    state = replace(state, told=told, told_at=told_at)
    return Step(replace(state, groups=groups, written=written))


@reduces(RowsSeen)
def _rows_seen(state: Promises, event: RowsSeen) -> Step[Promises]:
    seen = set(event.rows)
    who = f"session {event.session}"
    for row in state.written.get(event.session, ()):
        if row not in seen:
            kind = "lost" if event.final else "not visible to its own session"
            since_s = state.told_at[row] - state.started_at
            text = f"{who}: row {row}, acknowledged at {since_s:.3f} s, {kind}"
            state = _break(state, event.at, text)
    if len(seen) < len(event.rows):
        doubled = sorted(row for row in seen if event.rows.count(row) > 1)
        state = _break(state, event.at, f"{who}: rows written twice: {doubled}")
    for row in seen:
        if state.told.get(row) is Told.NOT_KEPT:
            text = f"{who}: row {row} is present, though reported as not stored"
            state = _break(state, event.at, text)
        group = state.groups.get(row, (row,))
        if not seen.issuperset(group):
            text = f"{who}: only a part of the transaction {group} is visible"
            state = _break(state, event.at, text)
    return Step(state)


@reduces(LimitedServed)
def _limited_served(state: Promises, event: LimitedServed) -> Step[Promises]:
    served = state.served + (event,)
    for first in served:
        inside = sum(item.sent_at >= first.sent_at for item in served)
        allowed = state.rate * (event.at - first.sent_at) + state.burst
        if inside > allowed + 1e-6:
            text = f"{inside} requests served since {first.sent_at:.3f} s"
            text = f"{text}, where {allowed:.1f} are allowed"
            return Step(_break(replace(state, served=served), event.at, text))
    return Step(replace(state, served=served))


@reduces(KeyWithdrawn)
def _key_withdrawn(state: Promises, event: KeyWithdrawn) -> Step[Promises]:
    return Step(replace(state, withdrawn_at=event.at))


@reduces(WithdrawnServed)
def _withdrawn_served(state: Promises, event: WithdrawnServed) -> Step[Promises]:
    if not state.withdrawn_at:
        return Step(state)
    if event.sent_at <= state.withdrawn_at + REVOKE_LIMIT_S:
        return Step(state)
    late_s = event.sent_at - state.withdrawn_at
    return Step(_break(state, event.at, f"withdrawn key served after {late_s:.1f} s"))


@reduces(ChangeEnded)
def _change_ended(state: Promises, event: ChangeEnded) -> Step[Promises]:
    if not event.accepted:
        return Step(state)
    return Step(replace(state, accepted=max(state.accepted, event.number)))


@reduces(ChangeSeen)
def _change_seen(state: Promises, event: ChangeSeen) -> Step[Promises]:
    if event.number >= state.accepted:
        return Step(state)
    text = f"change {event.number} in force, though {state.accepted} was accepted"
    return Step(_break(state, event.at, text))


@reduces(NotRecovered)
def _not_recovered(state: Promises, event: NotRecovered) -> Step[Promises]:
    text = f"the fleet has not recovered {event.after_s:.0f} s after the last fault"
    return Step(_break(state, event.at, text))
