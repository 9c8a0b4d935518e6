"""Assigns pool connections to waiting requests and runs them."""

from lovagewalk import pools
from lovagewalk.catalogue import Endpoint, GroupConfig
from lovagewalk.core import Code, Effect, Refusal, Step, replace
from lovagewalk.groups import Position, replica_has_applied
from lovagewalk.node import NodeState
from lovagewalk.pools import (
    CloseConnection,
    OpenConnection,
    Pool,
    assign_next,
    count_to_open,
    discard,
    plan_openings,
    record_send,
    release,
)
from lovagewalk.sessions import Session, TransactionState

from . import _admit, _place, _recovery
from ._answer import answer
from ._effects import BeginTransaction, OnceId, RunStatement, SetUpConnection
from ._evacuation import is_evacuation_over, takes_no_work
from ._settings import plan_setup
from ._state import Phase, Request
from ._transactions import has_lost_transaction
from ._types import WRITE_KINDS, StatementKind


def customer_weight(state: NodeState, customer: str) -> float:
    """Return a customer's weight; 1 for callers without a customer."""
    entry = state.catalogue.customer(customer)
    return entry.weight if entry else 1.0


def dispatch(state: NodeState, endpoint: str, now: float) -> Step[NodeState]:
    """Assign an endpoint's idle connections to waiting requests and open more."""
    step = Step(state)
    while True:
        state = step.state
        pool = _place.get_pool(state, endpoint)
        assigned = assign_next(
            pool, lambda customer: customer_weight(state, customer), now
        )
        if not assigned.req:
            return step.then(_open_connections(state, endpoint, now))
        pools = state.pools.set(endpoint, assigned.pool)
        state = replace(state, pools=pools)
        request = state.requests[assigned.req]
        step = Step(state, step.effects)
        step = step.then(run_or_place_again(state, request, assigned.conn, now))


def _open_connections(state: NodeState, endpoint: str, now: float) -> Step[NodeState]:
    pool = _place.get_pool(state, endpoint)
    entry = state.catalogue.endpoints.get(endpoint)
    if entry is None or takes_no_work(state, endpoint, now):
        return Step(state)
    if not pool.dedicated:
        customers = ("",) * count_to_open(pool, now)
        return _open_for_customers(state, pool, entry, customers)
    openings = plan_openings(pool, now)
    step = Step(state)
    for conn in openings.evicted:
        step = step.then(close_connection(step.state, conn, now))
    pool = _place.get_pool(step.state, endpoint)
    if openings.customers:
        first = step.state.next_conn
        conns = tuple(range(first, first + len(openings.customers)))
        pool = record_send(pool, now, conns)
    return step.then(_open_for_customers(step.state, pool, entry, openings.customers))


def _open_for_customers(
    state: NodeState, pool: Pool, entry: Endpoint, customers: tuple[str, ...]
) -> Step[NodeState]:
    """Open one connection for each of the given customers."""
    if not customers:
        return Step(state)
    conn_endpoints = state.conn_endpoints
    opening_for = pool.opening_for
    effects: tuple[Effect, ...] = ()
    for conn, customer in enumerate(customers, state.next_conn):
        conn_endpoints = conn_endpoints.set(conn, entry.name)
        opening_for = opening_for.set(conn, customer)
        effects += (
            OpenConnection(
                conn,
                entry.name,
                entry.host,
                entry.port,
                entry.group,
                customer,
            ),
        )
    pool = replace(pool, opening=pool.opening + len(customers), opening_for=opening_for)
    state = replace(
        state,
        next_conn=state.next_conn + len(customers),
        conn_endpoints=conn_endpoints,
        pools=state.pools.set(entry.name, pool),
    )
    return Step(state, effects)


def run_or_place_again(
    state: NodeState, request: Request, conn: int, now: float
) -> Step[NodeState]:
    """Run a request on its assigned connection, or place it again.

    A connection to an earlier incarnation of the instance is closed, since the
    instance may have lost its data with the restart.
    """
    if not _is_current_incarnation(state, request, conn):
        step = close_connection(state, conn, now)
        return step.then(_place.place(step.state, request, now))
    if takes_no_work(state, request.endpoint, now):
        step = return_connection(state, conn, now)
        return step.then(_place.place(step.state, request, now))
    if request.has_explicit_consistency or _holds_min_position(state, request):
        return run_on_connection(state, request, conn, now)
    step = return_connection(state, conn, now)
    return step.then(_place.place(step.state, request, now))


def _is_current_incarnation(state: NodeState, request: Request, conn: int) -> bool:
    """Whether a connection leads to the current incarnation of its instance."""
    config = state.catalogue.group(request.group)
    pool = state.pools[request.endpoint]
    incarnation = pool.connections[conn].incarnation
    if pool.dedicated:
        endpoint = state.catalogue.endpoints.get(request.endpoint)
        return endpoint is not None and endpoint.incarnation == incarnation
    if request.endpoint == config.primary:
        return _is_voter(config, request.endpoint, incarnation)
    instance = state.groups[request.group].instances.get(request.endpoint)
    if instance is None or instance.status is None:
        return False
    return instance.status.incarnation == incarnation


