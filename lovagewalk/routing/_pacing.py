"""Starts the pace of endpoints anew after changes of the catalogue, and logs paces."""

from lovagewalk.catalogue import Catalogue, Endpoint, Management
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.pace import PaceCause, restart_pace
from lovagewalk.pools import change_pace
from lovagewalk.records import EndpointPaceChanged

from . import _place


def restart_paces(state: NodeState, before: Catalogue, now: float) -> Step[NodeState]:
    """Start the pace of endpoints anew that joined, restarted or were promoted.

    A daemon without an earlier catalogue knows of no change, and one that serves no
    callers sends nothing.
    """
    step = Step(state)
    identity = state.identity
    if not (identity.paces_endpoints and identity.entry) or not before.revision:
        return step
    for name, endpoint in state.catalogue.endpoints.items():
        group = state.catalogue.group(endpoint.group)
        if group.management is not Management.PROVIDER:
            continue
        cause = _find_cause(state.catalogue, before, endpoint)
        if cause is not PaceCause.NONE:
            step = step.then(restart_endpoint(step.state, endpoint, cause, now))
    return step


def _find_cause(
    catalogue: Catalogue, before: Catalogue, endpoint: Endpoint
) -> PaceCause:
    """Return why the capacity of an endpoint is unknown after a change, if it is."""
    old = before.endpoints.get(endpoint.name)
    if old is None:
        return PaceCause.JOINED
    if old.leaving and not endpoint.leaving:
        return PaceCause.RETURNED
    if old.born != endpoint.born or old.cold_left_s < endpoint.cold_left_s:
        return PaceCause.RESTARTED
    primary = catalogue.group(endpoint.group).primary
    old_primary = before.group(endpoint.group).primary
    if endpoint.name == primary and old_primary not in ("", primary):
        return PaceCause.PROMOTED
    return PaceCause.NONE


def restart_returned(
    state: NodeState, endpoints: tuple[Endpoint, ...], now: float
) -> Step[NodeState]:
    """Start the pace of endpoints anew whose zone is not evacuated any more."""
    step = Step(state)
    if not state.identity.paces_endpoints:
        return step
    for endpoint in endpoints:
        if state.catalogue.group(endpoint.group).management is Management.PROVIDER:
            step = step.then(
                restart_endpoint(step.state, endpoint, PaceCause.RETURNED, now)
            )
    return step


def restart_endpoint(
    state: NodeState, endpoint: Endpoint, cause: PaceCause, now: float
) -> Step[NodeState]:
    """Start the pace of one endpoint anew."""
    pool = change_pace(
        _place.get_pool(state, endpoint.name),
        lambda pace: restart_pace(pace, cause, now, endpoint.cold_left_s),
    )
    restarted = replace(state, pools=state.pools.set(endpoint.name, pool))
    return Step(restarted, log_pace_change(state, restarted, endpoint.name))


def log_pace_change(
    before: NodeState, after: NodeState, name: str
) -> tuple[Effect, ...]:
    """Return the log record of a change in the state of an endpoint's pace."""
    old, new = before.pools.get(name), after.pools.get(name)
    if old is new or new is None or new.pace is None:
        return ()
    pace = new.pace
    if old is not None and old.pace is not None and old.pace.state is pace.state:
        return ()
    endpoint = after.catalogue.endpoints.get(name)
    record = EndpointPaceChanged(
        endpoint=name,
        group=endpoint.group if endpoint else "",
        state=pace.state.value,
        cause=pace.cause.value,
        limit=round(pace.limit, 3),
        share=round(pace.share, 3),
        latency_ms=round(pace.latency_s * 1000, 1),
        best_ms=round(pace.best_s * 1000, 1),
        waiting=new.waiting,
    )
    return (record,)
