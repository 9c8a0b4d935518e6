"""Recovers from failed statements of routes with an explicit consistency.

A statement is retried if the endpoint reports that it did not run. A single
write or a commit that may have reached the endpoint is never sent again.
"""

from collections.abc import Callable

from lovagewalk.core import Code, Effect, Handlers, Refusal, Step, replace
from lovagewalk.groups import record_missing_position, record_primary_failure
from lovagewalk.node import NodeState
from lovagewalk.pools import (
    FIRST_BACKOFF_S,
    Pool,
    compute_backoff,
    record_ended,
    record_loss,
    record_read_error,
    record_refusal,
)
from lovagewalk.records import (
    EndpointRecovered,
    EndpointSaturated,
    EndpointStatementFailed,
)
from lovagewalk.sessions import Session, TransactionState

from . import _dispatch, _place
from ._answer import answer
from ._evacuation import retry_time_s
from ._events import Failure, StatementFailed
from ._pacing import log_pace_change
from ._state import Phase, Request
from ._transactions import abort_transaction, end_transaction
from ._types import StatementKind

# Limit of the runs of one statement: two at each endpoint of a group of three.
MAX_RUNS = 6
# After this number of refused attempts, none of which ran, the caller is refused.
MAX_REFUSED_ATTEMPTS = 60
# A failed endpoint is chosen last for this time, within which a failover begins.
EJECTION_S = 0.5
EVACUATED_DETAIL = "the zone of the endpoint is evacuated"

FailureHandler = Callable[[NodeState, Request, StatementFailed], Step[NodeState]]
_failure_handlers: Handlers[Failure, FailureHandler] = Handlers()
recovers = _failure_handlers.on


