"""Turns an arriving statement into a request of its session."""

from lovagewalk.core import Refusal, Step, reduces, replace
from lovagewalk.node import NodeState
from lovagewalk.sessions import Session

from . import _admit
from ._answer import count_access
from ._draining import answer_deadline
from ._events import StatementArrived, StatementRejected
from ._session_statements import is_session_statement, run_session_statement
from ._state import Request

# Time limit that the users require for a request whose route sets none.
DEFAULT_TIME_LIMIT_S = 5.0


@reduces(StatementArrived)
def _statement_arrived(state: NodeState, event: StatementArrived) -> Step[NodeState]:
    session = state.sessions.get(event.caller)
    if session is None:
        return Step(state)
    if not session.in_transaction:
        session = _begin_operation(state, session, event.at)
    request = _build_request(state, session, event)
    session = replace(session, req=event.req)
    state = replace(state, sessions=state.sessions.set(event.caller, session))
    state = replace(state, requests=state.requests.set(event.req, request))
    if is_session_statement(request.kind):
        return run_session_statement(state, request, event.session_statement)
    return _admit.admit(state, request, event.at)


def _begin_operation(state: NodeState, session: Session, now: float) -> Session:
    """Return the session at the start of an operation, with its route's group."""
    route = state.catalogue.route(session.route)
    if route is not None:
        session = replace(session, group=route.group)
    return replace(session, operation_started_at=now)


def _build_request(
    state: NodeState, session: Session, event: StatementArrived
) -> Request:
    route = state.catalogue.route(session.route)
    limit_s = DEFAULT_TIME_LIMIT_S
    if route is not None and route.statement_timeout_s:
        limit_s = route.statement_timeout_s
    return Request(
        req=event.req,
        caller=event.caller,
        customer=session.customer,
        group=session.group,
        kind=event.kind,
        text=event.text,
        marks=event.marks,
        arrived_at=event.at,
        deadline=min(event.at + limit_s, answer_deadline(state)),
        route=route,
        in_transaction=session.in_transaction,
    )


@reduces(StatementRejected)
def _statement_rejected(state: NodeState, event: StatementRejected) -> Step[NodeState]:
    session = state.sessions.get(event.caller)
    customer = session.customer if session else ""
    return Step(count_access(state, customer, Refusal(event.code)))
