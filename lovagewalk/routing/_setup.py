"""Handles the answers to the steps that set up a connection for a statement.

A statement is sent only once the endpoint has accepted all of them. Otherwise it could
run without its session's settings, or outside its transaction, and once more when it is
placed again.
"""

from lovagewalk.core import Step, reduces, replace
from lovagewalk.node import NodeState

from . import _dispatch, _place, _recovery
from ._effects import SetupStep
from ._events import Failure, SetupAnswered, StatementFailed
from ._settings import apply_setup
from ._state import Request

OUT_OF_STEP_DETAIL = "the transaction state of the connection is not the expected one"


@reduces(SetupAnswered)
def _setup_answered(state: NodeState, event: SetupAnswered) -> Step[NodeState]:
    request = state.requests.get(event.req)
    if request is None or request.conn != event.conn:
        return _dispatch.close_connection(state, event.conn, event.at)
    state = _record_applied(state, request, event.applied)
    if event.failure is not None:
        return _recovery.recover(state, request, _to_failure(event))
    session = state.sessions[request.caller]
    if event.in_transaction is not (session.conn == event.conn):
        failed = StatementFailed(
            event.at,
            event.req,
            event.conn,
            Failure.NOT_SENT,
            detail=OUT_OF_STEP_DETAIL,
        )
        return _recovery.recover(state, request, failed)
    state = _recovery.record_contact(state, request.endpoint, event.at)
    return _dispatch.send_after_setup(state, request, event.at)


def _record_applied(
    state: NodeState, request: Request, applied: tuple[SetupStep, ...]
) -> NodeState:
    """Record on a connection the steps that its endpoint has accepted."""
    pool = state.pools[request.endpoint]
    connection = pool.connections.get(request.conn)
    if connection is None or not applied:
        return state
    connections = pool.connections.set(request.conn, apply_setup(connection, applied))
    return _place.update_pool(
        state, request.endpoint, lambda pool: replace(pool, connections=connections)
    )


def _to_failure(event: SetupAnswered) -> StatementFailed:
    return StatementFailed(
        event.at,
        event.req,
        event.conn,
        event.failure,
        detail=event.detail,
        usable=event.usable,
        in_transaction=event.in_transaction,
    )
