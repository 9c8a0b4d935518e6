"""Handles the results and failures of statements at endpoints."""

from collections.abc import Callable

from lovagewalk.core import Code, Handlers, Refusal, Step, reduces, replace
from lovagewalk.groups import (
    ConfirmWaiter,
    is_confirmed,
    record_primary_proof,
    resolve_position,
)
from lovagewalk.node import NodeState
from lovagewalk.pools import record_read_latency, record_served
from lovagewalk.sessions import Session, TransactionState

from . import _dispatch, _place
from ._answer import MAX_RETRY_CREDIT, answer
from ._effects import DiscardResult
from ._events import Failure, StatementDone, StatementFailed, StreamEnded
from ._recovery import (
    abort_and_answer,
    log_load_changes,
    record_contact,
    recover,
)
from ._state import Phase, Request
from ._transactions import abort_transaction, end_transaction
from ._types import WRITE_KINDS, StatementKind

# One attempt at each endpoint of a group of three, and another at the primary.
MAX_ATTEMPTS = 4
# Kinds whose duration shows the load of an endpoint; a commit also waits for replicas.
_TIMED_KINDS = frozenset((StatementKind.READ, StatementKind.WRITE))
READ_ONLY_DETAIL = "primary is read only"
UNEXPECTED_STATE_DETAIL = "unexpected transaction state"


@reduces(StatementDone)
def _statement_done(state: NodeState, event: StatementDone) -> Step[NodeState]:
    request = state.requests.get(event.req)
    if request is None or request.conn != event.conn:
        step = _dispatch.close_connection(state, event.conn, event.at)
        return Step(step.state, step.effects + (DiscardResult(event.req),))
    latency_s = 0.0
    if request.kind in _TIMED_KINDS:
        latency_s = event.at - request.sent_at
    updated = _place.update_pool(
        state,
        request.endpoint,
        lambda pool: record_served(
            pool, event.at, event.conn, latency_s, request.sent_at
        ),
    )
    step = Step(updated, log_load_changes(state, updated, request))
    return step.then(_handle_result(updated, request, event))


def _handle_result(
    state: NodeState, request: Request, event: StatementDone
) -> Step[NodeState]:
    if request.has_explicit_consistency:
        return _handle_explicit_result(state, request, event)
    session = state.sessions[request.caller]
    if event.position is not None or event.insert_id:
        request = replace(request, position=event.position, insert_id=event.insert_id)
    if event.streaming:
        request = replace(request, phase=Phase.STREAMING)
        return answer(_place.store_request(state, request), request)
    step = _release_after_result(state, request, event)
    if event.in_transaction and not session.conn and request.kind in WRITE_KINDS:
        # The connection has been closed, which rolls the write back.
        return step.then(answer(step.state, request, Refusal(Code.CONNECTION_LOST)))
    if event.position is None:
        return step.then(answer(step.state, request))
    return step.then(_answer_when_confirmed(step.state, request, event.at))


def _handle_explicit_result(
    state: NodeState, request: Request, event: StatementDone
) -> Step[NodeState]:
    """Answer a request whose route has an explicit consistency."""
    session = state.sessions[request.caller]
    if event.in_transaction is not _is_in_transaction(request, session, event.conn):
        return _recover_from_unexpected_state(state, request, event)
    request = replace(request, position=event.position)
    state = record_contact(state, request.endpoint, event.at)
    if request.is_read and not request.opens_transaction:
        elapsed_s = event.at - request.sent_at
        state = _place.update_pool(
            state,
            request.endpoint,
            lambda pool: record_read_latency(pool, elapsed_s, event.at),
        )
    if _proves_primary(request, session) and event.position is not None:
        state = record_primary_proof(
            state, request.group, request.sent_term, request.sent_at, event.position
        )
    if request.kind is StatementKind.WRITE and session.conn:
        session = replace(session, has_written=True)
        state = replace(state, sessions=state.sessions.set(session.caller, session))
    step = _release_after_result(state, request, event)
    return step.then(answer(step.state, request))


def _is_in_transaction(request: Request, session: Session, conn: int) -> bool:
    """Whether a transaction has to be open on a connection after a statement."""
    is_end = request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
    return session.conn == conn and not is_end


