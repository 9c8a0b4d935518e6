"""Polls of a provider-managed group's instances, and the ranking of candidates."""

from lovagewalk.catalogue import Endpoint, GroupConfig
from lovagewalk.core import Effect, Step, replace
from lovagewalk.groups import (
    GroupView,
    InstanceView,
    PollInstance,
    ReplicationOrder,
    Role,
    get_view,
)
from lovagewalk.node import NodeState

from ._state import Promotion

# Instances are polled this often during a promotion.
SURVEY_PERIOD_S = 0.1
# After a pause of this length, such as while another VM led, older results of polls
# are stale.
STALE_POLL_S = 2.0


def poll_instances(
    state: NodeState,
    endpoints: tuple[Endpoint, ...],
    period_s: float,
    now: float,
    order: ReplicationOrder = ReplicationOrder.NO_CHANGE,
) -> Step[NodeState]:
    """Poll the status of the instances whose last poll is `period_s` or more ago."""
    effects: tuple[Effect, ...] = ()
    for endpoint in endpoints:
        view = get_view(state, endpoint.group)
        instance = view.instances.get(endpoint.name)
        if instance is None:
            instance = InstanceView(endpoint.name, seen_at=now)
        if instance.polling or now - instance.polled_at < period_s:
            continue
        if now - instance.polled_at >= STALE_POLL_S:
            instance = replace(instance, seen_at=now, status=None)
        instance = replace(instance, polling=True, polled_at=now)
        view = replace(view, instances=view.instances.set(endpoint.name, instance))
        state = replace(state, groups=state.groups.set(view.name, view))
        effects += (
            PollInstance(
                endpoint.name,
                endpoint.host,
                endpoint.port,
                endpoint.group,
                order,
                _newest_term(view, state.catalogue.group(view.name)) + 1,
            ),
        )
    return Step(state, effects)


def _newest_term(view: GroupView, config: GroupConfig) -> int:
    terms = (i.status.term for i in view.instances.values() if i.status is not None)
    return max((config.term, *terms))


def answers_needed(config: GroupConfig, replica_count: int) -> int:
    """Return how many replicas have to answer before one is promoted.

    An acknowledged commit is on at least `sync_replicas` of them, so this many
    answers include one from a replica that holds it.
    """
    if not config.sync_replicas:
        return 1
    return max(replica_count - config.sync_replicas + 1, 1)


def find_candidates(
    state: NodeState, view: GroupView, config: GroupConfig, promotion: Promotion
) -> list[InstanceView]:
    """Return the replicas that have answered since the survey began."""
    candidates = []
    for endpoint in state.catalogue.group_endpoints(config.name):
        instance = view.instances.get(endpoint.name)
        if instance is None or instance.status is None:
            continue
        # Where replicas confirm commits, a leaving one may be the only replica that
        # holds some commit, and so may one in an evacuated zone.
        is_evacuated = state.catalogue.is_evacuated(endpoint.name)
        if (endpoint.leaving or is_evacuated) and not config.sync_replicas:
            continue
        is_replica = instance.status.role is Role.REPLICA
        if is_replica and instance.sent_at >= promotion.stage_started_at:
            candidates.append(instance)
    return candidates


def choose_unpaused(state: NodeState, config: GroupConfig) -> str:
    """Return the replica that a survey does not pause; empty for none.

    It is the one that is most likely to be promoted. What it confirms in the meantime
    is in the promoted log, so commits go on.
    """
    view = get_view(state, config.name)
    replicas = [
        instance
        for endpoint in state.catalogue.group_endpoints(config.name)
        if (instance := view.instances.get(endpoint.name)) is not None
        and instance.status is not None
        and instance.status.role is Role.REPLICA
        and not endpoint.leaving
    ]
    if not replicas or not config.sync_replicas:
        return ""
    return max(replicas, key=lambda i: candidate_key(state, config, i)).endpoint


def count_settled(
    config: GroupConfig, candidates: list[InstanceView], target: InstanceView
) -> int:
    """Return how many candidates confirm no commit that the target lacks."""
    if not config.sync_replicas:
        return len(candidates)
    return sum(
        instance is target or instance.status.paused_term > config.term
        for instance in candidates
    )


def candidate_key(
    state: NodeState, config: GroupConfig, instance: InstanceView
) -> tuple[int, int, bool, bool, str]:
    """Return the sort key of a candidate: its log position, then its placement.

    Zones that are not evacuated are preferred, then a region with another instance to
    read from.
    """
    endpoints = state.catalogue.group_endpoints(config.name)
    regions = {endpoint.name: endpoint.region for endpoint in endpoints}
    region = regions.get(instance.endpoint, "")
    region_size = sum(other == region for other in regions.values())
    status = instance.status
    return (
        status.last_term,
        status.index,
        not state.catalogue.is_evacuated(instance.endpoint),
        region_size > 1,
        instance.endpoint,
    )
