"""The reducer of the load tool: an open loop at the rate of each customer."""

from lovagewalk.core import Effect, Step, draw, reduces, replace

from ._state import (
    CustomerPlan,
    FinishRun,
    LoadState,
    RequestAnswered,
    SendRequest,
    SendTick,
    Tally,
)


@reduces(SendTick)
def _send_tick(state: LoadState, event: SendTick) -> Step[LoadState]:
    if state.finished:
        return Step(state)
    if event.at - state.started_at >= state.plan.seconds:
        return Step(replace(state, finished=True), (FinishRun(),))
    elapsed_s = max(event.at - state.last_tick_at, 0.0)
    step = Step(replace(state, last_tick_at=event.at))
    for customer in state.plan.customers:
        step = step.then(_send_due(step.state, customer, elapsed_s))
    return step


def _send_due(
    state: LoadState, customer: CustomerPlan, elapsed_s: float
) -> Step[LoadState]:
    due = state.carryover.get(customer.name, 0.0) + customer.rate * elapsed_s
    effects: tuple[Effect, ...] = ()
    seed, number = state.seed, state.last_number
    while due >= 1:
        due -= 1
        number += 1
        entry_draw = draw(seed)
        write_draw = draw(entry_draw.seed)
        seed = write_draw.seed
        entry_index = int(entry_draw.value * len(state.plan.entry_addresses))
        is_write = write_draw.value < state.plan.write_share
        effects += (SendRequest(number, customer, entry_index, is_write),)
    tally = state.tallies.get(customer.name, Tally())
    tally = replace(tally, sent=tally.sent + len(effects))
    state = replace(
        state,
        seed=seed,
        last_number=number,
        carryover=state.carryover.set(customer.name, due),
        tallies=state.tallies.set(customer.name, tally),
    )
    return Step(state, effects)


@reduces(RequestAnswered)
def _request_answered(state: LoadState, event: RequestAnswered) -> Step[LoadState]:
    tally = state.tallies.get(event.customer, Tally())
    count = tally.answers.get(event.code, 0) + 1
    tally = replace(tally, answers=tally.answers.set(event.code, count))
    return Step(replace(state, tallies=state.tallies.set(event.customer, tally)))
