"""Installs a new catalogue on this daemon while requests are in progress."""

from math import isfinite

from lovagewalk.catalogue import Catalogue, Management
from lovagewalk.core import Effect, Step, replace
from lovagewalk.groups._reducer import reset_group
from lovagewalk.node import NodeState
from lovagewalk.pace import change_share
from lovagewalk.pools import change_pace
from lovagewalk.records import (
    ConfigurationInstalled,
    EvacuationWithdrawn,
    PrimaryInstalled,
    ZoneEvacuated,
)
from lovagewalk.routing import _callers, _dispatch, _outcome, _place, _sweep
from lovagewalk.routing._evacuation import record_evacuations
from lovagewalk.routing._leaving import record_leaving
from lovagewalk.routing._pacing import restart_paces, restart_returned


def install_catalogue(
    state: NodeState, catalogue: Catalogue, now: float
) -> Step[NodeState]:
    """Replace the catalogue by a newer one; an old or equal revision is ignored."""
    before = state.catalogue
    if catalogue.revision <= before.revision:
        return Step(state)
    state = record_evacuations(replace(state, catalogue=catalogue), now)
    step = Step(state)
    endpoints_changed = catalogue.endpoints is not before.endpoints
    groups_changed = catalogue.groups is not before.groups
    if endpoints_changed or groups_changed:
        step = Step(resize_pools(state))
        step = step.then(restart_paces(step.state, before, now))
    if endpoints_changed:
        step = step.then(_apply_endpoint_changes(step.state, before, now))
    if groups_changed:
        step = step.then(_apply_group_changes(step.state, before, now))
    if catalogue.evacuated_zones != before.evacuated_zones:
        step = step.then(_apply_evacuations(step.state, before, now))
    if _access_changed(before, catalogue):
        step = step.then(_callers.close_unauthorised_sessions(step.state, now))
    if catalogue.version == before.version:
        return step
    record = ConfigurationInstalled(
        version=catalogue.version,
        before=before.version,
        revision=catalogue.revision,
    )
    return Step(step.state, step.effects + (record,))


def _access_changed(before: Catalogue, after: Catalogue) -> bool:
    return before.keys is not after.keys or before.routes is not after.routes


def _apply_evacuations(
    state: NodeState, before: Catalogue, now: float
) -> Step[NodeState]:
    """Place requests again that wait for endpoints of the changed zones."""
    after = state.catalogue
    step = Step(state)
    for zone in sorted(before.evacuated_zones ^ after.evacuated_zones):
        endpoints = [e for e in after.endpoints.values() if e.zone == zone]
        for group in sorted({endpoint.group for endpoint in endpoints}):
            step = step.then(_sweep.place_waiting_again(step.state, group, now))
        if zone in before.evacuated_zones:
            step = step.then(restart_returned(step.state, tuple(endpoints), now))
        record: Effect = EvacuationWithdrawn(zone=zone, revision=after.revision)
        if zone in after.evacuated_zones:
            record = ZoneEvacuated(
                zone=zone,
                endpoints=len(endpoints),
                primaries=sum(
                    e.name == after.group(e.group).primary for e in endpoints
                ),
                since_ms_ago=_elapsed_ms(state.evacuated_since[zone], now),
                revision=after.revision,
            )
        step = Step(step.state, step.effects + (record,))
    return step


def _elapsed_ms(since: float, now: float) -> int:
    """Return the time since `since` in milliseconds; -1 if that is unknown."""
    return round((now - since) * 1000) if isfinite(since) else -1


def _apply_endpoint_changes(
    state: NodeState, before: Catalogue, now: float
) -> Step[NodeState]:
    """Close idle connections of leaving endpoints and reassign waiting requests.

    Waiting requests of groups that a provider manages may use new endpoints at once.
    """
    leaving_since = record_leaving(state.leaving_since, state.catalogue.endpoints, now)
    step = Step(replace(state, leaving_since=leaving_since))
    groups = set()
    for name, old in before.endpoints.items():
        new = state.catalogue.endpoints.get(name)
        if new is old:
            continue
        groups.add(old.group)
        if name in state.pools and (new is None or new.leaving or new.born != old.born):
            step = step.then(_close_idle_connections(step.state, name, now))
    groups |= {
        endpoint.group
        for name, endpoint in state.catalogue.endpoints.items()
        if name not in before.endpoints
    }
    for group in groups:
        if state.catalogue.group(group).management is Management.PROVIDER:
            step = step.then(_sweep.place_waiting_again(step.state, group, now))
    return step


def _close_idle_connections(
    state: NodeState, endpoint: str, now: float
) -> Step[NodeState]:
    step = Step(state)
    for conn in state.pools[endpoint].idle:
        step = step.then(_dispatch.close_connection(step.state, conn, now))
    return step


def resize_pools(state: NodeState) -> NodeState:
    """Return the state with each pool's limits recomputed from the catalogue."""
    pools = state.pools
    for name, pool in state.pools.items():
        recomputed = _place.empty_pool(state, name)
        if (pool.limit, pool.fair_limit) != (recomputed.limit, recomputed.fair_limit):
            resized = replace(
                pool, limit=recomputed.limit, fair_limit=recomputed.fair_limit
            )
            pools = pools.set(name, resized)
        if pool.pace is not None and recomputed.pace is not None:
            share = recomputed.pace.share
            paced = change_pace(
                pools[name], lambda pace, share=share: change_share(pace, share)
            )
            pools = pools.set(name, paced)
    return replace(state, pools=pools)


def _apply_group_changes(
    state: NodeState, before: Catalogue, now: float
) -> Step[NodeState]:
    step = Step(state)
    for name, config in state.catalogue.groups.items():
        if before.group(name).term == config.term:
            continue
        step = Step(reset_group(step.state, name, now), step.effects)
        record = PrimaryInstalled(
            group=name,
            primary=config.primary,
            term=config.term,
            revision=state.catalogue.revision,
        )
        step = Step(step.state, step.effects + (record,))
        step = step.then(_outcome.complete_confirmed(step.state, name, now))
        step = step.then(_sweep.place_waiting_again(step.state, name, now))
    return step
