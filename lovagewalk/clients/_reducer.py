"""Reducers of the client budget."""

from lovagewalk.core import Code, Effect, Refusal, Step, draw, reduces, replace
from lovagewalk.node import NodeState
from lovagewalk.records import (
    ClientsClosed,
    ClientsPaused,
    ClientsRefused,
    ClientsResumed,
)

from . import _policy
from ._effects import CloseClient, MeasureClients, PauseClient, ResumeClient
from ._events import (
    ClientConnected,
    ClientGone,
    ClientHeld,
    ClientsTick,
    ClientWaiting,
)
from ._policy import ClosureReason
from ._state import (
    ClientBudget,
    ClientKind,
    ClosureKey,
    ClosureTally,
    ConnectionSource,
    Holding,
    WaitingClient,
)

# By then, what is without progress has been closed.
RETRY_AFTER_S = 2.0
BYTES_PER_KIB = 1024


def _with_budget(
    state: NodeState, budget: ClientBudget, *effects: Effect
) -> Step[NodeState]:
    return Step(replace(state, client_budget=budget), effects)


@reduces(ClientConnected)
def _client_connected(state: NodeState, event: ClientConnected) -> Step[NodeState]:
    budget = _count_connection(state.client_budget, event.kind, event.source, 1)
    admission = _policy.admit(state.client_budget, event.kind, event.source, event.at)
    if admission.reason is not None:
        budget, effect = _close(
            budget, event.client, event.kind, admission.reason, refused=True
        )
        return _with_budget(state, budget, effect)
    effects: tuple[Effect, ...] = ()
    if admission.evicted:
        budget, effect = _close(
            budget, admission.evicted, event.kind, ClosureReason.SILENT
        )
        effects = (effect,)
    waiting = WaitingClient(event.kind, event.at)
    budget = replace(budget, waiting=budget.waiting.set(event.client, waiting))
    step = _with_budget(state, budget, *effects)
    return step.then(_enforce(step.state, budget, event.at))


def _count_connection(
    budget: ClientBudget, kind: ClientKind, address: str, change: int
) -> ClientBudget:
    source = ConnectionSource(kind, address)
    connections = budget.connections.get(kind, 0) + change
    from_source = budget.sources.get(source, 0) + change
    sources = budget.sources.set(source, from_source)
    if from_source <= 0:
        sources = sources.delete(source)
    return replace(
        budget, connections=budget.connections.set(kind, connections), sources=sources
    )


@reduces(ClientWaiting)
def _client_waiting(state: NodeState, event: ClientWaiting) -> Step[NodeState]:
    budget = state.client_budget
    waiting = budget.waiting
    if event.waiting:
        waiting = waiting.set(event.client, WaitingClient(event.kind, event.at))
    elif event.client in waiting:
        waiting = waiting.delete(event.client)
    return _with_budget(state, replace(budget, waiting=waiting))


@reduces(ClientHeld)
def _client_held(state: NodeState, event: ClientHeld) -> Step[NodeState]:
    budget = state.client_budget
    holding = _policy.update_holding(
        budget.holdings.get(event.client),
        event.kind,
        event.message,
        event.ahead,
        event.unread,
        event.at,
    )
    budget = _policy.store_holding(budget, event.client, holding)
    return _enforce(state, budget, event.at)


def record_stored(
    state: NodeState, caller: int, stored_bytes: int, now: float
) -> Step[NodeState]:
    """Record what the session of a caller stores, and act on the pressure."""
    budget = state.client_budget
    holding = budget.holdings.get(caller) or Holding(
        ClientKind.CALLER, since=now, progressed_at=now
    )
    holding = replace(holding, stored=stored_bytes)
    return _enforce(state, _policy.store_holding(budget, caller, holding), now)


@reduces(ClientGone)
def _client_gone(state: NodeState, event: ClientGone) -> Step[NodeState]:
    budget = _count_connection(state.client_budget, event.kind, event.source, -1)
    return _enforce(state, _forget(budget, event.client), event.at)


def _forget(budget: ClientBudget, client: int) -> ClientBudget:
    budget = _policy.remove_holding(budget, client)
    if client in budget.waiting:
        budget = replace(budget, waiting=budget.waiting.delete(client))
    return budget


