"""Statements on the session itself: its variables and prepared statements."""

from collections.abc import Callable

from lovagewalk.core import Code, Handlers, Refusal, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.sessions import Session, TransactionState

from . import _admit, _place
from ._answer import answer
from ._state import Request
from ._types import Detail, NamedStatement, PrepareStatement, SetValue, StatementKind

DetailHandler = Callable[[NodeState, Request, Detail], Step[NodeState]]
_details: Handlers[StatementKind, DetailHandler] = Handlers()
details = _details.on


def is_about_session(kind: StatementKind) -> bool:
    """Whether statements of a kind act on their session."""
    return kind in _details


def run_for_session(
    state: NodeState, request: Request, detail: Detail
) -> Step[NodeState]:
    """Run a statement on the variables or prepared statements of its session."""
    return _details[request.kind](state, request, detail)


def _answer_detail(
    state: NodeState, request: Request, session: Session
) -> Step[NodeState]:
    """Store the session and answer a statement that changed only the session."""
    if session.transaction is TransactionState.LOST:
        refusal = Refusal(Code.TRANSACTION_LOST, "end the transaction first")
        return answer(state, request, refusal)
    state = replace(state, sessions=state.sessions.set(session.caller, session))
    return answer(state, request)


@details(StatementKind.SET_VALUE)
def _set_value(state: NodeState, request: Request, detail: SetValue) -> Step[NodeState]:
    session = state.sessions[request.caller]
    variables = session.variables.set(detail.name, detail.value)
    return _answer_detail(state, request, replace(session, variables=variables))


@details(StatementKind.PREPARE)
def _prepare(
    state: NodeState, request: Request, detail: PrepareStatement
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    prepared = session.prepared.set(detail.name, detail.shape)
    return _answer_detail(state, request, replace(session, prepared=prepared))


@details(StatementKind.DEALLOCATE)
def _deallocate(
    state: NodeState, request: Request, detail: NamedStatement
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    if detail.name not in session.prepared:
        return answer(state, request, Refusal(Code.STATEMENT_UNKNOWN))
    prepared = session.prepared.delete(detail.name)
    return _answer_detail(state, request, replace(session, prepared=prepared))


@details(StatementKind.EXECUTE)
def _execute(
    state: NodeState, request: Request, detail: NamedStatement
) -> Step[NodeState]:
    """Admit a prepared statement as a read or a write, depending on its shape."""
    shape = state.sessions[request.caller].prepared.get(detail.name)
    if shape is None:
        return answer(state, request, Refusal(Code.STATEMENT_UNKNOWN))
    kind = StatementKind.WRITE if shape.writes else StatementKind.READ
    request = replace(request, kind=kind, prepared=shape)
    return _admit.admit(_place.put_request(state, request), request, request.arrived_at)
