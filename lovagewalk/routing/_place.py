"""Chooses where a request runs, by the known positions and load of endpoints."""

from collections.abc import Callable
from dataclasses import dataclass

from lovagewalk.catalogue import Endpoint, GroupConfig, Management
from lovagewalk.core import Effect, Step, replace
from lovagewalk.groups import (
    AwaitPosition,
    GroupView,
    InstanceView,
    Position,
    Role,
    data_age,
    is_isolated_from_primary,
    replica_has_applied,
    translate_position,
)
from lovagewalk.node import NodeState
from lovagewalk.pace import Pace, compute_share, create_pace
from lovagewalk.pools import (
    CustomerQueue,
    Pool,
    assign_idle,
    enqueue,
    estimate_wait,
)
from lovagewalk.sessions import Session, TransactionState

from . import _dispatch, _recovery
from ._consistency import choose_endpoint, plan_request
from ._evacuation import is_group_evacuated, takes_no_work
from ._state import Phase, Request
from ._transactions import has_lost_transaction
from ._types import StatementKind

# Usual lag of a replica. A read that waits longer is served by the primary.
MAX_REPLICA_WAIT_S = 0.06
# Timeout of a position query at an instance, which also ends obsolete queries.
POSITION_QUERY_TIMEOUT_S = 0.5
# Time from the choice of a replica until the read reaches it.
AGE_MARGIN_S = 0.005
# Fraction of a route's latency objective that a request may spend in a queue for a
# connection; the rest is for its token, its run and the network round trip.
QUEUE_FRACTION = 0.5
# Connections that the control leader keeps open to each primary for its probes.
PROBE_CONNECTIONS = 1
# Load of the busiest daemon behind the users' balancers, relative to the mean.
PEAK_TO_MEAN_LOAD = 1.6
# A transaction pins a connection while its caller thinks; the daemon's other callers
# need further ones.
MIN_POOL_LIMIT = 3


@dataclass(frozen=True, slots=True)
class Target:
    """Where a request goes next: the queue of an endpoint, or a waiting phase."""

    phase: Phase
    endpoint: str = ""


