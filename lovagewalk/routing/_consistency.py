"""Chooses endpoints for statements whose route has an explicit consistency.

A read is sent with a position that the log has to hold. The endpoint itself
checks it, so a choice made on outdated state costs time, never correctness.
"""

from collections.abc import Callable
from dataclasses import dataclass

from lovagewalk.catalogue import Consistency, Endpoint, GroupConfig
from lovagewalk.core import Handlers, replace
from lovagewalk.groups import GroupView, Position, sample_since
from lovagewalk.node import NodeState
from lovagewalk.pools import estimate_wait, is_slow, may_send
from lovagewalk.sessions import Session, TransactionState

from ._evacuation import takes_no_work
from ._state import Request

# Number of requests in flight that make one load step in an endpoint's rank; within a
# step the nearer endpoint is preferred. The endpoints of both users' sites run three
# statements at a time.
LOAD_STEP = 2
# Round trip to the other region, which is preferred once a local queue takes longer.
REMOTE_ROUND_TRIP_S = 0.04


@dataclass(frozen=True, slots=True)
class Plan:
    """Requirements of a request on the endpoint that serves it.

    Attributes
    ----------
    at_primary : bool
        Whether only the primary can serve it.
    min_position : Position or None
        Position that the log must hold.
    """

    at_primary: bool
    min_position: Position | None = None


PRIMARY = Plan(at_primary=True)

Planner = Callable[[NodeState, Request, Session], Plan]
_planners: Handlers[Consistency, Planner] = Handlers()
plans = _planners.on


@plans(Consistency.PRIMARY)
def _plan_primary(state: NodeState, request: Request, session: Session) -> Plan:
    return PRIMARY


@plans(Consistency.BOUNDED)
def _plan_bounded(state: NodeState, request: Request, session: Session) -> Plan:
    """Require a position that the primary held within the staleness bound.

    Of the samples within the bound the oldest is taken, since most replicas hold
    it. Without such a sample the primary serves the read.
    """
    view = state.groups.get(request.group)
    if view is None:
        return PRIMARY
    since = session.operation_started_at - request.route.max_staleness_s
    sample = sample_since(view, since)
    return PRIMARY if sample is None else Plan(False, sample.position)


@plans(Consistency.OWN_WRITES)
def _plan_own_writes(state: NodeState, request: Request, session: Session) -> Plan:
    """Require bounded staleness and the session's own writes.

    A position of an older term may have been rolled back, so that no log ever
    holds it. The read then goes to the primary, which has all surviving writes, and
    so it does where the position of a write is not known.
    """
    plan = _plan_bounded(state, request, session)
    observed = session.positions.get(request.group)
    if plan.at_primary or observed is None:
        return plan
    is_current = observed.term == state.catalogue.group(request.group).term
    if not is_current or observed.position is None:
        return PRIMARY
    return Plan(False, max(plan.min_position, observed.position))


def plan_read(state: NodeState, request: Request, session: Session) -> Plan:
    """Return the requirements of a read or a read-only transaction."""
    return _planners[request.route.consistency](state, request, session)


def may_use_replica(request: Request, session: Session) -> bool:
    """Whether a request may run at a replica."""
    if not request.is_read:
        return False
    if session.transaction is TransactionState.NONE:
        return True
    return session.transaction is TransactionState.BEGUN and session.read_only


def plan_request(state: NodeState, request: Request, session: Session) -> Request:
    """Return a request with its requirements filled in.

    For a single read at the primary the instance has to prove its role, since a
    replaced primary still answers reads. A transaction proves the role by itself.
    """
    plan = PRIMARY
    if may_use_replica(request, session):
        plan = plan_read(state, request, session)
    is_single = session.transaction is TransactionState.NONE
    return replace(
        request,
        at_primary=plan.at_primary,
        min_position=plan.min_position,
        require_proof=plan.at_primary and is_single and request.is_read,
    )


def choose_endpoint(state: NodeState, request: Request, now: float) -> str:
    """Return the endpoint for a planned request; empty if there is none at present."""
    config = state.catalogue.group(request.group)
    if request.at_primary:
        return _usable_primary(state, config, request, now)
    endpoints = [
        endpoint
        for endpoint in state.catalogue.group_endpoints(request.group)
        if not endpoint.leaving
        and endpoint.zone not in state.catalogue.evacuated_zones
        and endpoint.name not in request.tried_endpoints
    ]
    if not endpoints:
        return ""
    view = state.groups.get(request.group)

    def rank(endpoint: Endpoint) -> tuple:
        pool = state.pools.get(endpoint.name)
        return (
            pool is not None and now < pool.ejected_until,
            is_slow(pool, _best_latency(state, endpoints, endpoint), now),
            not may_send(pool, now),
            *_rank(state, config, view, request, endpoint, now),
        )

    return min(endpoints, key=rank).name


def _best_latency(
    state: NodeState, endpoints: list[Endpoint], endpoint: Endpoint
) -> float:
    """Return the lowest latency of the other endpoints, in seconds; 0 if unknown."""
    latencies_s = [
        state.pools[other.name].latency_s
        for other in endpoints
        if other is not endpoint and other.name in state.pools
    ]
    return min((latency_s for latency_s in latencies_s if latency_s), default=0.0)


def _usable_primary(
    state: NodeState, config: GroupConfig, request: Request, now: float
) -> str:
    if not config.primary or config.term == request.refused_term:
        return ""
    if takes_no_work(state, config.primary, now):
        return ""
    return config.primary if config.primary in state.catalogue.endpoints else ""


def _rank(
    state: NodeState,
    config: GroupConfig,
    view: GroupView | None,
    request: Request,
    endpoint: Endpoint,
    now: float,
) -> tuple[int, bool, bool, int, bool, bool, int, str]:
    """Return an endpoint's rank; the lowest rank is preferred.

    Local endpoints go first, then those not known to lack the position, then
    lightly loaded ones, then replicas. Requests go to the other region once the
    local wait exceeds the round trip.
    """
    pool = state.pools.get(endpoint.name)
    busy = pool.busy if pool else 0
    is_remote = endpoint.region != state.identity.region
    return (
        int(estimate_wait(pool, now) / REMOTE_ROUND_TRIP_S) + is_remote,
        is_remote,
        _is_behind(view, endpoint, request, now),
        busy // LOAD_STEP,
        endpoint.name == config.primary,
        endpoint.zone != state.identity.zone,
        busy,
        endpoint.name,
    )


def _is_behind(
    view: GroupView | None, endpoint: Endpoint, request: Request, now: float
) -> bool:
    """Whether an endpoint has recently reported that it lacks the needed position."""
    if view is None or request.min_position is None:
        return False
    missing = view.missing_positions.get(endpoint.name)
    if missing is None or now >= missing.until:
        return False
    return request.min_position >= missing.position
