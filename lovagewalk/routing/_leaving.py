"""Until when a leaving primary gets new work while it has no successor."""

from immutables import Map

from lovagewalk.catalogue import Endpoint
from lovagewalk.node import NodeState

# Endpoints serve for 7 s after their departure was acknowledged. A daemon hears of it
# up to 1 s later, and a statement takes up to a second to arrive.
LEAVING_LIMIT_S = 5.0


def record_leaving(leaving_since: Map, endpoints: Map, now: float) -> Map:
    """Return since when each leaving endpoint is known to leave.

    Parameters
    ----------
    leaving_since : Map of str to float
    endpoints : Map of str to Endpoint
        The endpoints of the catalogue in force.
    """
    for name in leaving_since:
        if not _is_leaving(endpoints.get(name)):
            leaving_since = leaving_since.delete(name)
    for name, endpoint in endpoints.items():
        if endpoint.leaving and name not in leaving_since:
            leaving_since = leaving_since.set(name, now)
    return leaving_since


def _is_leaving(endpoint: Endpoint | None) -> bool:
    return endpoint is not None and endpoint.leaving


def has_left(state: NodeState, endpoint: str, now: float) -> bool:
    """Whether an endpoint is leaving for so long that it gets no new work."""
    since = state.leaving_since.get(endpoint)
    return since is not None and now - since >= LEAVING_LIMIT_S
