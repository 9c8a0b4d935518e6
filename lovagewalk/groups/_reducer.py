"""Reducers that update the view of each group and resume requests waiting for it."""

from immutables import Map

from lovagewalk.catalogue import GroupConfig, Management
from lovagewalk.core import Effect, Step, reduces, replace
from lovagewalk.node import NodeState
from lovagewalk.routing import _outcome, _place
from lovagewalk.routing._state import Phase

from ._effects import CloseStatusConnections, PollInstance
from ._events import InstanceFailed, InstanceSeen, PollTick
from ._observations import get_view
from ._policy import add_proof, add_sample, record_poll, verify_samples
from ._state import GroupView, InstanceView, Position, PositionSample, Role


@reduces(PollTick)
def _poll(state: NodeState, event: PollTick) -> Step[NodeState]:
    effects: tuple[Effect, ...] = ()
    groups = state.groups
    for endpoint in state.catalogue.endpoints.values():
        if state.catalogue.group(endpoint.group).management is Management.PROVIDER:
            continue
        view = groups.get(endpoint.group) or GroupView(endpoint.group)
        instance = view.instances.get(endpoint.name) or InstanceView(endpoint.name)
        if not instance.polling:
            effects += (PollInstance(endpoint.name, endpoint.host, endpoint.port),)
            instance = replace(instance, polling=True)
        view = record_poll(view, event.at)
        view = replace(view, instances=view.instances.set(endpoint.name, instance))
        groups = groups.set(endpoint.group, view)
    step = Step(replace(state, groups=groups), effects)
    return step.then(_remove_departed_instances(step.state))


def _remove_departed_instances(state: NodeState) -> Step[NodeState]:
    effects: tuple[Effect, ...] = ()
    groups = state.groups
    for view in state.groups.values():
        for name in view.instances:
            if name in state.catalogue.endpoints:
                continue
            view = replace(view, instances=view.instances.delete(name))
            groups = groups.set(view.name, view)
            effects += (CloseStatusConnections(name),)
    return Step(replace(state, groups=groups), effects)


@reduces(InstanceSeen)
def _instance_seen(state: NodeState, event: InstanceSeen) -> Step[NodeState]:
    endpoint = state.catalogue.endpoints.get(event.endpoint)
    if endpoint is None or endpoint.group not in state.groups:
        return Step(state)
    view = state.groups[endpoint.group]
    config = state.catalogue.group(endpoint.group)
    instance = view.instances.get(event.endpoint)
    if instance is None:
        return Step(state)
    instance = _update_instance(instance, event)
    view = replace(view, instances=view.instances.set(event.endpoint, instance))
    view = _update_samples(view, config, event)
    state = replace(state, groups=state.groups.set(endpoint.group, view))
    return _resume_waiting(state, endpoint.group, event.at)


def _update_instance(instance: InstanceView, event: InstanceSeen) -> InstanceView:
    finished = {"awaiting": False} if event.awaited else {"polling": False}
    linked_at = event.at if event.status.linked else instance.linked_at
    instance = replace(
        instance,
        seen_at=event.at,
        linked_at=linked_at or event.at,
        **finished,
    )
    if event.sent_at < instance.sent_at and _is_older(event, instance):
        return instance
    return replace(instance, status=event.status, sent_at=event.sent_at)


def _is_older(event: InstanceSeen, instance: InstanceView) -> bool:
    """Whether a reordered answer reports no newer state than the stored status."""
    known = instance.status
    if known is None or known.incarnation != event.status.incarnation:
        return known is not None
    return (event.status.term, event.status.index) <= (known.term, known.index)


def _update_samples(
    view: GroupView, config: GroupConfig, event: InstanceSeen
) -> GroupView:
    status = event.status
    if status.term != config.term:
        return view
    if event.endpoint != config.primary:
        return verify_samples(view, status.term, event.sent_at)
    if status.role is not Role.PRIMARY:
        return view
    if config.management is Management.PROVIDER:
        position = Position(status.last_term, status.index)
        return add_proof(view, event.sent_at, position)
    position = Position(status.term, status.index)
    return add_sample(view, PositionSample(event.sent_at, position))


def _resume_waiting(state: NodeState, group: str, now: float) -> Step[NodeState]:
    view = state.groups[group]
    if not view.waiters and not view.waiting_reads:
        return Step(state)
    step = _outcome.complete_confirmed(state, group, now)
    step = step.then(_place_waiting_reads(step.state, group, now))
    return step.then(_place.await_positions(step.state, group, now, False))


def _place_waiting_reads(state: NodeState, group: str, now: float) -> Step[NodeState]:
    view = state.groups[group]
    waiting = view.waiting_reads
    view = replace(view, waiting_reads=())
    step = Step(replace(state, groups=state.groups.set(group, view)))
    for req in waiting:
        request = step.state.requests.get(req)
        if request is None or request.phase is not Phase.REPLICA:
            continue
        retried = replace(request, phase=Phase.TOKENS)
        step = step.then(_place.place(step.state, retried, now))
    return step


@reduces(InstanceFailed)
def _instance_failed(state: NodeState, event: InstanceFailed) -> Step[NodeState]:
    endpoint = state.catalogue.endpoints.get(event.endpoint)
    view = state.groups.get(endpoint.group) if endpoint else None
    instance = view.instances.get(event.endpoint) if view else None
    if instance is None:
        return Step(state)
    finished = {"awaiting": False} if event.awaited else {"polling": False}
    status = None if event.broken else instance.status
    seen_at = event.at if event.alive else instance.seen_at
    instance = replace(instance, status=status, seen_at=seen_at, **finished)
    view = replace(view, instances=view.instances.set(event.endpoint, instance))
    return Step(replace(state, groups=state.groups.set(endpoint.group, view)))


def reset_group(state: NodeState, group: str, now: float) -> NodeState:
    """Reset a group's view for a newly installed term."""
    config = state.catalogue.group(group)
    view = get_view(state, group)
    if view.term == config.term:
        return state
    instances = view.instances
    for name, instance in view.instances.items():
        instances = instances.set(name, replace(instance, linked_at=now))
    view = replace(
        view,
        term=config.term,
        term_installed_at=now,
        samples=(),
        instances=instances,
        missing_positions=Map(),
        failed_at=0.0,
        failing_since=0.0,
    )
    return replace(state, groups=state.groups.set(group, view))
