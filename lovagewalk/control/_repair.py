"""Repair of groups: instances that do not follow the primary, voters to replace.

A change of term with the same primary replaces a voter that returned without its
data, or removes one that stays unresponsive. Each new voter has the log up to the
start of the term before it counts.
"""

from lovagewalk.catalogue import GroupConfig, Management, Voter
from lovagewalk.core import Effect, Step, replace
from lovagewalk.groups import GroupView, InstanceView, Role
from lovagewalk.node import NodeState

from . import _failover
from ._effects import SendOrder
from ._events import Order
from ._state import ControlState

# An instance restarts in less time, so that a restart changes no voters.
VOTER_LOST_S = 5.0
# An instance whose last answer is older than this is unresponsive. This is 2.5 times
# the 0.4 s after which a primary is suspected.
UNRESPONSIVE_S = 1.0
# A replica fetches this many entries in one round trip.
CAUGHT_UP_ENTRIES = 100
# Of five voters two may be lost; more voters would slow each write.
MAX_VOTERS = 5


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Repair every group whose term is not being changed."""
    step = Step(state)
    for name, config in state.catalogue.groups.items():
        view = state.groups.get(name)
        uses_fencing = config.management is Management.FENCED
        is_stable = (
            uses_fencing and config.primary and name not in state.control.failovers
        )
        if view is not None and is_stable and view.term == config.term:
            step = step.then(_follow_primary(step.state, view, config))
            step = step.then(_repair_voters(step.state, view, config, now))
            step = step.then(_replace_departing_primary(step.state, view, config, now))
    return step


def _follow_primary(
    state: NodeState, view: GroupView, config: GroupConfig
) -> Step[NodeState]:
    primary = state.catalogue.endpoints.get(config.primary)
    effects: tuple[Effect, ...] = ()
    for instance in view.instances.values():
        endpoint = state.catalogue.endpoints.get(instance.endpoint)
        if (
            primary is None
            or endpoint is None
            or not _needs_follow_order(instance, config)
        ):
            continue
        effects += (
            SendOrder(
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


def _needs_follow_order(instance: InstanceView, config: GroupConfig) -> bool:
    status = instance.status
    if status is None or instance.endpoint == config.primary:
        return False
    return status.term < config.term or status.role in (Role.FENCED, Role.PRIMARY)


def _repair_voters(
    state: NodeState, view: GroupView, config: GroupConfig, now: float
) -> Step[NodeState]:
    state = _track_unresponsive_voters(state, view, config, now)
    desired = desired_voters(state, view, config, now)
    if set(desired) == set(config.voters):
        return Step(state)
    return _failover.start_term_change(
        state, config, desired, now, target=config.primary
    )


def _track_unresponsive_voters(
    state: NodeState, view: GroupView, config: GroupConfig, now: float
) -> NodeState:
    control: ControlState = state.control
    since = control.unresponsive_since
    for voter in config.voters:
        key = f"{config.name}/{voter.name}"
        instance = view.instances.get(voter.name)
        unresponsive = instance is None or now - instance.seen_at > UNRESPONSIVE_S
        if unresponsive and key not in since:
            since = since.set(key, now)
        elif not unresponsive and key in since:
            since = since.delete(key)
    if since is control.unresponsive_since:
        return state
    return replace(state, control=replace(control, unresponsive_since=since))


def desired_voters(
    state: NodeState, view: GroupView, config: GroupConfig, now: float
) -> tuple[Voter, ...]:
    """Return the voting set that the group should have.

    It differs from the present set by one change at most, and by none while the
    primary itself is unresponsive.
    """
    primary = view.instances.get(config.primary)
    if (
        primary is None
        or primary.status is None
        or now - primary.seen_at > UNRESPONSIVE_S
    ):
        return config.voters
    for voter in config.voters:
        if voter.name == config.primary:
            continue
        caught_up = _caught_up_voter(view, voter.name, primary, config)
        others = tuple(other for other in config.voters if other != voter)
        if caught_up is not None and caught_up != voter:
            return others + (caught_up,)
        since = state.control.unresponsive_since.get(f"{config.name}/{voter.name}")
        if since is not None and now - since >= VOTER_LOST_S:
            return others
    return _with_new_voter(state, view, config, primary)


def _with_new_voter(
    state: NodeState, view: GroupView, config: GroupConfig, primary: InstanceView
) -> tuple[Voter, ...]:
    names = {voter.name for voter in config.voters}
    if len(names) >= MAX_VOTERS:
        return config.voters
    for endpoint in state.catalogue.group_endpoints(config.name):
        if endpoint.name in names or endpoint.leaving:
            continue
        voter = _caught_up_voter(view, endpoint.name, primary, config)
        if voter is not None:
            return config.voters + (voter,)
    return config.voters


def _caught_up_voter(
    view: GroupView, name: str, primary: InstanceView, config: GroupConfig
) -> Voter | None:
    """Return an instance as a voter if it has nearly caught up."""
    instance = view.instances.get(name)
    status = instance.status if instance else None
    if status is None or status.role is not Role.REPLICA:
        return None
    lag_entries = primary.status.index - status.index
    if status.term != config.term or lag_entries > CAUGHT_UP_ENTRIES:
        return None
    return Voter(name, status.incarnation)


def _replace_departing_primary(
    state: NodeState, view: GroupView, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Start a switch away from a primary that leaves, or whose zone is evacuated.

    An evacuated primary still serves, so its successor has to answer.
    """
    catalogue = state.catalogue
    primary = catalogue.endpoints.get(config.primary)
    if primary is None or config.name in state.control.failovers:
        return Step(state)
    if not primary.leaving and not catalogue.is_evacuated(primary.name):
        return Step(state)
    for voter in config.voters:
        endpoint = catalogue.endpoints.get(voter.name)
        if endpoint is None or endpoint.leaving or catalogue.is_evacuated(voter.name):
            continue
        if primary.leaving or _is_answering_replica(view, voter, config, now):
            return _failover.start_term_change(
                state, config, config.voters, now, target=endpoint.name
            )
    return Step(state)


def _is_answering_replica(
    view: GroupView, voter: Voter, config: GroupConfig, now: float
) -> bool:
    instance = view.instances.get(voter.name)
    primary = view.instances.get(config.primary)
    if instance is None or primary is None or primary.status is None:
        return False
    if now - instance.seen_at > UNRESPONSIVE_S:
        return False
    return _caught_up_voter(view, voter.name, primary, config) == voter
