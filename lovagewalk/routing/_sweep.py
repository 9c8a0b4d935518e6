"""Ends requests that wait too long; moves requests after a change of primary."""

from dataclasses import dataclass

from lovagewalk.core import Code, Event, Refusal, Step, every, reduces, replace
from lovagewalk.groups import is_isolated_from_primary
from lovagewalk.node import NodeState
from lovagewalk.pools import (
    Pool,
    estimate_queued_turn,
    find_surplus,
    find_unsettled,
    record_loss,
)
from lovagewalk.records import ConnectionUnsettled
from lovagewalk.sessions import Session, TransactionState
from lovagewalk.shares import Share, return_tokens, take_token

from . import (
    _admit,
    _callers,
    _dispatch,
    _evacuated_work,
    _outcome,
    _place,
    _recovery,
)
from ._answer import answer
from ._draining import answer_deadline, refuses_operations
from ._pacing import log_pace_change
from ._state import Phase, Request
from ._transactions import abort_transaction, end_transaction
from ._types import StatementKind
from ._walks import walk_pools, walk_requests, walk_sessions, walk_shares

# Upper limit of the delay by which a deadline is enforced late.
SWEEP_PERIOD_S = 0.02
# Time limit of a running statement whose route has no explicit consistency.
RUNNING_LIMIT_S = 60.0
# A read counts as lost after this time without an answer from its endpoint: twice the
# duration of the longest undisturbed statement of the users' sites.
UNRESPONSIVE_AFTER_S = 0.6
# A read that waits longer for a connection moves to another endpoint; a connection to
# the other region opens within this time.
READ_QUEUE_LIMIT_S = 0.1
# Added to the idle limit, since idle time includes the last statement's run: the
# longest statement timeout that the users' sites set for transactions.
IDLE_MARGIN_S = 1.0
# The steps that set up a connection need no slot of the endpoint, so their answers come
# within a round trip.
SETUP_TIMEOUT_S = UNRESPONSIVE_AFTER_S
# Phases in which a request may move to another endpoint.
_MOVABLE_PHASES = frozenset(
    (Phase.PRIMARY, Phase.CONNECTION, Phase.REPLICA, Phase.BACKOFF)
)
_EXPIRY_CODES = {
    Phase.CONNECTION: Code.OVERLOADED,
    Phase.PRIMARY: Code.NO_ENDPOINT,
    Phase.CONFIRMING: Code.UNCONFIRMED,
}


@every(SWEEP_PERIOD_S)
@dataclass(frozen=True, slots=True)
class SweepTick(Event):
    """Periodic check of waiting and running requests."""


@reduces(SweepTick)
def _sweep(state: NodeState, event: SweepTick) -> Step[NodeState]:
    now = event.at
    step = _callers.answer_early_callers(state, now)
    step = step.then(_admit_all_waiting(step.state, now))
    step = step.then(_evacuated_work.end_evacuated_work(step.state, now))
    step = step.then(
        walk_requests(step.state, lambda state, req: _sweep_request(state, req, now))
    )
    for name, view in step.state.groups.items():
        if view.waiters:
            step = step.then(_place.await_positions(step.state, name, now, True))
    step = step.then(
        walk_pools(step.state, lambda state, pool: _sweep_pool(state, pool, now))
    )
    closes_idle = step.state.identity.drain_limits.operations_s > 0
    if closes_idle and refuses_operations(step.state, now):
        step = step.then(_callers.close_idle_sessions(step.state, now))
    return step.then(_end_idle_transactions(step.state, now))


def _sweep_pool(state: NodeState, pool: Pool, now: float) -> Step[NodeState]:
    """Close unused connections beyond the fair limit; send what waits.

    A lowered limit is restored when its time is over.
    """
    step = Step(state)
    endpoint = pool.endpoint
    for conn in find_surplus(pool, now):
        step = step.then(_dispatch.close_connection(step.state, conn, now))
    for conn in find_unsettled(pool, now):
        record = ConnectionUnsettled(endpoint, conn, "an answer is owed")
        step = step.then(Step(step.state, (record,)))
        step = step.then(_dispatch.close_connection(step.state, conn, now))
    if 0 < pool.limit_lowered_until <= now:
        limit = _place.empty_pool(state, endpoint).limit
        pool = replace(step.state.pools[endpoint], limit=limit, limit_lowered_until=0.0)
        restored = replace(step.state, pools=step.state.pools.set(endpoint, pool))
        step = Step(restored, step.effects)
    if pool.waiting:
        step = step.then(_dispatch.dispatch(step.state, endpoint, now))
    return step