def _holds_min_position(state: NodeState, request: Request) -> bool:
    """Whether a replica still holds the position that the session's reads need."""
    config = state.catalogue.group(request.group)
    if request.endpoint == config.primary:
        return True
    instance = state.groups[request.group].instances[request.endpoint]
    min_position = _place.min_read_position(config, state.sessions[request.caller])
    return min_position is None or replica_has_applied(instance, config, min_position)


def _is_voter(config: GroupConfig, name: str, incarnation: str) -> bool:
    return any(
        voter.name == name and voter.incarnation == incarnation
        for voter in config.voters
    )


def run_on_connection(
    state: NodeState, request: Request, conn: int, now: float
) -> Step[NodeState]:
    """Run a request on a connection, opening its transaction if required."""
    session = state.sessions[request.caller]
    if has_lost_transaction(request, session):
        step = return_connection(state, conn, now)
        return step.then(_recovery.answer_lost_transaction(step.state, request))
    endpoint = state.conn_endpoints[conn]
    if session.conn and is_evacuation_over(state, endpoint, now):
        return _recovery.end_evacuated_transaction(state, request, now)
    refusal = _refusal_at_send(state, session, request, now)
    if refusal is not None:
        return _refuse_at_send(state, request, conn, refusal, now)
    begin = needs_begin(request, session)
    if begin:
        pinned = replace(session, conn=conn, transaction=TransactionState.PINNED)
        state = replace(state, sessions=state.sessions.set(session.caller, pinned))
    request = replace(
        request,
        phase=Phase.RUNNING,
        conn=conn,
        endpoint=endpoint,
        attempts=request.attempts + 1,
        sent_term=state.catalogue.group(request.group).term,
        opens_transaction=begin or request.opens_transaction,
        sent_at=now,
    )
    if request.has_explicit_consistency:
        return _run_explicit(state, request, session, begin)
    effect = RunStatement(
        req=request.req,
        conn=conn,
        text=request.text,
        begin=begin,
        query_position=needs_confirmation(state, request, session),
        stream=request.kind is StatementKind.READ,
        once=_once_id(request, session),
    )
    return Step(_place.store_request(state, request), (effect,))


def _refusal_at_send(
    state: NodeState, session: Session, request: Request, now: float
) -> Refusal | None:
    """Check time limit, key and lease again immediately before a statement is sent.

    All may have expired while the statement waited or this VM was suspended. The time
    limit does not keep a transaction open that its caller rolls back.
    """
    if now >= request.deadline and request.kind is not StatementKind.ROLLBACK:
        code = Code.CONNECTION_LOST if request.may_have_run else Code.OVERLOADED
        return Refusal(code)
    return _admit.authorise(state, session, now)


def may_send(
    state: NodeState, effect: RunStatement | SetUpConnection, now: float
) -> bool:
    """Whether the messages of an effect may still be sent to its endpoint.

    Adapters ask again immediately before they send it: its key may have moved and the
    lease may have ended since the decision, while the endpoint began its transaction or
    this VM was suspended.
    """
    request = state.requests.get(effect.req)
    if request is None or request.conn != effect.conn:
        return False
    session = state.sessions[request.caller]
    return _admit.authorise(state, session, now) is None


def _refuse_at_send(
    state: NodeState, request: Request, conn: int, refusal: Refusal, now: float
) -> Step[NodeState]:
    session = state.sessions[request.caller]
    if session.conn:
        return _recovery.abort_and_answer(state, request, now, refusal.code.label)
    step = return_connection(state, conn, now)
    return step.then(answer(step.state, request, refusal))


def _run_explicit(
    state: NodeState, request: Request, session: Session, begin: bool
) -> Step[NodeState]:
    """Run a request whose session's settings the connection has, or apply them first.

    A transaction begins in the same round trip as these steps.
    """
    connection = state.pools[request.endpoint].connections[request.conn]
    steps = plan_setup(connection, session, request.prepared)
    read_only = begin and session.read_only and not request.at_primary
    min_position = None if session.conn else request.min_position
    if not steps:
        return _send_explicit(state, request, begin, read_only, min_position)
    if begin:
        steps += (BeginTransaction(read_only, min_position),)
    request = replace(request, phase=Phase.SETUP)
    effect = SetUpConnection(request.req, request.conn, steps)
    return Step(_place.store_request(state, request), (effect,))