def place(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Run a request, queue it at an endpoint, or let it wait for a replica."""
    session = state.sessions[request.caller]
    if has_lost_transaction(request, session):
        return _recovery.answer_lost_transaction(state, request)
    if session.conn:
        return _dispatch.run_on_connection(state, request, session.conn, now)
    if request.has_explicit_consistency:
        return _place_explicit(state, request, session, now)
    target = choose_target(state, request, session, now)
    if target.phase is Phase.PRIMARY and is_group_evacuated(
        state, request.group, True, now
    ):
        return _recovery.refuse_evacuated(state, request)
    request = replace(request, phase=target.phase, endpoint=target.endpoint)
    if target.phase is Phase.CONNECTION:
        return _queue(state, request, now)
    state = store_request(state, request)
    if target.phase is not Phase.REPLICA:
        return Step(state)
    view = state.groups[request.group]
    view = replace(view, waiting_reads=view.waiting_reads + (request.req,))
    state = replace(state, groups=state.groups.set(request.group, view))
    return await_positions(state, request.group, now, False)


def _place_explicit(
    state: NodeState, request: Request, session: Session, now: float
) -> Step[NodeState]:
    """Place a request whose route has an explicit consistency."""
    request = plan_request(state, request, session)
    if request.at_primary and is_isolated_from_primary(state, request.group, now):
        return _recovery.refuse_unreachable_primary(state, request)
    endpoint = choose_endpoint(state, request, now)
    if not endpoint and is_group_evacuated(
        state, request.group, request.at_primary, now
    ):
        return _recovery.refuse_evacuated(state, request)
    if not endpoint and not request.at_primary:
        if not request.tried_endpoints:
            return _await_primary(state, request)
        return _recovery.back_off(state, replace(request, tried_endpoints=()), now)
    if not endpoint:
        return _await_primary(state, request)
    wait_s = estimate_wait(state.pools.get(endpoint), now)
    if wait_s > _remaining_queue_time(request, now):
        return _recovery.refuse_overloaded(state, request, wait_s)
    request = replace(request, phase=Phase.CONNECTION, endpoint=endpoint, queued_at=now)
    return _queue(state, request, now)


def _remaining_queue_time(request: Request, now: float) -> float:
    """Return how much longer a request may usefully queue, in seconds."""
    limit_s = request.deadline - now
    if request.route.objective_s:
        limit_s = min(limit_s, request.route.objective_s * QUEUE_FRACTION)
    return max(limit_s, 0.0)


def _await_primary(state: NodeState, request: Request) -> Step[NodeState]:
    """Let a request wait for a change of the primary or of the endpoints."""
    request = replace(request, phase=Phase.PRIMARY, endpoint="")
    return Step(store_request(state, request))


def _queue(state: NodeState, request: Request, now: float) -> Step[NodeState]:
    """Run a request on an idle connection, or queue it for the next one."""
    pool = get_pool(state, request.endpoint)
    assigned = assign_idle(pool, request.customer, now)
    if assigned.conn:
        pools = state.pools.set(request.endpoint, assigned.pool)
        state = replace(state, pools=pools)
        return _dispatch.run_or_place_again(state, request, assigned.conn, now)
    queue = pool.queues.get(request.customer) or CustomerQueue(request.customer)
    ahead = count_ahead(state, queue.reqs, request)
    pool = enqueue(pool, request.customer, request.req, ahead)
    pools = state.pools.set(request.endpoint, pool)
    state = replace(store_request(state, request), pools=pools)
    return _dispatch.dispatch(state, request.endpoint, now)


def count_ahead(state: NodeState, queue: tuple[int, ...], request: Request) -> int:
    """Return how many of a customer's queued requests go before a new one.

    More urgent requests go first. Among equally urgent ones the earlier go first,
    except that a request that has been sent before goes ahead of them.
    """
    for index, req in enumerate(queue):
        other = state.requests.get(req)
        if other is None or other.priority < request.priority:
            continue
        if other.priority > request.priority or request.attempts:
            return index
    return len(queue)


def store_request(state: NodeState, request: Request) -> NodeState:
    """Return the state with a request stored."""
    return replace(state, requests=state.requests.set(request.req, request))


def get_pool(state: NodeState, endpoint: str) -> Pool:
    """Return an endpoint's pool, or an empty one if it has none yet."""
    return state.pools.get(endpoint) or empty_pool(state, endpoint)


def update_pool(
    state: NodeState, endpoint: str, change: Callable[[Pool], Pool]
) -> NodeState:
    """Return the state with an endpoint's pool changed, if it has one."""
    pool = state.pools.get(endpoint)
    if pool is None:
        return state
    changed = change(pool)
    if changed is pool:
        return state
    return replace(state, pools=state.pools.set(endpoint, changed))


def empty_pool(state: NodeState, endpoint: str) -> Pool:
    """Return an empty pool for an endpoint, with its current connection limit."""
    entry = state.catalogue.endpoints.get(endpoint)
    group = state.catalogue.group(entry.group) if entry else None
    if group is not None and group.management is Management.PROVIDER:
        return _dedicated_pool(state, endpoint, group)
    connections = entry.connections if entry else 1
    return Pool(endpoint, limit=max(1, connections // state.identity.fleet_size))


def _dedicated_pool(state: NodeState, endpoint: str, group: GroupConfig) -> Pool:
    """Return an empty pool whose connections are opened for one customer each.

    Callers are spread unevenly over daemons, so the limit exceeds an equal part. Where
    there are fewer connections than daemons, none is this daemon's to keep.
    """
    daemons = max(state.entry_daemons, 1)
    connections = max(group.connections - PROBE_CONNECTIONS, 1)
    fair_limit = connections // daemons
    limit = max(MIN_POOL_LIMIT, int(connections * PEAK_TO_MEAN_LOAD / daemons))
    limit = min(limit, connections)
    return Pool(
        endpoint,
        limit=limit,
        fair_limit=fair_limit,
        dedicated=True,
        pace=_initial_pace(state, endpoint, daemons),
    )


def _initial_pace(state: NodeState, name: str, daemons: int) -> Pace | None:
    """Return the pace towards an endpoint; None where a fixed backoff applies.

    The seed differs between daemons, so that their probes are spread.
    """
    if not state.identity.paces_endpoints:
        return None
    endpoint = state.catalogue.endpoints[name]
    seed = int.from_bytes(f"{state.identity.name} {name}".encode())
    return create_pace(compute_share(endpoint.slots, daemons), seed)


def choose_target(
    state: NodeState, request: Request, session: Session, now: float
) -> Target:
    """Choose the target of a request that has no pinned connection.

    A session token may hold a position of a later term than this daemon has
    installed. The primary that it knows has then been replaced and may lack the
    session's rows.
    """
    config = state.catalogue.group(request.group)
    if session.position is not None and session.position.term > config.term:
        return Target(Phase.PRIMARY)
    if is_single_read(request, session):
        replica = _choose_replica(state, config, request, session, now)
        if replica is not None:
            return replica
    if takes_no_work(state, config.primary, now):
        return Target(Phase.PRIMARY)
    return _choose_primary(config, request)


def is_single_read(request: Request, session: Session) -> bool:
    """Whether a request is a read outside a transaction, which a replica may serve."""
    return (
        request.kind is StatementKind.READ
        and session.transaction is TransactionState.NONE
        and session.autocommit
    )


def _choose_primary(config: GroupConfig, request: Request) -> Target:
    if not config.primary or config.term == request.refused_term:
        return Target(Phase.PRIMARY)
    return Target(Phase.CONNECTION, config.primary)


def _choose_replica(
    state: NodeState,
    config: GroupConfig,
    request: Request,
    session: Session,
    now: float,
) -> Target | None:
    view = state.groups.get(request.group)
    max_age = request.marks.max_age_s
    if view is None or (session.position is None and max_age is None):
        return None
    min_position = min_read_position(config, session)
    replicas = [
        endpoint
        for endpoint in live_replicas(state, view, config)
        if endpoint.zone not in state.catalogue.evacuated_zones
    ]
    eligible = [
        endpoint
        for endpoint in replicas
        if _meets_requirements(view, config, endpoint.name, min_position, max_age, now)
    ]
    if eligible:
        best = min(eligible, key=lambda endpoint: _rank(state, endpoint))
        return Target(Phase.CONNECTION, best.name)
    is_new = request.phase is Phase.TOKENS
    if is_new and replicas and min_position is not None and max_age is None:
        return Target(Phase.REPLICA)
    return None


def min_read_position(config: GroupConfig, session: Session) -> Position | None:
    """Return the position that a session's reads must include, in the current term."""
    position = session.position_in(config.name)
    return None if position is None else translate_position(config, position)


def live_replicas(
    state: NodeState, view: GroupView, config: GroupConfig
) -> list[Endpoint]:
    """Return the replicas that answer in the current term, preferred ones first."""
    replicas = []
    for instance in view.instances.values():
        endpoint = state.catalogue.endpoints.get(instance.endpoint)
        if endpoint is None or endpoint.leaving:
            continue
        if is_live_replica(instance, config):
            replicas.append(endpoint)
    return sorted(replicas, key=lambda endpoint: _rank(state, endpoint))


def is_live_replica(instance: InstanceView, config: GroupConfig) -> bool:
    """Whether an instance answers and replicates from the installed primary."""
    status = instance.status
    if status is None or instance.endpoint == config.primary:
        return False
    return status.role is Role.REPLICA and status.term == config.term


def _meets_requirements(
    view: GroupView,
    config: GroupConfig,
    name: str,
    min_position: Position | None,
    max_age: float | None,
    now: float,
) -> bool:
    instance = view.instances[name]
    if min_position is not None and not replica_has_applied(
        instance, config, min_position
    ):
        return False
    if max_age is None:
        return True
    age = data_age(view, instance.status, now)
    return age is not None and age + AGE_MARGIN_S <= max_age


def _rank(state: NodeState, endpoint: Endpoint) -> tuple[bool, float, bool, str]:
    pool = state.pools.get(endpoint.name)
    load = pool.load if pool else 0.0
    is_remote = endpoint.region != state.identity.region
    return (is_remote, load, endpoint.zone != state.identity.zone, endpoint.name)


def await_positions(
    state: NodeState, group: str, now: float, all_replicas: bool
) -> Step[NodeState]:
    """Query replicas for the positions that requests of a group wait for.

    Each replica has at most one open query. It answers when it reaches the lowest
    missing position, and its answer may resolve many requests.

    Parameters
    ----------
    all_replicas : bool
        Query all replicas, not just as many as a quorum needs.
    """
    config = state.catalogue.group(group)
    view = state.groups.get(group)
    if view is None:
        return Step(state)
    positions = _pending_positions(state, view, config)
    replicas = live_replicas(state, view, config)
    if not all_replicas:
        replicas = replicas[: max(config.write_quorum - 1, 1)]
    effects: tuple[Effect, ...] = ()
    for endpoint in replicas:
        instance = view.instances[endpoint.name]
        missing = [
            position for position in positions if position.index > instance.status.index
        ]
        if instance.awaiting or not missing:
            continue
        effects += (_await_position(endpoint, min(missing)),)
        querying = replace(instance, awaiting=True)
        view = replace(view, instances=view.instances.set(endpoint.name, querying))
    return Step(replace(state, groups=state.groups.set(group, view)), effects)


def _await_position(endpoint: Endpoint, min_position: Position) -> AwaitPosition:
    return AwaitPosition(
        endpoint.name,
        endpoint.host,
        endpoint.port,
        min_position,
        POSITION_QUERY_TIMEOUT_S,
    )


def _pending_positions(
    state: NodeState, view: GroupView, config: GroupConfig
) -> list[Position]:
    positions = [
        waiter.position
        for waiter in view.waiters
        if waiter.position.term == config.term
    ]
    for req in view.waiting_reads:
        request = state.requests.get(req)
        if request is not None and request.phase is Phase.REPLICA:
            min_position = min_read_position(config, state.sessions[request.caller])
            positions.append(min_position)
    return positions