def _end_idle_transactions(state: NodeState, now: float) -> Step[NodeState]:
    """Roll back transactions that have been idle for too long.

    Idle time counts from the last statement's arrival, so the limit includes the
    time that a statement may take.
    """
    limit_s = state.catalogue.idle_transaction_s
    if not limit_s:
        return Step(state)

    def visit(state: NodeState, session: Session) -> Step[NodeState]:
        expired = now - session.idle_since >= limit_s + IDLE_MARGIN_S
        if not session.conn or session.req or not expired:
            return Step(state)
        return abort_transaction(state, session, TransactionState.LOST, now)

    return walk_sessions(state, visit)


def _admit_all_waiting(state: NodeState, now: float) -> Step[NodeState]:
    return walk_shares(
        state,
        lambda state, share: (
            admit_waiting(state, share.customer, now) if share.waiting else Step(state)
        ),
    )


def admit_waiting(state: NodeState, customer: str, now: float) -> Step[NodeState]:
    """Admit as many of a customer's waiting requests as it has tokens for.

    Where this daemon owns the customer's bucket, the requests stand in the bucket's
    queue together with those of other daemons, and are admitted in its order.
    """
    step = Step(state)
    if state.shares[customer].is_whole_bucket:
        return step
    while True:
        share = step.state.shares[customer]
        if not share.waiting:
            return step
        taken = take_token(share, now)
        if not taken.admitted:
            return step
        req = share.waiting[0]
        share = replace(taken.share, waiting=share.waiting[1:])
        state = replace(step.state, shares=step.state.shares.set(customer, share))
        step = Step(state, step.effects)
        request = state.requests.get(req)
        if request is None:
            continue
        if request.reserved_fraction:
            share = return_tokens(share, request.reserved_fraction, now)
            state = replace(state, shares=state.shares.set(customer, share))
            step = Step(state, step.effects)
        step = step.then(
            _admit.run_admitted(state, replace(request, reserved_fraction=0.0), now)
        )


