"""Keeps groups whole: instances that must follow, voters lost and returned.

A voter that came back without its data, or stays silent, is dropped from the
voting set or replaced in it by a change of term, with the same primary. Each
new voter holds the start of the term before it counts.
"""

from lovagewalk.catalogue import GroupConfig, Management, Voter
from lovagewalk.core import Effect, Step, replace
from lovagewalk.groups import GroupView, InstanceView, Role
from lovagewalk.node import NodeState

from . import _failover
from ._effects import SteerInstance
from ._events import Order
from ._state import ControlState

# Chosen: a restart of an instance costs no change of voters.
VOTER_LOST_S = 5.0
# Twice the silence that suspects a primary.
SILENT_S = 1.0
# What a replica fetches in one round trip.
CAUGHT_UP_ENTRIES = 100
# Two may be lost; more would slow each write.
MAX_VOTERS = 5


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Look at every group that is not changing its term."""
    step = Step(state)
    for name, config in state.catalogue.groups.items():
        view = state.groups.get(name)
        fenced = config.management is Management.FENCED
        settled = fenced and config.primary and name not in state.control.failovers
        if view is not None and settled and view.term == config.term:
            step = step.then(_follow_primary(step.state, view, config))
            step = step.then(_repair_voters(step.state, view, config, now))
            step = step.then(_relieve_leaving(step.state, config, now))
    return step


def _follow_primary(
    state: NodeState, view: GroupView, config: GroupConfig
) -> Step[NodeState]:
    primary = state.catalogue.endpoints.get(config.primary)
    effects: tuple[Effect, ...] = ()
    for instance in view.instances.values():
        endpoint = state.catalogue.endpoints.get(instance.endpoint)
        if primary is None or endpoint is None or not _is_astray(instance, config):
            continue
        effects += (
            SteerInstance(
                group=config.name,
                endpoint=endpoint.name,
                host=endpoint.host,
                port=endpoint.port,
                order=Order.FOLLOW,
                term=config.term,
                source_host=primary.host,
                source_port=primary.port,
            ),
        )
    return Step(state, effects)


def _is_astray(instance: InstanceView, config: GroupConfig) -> bool:
    status = instance.status
    if status is None or instance.endpoint == config.primary:
        return False
    return status.term < config.term or status.role in (Role.FENCED, Role.PRIMARY)


def _repair_voters(
    state: NodeState, view: GroupView, config: GroupConfig, now: float
) -> Step[NodeState]:
    state = _track_losses(state, view, config, now)
    wanted = wanted_voters(state, view, config, now)
    if set(wanted) == set(config.voters):
        return Step(state)
    return _failover.begin(state, config, wanted, now, target=config.primary)


def _track_losses(
    state: NodeState, view: GroupView, config: GroupConfig, now: float
) -> NodeState:
    control: ControlState = state.control
    lost = control.lost_since
    for voter in config.voters:
        key = f"{config.name}/{voter.name}"
        instance = view.instances.get(voter.name)
        silent = instance is None or now - instance.seen_at > SILENT_S
        if silent and key not in lost:
            lost = lost.set(key, now)
        elif not silent and key in lost:
            lost = lost.delete(key)
    if lost is control.lost_since:
        return state
    return replace(state, control=replace(control, lost_since=lost))


def wanted_voters(
    state: NodeState, view: GroupView, config: GroupConfig, now: float
) -> tuple[Voter, ...]:
    """Return the voting set that the group should have.

    At most one change at a time is made, and none while the primary itself is
    in doubt.
    """
    primary = view.instances.get(config.primary)
    if primary is None or primary.status is None or now - primary.seen_at > SILENT_S:
        return config.voters
    for voter in config.voters:
        if voter.name == config.primary:
            continue
        fresh = _current(view, voter.name, primary, config)
        rest = tuple(other for other in config.voters if other != voter)
        if fresh is not None and fresh != voter:
            return rest + (fresh,)
        lost_at = state.control.lost_since.get(f"{config.name}/{voter.name}")
        if lost_at is not None and now - lost_at >= VOTER_LOST_S:
            return rest
    return _with_newcomer(state, view, config, primary)


def _with_newcomer(
    state: NodeState, view: GroupView, config: GroupConfig, primary: InstanceView
) -> tuple[Voter, ...]:
    names = {voter.name for voter in config.voters}
    if len(names) >= MAX_VOTERS:
        return config.voters
    for endpoint in state.catalogue.group_endpoints(config.name):
        if endpoint.name in names or endpoint.leaving:
            continue
        voter = _current(view, endpoint.name, primary, config)
        if voter is not None:
            return config.voters + (voter,)
    return config.voters


def _current(
    view: GroupView, name: str, primary: InstanceView, config: GroupConfig
) -> Voter | None:
    """Return an instance as a voter if it has nearly caught up."""
    instance = view.instances.get(name)
    status = instance.status if instance else None
    if status is None or status.role is not Role.REPLICA:
        return None
    behind = primary.status.index - status.index
    if status.term != config.term or behind > CAUGHT_UP_ENTRIES:
        return None
    return Voter(name, status.incarnation)


def _relieve_leaving(
    state: NodeState, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Move the primary away from an endpoint that is leaving."""
    primary = state.catalogue.endpoints.get(config.primary)
    if primary is None or not primary.leaving or config.name in state.control.failovers:
        return Step(state)
    for voter in config.voters:
        endpoint = state.catalogue.endpoints.get(voter.name)
        if endpoint is not None and not endpoint.leaving:
            return _failover.begin(
                state, config, config.voters, now, target=endpoint.name
            )
    return Step(state)
