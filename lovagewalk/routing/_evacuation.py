"""Which work still goes to the endpoints of an evacuated zone."""

from zlib import crc32

from lovagewalk.catalogue import Consistency, GroupConfig
from lovagewalk.core import draw, replace
from lovagewalk.node import NodeState

from ._leaving import has_left
from ._state import Request
from ._types import StatementKind

# No request is sent to the zone later than 5 s after the acknowledgement. The time
# counts from before it, so a second is left for a sweep, for a statement that waits
# behind others on its connection, and for a daemon whose loop is late.
EVACUATION_WORK_S = 4.0
# Refused callers come back after one to two times this, in which a primary is promoted.
EVACUATION_RETRY_S = 1.0


def record_evacuations(state: NodeState, now: float) -> NodeState:
    """Return the state with the time since which each zone may be evacuated.

    That is when the leader last confirmed a catalogue without the evacuation, not when
    this daemon learned of it, which may be much later after a partition or a start.
    """
    zones, since = state.catalogue.evacuated_zones, state.evacuated_since
    for zone in state.evacuated_since:
        if zone not in zones:
            since = since.delete(zone)
    for zone in zones:
        if zone not in since:
            since = since.set(zone, min(now, state.confirmed_at))
    return replace(state, evacuated_since=since)


def is_evacuation_over(state: NodeState, name: str, now: float) -> bool:
    """Whether nothing at all is sent to an endpoint, since its zone is evacuated."""
    if not state.catalogue.is_evacuated(name):
        return False
    zone = state.catalogue.endpoints[name].zone
    since = state.evacuated_since.get(zone)
    return since is None or now - since >= EVACUATION_WORK_S


def takes_no_work(state: NodeState, name: str, now: float) -> bool:
    """Whether an endpoint gets no new work: it has left, or its zone is evacuated.

    A primary gets work until its successor is installed, for a limited time.
    """
    if has_left(state, name, now):
        return True
    if not state.catalogue.is_evacuated(name):
        return False
    config = state.catalogue.group(state.catalogue.endpoints[name].group)
    if name != config.primary or is_evacuation_over(state, name, now):
        return True
    return not _has_endpoint_outside(state, config)


def _has_endpoint_outside(state: NodeState, config: GroupConfig) -> bool:
    return any(
        not endpoint.leaving and endpoint.zone not in state.catalogue.evacuated_zones
        for endpoint in state.catalogue.group_endpoints(config.name)
    )


def is_group_evacuated(
    state: NodeState, group: str, at_primary: bool, now: float
) -> bool:
    """Whether evacuations leave a request no endpoint.

    Parameters
    ----------
    at_primary : bool
        Whether only the primary can serve it.
    """
    if not state.catalogue.evacuated_zones:
        return False
    config = state.catalogue.group(group)
    if at_primary:
        is_evacuated = state.catalogue.is_evacuated(config.primary)
        return is_evacuated and takes_no_work(state, config.primary, now)
    endpoints = state.catalogue.group_endpoints(group)
    return not _has_endpoint_outside(state, config) and any(
        state.catalogue.is_evacuated(endpoint.name) for endpoint in endpoints
    )


def cannot_be_served(state: NodeState, request: Request, now: float) -> bool:
    """Whether it is known before a request is admitted that no endpoint can serve it.

    Such a request takes no token, and waits for none.
    """
    if not state.catalogue.evacuated_zones:
        return False
    is_read = request.kind in (StatementKind.READ, StatementKind.BEGIN_READ)
    route = request.route
    at_primary = not is_read or (
        route is not None and route.consistency is Consistency.PRIMARY
    )
    is_pinned = state.sessions[request.caller].conn != 0
    return not is_pinned and is_group_evacuated(state, request.group, at_primary, now)


def retry_time_s(state: NodeState, req: int) -> float:
    """Return after how long a refused request may be retried, spread over callers."""
    seed = crc32(f"{state.identity.name}/{req}".encode())
    return EVACUATION_RETRY_S * (1.0 + draw(seed).value)
