"""Ends the transactions of sessions."""

from lovagewalk.core import Step, replace
from lovagewalk.node import NodeState
from lovagewalk.sessions import Session, TransactionState

from . import _dispatch
from ._state import Request


def has_lost_transaction(request: Request, session: Session) -> bool:
    """Whether a statement's transaction has ended while the statement waited."""
    return request.in_transaction and not session.in_transaction


def end_transaction(
    state: NodeState, session: Session, outcome: TransactionState
) -> NodeState:
    """Unpin a session's connection and record how its transaction ended."""
    ended = replace(session, conn=0, transaction=outcome)
    return replace(state, sessions=state.sessions.set(session.caller, ended))


def abort_transaction(
    state: NodeState, session: Session, outcome: TransactionState, now: float
) -> Step[NodeState]:
    """Abort a transaction by closing its connection, which rolls it back.

    A refused statement leaves the transaction open at the endpoint. On a reused
    connection the next statement would run inside it and be rolled back with it.
    """
    ended = end_transaction(state, session, outcome)
    return _dispatch.close_and_dispatch(ended, session.conn, now)