def recover(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    """Retry a failed statement where that is safe, or answer its caller."""
    recorded = _record_failure(state, request, event)
    effects = _log_failure(request, event) + log_load_changes(state, recorded, request)
    if request.phase is Phase.SETUP and event.failure is Failure.LOST:
        # Only steps that precede the statement were sent.
        event = replace(event, failure=Failure.NOT_SENT)
    if event.failure is Failure.UNKNOWN_NAME:
        # What is recorded of the connection's prepared statements is wrong.
        event = replace(event, usable=False)
    return Step(recorded, effects).then(_retry_or_answer(recorded, request, event))


def _log_failure(request: Request, event: StatementFailed) -> tuple[Effect, ...]:
    """Return the log record of a failure, unless ordinary load explains it."""
    if event.failure in (Failure.BUSY, Failure.BEHIND):
        return ()
    record = EndpointStatementFailed(
        request=request.marks.request_id,
        endpoint=request.endpoint,
        failure=event.failure.value,
        detail=event.detail,
        attempts=request.attempts,
        term=request.sent_term,
        sent_ms_ago=round((event.at - request.sent_at) * 1000),
    )
    return (record,)


def log_load_changes(
    before: NodeState, after: NodeState, request: Request
) -> tuple[Effect, ...]:
    """Return the log records of changes in an endpoint's saturation and pace."""
    if before is after:
        return ()
    paced = log_pace_change(before, after, request.endpoint)
    old, new = (state.pools.get(request.endpoint) for state in (before, after))
    if old is None or new is None or old.saturated == new.saturated:
        return paced
    if new.saturated:
        return paced + (
            EndpointSaturated(new.endpoint, request.group, new.refusals, new.waiting),
        )
    return paced + (EndpointRecovered(new.endpoint, request.group, new.waiting),)


def _retry_or_answer(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    if session.conn != event.conn:
        step = _release_or_close_connection(state, event)
        return step.then(_handle_failure(step.state, request, event))
    if event.usable and event.in_transaction:
        return _handle_in_transaction(state, request, event)
    step = _release_or_close_connection(state, event)
    outcome = (
        TransactionState.BEGUN if request.opens_transaction else TransactionState.LOST
    )
    if request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        outcome = TransactionState.NONE
    current = step.state.sessions[request.caller]
    state = end_transaction(step.state, current, outcome)
    step = Step(state, step.effects)
    if request.opens_transaction:
        request = replace(request, opens_transaction=False)
        return step.then(_reopen_transaction(state, request, event))
    return step.then(_answer_ended_transaction(state, session, request, event))


def _record_failure(
    state: NodeState, request: Request, event: StatementFailed
) -> NodeState:
    """Record what a failure shows about its endpoint and group."""
    failed_read = event.failure is Failure.ERROR and request.is_read
    state = _place.update_pool(
        state,
        request.endpoint,
        lambda pool: _record_in_pool(pool, request, event),
    )
    if event.failure is Failure.LOST or failed_read:
        state = eject(state, request.endpoint, event.at)
    if event.failure not in (Failure.LOST, Failure.NOT_SENT):
        state = record_contact(state, request.endpoint, event.at)
    config = state.catalogue.group(request.group)
    is_primary = request.endpoint == config.primary
    if is_primary and event.failure in (Failure.LOST, Failure.READ_ONLY):
        state = record_primary_failure(state, request.group, event.at)
    if event.failure is Failure.BEHIND and request.min_position is not None:
        state = record_missing_position(
            state, request.group, request.endpoint, request.min_position, event.at
        )
    return state


def _record_in_pool(pool: Pool, request: Request, event: StatementFailed) -> Pool:
    """Record what a failure shows about the capacity of its endpoint."""
    if event.failure is Failure.BUSY:
        return record_refusal(pool, request.sent_at, event.at, event.conn)
    if event.failure is Failure.LOST:
        return record_loss(pool, request.sent_at, event.at)
    if event.failure is Failure.ERROR and request.is_read:
        return record_read_error(pool, event.conn, event.at)
    return record_ended(pool, event.conn)


def record_contact(state: NodeState, endpoint: str, now: float) -> NodeState:
    """Record that an endpoint has answered."""
    return _place.update_pool(
        state, endpoint, lambda pool: replace(pool, answered_at=now)
    )


def eject(state: NodeState, endpoint: str, now: float) -> NodeState:
    """Eject an endpoint: prefer others for `EJECTION_S`."""
    until = now + EJECTION_S
    return _place.update_pool(
        state, endpoint, lambda pool: replace(pool, ejected_until=until)
    )


def _release_or_close_connection(
    state: NodeState, event: StatementFailed
) -> Step[NodeState]:
    """Return the connection to its pool if it is clean, else close it.

    While its endpoint owes an answer on it, it is neither.
    """
    if not event.usable or event.in_transaction:
        return _dispatch.close_and_dispatch(state, event.conn, event.at)
    if event.answers_owed:
        return _dispatch.await_settled(state, event.conn, event.at)
    endpoint = state.conn_endpoints.get(event.conn, "")
    step = _dispatch.return_connection(state, event.conn, event.at)
    return step.then(_dispatch.dispatch(step.state, endpoint, event.at))


def _handle_in_transaction(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    """Handle a failure in a transaction that the endpoint has kept open."""
    if request.kind is StatementKind.ROLLBACK:
        return abort_and_answer(state, request, event.at, event.failure.value)
    if event.failure is Failure.BUSY and _may_retry(request, event.at):
        wait_s = compute_backoff(request.attempts)
        return Step(_store_in_backoff(state, request, event.at, wait_s))
    if event.failure is Failure.ERROR and request.kind is not StatementKind.COMMIT:
        refusal = Refusal(Code.ENDPOINT_ERROR, event.detail)
        return answer(state, request, refusal)
    return abort_and_answer(state, request, event.at, event.failure.value)


def abort_and_answer(
    state: NodeState, request: Request, now: float, detail: str
) -> Step[NodeState]:
    """Roll a transaction back by closing its connection, and answer the caller.

    That is all that a caller's ROLLBACK asks for, so it succeeds.
    """
    session = state.sessions[request.caller]
    ends_transaction = request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
    outcome = TransactionState.NONE if ends_transaction else TransactionState.LOST
    step = abort_transaction(state, session, outcome, now)
    if request.kind is StatementKind.ROLLBACK:
        return step.then(answer(step.state, request))
    refusal = Refusal(Code.TRANSACTION_LOST, detail)
    return step.then(answer(step.state, request, refusal))


def answer_lost_transaction(state: NodeState, request: Request) -> Step[NodeState]:
    """Answer a statement that waited while its transaction was rolled back."""
    session = state.sessions[request.caller]
    if request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        state = end_transaction(state, session, TransactionState.NONE)
    if request.kind is StatementKind.ROLLBACK:
        return answer(state, request)
    detail = "the connection of the transaction broke"
    return answer(state, request, Refusal(Code.TRANSACTION_LOST, detail))


def _answer_ended_transaction(
    state: NodeState, session: Session, request: Request, event: StatementFailed
) -> Step[NodeState]:
    """Answer a statement whose transaction has ended at the endpoint."""
    if request.kind is StatementKind.ROLLBACK:
        return answer(state, request)
    in_doubt = event.failure in (Failure.LOST, Failure.ERROR)
    if request.kind is StatementKind.COMMIT and session.has_written and in_doubt:
        return answer(state, request, Refusal(Code.CONNECTION_LOST, "at commit"))
    if event.failure is Failure.ERROR:
        return answer(state, request, Refusal(Code.ENDPOINT_ERROR, event.detail))
    return answer(state, request, Refusal(Code.TRANSACTION_LOST, event.failure.value))


def _reopen_transaction(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    """Retry the first statement of a transaction; its effects were rolled back."""
    if event.failure is Failure.LOST:
        return _rerun_elsewhere(state, request, event)
    return _handle_failure(state, request, event)


def _handle_failure(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    return _failure_handlers[event.failure](state, request, event)


def _may_retry(request: Request, now: float) -> bool:
    return request.attempts < MAX_REFUSED_ATTEMPTS and now < request.deadline


def _store_in_backoff(
    state: NodeState, request: Request, now: float, wait_s: float = FIRST_BACKOFF_S
) -> NodeState:
    delayed = replace(
        request, phase=Phase.BACKOFF, retry_at=now + wait_s, tried_endpoints=()
    )
    return _place.store_request(state, delayed)


def place_again(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Place a request that has not run at an endpoint that can serve it now."""
    if not _may_retry(request, now):
        return answer(state, request, Refusal(Code.OVERLOADED))
    moved = replace(request, phase=Phase.CONNECTION, conn=0)
    return _place.place(_place.store_request(state, moved), moved, now)


def back_off(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Retry a request that has not run after a short delay."""
    if not _may_retry(request, now):
        return answer(state, request, Refusal(Code.OVERLOADED))
    return Step(_store_in_backoff(state, replace(request, conn=0), now))


def refuse_unreachable_primary(state: NodeState, request: Request) -> Step[NodeState]:
    """Refuse a request that needs the primary, which this daemon cannot reach."""
    detail = "this daemon does not reach the primary"
    refusal = Refusal(Code.NO_ENDPOINT, detail, retry_after_s=EJECTION_S)
    return answer(state, request, refusal)


def refuse_evacuated(state: NodeState, request: Request) -> Step[NodeState]:
    """Refuse a request that only endpoints in evacuated zones could serve."""
    if request.may_have_run:
        return answer(state, request, Refusal(Code.CONNECTION_LOST, EVACUATED_DETAIL))
    retry_after_s = retry_time_s(state, request.req)
    refusal = Refusal(Code.NO_ENDPOINT, EVACUATED_DETAIL, retry_after_s=retry_after_s)
    return answer(state, request, refusal)


def end_evacuated_transaction(
    state: NodeState, request: Request, now: float
) -> Step[NodeState]:
    """Roll back a transaction in an evacuated zone instead of sending a statement."""
    return abort_and_answer(state, request, now, EVACUATED_DETAIL)


def refuse_overloaded(
    state: NodeState, request: Request, wait_s: float
) -> Step[NodeState]:
    """Refuse a request whose wait would exceed its remaining queue time."""
    refusal = Refusal(Code.OVERLOADED, "the queue is too long", retry_after_s=wait_s)
    return answer(state, request, refusal)


def record_tried(request: Request) -> Request:
    """Return the request with its endpoint recorded as tried, so others go first."""
    return replace(
        request, tried_endpoints=request.tried_endpoints + (request.endpoint,)
    )


@recovers(Failure.BUSY)
def _busy(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    if request.at_primary:
        return place_again(state, request, event.at)
    return place_again(state, record_tried(request), event.at)


@recovers(Failure.BEHIND)
def _behind(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    return place_again(state, record_tried(request), event.at)


@recovers(Failure.READ_ONLY)
def _read_only(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    refused = replace(request, refused_term=request.sent_term)
    return place_again(state, refused, event.at)


@recovers(Failure.NOT_SENT, Failure.UNKNOWN_NAME)
def _not_run(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    return place_again(state, request, event.at)


@recovers(Failure.LOST)
def _lost(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    if not request.is_read:
        return answer(state, request, Refusal(Code.CONNECTION_LOST))
    return _rerun_elsewhere(state, request, event)


@recovers(Failure.ERROR)
def _error(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    if request.is_read and request.attempts < MAX_RUNS:
        return _rerun_elsewhere(state, request, event)
    return answer(state, request, Refusal(Code.ENDPOINT_ERROR, event.detail))


@recovers(Failure.ROLLED_BACK, Failure.DUPLICATE_ID)
def _unexpected(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    return answer(state, request, Refusal(Code.ENDPOINT_ERROR, event.failure.value))


def _rerun_elsewhere(
    state: NodeState, request: Request, event: StatementFailed
) -> Step[NodeState]:
    """Rerun a request whose last run had no lasting effect, elsewhere if possible."""
    if request.attempts >= MAX_RUNS:
        return answer(state, request, Refusal(Code.NO_ENDPOINT, "attempts used up"))
    if request.at_primary:
        return back_off(state, request, event.at)
    return place_again(state, record_tried(request), event.at)
