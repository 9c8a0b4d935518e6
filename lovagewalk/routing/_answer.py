"""Completes requests; every answer to a caller is made here."""

from immutables import Map

from lovagewalk.core import Code, Effect, Refusal, Step, replace
from lovagewalk.groups import Position
from lovagewalk.node import AccessKey, NodeState
from lovagewalk.sessions import ObservedPosition, Session, TransactionState

from ._effects import AnswerCaller, CloseCaller, DiscardResult, RequestTrace
from ._state import Phase, Request
from ._types import StatementKind

OK_LABEL = "ok"
# Retry credit earned by an answer; it limits the load added by retries to a tenth.
RETRY_CREDIT_PER_ANSWER = 0.1
# Allows a burst of ten retries; a hundred answers restore it.
MAX_RETRY_CREDIT = 10.0


def answer(
    state: NodeState,
    request: Request,
    refusal: Refusal | None = None,
    value: str | int | None = None,
) -> Step[NodeState]:
    """Answer a request's caller and remove the request.

    A request that streams its rows stays until the stream has ended.
    """
    requests = state.requests
    if request.phase is not Phase.STREAMING and request.req in requests:
        requests = requests.delete(request.req)
    session = state.sessions.get(request.caller)
    if session is None:
        state = replace(state, requests=requests)
        state = count_access(state, request.customer, refusal)
        return Step(state, (DiscardResult(request.req),))
    session_position = session.position
    session = _update_session(session, request, refusal)
    trace = RequestTrace(
        request.marks.request_id,
        session.route,
        request.kind,
        request.phase,
        request.endpoint,
        request.attempts,
        request.arrived_at,
        request.sent_term,
        state.catalogue.revision,
        request.min_position,
        session_position,
    )
    state = replace(
        state,
        requests=requests,
        sessions=state.sessions.set(request.caller, session),
        access_counts=_add_access(state, request.customer, refusal),
    )
    state = _earn_retry_credit(state, request.customer)
    effects: tuple[Effect, ...] = (
        AnswerCaller(
            req=request.req,
            caller=request.caller,
            refusal=refusal,
            value=value,
            in_transaction=session.in_transaction,
            autocommit=session.autocommit,
            customer=request.customer,
            failed_transaction=session.transaction is TransactionState.LOST,
            trace=trace,
        ),
    )
    if session.closing:
        code = Code.DRAINING if state.draining else Code.KEY_WITHDRAWN
        effects += (CloseCaller(request.caller, Refusal(code)),)
    return Step(state, effects)


def _update_session(
    session: Session, request: Request, refusal: Refusal | None
) -> Session:
    """Return the session after an answer: idle, with the position it has observed."""
    idle = replace(session, req=0, idle_since=request.arrived_at)
    if request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        idle = replace(idle, has_written=False)
    if refusal is not None:
        return idle
    if request.has_explicit_consistency:
        return _observe_explicit(idle, session, request)
    idle = replace(idle, last_insert_id=request.insert_id or session.last_insert_id)
    position = later_position(idle.position_in(request.group), request.position)
    return store_position(idle, request.group, position, request.sent_term)


def _observe_explicit(idle: Session, session: Session, request: Request) -> Session:
    """Record the log position of a session's own write.

    A read that proved the primary replaces a position of another term, which may have
    been rolled back, or a position that is not known.
    """
    if session.transaction is TransactionState.PINNED:
        return idle
    is_commit = request.kind is StatementKind.COMMIT
    wrote = request.kind is StatementKind.WRITE or (is_commit and session.has_written)
    observed = session.positions.get(request.group)
    if wrote and request.position is None:
        unknown = ObservedPosition(None, request.sent_term)
        return replace(idle, positions=idle.positions.set(request.group, unknown))
    if not wrote and (observed is None or not request.require_proof):
        return idle
    position = request.position
    if observed is not None and observed.term == request.sent_term:
        position = later_position(observed.position, position)
    return store_position(idle, request.group, position, request.sent_term)


def store_position(
    session: Session, group: str, position: Position | None, term: int
) -> Session:
    """Return a session with a position that it has observed under an installed term."""
    if position is None:
        return session
    positions = session.positions.set(group, ObservedPosition(position, term))
    return replace(session, positions=positions)


def later_position(first: Position | None, second: Position | None) -> Position | None:
    """Return the later of two positions, each of which may be None."""
    if first is None or second is None:
        return first or second
    return max(first, second)


def count_access(state: NodeState, customer: str, refusal: Refusal | None) -> NodeState:
    """Count one answered statement for the audit trail."""
    state = replace(state, access_counts=_add_access(state, customer, refusal))
    return _earn_retry_credit(state, customer)


def _add_access(state: NodeState, customer: str, refusal: Refusal | None) -> Map:
    key = AccessKey(customer, refusal.code.label if refusal else OK_LABEL)
    return state.access_counts.set(key, state.access_counts.get(key, 0) + 1)


def _earn_retry_credit(state: NodeState, customer: str) -> NodeState:
    credit = state.retry_credits.get(customer)
    if credit is None:
        return state
    credit = credit + RETRY_CREDIT_PER_ANSWER
    if credit >= MAX_RETRY_CREDIT:
        return replace(state, retry_credits=state.retry_credits.delete(customer))
    return replace(state, retry_credits=state.retry_credits.set(customer, credit))
