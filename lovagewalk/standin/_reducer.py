"""Decisions of one stand-in instance: terms, roles, replication."""

from lovagewalk.core import Effect, Step, reduces, replace
from lovagewalk.groups import Role

from . import _state as types
from ._state import DelayedEntry, LogEntry, StandinState, StatusWaiter


def _send_status(
    state: StandinState, ticket: int, now: float, accepted: bool = True
) -> Step[StandinState]:
    effect = types.SendStatus(ticket, state.status(now), accepted)
    return Step(state, (effect,))


@reduces(types.StatusRequested)
def _status_requested(
    state: StandinState, event: types.StatusRequested
) -> Step[StandinState]:
    waiter = StatusWaiter(
        event.ticket, event.term, event.index, event.at + event.wait_s
    )
    if event.wait_s <= 0 or _can_answer(state, waiter, event.at):
        return _send_status(state, event.ticket, event.at)
    return Step(replace(state, waiters=state.waiters + (waiter,)))


def _can_answer(state: StandinState, waiter: StatusWaiter, now: float) -> bool:
    if now >= waiter.deadline or state.term != waiter.term:
        return True
    return state.index >= waiter.index and state.role is not Role.SYNCING


def _answer_waiters(state: StandinState, now: float) -> Step[StandinState]:
    answered = tuple(w for w in state.waiters if _can_answer(state, w, now))
    if not answered:
        return Step(state)
    remaining = tuple(w for w in state.waiters if w not in answered)
    status = state.status(now)
    effects = tuple(types.SendStatus(waiter.ticket, status) for waiter in answered)
    return Step(replace(state, waiters=remaining), effects)


@reduces(types.TransactionCommitted)
def _transaction_committed(
    state: StandinState, event: types.TransactionCommitted
) -> Step[StandinState]:
    entry = LogEntry(state.index + 1, state.term, event.statements)
    state = replace(state, log=state.log.set(entry.index, entry), index=entry.index)
    return _answer_waiters(state, event.at)


@reduces(types.FenceRequested)
def _fence_requested(
    state: StandinState, event: types.FenceRequested
) -> Step[StandinState]:
    if event.term < state.term:
        return _send_status(state, event.ticket, event.at, accepted=False)
    step = Step(state)
    if event.term > state.term:
        state = replace(state, term=event.term, role=Role.FENCED, delayed=())
        state = replace(state, source_host="")
        step = Step(state, (types.RollBackTransactions(),))
    step = step.then(_answer_waiters(step.state, event.at))
    return step.then(_send_status(step.state, event.ticket, event.at))


@reduces(types.PromotionRequested)
def _promotion_requested(
    state: StandinState, event: types.PromotionRequested
) -> Step[StandinState]:
    if event.term != state.term or state.role is Role.REPLICA:
        return _send_status(state, event.ticket, event.at, accepted=False)
    state = replace(
        state,
        role=Role.PRIMARY,
        served_term=event.term,
        source_host="",
        delayed=(),
    )
    return _send_status(state, event.ticket, event.at)


@reduces(types.FollowRequested)
def _follow_requested(
    state: StandinState, event: types.FollowRequested
) -> Step[StandinState]:
    is_primary_of_term = state.role is Role.PRIMARY and event.term == state.term
    if event.term < state.term or is_primary_of_term:
        return _send_status(state, event.ticket, event.at, accepted=False)
    already_follows = (
        event.term == state.term
        and state.role is Role.REPLICA
        and (event.host, event.port) == (state.source_host, state.source_port)
    )
    step = Step(state)
    if not already_follows:
        state = replace(
            state,
            term=event.term,
            role=Role.SYNCING,
            source_host=event.host,
            source_port=event.port,
            delayed=(),
        )
        step = Step(state, (types.RollBackTransactions(),))
    step = step.then(_answer_waiters(step.state, event.at))
    step = step.then(_send_status(step.state, event.ticket, event.at))
    return step.then(_start_fetch(step.state))


def _start_fetch(state: StandinState) -> Step[StandinState]:
    if state.fetching or not state.source_host:
        return Step(state)
    index = state.delayed[-1].entry.index if state.delayed else state.index
    last_term = state.delayed[-1].entry.term if state.delayed else state.last_term
    effect = types.FetchLog(
        state.source_host, state.source_port, state.term, index, last_term
    )
    return Step(replace(state, fetching=True), (effect,))


@reduces(types.LogFetched)
def _log_fetched(state: StandinState, event: types.LogFetched) -> Step[StandinState]:
    state = replace(state, fetching=False)
    if event.term != state.term or not state.source_host:
        return _start_fetch(state)
    state = replace(state, linked_at=event.at)
    if not event.matched:
        return _replace_log(state, event)
    index = state.delayed[-1].entry.index if state.delayed else state.index
    new_entries = tuple(e for e in event.entries if e.index > index)
    due_at = event.at + state.lag_s
    delayed = state.delayed + tuple(
        DelayedEntry(entry, due_at) for entry in new_entries
    )
    state = replace(state, delayed=delayed, role=Role.REPLICA)
    step = _apply_due_entries(state, event.at)
    return step.then(_start_fetch(step.state))


def _replace_log(state: StandinState, event: types.LogFetched) -> Step[StandinState]:
    """Replace a diverged log by the whole log of the primary."""
    entries = event.entries
    index = entries[-1].index if entries else 0
    state = replace(
        state,
        log=type(state.log)((entry.index, entry) for entry in entries),
        index=index,
        delayed=(),
        role=Role.REPLICA,
    )
    step = Step(state, (types.RebuildDatabase(entries),))
    step = step.then(_answer_waiters(state, event.at))
    return step.then(_start_fetch(step.state))


def _apply_due_entries(state: StandinState, now: float) -> Step[StandinState]:
    due = tuple(item.entry for item in state.delayed if item.due_at <= now)
    if not due:
        return Step(state)
    log = state.log
    for entry in due:
        log = log.set(entry.index, entry)
    state = replace(
        state, log=log, index=due[-1].index, delayed=state.delayed[len(due) :]
    )
    effects: tuple[Effect, ...] = (types.ApplyEntries(due),)
    return Step(state, effects).then(_answer_waiters(state, now))


@reduces(types.FetchFailed)
def _fetch_failed(state: StandinState, event: types.FetchFailed) -> Step[StandinState]:
    return Step(replace(state, fetching=False))


@reduces(types.ApplyTick)
def _apply_tick(state: StandinState, event: types.ApplyTick) -> Step[StandinState]:
    step = _apply_due_entries(state, event.at)
    step = step.then(_answer_waiters(step.state, event.at))
    return step.then(_start_fetch(step.state))


@reduces(types.LagChanged)
def _lag_changed(state: StandinState, event: types.LagChanged) -> Step[StandinState]:
    return Step(replace(state, lag_s=event.lag_s))