@reduces(ClientsTick)
def _clients_tick(state: NodeState, event: ClientsTick) -> Step[NodeState]:
    budget = state.client_budget
    effects: tuple[Effect, ...] = ()
    for client, reason in _policy.find_overdue(budget, event.at):
        holder = budget.holdings.get(client) or budget.waiting[client]
        budget, effect = _close(budget, client, holder.kind, reason)
        effects += (effect,)
    unread = tuple(c for c, held in budget.holdings.items() if held.unread)
    if unread:
        effects += (MeasureClients(unread),)
    step = _with_budget(state, budget, *effects)
    step = step.then(_enforce(step.state, budget, event.at))
    return step.then(_report_closures(step.state))


def _enforce(state: NodeState, budget: ClientBudget, now: float) -> Step[NodeState]:
    """Close, pause and resume connections as the pressure requires."""
    if not budget.paused and budget.held_bytes <= budget.limits.pause_bytes:
        return _with_budget(state, budget)
    effects: tuple[Effect, ...] = ()
    for client in _policy.choose_closed(budget, now):
        kind = budget.holdings[client].kind
        budget, effect = _close(budget, client, kind, ClosureReason.MEMORY)
        effects += (effect,)
    step = _with_budget(state, budget, *effects)
    if _policy.is_pressure_over(budget):
        return step.then(_resume_all(step.state, budget))
    return step.then(_pause(step.state, budget, now))


def _pause(state: NodeState, budget: ClientBudget, now: float) -> Step[NodeState]:
    was_paused = budget.paused
    effects: tuple[PauseClient, ...] = ()
    for client in _policy.choose_paused(budget, now):
        held = budget.holdings[client]
        if not held.paused:
            budget = _policy.store_holding(budget, client, replace(held, paused=True))
            effects += (PauseClient(client),)
    if effects and not was_paused:
        held_kib = budget.held_bytes // BYTES_PER_KIB
        effects += (ClientsPaused(effects[0].client, budget.paused, held_kib),)
    return _with_budget(state, budget, *effects)


def _resume_all(state: NodeState, budget: ClientBudget) -> Step[NodeState]:
    if not budget.paused:
        return _with_budget(state, budget)
    effects: tuple[ResumeClient, ...] = ()
    for client, held in budget.holdings.items():
        if held.paused:
            resumed = replace(held, paused=False)
            budget = _policy.store_holding(budget, client, resumed)
            effects += (ResumeClient(client),)
    held_kib = budget.held_bytes // BYTES_PER_KIB
    record = ClientsResumed(effects[0].client, held_kib)
    return _with_budget(state, budget, *effects, record)


def _close(
    budget: ClientBudget,
    client: int,
    kind: ClientKind,
    reason: ClosureReason,
    refused: bool = False,
) -> tuple[ClientBudget, CloseClient]:
    """Release what a connection holds, and return the effect that closes it.

    It counts as a connection until it has ended.
    """
    held = budget.holdings.get(client)
    key = ClosureKey(kind, reason.value, refused)
    tally = budget.closures.get(key) or ClosureTally(client)
    held_bytes = tally.held_bytes + (held.total if held is not None else 0)
    tally = replace(tally, count=tally.count + 1, held_bytes=held_bytes)
    budget = replace(_forget(budget, client), closures=budget.closures.set(key, tally))
    jitter = draw(client).value
    retry_after_s = RETRY_AFTER_S * (1 + jitter) / 2
    refusal = Refusal(Code.CLIENT_LIMIT, reason.value, retry_after_s=retry_after_s)
    return budget, CloseClient(client, kind.value, reason.value, refusal)


def _report_closures(state: NodeState) -> Step[NodeState]:
    """Log the closures since the last tick; each alone would crowd out other lines."""
    budget = state.client_budget
    if not budget.closures:
        return Step(state)
    records: tuple[Effect, ...] = ()
    for key, tally in budget.closures.items():
        record_type = ClientsRefused if key.refused else ClientsClosed
        held_kib = tally.held_bytes // BYTES_PER_KIB
        kind = key.kind.value
        records += (record_type(tally.first, kind, key.reason, tally.count, held_kib),)
    budget = replace(budget, closures=type(budget.closures)())
    return _with_budget(state, budget, *records)
