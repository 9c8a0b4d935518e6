"""Opens, resets and closes the sessions of callers."""

from immutables import Map

from lovagewalk.catalogue import RouteClass
from lovagewalk.clients import HOLDING_STEP_BYTES
from lovagewalk.clients._reducer import record_stored
from lovagewalk.core import Code, Effect, Refusal, Step, reduces, replace
from lovagewalk.node import NodeState
from lovagewalk.pools import remove_waiting
from lovagewalk.sessions import Session, TransactionState
from lovagewalk.shares import return_tokens

from . import _dispatch, _place
from ._admit import access_refusal, authorise, stale_refusal
from ._answer import answer
from ._draining import refuses_operations, refuses_statements
from ._effects import AcceptCaller, CloseCaller, DiscardResult
from ._events import CallerConnected, CallerDisconnected, CallerReset
from ._state import SENT_PHASES, Phase, Request
from ._transactions import abort_transaction
from ._walks import walk_sessions

# How long a daemon that has just started lets callers wait for its first lease. The
# first leader is elected within a second of a loss of power, and callers of the
# platform give up after two seconds.
FIRST_LEASE_WAIT_S = 1.2
# Each caller that waits takes a connection, of which a small VM holds a few thousand.
MAX_EARLY_CALLERS = 1000


@reduces(CallerConnected)
def _caller_connected(state: NodeState, event: CallerConnected) -> Step[NodeState]:
    step = _open_session(state, event, event.at)
    is_stale = any(
        isinstance(effect, CloseCaller) and effect.refusal.code is Code.CONFIG_STALE
        for effect in step.effects
    )
    if not is_stale or not _may_await_first_lease(state, event.at):
        return step
    early_callers = state.early_callers.set(event.caller, event)
    await_lease_until = state.await_lease_until or event.at + FIRST_LEASE_WAIT_S
    return Step(
        replace(state, early_callers=early_callers, await_lease_until=await_lease_until)
    )


def _may_await_first_lease(state: NodeState, now: float) -> bool:
    """Whether a caller may wait for the first lease since this daemon started."""
    if state.fresh_until or len(state.early_callers) >= MAX_EARLY_CALLERS:
        return False
    return not state.await_lease_until or now < state.await_lease_until


def answer_early_callers(state: NodeState, now: float) -> Step[NodeState]:
    """Open the sessions that wait for the first lease, or refuse them in the end."""
    step = Step(state)
    if not state.early_callers:
        return step
    is_waiting = now >= state.fresh_until and now < state.await_lease_until
    if is_waiting and not state.draining:
        return step
    step = Step(replace(state, early_callers=type(state.early_callers)()))
    for event in sorted(state.early_callers.values(), key=lambda event: event.caller):
        step = step.then(_open_session(step.state, event, now))
    return step


def _open_session(
    state: NodeState, event: CallerConnected, now: float
) -> Step[NodeState]:
    route = state.catalogue.route(event.route)
    key = state.catalogue.key(event.key_id)
    refusal = None
    if route is None:
        refusal = Refusal(Code.ROUTE_UNKNOWN)
    elif route.route_class is RouteClass.KEYED and key is None:
        refusal = Refusal(Code.KEY_UNKNOWN)
    if refusal is not None:
        if now >= state.fresh_until:
            refusal = stale_refusal()
        return Step(state, (CloseCaller(event.caller, refusal),))
    session = Session(
        caller=event.caller,
        key=key,
        route=event.route,
        group=route.group,
    )
    refusal = authorise(state, session, now)
    if refusal is None and refuses_operations(state, now):
        refusal = Refusal(Code.DRAINING)
    if refusal is not None:
        return Step(state, (CloseCaller(event.caller, refusal),))
    sessions = state.sessions.set(event.caller, session)
    return Step(replace(state, sessions=sessions), (AcceptCaller(event.caller),))


@reduces(CallerDisconnected)
def _caller_disconnected(
    state: NodeState, event: CallerDisconnected
) -> Step[NodeState]:
    if event.caller in state.early_callers:
        early_callers = state.early_callers.delete(event.caller)
        return Step(replace(state, early_callers=early_callers))
    session = state.sessions.get(event.caller)
    if session is None:
        return Step(state)
    step = _cancel_work(state, session, event.at)
    sessions = step.state.sessions.delete(event.caller)
    return Step(replace(step.state, sessions=sessions), step.effects)


