"""Replicas that are paused while no promotion of this leader needs it.

A pause ends with the promotion that it was ordered for. An order to resume has no
term, so one that is carried out late could end the pause of a later promotion. It is
sent only to a replica whose pause has outlasted its promotion, and until it is
answered, this leader promotes no other replica.
"""

from lovagewalk.catalogue import Endpoint, GroupConfig
from lovagewalk.core import Step, replace
from lovagewalk.groups import InstanceView, ReplicationOrder, get_view
from lovagewalk.node import NodeState
from lovagewalk.records import ReplicaResumed

from ._state import ControlState
from ._survey import poll_instances

# Replicas are asked this often whether they are paused.
PAUSE_CHECK_PERIOD_S = 1.0
# A promotion ends the pauses of the other replicas by itself, within about this time.
RESUME_DELAY_S = 1.0
# An order without an answer may be carried out up to 12 s later.
LATE_ORDER_LIMIT_S = 15.0


def has_interrupted_promotion(state: NodeState, config: GroupConfig) -> bool:
    """Whether a replica is paused for a promotion that has not taken place.

    The leader that ordered it was lost in between.
    """
    return any(
        instance.status is not None and instance.status.paused_term > config.term
        for _, instance in _replicas(state, config)
    )


def check_pauses(state: NodeState, config: GroupConfig, now: float) -> Step[NodeState]:
    """Poll the replicas of a group, and resume those that are paused without need."""
    state = _record_answers(state, config, now)
    paused = tuple(
        endpoint
        for endpoint, instance in _replicas(state, config)
        if _has_outlasted_promotion(state, config, instance, now)
    )
    others = tuple(
        endpoint for endpoint, _ in _replicas(state, config) if endpoint not in paused
    )
    step = poll_instances(state, others, PAUSE_CHECK_PERIOD_S, now)
    for endpoint in paused:
        step = step.then(_resume(step.state, endpoint, now))
    return step


def is_pause_in_doubt(
    state: NodeState, config: GroupConfig, target: str, now: float
) -> bool:
    """Whether an order to resume may still reach a replica other than the target."""
    state = _record_answers(state, config, now)
    sent = state.control.unanswered_resumes
    return any(
        endpoint.name in sent and endpoint.name != target
        for endpoint, _ in _replicas(state, config)
    )


def _replicas(
    state: NodeState, config: GroupConfig
) -> list[tuple[Endpoint, InstanceView]]:
    view = get_view(state, config.name)
    return [
        (endpoint, view.instances.get(endpoint.name, InstanceView(endpoint.name)))
        for endpoint in state.catalogue.group_endpoints(config.name)
        if endpoint.name != config.primary
    ]


def _has_outlasted_promotion(
    state: NodeState, config: GroupConfig, instance: InstanceView, now: float
) -> bool:
    installed_at = get_view(state, config.name).term_installed_at
    return (
        instance.status is not None
        and 0 < instance.status.paused_term <= config.term
        and instance.sent_at > installed_at + RESUME_DELAY_S
    )


def _resume(state: NodeState, endpoint: Endpoint, now: float) -> Step[NodeState]:
    order = ReplicationOrder.RESUME
    step = poll_instances(state, (endpoint,), PAUSE_CHECK_PERIOD_S, now, order)
    if not step.effects:
        return step
    control: ControlState = step.state.control
    unanswered = control.unanswered_resumes
    times = unanswered.get(endpoint.name, ()) + (now,)
    unanswered = unanswered.set(endpoint.name, times)
    state = replace(step.state, control=replace(control, unanswered_resumes=unanswered))
    record = ReplicaResumed(endpoint.group, endpoint.name)
    return Step(state, (record, *step.effects))


def _record_answers(state: NodeState, config: GroupConfig, now: float) -> NodeState:
    """Forget orders to resume that are answered, or too old to be carried out."""
    control: ControlState = state.control
    unanswered = control.unanswered_resumes
    for endpoint, instance in _replicas(state, config):
        times = unanswered.get(endpoint.name, ())
        # An answer belongs to the latest poll; earlier orders may still be carried out.
        is_answered = instance.sent_at >= instance.polled_at
        remaining = tuple(
            at
            for at in times
            if now - at < LATE_ORDER_LIMIT_S
            and not (is_answered and at == instance.polled_at)
        )
        if remaining:
            unanswered = unanswered.set(endpoint.name, remaining)
        elif times:
            unanswered = unanswered.delete(endpoint.name)
    if unanswered is control.unanswered_resumes:
        return state
    return replace(state, control=replace(control, unanswered_resumes=unanswered))
