"""Reducers of pool connections that open, fail to open, or break."""

from lovagewalk.core import Effect, Step, reduces, replace
from lovagewalk.groups import record_primary_failure
from lovagewalk.node import NodeState
from lovagewalk.records import ConnectionUnsettled
from lovagewalk.routing import _callers, _dispatch, _place, _recovery, _sweep
from lovagewalk.routing._pacing import log_pace_change
from lovagewalk.routing._state import SENT_PHASES
from lovagewalk.routing._transactions import end_transaction
from lovagewalk.sessions import TransactionState

from ._effects import CloseConnection
from ._events import (
    ConnectionBroken,
    ConnectionOpened,
    ConnectionRefused,
    ConnectionSettled,
    OpenFailure,
)
from ._policy import add_connection, lower_limit, record_open_failure
from ._saturation import record_connected, record_loss


@reduces(ConnectionOpened)
def _connection_opened(state: NodeState, event: ConnectionOpened) -> Step[NodeState]:
    if event.conn not in state.conn_endpoints:
        return Step(state, (CloseConnection(event.conn),))
    pool = _place.get_pool(state, event.endpoint)
    pool = replace(
        add_connection(pool, event.conn, event.incarnation), answered_at=event.at
    )
    pool = record_connected(pool, event.conn, event.at)
    state = replace(state, pools=state.pools.set(event.endpoint, pool))
    return _dispatch.dispatch(state, event.endpoint, event.at)


@reduces(ConnectionRefused)
def _connection_refused(state: NodeState, event: ConnectionRefused) -> Step[NodeState]:
    if event.conn not in state.conn_endpoints:
        return Step(state)
    pool = record_open_failure(
        _place.get_pool(state, event.endpoint), event.conn, event.at
    )
    state = replace(
        state,
        pools=state.pools.set(event.endpoint, pool),
        conn_endpoints=state.conn_endpoints.delete(event.conn),
    )
    if not pool.dedicated:
        return Step(state)
    if event.reason is OpenFailure.TOO_MANY:
        pool = lower_limit(pool, event.at)
        state = replace(state, pools=state.pools.set(event.endpoint, pool))
    effects: tuple[Effect, ...] = ()
    if event.reason is OpenFailure.UNREACHABLE:
        before = state
        state = _record_unreachable(state, event.endpoint, event.at)
        effects = log_pace_change(before, state, event.endpoint)
    step = Step(state, effects)
    return step.then(_sweep.move_waiting(state, event.endpoint, event.at))


def _record_unreachable(state: NodeState, name: str, now: float) -> NodeState:
    state = _recovery.eject(state, name, now)
    state = _place.update_pool(state, name, lambda pool: record_loss(pool, now, now))
    endpoint = state.catalogue.endpoints.get(name)
    if endpoint is None:
        return state
    if state.catalogue.group(endpoint.group).primary != name:
        return state
    return record_primary_failure(state, endpoint.group, now)


@reduces(ConnectionSettled)
def _connection_settled(state: NodeState, event: ConnectionSettled) -> Step[NodeState]:
    endpoint = state.conn_endpoints.get(event.conn)
    if endpoint is None or event.conn not in state.pools[endpoint].settling:
        return Step(state)
    if event.usable:
        return _dispatch.release_connection(state, event.conn, event.at)
    record = ConnectionUnsettled(endpoint, event.conn, "its transaction is open")
    step = _dispatch.close_and_dispatch(state, event.conn, event.at)
    return Step(step.state, (record, *step.effects))


@reduces(ConnectionBroken)
def _connection_broken(state: NodeState, event: ConnectionBroken) -> Step[NodeState]:
    """Close the connection; a statement that waits in its transaction is answered."""
    step = Step(state)
    pinned = [s for s in state.sessions.values() if s.conn == event.conn]
    for session in pinned:
        ended = end_transaction(step.state, session, TransactionState.LOST)
        step = Step(ended, step.effects)
        request = ended.requests.get(session.req)
        if request is not None and request.phase not in SENT_PHASES:
            dequeued = _callers.remove_from_queue(ended, request)
            step = Step(dequeued, step.effects)
            step = step.then(_recovery.answer_lost_transaction(dequeued, request))
    return step.then(_dispatch.close_connection(step.state, event.conn, event.at))