@reduces(CallerReset)
def _caller_reset(state: NodeState, event: CallerReset) -> Step[NodeState]:
    session = state.sessions.get(event.caller)
    if session is None:
        return Step(state)
    step = _cancel_work(state, session, event.at)
    new_session = replace(
        session,
        transaction=TransactionState.NONE,
        autocommit=True,
        conn=0,
        req=0,
        last_insert_id=0,
        variables=Map(),
        prepared=Map(),
        stored_bytes=0,
    )
    sessions = step.state.sessions.set(event.caller, new_session)
    step = Step(replace(step.state, sessions=sessions), step.effects)
    if session.stored_bytes < HOLDING_STEP_BYTES:
        return step
    return step.then(record_stored(step.state, event.caller, 0, event.at))


def _cancel_work(state: NodeState, session: Session, now: float) -> Step[NodeState]:
    """Cancel a session's request and its transaction; the endpoint rolls it back."""
    step = Step(state)
    request = state.requests.get(session.req)
    if request is not None:
        step = cancel_request(state, request, now)
    if not session.conn:
        return step
    return step.then(_dispatch.close_and_dispatch(step.state, session.conn, now))


def cancel_request(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Remove a request from its queue, or close the connection that it runs on.

    A late answer then finds no request and is discarded.
    """
    state = remove_from_queue(state, request)
    state = replace(state, requests=state.requests.delete(request.req))
    effects: tuple[Effect, ...] = (DiscardResult(request.req),)
    step = Step(state, effects)
    if request.phase not in (Phase.SETUP, Phase.RUNNING, Phase.STREAMING):
        return step
    step = step.then(_dispatch.close_connection(state, request.conn, now))
    return step.then(_dispatch.dispatch(step.state, request.endpoint, now))


def remove_from_queue(state: NodeState, request: Request) -> NodeState:
    """Remove a request from the queue that it waits in."""
    if request.phase is Phase.CONNECTION:
        pool = _place.get_pool(state, request.endpoint)
        pool = remove_waiting(pool, request.customer, request.req)
        return replace(state, pools=state.pools.set(request.endpoint, pool))
    share = state.shares.get(request.customer)
    if request.phase is not Phase.TOKENS or share is None:
        return state
    waiting = tuple(req for req in share.waiting if req != request.req)
    share = replace(share, waiting=waiting)
    if request.reserved_fraction:
        share = return_tokens(share, request.reserved_fraction, share.updated_at)
    return replace(state, shares=state.shares.set(request.customer, share))


def close_idle_sessions(state: NodeState, now: float) -> Step[NodeState]:
    """Close the sessions that have no request while this daemon drains.

    A session in a transaction is closed once the drain refuses its statements.
    """

    def visit(state: NodeState, session: Session) -> Step[NodeState]:
        if session.req or session.closing:
            return Step(state)
        if session.in_transaction and not refuses_statements(state, session, now):
            return Step(state)
        return _close_session(state, session, Refusal(Code.DRAINING), now)

    return walk_sessions(state, visit)


def close_unauthorised_sessions(state: NodeState, now: float) -> Step[NodeState]:
    """Close every session that its key or route no longer admits.

    Called after each catalogue change. A statement that an endpoint is running
    is finished first; an open transaction is rolled back.
    """

    def visit(state: NodeState, session: Session) -> Step[NodeState]:
        refusal = access_refusal(state, session)
        if refusal is None or session.closing:
            return Step(state)
        return _close_session(state, session, refusal, now)

    return walk_sessions(state, visit)


def _close_session(
    state: NodeState, session: Session, refusal: Refusal, now: float
) -> Step[NodeState]:
    request = state.requests.get(session.req)
    session = replace(session, closing=True)
    state = replace(state, sessions=state.sessions.set(session.caller, session))
    step = Step(state)
    if session.conn and not _is_sent(request):
        step = abort_transaction(state, session, TransactionState.LOST, now)
    # The freed connection may have gone to this session's own waiting statement.
    request = step.state.requests.get(session.req)
    if request is None:
        effect = CloseCaller(session.caller, refusal)
        return Step(step.state, step.effects + (effect,))
    if _is_sent(request):
        return step
    updated = remove_from_queue(step.state, request)
    return Step(updated, step.effects).then(answer(updated, request, refusal))


def _is_sent(request: Request | None) -> bool:
    """Whether a request waits for an answer that its endpoint owes."""
    return request is not None and request.phase in SENT_PHASES