def _send_explicit(
    state: NodeState,
    request: Request,
    begin: bool,
    read_only: bool,
    min_position: Position | None,
) -> Step[NodeState]:
    effect = RunStatement(
        req=request.req,
        conn=request.conn,
        text=request.text,
        begin=begin,
        request_id=request.marks.request_id,
        read_only=read_only,
        min_position=min_position,
        require_proof=request.require_proof,
        prepared=request.prepared,
        signed=request.kind is not StatementKind.ROLLBACK,
    )
    return Step(_place.store_request(state, request), (effect,))


def send_after_setup(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Send the statement of a request whose connection is set up."""
    session = state.sessions[request.caller]
    if session.conn and is_evacuation_over(state, request.endpoint, now):
        return _recovery.end_evacuated_transaction(state, request, now)
    refusal = _refusal_at_send(state, session, request, now)
    if refusal is not None:
        step = _refuse_at_send(state, request, request.conn, refusal, now)
        return step.then(dispatch(step.state, request.endpoint, now))
    if not session.conn and takes_no_work(state, request.endpoint, now):
        step = return_connection(state, request.conn, now)
        return step.then(_recovery.place_again(step.state, request, now))
    request = replace(
        request,
        phase=Phase.RUNNING,
        sent_term=state.catalogue.group(request.group).term,
        sent_at=now,
    )
    min_position = None if session.conn else request.min_position
    return _send_explicit(state, request, False, False, min_position)


def needs_begin(request: Request, session: Session) -> bool:
    """Whether this statement opens the session's transaction."""
    if request.kind not in (StatementKind.READ, StatementKind.WRITE):
        return False
    if session.transaction is TransactionState.BEGUN:
        return True
    return session.transaction is TransactionState.NONE and not session.autocommit


def needs_confirmation(state: NodeState, request: Request, session: Session) -> bool:
    """Whether a quorum must hold the position before the caller is answered.

    Writes need it so that no failover loses them. A read at the primary needs it
    where nothing else shows that the primary has not been replaced: if its session
    has no position yet, or if the statement states a maximum age.
    """
    if session.transaction is not TransactionState.NONE:
        return request.kind is StatementKind.COMMIT
    if not session.autocommit:
        return False
    if request.kind in WRITE_KINDS:
        return True
    config = state.catalogue.group(request.group)
    if request.endpoint != config.primary:
        return False
    return session.position is None or request.marks.max_age_s is not None


def _once_id(request: Request, session: Session) -> OnceId | None:
    if not request.marks.once or request.kind is not StatementKind.WRITE:
        return None
    return OnceId(session.customer, request.marks.request_id)


def return_connection(state: NodeState, conn: int, now: float) -> Step[NodeState]:
    """Return a connection to its pool."""
    endpoint = state.conn_endpoints.get(conn)
    if endpoint is None:
        return Step(state)
    pool = state.pools[endpoint]
    weight = _connection_weight(state, pool, conn)
    pool = release(pool, conn, weight, now)
    return Step(replace(state, pools=state.pools.set(endpoint, pool)))


def release_connection(state: NodeState, conn: int, now: float) -> Step[NodeState]:
    """Return a connection to its pool, and give it to a request that waits for one."""
    endpoint = state.conn_endpoints.get(conn)
    step = return_connection(state, conn, now)
    if endpoint is None or not step.state.pools[endpoint].waiting:
        return step
    return step.then(dispatch(step.state, endpoint, now))


def await_settled(state: NodeState, conn: int, now: float) -> Step[NodeState]:
    """Keep a connection out of its pool until its endpoint owes no answer on it.

    What would be sent on it before could run inside a transaction that is still open.
    """
    endpoint = state.conn_endpoints.get(conn)
    if endpoint is None:
        return Step(state)
    return Step(
        _place.update_pool(
            state, endpoint, lambda pool: pools.await_settled(pool, conn, now)
        )
    )


def close_connection(state: NodeState, conn: int, now: float) -> Step[NodeState]:
    """Close a connection whose state is unknown or that is no longer needed."""
    endpoint = state.conn_endpoints.get(conn)
    if endpoint is None:
        return Step(state)
    pool = state.pools[endpoint]
    pool = discard(pool, conn, _connection_weight(state, pool, conn), now)
    state = replace(
        state,
        pools=state.pools.set(endpoint, pool),
        conn_endpoints=state.conn_endpoints.delete(conn),
    )
    effects: tuple[Effect, ...] = (CloseConnection(conn),)
    return Step(state, effects)


def close_and_dispatch(state: NodeState, conn: int, now: float) -> Step[NodeState]:
    """Close a connection and open others for requests waiting at its endpoint."""
    endpoint = state.conn_endpoints.get(conn, "")
    step = close_connection(state, conn, now)
    return step.then(dispatch(step.state, endpoint, now))


def _connection_weight(state: NodeState, pool: Pool, conn: int) -> float:
    connection = pool.connections.get(conn)
    return customer_weight(state, connection.customer) if connection else 1.0