def _recover_from_unexpected_state(
    state: NodeState, request: Request, event: StatementDone
) -> Step[NodeState]:
    """Handle a statement that ran in another transaction than its own, or in none.

    The connection is closed, which rolls back what is still open. Whether a write has
    taken effect is not known.
    """
    session = state.sessions[request.caller]
    if request.kind is StatementKind.WRITE and session.conn == event.conn:
        step = abort_transaction(state, session, TransactionState.LOST, event.at)
        refusal = Refusal(Code.CONNECTION_LOST, UNEXPECTED_STATE_DETAIL)
        return step.then(answer(step.state, request, refusal))
    failed = StatementFailed(
        event.at,
        event.req,
        event.conn,
        Failure.LOST,
        detail=UNEXPECTED_STATE_DETAIL,
    )
    return recover(state, request, failed)


def _proves_primary(request: Request, session: Session) -> bool:
    """Whether an answer proves that its endpoint was primary at the time of sending."""
    if request.require_proof or request.kind is StatementKind.WRITE:
        return True
    if request.kind is StatementKind.COMMIT:
        return session.has_written
    return request.opens_transaction and request.at_primary


def _release_after_result(
    state: NodeState, request: Request, event: StatementDone
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    if session.conn != event.conn:
        if event.in_transaction:
            return _dispatch.close_connection(state, event.conn, event.at)
        if event.answers_owed:
            return _dispatch.await_settled(state, event.conn, event.at)
        return _dispatch.release_connection(state, event.conn, event.at)
    if request.kind not in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        return Step(state)
    state = end_transaction(state, session, TransactionState.NONE)
    return _dispatch.release_connection(state, event.conn, event.at)


def _answer_when_confirmed(
    state: NodeState, request: Request, now: float
) -> Step[NodeState]:
    """Answer a request once a quorum holds its position, or never will.

    After a change of primary a write is confirmed in the new term, provided that
    the log of the new primary holds it. A read of a replaced primary is retried,
    since it may have missed writes.
    """
    config = state.catalogue.group(request.group)
    view = state.groups[request.group]
    resolved = resolve_position(config, request.position)
    if is_confirmed(view, config, request.position):
        return answer(state, request, request.confirmed_refusal)
    if resolved != request.position and request.kind is StatementKind.READ:
        return retry(state, replace(request, position=None), now)
    if resolved is None:
        return answer(state, request, Refusal(Code.UNCONFIRMED, "primary replaced"))
    if is_confirmed(view, config, resolved):
        return answer(state, request, request.confirmed_refusal)
    request = replace(request, phase=Phase.CONFIRMING, conn=0)
    waiter = ConfirmWaiter(request.req, resolved)
    view = replace(view, waiters=view.waiters + (waiter,))
    state = replace(state, groups=state.groups.set(request.group, view))
    state = _place.store_request(state, request)
    return _place.await_positions(state, request.group, now, False)


def complete_confirmed(state: NodeState, group: str, now: float) -> Step[NodeState]:
    """Complete the requests of a group whose position is confirmed or obsolete."""
    view = state.groups[group]
    config = state.catalogue.group(group)
    completed = [
        waiter
        for waiter in view.waiters
        if waiter.position.term < config.term
        or is_confirmed(view, config, waiter.position)
    ]
    if not completed:
        return Step(state)
    waiting = tuple(waiter for waiter in view.waiters if waiter not in completed)
    view = replace(view, waiters=waiting)
    step = Step(replace(state, groups=state.groups.set(group, view)))
    for waiter in completed:
        request = step.state.requests.get(waiter.req)
        if request is not None and request.phase is Phase.CONFIRMING:
            step = step.then(_answer_when_confirmed(step.state, request, now))
    return step


FailureHandler = Callable[[NodeState, Request, StatementFailed], Step[NodeState]]
_failure_handlers: Handlers[Failure, FailureHandler] = Handlers()
on_failure = _failure_handlers.on


@reduces(StatementFailed)
def handle_failure(state: NodeState, event: StatementFailed) -> Step[NodeState]:
    """Release the connection of a failed statement, then retry or answer it."""
    request = state.requests.get(event.req)
    if request is None or request.conn != event.conn:
        return _dispatch.close_connection(state, event.conn, event.at)
    if request.has_explicit_consistency:
        return recover(state, request, event)
    session = state.sessions[request.caller]
    pinned = session.conn == event.conn
    if pinned and request.kind is StatementKind.ROLLBACK:
        return abort_and_answer(state, request, event.at, event.failure.value)
    step = _release_after_failure(state, session, event)
    if pinned and not event.usable:
        return step.then(_answer_lost_transaction(step.state, request, event))
    return step.then(_failure_handlers[event.failure](step.state, request, event))


def _release_after_failure(
    state: NodeState, session: Session, event: StatementFailed
) -> Step[NodeState]:
    if not event.usable:
        return _dispatch.close_and_dispatch(state, event.conn, event.at)
    if session.conn == event.conn:
        return Step(state)
    return _dispatch.release_connection(state, event.conn, event.at)


def _answer_lost_transaction(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    is_commit = request.kind is StatementKind.COMMIT
    outcome = TransactionState.NONE if is_commit else TransactionState.LOST
    state = end_transaction(state, session, outcome)
    if is_commit and event.failure is not Failure.NOT_SENT:
        return answer(state, request, Refusal(Code.CONNECTION_LOST, "at commit"))
    return answer(state, request, Refusal(Code.TRANSACTION_LOST, event.detail))


@on_failure(Failure.ERROR)
def _endpoint_error(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    step = Step(state)
    if session.conn == event.conn and not event.in_transaction:
        # The endpoint has refused to begin the transaction, or has ended it.
        begun = request.opens_transaction
        outcome = TransactionState.BEGUN if begun else TransactionState.LOST
        state = end_transaction(state, session, outcome)
        step = _dispatch.release_connection(state, event.conn, event.at)
    refusal = Refusal(Code.ENDPOINT_ERROR, event.detail, errno=event.errno)
    return step.then(answer(step.state, request, refusal))


@on_failure(Failure.ROLLED_BACK)
def _rolled_back(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    step = Step(state)
    if session.conn == event.conn:
        step = abort_transaction(state, session, TransactionState.LOST, event.at)
    refusal = Refusal(Code.TRANSACTION_LOST, event.detail, errno=event.errno)
    return step.then(answer(step.state, request, refusal))


@on_failure(Failure.DUPLICATE_ID)
def _duplicate_id(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    confirmed_refusal = Refusal(Code.ALREADY_RUN)
    request = replace(
        request, position=event.position, confirmed_refusal=confirmed_refusal
    )
    if event.position is None:
        return answer(state, request, confirmed_refusal)
    return _answer_when_confirmed(state, request, event.at)


@on_failure(Failure.READ_ONLY)
def _read_only(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    if session.conn == event.conn:
        step = abort_transaction(state, session, TransactionState.LOST, event.at)
        refusal = Refusal(Code.TRANSACTION_LOST, READ_ONLY_DETAIL)
        return step.then(answer(step.state, request, refusal))
    request = replace(request, refused_term=request.sent_term)
    return retry(state, request, event.at)


@on_failure(Failure.NOT_SENT)
def _not_sent(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    return retry(state, request, event.at)


@on_failure(Failure.LOST)
def _lost(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    if request.kind not in WRITE_KINDS:
        return retry(state, request, event.at)
    may_repeat = request.marks.idempotent or request.marks.once
    if may_repeat and _has_retry_credit(state, request.customer):
        request = replace(request, may_have_run=True)
        return retry(_spend_retry_credit(state, request.customer), request, event.at)
    return answer(state, request, Refusal(Code.CONNECTION_LOST))


def retry(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Retry a request that did not run, or that may safely run twice."""
    if request.attempts >= MAX_ATTEMPTS or now >= request.deadline:
        code = Code.CONNECTION_LOST if request.may_have_run else Code.NO_ENDPOINT
        return answer(state, request, Refusal(code, "attempts used up"))
    request = replace(request, phase=Phase.CONNECTION, conn=0)
    return _place.place(_place.store_request(state, request), request, now)


def _has_retry_credit(state: NodeState, customer: str) -> bool:
    return state.retry_credits.get(customer, MAX_RETRY_CREDIT) >= 1.0


def _spend_retry_credit(state: NodeState, customer: str) -> NodeState:
    remaining = state.retry_credits.get(customer, MAX_RETRY_CREDIT) - 1.0
    return replace(state, retry_credits=state.retry_credits.set(customer, remaining))


@reduces(StreamEnded)
def _stream_ended(state: NodeState, event: StreamEnded) -> Step[NodeState]:
    request = state.requests.get(event.req)
    if request is not None:
        state = replace(state, requests=state.requests.delete(event.req))
    if not event.complete:
        return _abandon_stream(state, event)
    if _is_pinned(state, request, event.conn):
        return Step(state)
    return _dispatch.release_connection(state, event.conn, event.at)


def _is_pinned(state: NodeState, request: Request | None, conn: int) -> bool:
    session = state.sessions.get(request.caller) if request else None
    return session is not None and session.conn == conn


def _abandon_stream(state: NodeState, event: StreamEnded) -> Step[NodeState]:
    pinned = [
        session for session in state.sessions.values() if session.conn == event.conn
    ]
    for session in pinned:
        state = end_transaction(state, session, TransactionState.LOST)
    return _dispatch.close_connection(state, event.conn, event.at)
