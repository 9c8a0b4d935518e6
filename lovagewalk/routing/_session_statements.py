"""Statements on the session itself: its variables and prepared statements."""

from collections.abc import Callable

from lovagewalk.clients import HOLDING_STEP_BYTES, MAX_STORED_BYTES
from lovagewalk.clients._reducer import record_stored
from lovagewalk.core import Code, Handlers, Refusal, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.sessions import Session, TransactionState

from . import _admit, _place
from ._answer import answer
from ._state import Request
from ._types import (
    NamedStatement,
    PrepareStatement,
    SessionStatement,
    SetVariable,
    StatementKind,
)

SessionStatementHandler = Callable[
    [NodeState, Request, SessionStatement], Step[NodeState]
]
_handlers: Handlers[StatementKind, SessionStatementHandler] = Handlers()
handles = _handlers.on


def is_session_statement(kind: StatementKind) -> bool:
    """Whether statements of a kind act on their session."""
    return kind in _handlers


def run_session_statement(
    state: NodeState, request: Request, statement: SessionStatement
) -> Step[NodeState]:
    """Run a statement on the variables or prepared statements of its session."""
    return _handlers[request.kind](state, request, statement)


def _store_and_answer(
    state: NodeState, request: Request, session: Session, added_bytes: int
) -> Step[NodeState]:
    """Store the session and answer a statement that changed only the session."""
    if session.transaction is TransactionState.LOST:
        refusal = Refusal(Code.TRANSACTION_LOST, "end the transaction first")
        return answer(state, request, refusal)
    stored_bytes = session.stored_bytes + added_bytes
    if added_bytes > 0 and stored_bytes > MAX_STORED_BYTES:
        refusal = Refusal(Code.STATEMENT_LARGE, "the session stores too much")
        return answer(state, request, refusal)
    before_bytes = session.stored_bytes
    session = replace(session, stored_bytes=stored_bytes)
    state = replace(state, sessions=state.sessions.set(session.caller, session))
    step = answer(state, request)
    if max(before_bytes, stored_bytes) < HOLDING_STEP_BYTES:
        return step
    return step.then(
        record_stored(step.state, session.caller, stored_bytes, request.arrived_at)
    )


@handles(StatementKind.SET_VARIABLE)
def _set_variable(
    state: NodeState, request: Request, statement: SetVariable
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    variables = session.variables.set(statement.name, statement.value)
    before = session.variables.get(statement.name)
    added_bytes = len(statement.value)
    added_bytes += len(statement.name) if before is None else -len(before)
    session = replace(session, variables=variables)
    return _store_and_answer(state, request, session, added_bytes)


@handles(StatementKind.PREPARE)
def _prepare(
    state: NodeState, request: Request, statement: PrepareStatement
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    prepared = session.prepared.set(statement.name, statement.shape)
    before = session.prepared.get(statement.name)
    added_bytes = len(statement.shape.content)
    added_bytes += len(statement.name) if before is None else -len(before.content)
    session = replace(session, prepared=prepared)
    return _store_and_answer(state, request, session, added_bytes)


@handles(StatementKind.DEALLOCATE)
def _deallocate(
    state: NodeState, request: Request, statement: NamedStatement
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    shape = session.prepared.get(statement.name)
    if shape is None:
        return answer(state, request, Refusal(Code.STATEMENT_UNKNOWN))
    removed_bytes = len(statement.name) + len(shape.content)
    prepared = session.prepared.delete(statement.name)
    session = replace(session, prepared=prepared)
    return _store_and_answer(state, request, session, -removed_bytes)


@handles(StatementKind.EXECUTE)
def _execute(
    state: NodeState, request: Request, statement: NamedStatement
) -> Step[NodeState]:
    """Admit a prepared statement as a read or a write, depending on its shape."""
    shape = state.sessions[request.caller].prepared.get(statement.name)
    if shape is None:
        return answer(state, request, Refusal(Code.STATEMENT_UNKNOWN))
    kind = StatementKind.WRITE if shape.writes else StatementKind.READ
    request = replace(request, kind=kind, prepared=shape)
    return _admit.admit(
        _place.store_request(state, request), request, request.arrived_at
    )