def _sweep_request(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    waited = now - request.arrived_at
    if request.phase is Phase.REPLICA and waited >= _place.MAX_REPLICA_WAIT_S:
        moved = replace(request, phase=Phase.CONNECTION)
        return _place.place(_place.store_request(state, moved), moved, now)
    if request.phase is Phase.TOKENS:
        return _sweep_waiting_for_token(state, request, now)
    if request.has_explicit_consistency:
        return _sweep_explicit(state, request, now)
    is_overdue = waited >= RUNNING_LIMIT_S or now >= answer_deadline(state)
    if request.phase is Phase.RUNNING and is_overdue:
        return _time_out_running(state, request, now)
    if now < request.deadline:
        return Step(state)
    return _expire(state, request)


def _sweep_waiting_for_token(
    state: NodeState, request: Request, now: float
) -> Step[NodeState]:
    """Refuse a request whose token comes too late, or that nobody can grant."""
    share = state.shares.get(request.customer) or Share(request.customer)
    if _admit.lacks_token_source(state, share, now):
        refusal = _admit.silent_control_refusal(request)
    elif now >= _admit.token_deadline(request):
        refusal = _admit.rate_refusal(state, request)
    else:
        return Step(state)
    return answer(_callers.remove_from_queue(state, request), request, refusal)


def _sweep_explicit(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    if now >= request.deadline:
        return _expire_explicit(state, request, now)
    if request.phase is Phase.BACKOFF and now >= request.retry_at:
        moved = replace(request, phase=Phase.CONNECTION)
        return _place.place(_place.store_request(state, moved), moved, now)
    if request.phase is Phase.CONNECTION and not request.at_primary:
        return _move_queued_read(state, request, now)
    if request.phase is Phase.CONNECTION and is_isolated_from_primary(
        state, request.group, now
    ):
        return _recovery.refuse_unreachable_primary(
            _callers.remove_from_queue(state, request), request
        )
    wait_s = _estimate_turn(state, request, now)
    if wait_s > request.deadline - now:
        dequeued = _callers.remove_from_queue(state, request)
        return _recovery.refuse_overloaded(dequeued, request, wait_s)
    if request.phase is Phase.SETUP and now - request.sent_at >= SETUP_TIMEOUT_S:
        return _time_out_setup(state, request, now)
    if request.phase is Phase.RUNNING and _is_unresponsive(state, request, now):
        event = _outcome.StatementFailed(
            now, request.req, request.conn, _outcome.Failure.LOST, detail="silent"
        )
        return _outcome.handle_failure(state, event)
    return Step(state)


def _time_out_setup(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Run a request on another connection, since this one's setup is not answered.

    Only an endpoint that has answered nothing else either counts as lost.
    """
    is_silent = _has_answered_nothing(state, request)
    failure = _outcome.Failure.LOST if is_silent else _outcome.Failure.NOT_SENT
    event = _outcome.StatementFailed(
        now, request.req, request.conn, failure, detail="setup not answered"
    )
    return _outcome.handle_failure(state, event)


def _estimate_turn(state: NodeState, request: Request, now: float) -> float:
    """Return how long the pace of an endpoint delays a queued request, in seconds."""
    pool = state.pools.get(request.endpoint)
    if pool is None or request.phase is not Phase.CONNECTION:
        return 0.0
    return estimate_queued_turn(pool, request.customer, request.req, now)


def _move_queued_read(
    state: NodeState, request: Request, now: float
) -> Step[NodeState]:
    """Move a read to another endpoint if it gets no connection in time."""
    if now - request.queued_at < READ_QUEUE_LIMIT_S:
        return Step(state)
    dequeued = _callers.remove_from_queue(state, request)
    return _recovery.place_again(dequeued, _recovery.record_tried(request), now)


def _is_unresponsive(state: NodeState, request: Request, now: float) -> bool:
    """Whether a read's endpoint has answered nothing since the read was sent.

    False before `UNRESPONSIVE_AFTER_S` has passed, and always at the primary.
    """
    if not request.is_read or request.at_primary:
        return False
    is_overdue = now - request.sent_at >= UNRESPONSIVE_AFTER_S
    return is_overdue and _has_answered_nothing(state, request)


def _has_answered_nothing(state: NodeState, request: Request) -> bool:
    """Whether a request's endpoint has answered nothing since the request was sent."""
    pool = state.pools.get(request.endpoint)
    return pool is None or pool.answered_at <= request.sent_at


def _expire_explicit(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Answer a statement whose time limit has passed."""
    session = state.sessions[request.caller]
    running = request.phase is Phase.RUNNING
    awaits_endpoint = running or request.phase is Phase.SETUP
    in_doubt = running and request.kind is StatementKind.WRITE and not session.conn
    if running and request.kind is StatementKind.COMMIT and session.has_written:
        in_doubt = True
    if session.conn and not in_doubt:
        return _recovery.abort_and_answer(state, request, now, "time limit")
    code = (
        Code.TIMED_OUT
        if in_doubt
        else _EXPIRY_CODES.get(request.phase, Code.OVERLOADED)
    )
    if not awaits_endpoint:
        dequeued = _callers.remove_from_queue(state, request)
        return answer(dequeued, request, Refusal(code))
    endpoint = request.endpoint
    ejected = _place.update_pool(
        _recovery.eject(state, endpoint, now),
        endpoint,
        lambda pool: record_loss(pool, request.sent_at, now),
    )
    step = Step(ejected, log_pace_change(state, ejected, endpoint))
    step = step.then(_dispatch.close_connection(ejected, request.conn, now))
    if session.conn:
        ended = end_transaction(step.state, session, TransactionState.NONE)
        step = Step(ended, step.effects)
    step = step.then(answer(step.state, request, Refusal(code)))
    return step.then(_dispatch.dispatch(step.state, endpoint, now))


def _time_out_running(
    state: NodeState, request: Request, now: float
) -> Step[NodeState]:
    event = _outcome.StatementFailed(
        now, request.req, request.conn, _outcome.Failure.LOST, detail="time limit"
    )
    request = replace(request, deadline=now)
    return _outcome.handle_failure(_place.store_request(state, request), event)


def _expire(state: NodeState, request: Request) -> Step[NodeState]:
    code = _EXPIRY_CODES.get(request.phase)
    if code is None:
        return Step(state)
    if request.may_have_run:
        code = Code.CONNECTION_LOST
    return answer(_callers.remove_from_queue(state, request), request, Refusal(code))


def place_waiting_again(state: NodeState, group: str, now: float) -> Step[NodeState]:
    """Place a group's waiting requests again after a change of its configuration."""

    def visit(state: NodeState, request: Request) -> Step[NodeState]:
        if request.group != group or request.phase not in _MOVABLE_PHASES:
            return Step(state)
        dequeued = _callers.remove_from_queue(state, request)
        request = replace(request, phase=Phase.CONNECTION)
        return _place.place(_place.store_request(dequeued, request), request, now)

    return walk_requests(state, visit)


def move_waiting(state: NodeState, endpoint: str, now: float) -> Step[NodeState]:
    """Move requests from an endpoint's queue to other endpoints, where possible."""

    def visit(state: NodeState, request: Request) -> Step[NodeState]:
        is_queued = request.phase is Phase.CONNECTION and request.endpoint == endpoint
        if not is_queued or not request.has_explicit_consistency:
            return Step(state)
        dequeued = _callers.remove_from_queue(state, request)
        if request.at_primary:
            return _recovery.back_off(dequeued, request, now)
        return _recovery.place_again(dequeued, _recovery.record_tried(request), now)

    return walk_requests(state, visit)
