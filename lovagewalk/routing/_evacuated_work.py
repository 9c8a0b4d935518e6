"""Ends the work at endpoints of evacuated zones."""

from lovagewalk.core import Step, replace
from lovagewalk.node import NodeState
from lovagewalk.pools import Pool
from lovagewalk.records import TransactionEvacuated
from lovagewalk.sessions import Session, TransactionState

from . import _callers, _dispatch, _place, _recovery
from ._evacuation import (
    cannot_be_served,
    is_evacuation_over,
    is_group_evacuated,
    takes_no_work,
)
from ._state import SENT_PHASES, Phase, Request
from ._transactions import abort_transaction
from ._walks import walk_pools, walk_requests, walk_sessions


def end_evacuated_work(state: NodeState, now: float) -> Step[NodeState]:
    """Refuse waiting requests, roll back transactions, and close idle connections."""
    if not state.evacuated_since:
        return Step(state)
    step = walk_requests(
        state, lambda state, request: _end_waiting(state, request, now)
    )
    step = step.then(
        walk_sessions(
            step.state, lambda state, session: _end_transaction(state, session, now)
        )
    )
    return step.then(
        walk_pools(step.state, lambda state, pool: _close_idle(state, pool, now))
    )


def _end_waiting(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Place a request again that waits for an endpoint without work, or refuse it."""
    if request.phase is Phase.TOKENS and cannot_be_served(state, request, now):
        dequeued = _callers.remove_from_queue(state, request)
        return _recovery.refuse_evacuated(dequeued, request)
    if not _waits_in_vain(state, request, now):
        return Step(state)
    dequeued = _callers.remove_from_queue(state, request)
    request = replace(request, phase=Phase.CONNECTION)
    return _place.place(_place.store_request(dequeued, request), request, now)


def _waits_in_vain(state: NodeState, request: Request, now: float) -> bool:
    session = state.sessions[request.caller]
    if session.conn:
        endpoint = state.conn_endpoints.get(session.conn, "")
        is_waiting = request.phase is Phase.BACKOFF
        return is_waiting and is_evacuation_over(state, endpoint, now)
    if request.phase is Phase.CONNECTION:
        return takes_no_work(state, request.endpoint, now)
    if request.phase is Phase.PRIMARY:
        return is_group_evacuated(state, request.group, True, now)
    if request.phase is Phase.BACKOFF:
        return is_group_evacuated(state, request.group, request.at_primary, now)
    return False


def _end_transaction(state: NodeState, session: Session, now: float) -> Step[NodeState]:
    """Roll back a transaction, once no statement of it runs.

    Its caller is told with its next statement.
    """
    endpoint = state.conn_endpoints.get(session.conn, "")
    if not endpoint or not is_evacuation_over(state, endpoint, now):
        return Step(state)
    request = state.requests.get(session.req)
    if request is not None and request.phase in SENT_PHASES:
        return Step(state)
    record = TransactionEvacuated(session.caller, endpoint, session.group)
    step = abort_transaction(state, session, TransactionState.LOST, now)
    return Step(step.state, step.effects + (record,))


def _close_idle(state: NodeState, pool: Pool, now: float) -> Step[NodeState]:
    step = Step(state)
    if not pool.idle or not state.catalogue.is_evacuated(pool.endpoint):
        return step
    if takes_no_work(state, pool.endpoint, now):
        for conn in pool.idle:
            step = step.then(_dispatch.close_connection(step.state, conn, now))
    return step
