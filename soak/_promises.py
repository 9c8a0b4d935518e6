"""Checks what callers observed against the guarantees of the fleet.

The checker is a reducer over observations, independent of processes and sockets.
"""

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from lovagewalk.core import Event, Step, reduces, replace

# Every daemon has to refuse a key once this time has passed since its withdrawal.
WITHDRAWAL_LIMIT_S = 5.0


class WriteOutcome(Enum):
    """Outcome of a write as its caller received it."""

    ACKNOWLEDGED = "done"
    NOT_STORED = "not kept"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class WriteEnded(Event):
    """A write, or a transaction of writes, was answered or abandoned."""

    session: int
    rows: tuple[int, ...]
    outcome: WriteOutcome


@dataclass(frozen=True, slots=True)
class RowsRead(Event):
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
class ChangeRead(Event):
    """The current number was read back after the fleet had recovered."""

    number: int


@dataclass(frozen=True, slots=True)
class NotRecovered(Event):
    """The fleet did not recover in time after the last fault."""

    after_s: float


@dataclass(frozen=True, slots=True)
class ProcessEnded(Event):
    """A process ended that no fault had stopped."""

    name: str
    status: int


@dataclass(frozen=True, slots=True)
class ReducersFailed(Event):
    """A process logged that its reducers of some events failed.

    Attributes
    ----------
    events : tuple of str
        Types of the events; the state kept its value from before each of them.
    """

    name: str
    events: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CheckerState:
    """State of the checker.

    Attributes
    ----------
    rate, burst : float
        Limits of the rate-limited customer.
    outcomes : Map of int to WriteOutcome
        Outcome of the write of each row.
    answered_at : Map of int to float
        Time of the outcome of each row.
    acknowledged : Map of int to tuple of int
        Acknowledged rows of each session.
    transactions : Map of int to tuple of int
        For each row, the rows of its transaction.
    served : tuple of LimitedServed
        Served requests of the rate-limited customer.
    withdrawn_at : float
        Time at which the withdrawal of the key was acknowledged; 0 before.
    accepted : int
        Highest number among accepted changes of the operator.
    started_at : float
        Start of the faults; violations state their times relative to it.
    violations : tuple of str
        One sentence for each violation of a guarantee.
    """

    rate: float
    burst: float
    outcomes: Map = Map()
    answered_at: Map = Map()
    acknowledged: Map = Map()
    transactions: Map = Map()
    served: tuple[LimitedServed, ...] = ()
    withdrawn_at: float = 0.0
    accepted: int = 0
    started_at: float = 0.0
    violations: tuple[str, ...] = ()


def _add_violation(state: CheckerState, at: float, text: str) -> CheckerState:
    at_s = at - state.started_at
    return replace(state, violations=state.violations + (f"{at_s:.3f} s: {text}",))


@reduces(WriteEnded)
def _write_ended(state: CheckerState, event: WriteEnded) -> Step[CheckerState]:
    outcomes, transactions, answered_at = (
        state.outcomes,
        state.transactions,
        state.answered_at,
    )
    for row in event.rows:
        outcomes = outcomes.set(row, event.outcome)
        answered_at = answered_at.set(row, event.at)
        transactions = transactions.set(row, event.rows)
    acknowledged = state.acknowledged
    if event.outcome is WriteOutcome.ACKNOWLEDGED:
        earlier = acknowledged.get(event.session, ())
        acknowledged = acknowledged.set(event.session, earlier + event.rows)
    state = replace(state, outcomes=outcomes, answered_at=answered_at)
    return Step(replace(state, transactions=transactions, acknowledged=acknowledged))


@reduces(RowsRead)
def _rows_read(state: CheckerState, event: RowsRead) -> Step[CheckerState]:
    seen = set(event.rows)
    label = f"session {event.session}"
    for row in state.acknowledged.get(event.session, ()):
        if row not in seen:
            problem = "lost" if event.final else "not visible to its own session"
            at_s = state.answered_at[row] - state.started_at
            text = f"{label}: row {row}, acknowledged at {at_s:.3f} s, {problem}"
            state = _add_violation(state, event.at, text)
    if len(seen) < len(event.rows):
        duplicates = sorted(row for row in seen if event.rows.count(row) > 1)
        state = _add_violation(
            state, event.at, f"{label}: rows written twice: {duplicates}"
        )
    for row in seen:
        if state.outcomes.get(row) is WriteOutcome.NOT_STORED:
            text = f"{label}: row {row} is present, though reported as not stored"
            state = _add_violation(state, event.at, text)
        transaction = state.transactions.get(row, (row,))
        if not seen.issuperset(transaction):
            text = f"{label}: only a part of the transaction {transaction} is visible"
            state = _add_violation(state, event.at, text)
    return Step(state)


@reduces(LimitedServed)
def _limited_served(state: CheckerState, event: LimitedServed) -> Step[CheckerState]:
    served = state.served + (event,)
    for first in served:
        count = sum(item.sent_at >= first.sent_at for item in served)
        allowed = state.rate * (event.at - first.sent_at) + state.burst
        if count > allowed + 1e-6:
            text = f"{count} requests served since {first.sent_at:.3f} s"
            text = f"{text}, where {allowed:.1f} are allowed"
            return Step(_add_violation(replace(state, served=served), event.at, text))
    return Step(replace(state, served=served))


@reduces(KeyWithdrawn)
def _key_withdrawn(state: CheckerState, event: KeyWithdrawn) -> Step[CheckerState]:
    return Step(replace(state, withdrawn_at=event.at))


@reduces(WithdrawnServed)
def _withdrawn_served(
    state: CheckerState, event: WithdrawnServed
) -> Step[CheckerState]:
    if not state.withdrawn_at:
        return Step(state)
    if event.sent_at <= state.withdrawn_at + WITHDRAWAL_LIMIT_S:
        return Step(state)
    delay_s = event.sent_at - state.withdrawn_at
    return Step(
        _add_violation(state, event.at, f"withdrawn key served after {delay_s:.1f} s")
    )


@reduces(ChangeEnded)
def _change_ended(state: CheckerState, event: ChangeEnded) -> Step[CheckerState]:
    if not event.accepted:
        return Step(state)
    return Step(replace(state, accepted=max(state.accepted, event.number)))


@reduces(ChangeRead)
def _change_read(state: CheckerState, event: ChangeRead) -> Step[CheckerState]:
    if event.number >= state.accepted:
        return Step(state)
    text = f"change {event.number} in force, though {state.accepted} was accepted"
    return Step(_add_violation(state, event.at, text))


@reduces(NotRecovered)
def _not_recovered(state: CheckerState, event: NotRecovered) -> Step[CheckerState]:
    text = f"the fleet has not recovered {event.after_s:.0f} s after the last fault"
    return Step(_add_violation(state, event.at, text))


@reduces(ReducersFailed)
def _reducers_failed(state: CheckerState, event: ReducersFailed) -> Step[CheckerState]:
    text = f"{event.name}: reducing {', '.join(event.events)} failed"
    return Step(_add_violation(state, event.at, text))


@reduces(ProcessEnded)
def _process_ended(state: CheckerState, event: ProcessEnded) -> Step[CheckerState]:
    text = f"{event.name} ended by itself with status {event.status}"
    return Step(_add_violation(state, event.at, text))
