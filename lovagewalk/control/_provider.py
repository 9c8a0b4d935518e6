"""Promotion of primaries through an external provider.

The leader polls each primary, decides from its polls and the daemons' reports
when one is lost, and orders the provider to promote another instance. Each
order carries a fence from the control log. A call without an answer may still
be carried out later, so another target is ordered only under a new fence.
"""

from collections.abc import Callable

from lovagewalk.catalogue import (
    AllocateFence,
    GroupConfig,
    InstallTerm,
    Management,
    TermStart,
)
from lovagewalk.consensus import has_quorum
from lovagewalk.core import Effect, Handlers, Step, replace
from lovagewalk.groups import (
    InstanceView,
    ReplicationOrder,
    Role,
    get_view,
)
from lovagewalk.node import NodeState
from lovagewalk.records import PromotionOrdered, PromotionStarted

from . import _proposals
from ._effects import PromoteInstance
from ._events import PromotionAnswered, PromotionOutcome
from ._pauses import check_pauses, has_interrupted_promotion, is_pause_in_doubt
from ._state import ControlState, Promotion, PromotionStage
from ._survey import (
    SURVEY_PERIOD_S,
    answers_needed,
    candidate_key,
    choose_unpaused,
    count_settled,
    find_candidates,
    poll_instances,
)
from ._suspicion import Suspicions, collect_suspicions
from ._zone_moves import can_take_over, may_order, may_start_move, record_order

# Samples of a primary's position stay young compared with the shortest staleness
# bound at the users' sites, 1.5 s.
PRIMARY_POLL_PERIOD_S = 0.3
# A survey waits at most this long for the remaining replicas; replies from the other
# region take 40 ms.
SURVEY_TIMEOUT_S = 0.25
# A primary is unresponsive after two polls without an answer.
PRIMARY_UNRESPONSIVE_S = 0.6
# A promotion is given up after this time; the slowest one at the users' sites takes
# 1 s.
PROMOTION_TIMEOUT_S = 2.5
# An order without an answer is repeated after several round trips between regions.
ORDER_RETRY_S = 0.5


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Poll primaries, and start and advance promotions."""
    step = Step(state)
    if not has_quorum(state.consensus, now):
        return step
    suspicions = collect_suspicions(state.control, now)
    for name, config in state.catalogue.groups.items():
        if config.management is Management.PROVIDER:
            step = step.then(_tick_group(step.state, name, suspicions, now))
    return step


def _tick_group(
    state: NodeState, group: str, suspicions: Suspicions, now: float
) -> Step[NodeState]:
    config = state.catalogue.group(group)
    promotion = state.control.promotions.get(group)
    if promotion is not None:
        return _stage_handlers[promotion.stage](state, promotion, config, now)
    new_primary = _find_new_primary(state, config)
    if new_primary is not None:
        return _install(state, config, new_primary, now)
    if not config.primary:
        return _discover_primary(state, config, now)
    endpoint = state.catalogue.endpoints.get(config.primary)
    if endpoint is None or endpoint.leaving:
        return _start_promotion(state, config, now)
    if _is_lost(state, config, suspicions, now):
        return _start_promotion(state, config, now)
    step = poll_instances(state, (endpoint,), PRIMARY_POLL_PERIOD_S, now)
    if config.sync_replicas:
        if has_interrupted_promotion(step.state, config):
            return step.then(_start_promotion(step.state, config, now))
        step = step.then(check_pauses(step.state, config, now))
    if not state.catalogue.is_evacuated(config.primary):
        return step
    return step.then(_move_primary(step.state, config, now))


def _move_primary(state: NodeState, config: GroupConfig, now: float) -> Step[NodeState]:
    """Promote a replica outside the evacuated zones, once one can take over."""
    replicas = tuple(
        endpoint
        for endpoint in state.catalogue.group_endpoints(config.name)
        if endpoint.name != config.primary
        and (config.sync_replicas or not state.catalogue.is_evacuated(endpoint.name))
    )
    step = poll_instances(state, replicas, PRIMARY_POLL_PERIOD_S, now)
    if not can_take_over(step.state, config, now):
        return step
    if not may_start_move(step.state.control, now):
        return step
    return step.then(_start_promotion(step.state, config, now))


def _find_new_primary(state: NodeState, config: GroupConfig) -> InstanceView | None:
    """Return the primary of the latest term, if it is later than the installed one."""
    view = get_view(state, config.name)
    primaries = [
        instance
        for instance in view.instances.values()
        if instance.status is not None
        and instance.endpoint in state.catalogue.endpoints
        and instance.status.role is Role.PRIMARY
        and instance.status.term > config.term
    ]
    return max(primaries, key=lambda i: i.status.term, default=None)


def _discover_primary(
    state: NodeState, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Poll all instances; promote one if all of them are replicas."""
    endpoints = state.catalogue.group_endpoints(config.name)
    step = poll_instances(state, endpoints, PRIMARY_POLL_PERIOD_S, now)
    view = get_view(step.state, config.name)
    replicas = [
        instance
        for instance in view.instances.values()
        if instance.status is not None and instance.status.role is Role.REPLICA
    ]
    if len(replicas) < len(endpoints) or not endpoints:
        return step
    return step.then(_start_promotion(step.state, config, now))


def _is_lost(
    state: NodeState, config: GroupConfig, suspicions: Suspicions, now: float
) -> bool:
    """Whether a primary has to be replaced.

    Polls of the leader that get no answer are not enough, since the leader itself
    may be isolated: a daemon whose statements failed has to report the primary too.
    Reports of most daemons are enough without those polls. A primary that reports
    itself as a replica in a later term is lost.
    """
    primary = get_view(state, config.name).instances.get(config.primary)
    if primary is None:
        return False
    status = primary.status
    demoted = status is not None and status.role is Role.REPLICA
    if demoted and status.term > config.term:
        return True
    unresponsive = now - primary.seen_at >= PRIMARY_UNRESPONSIVE_S
    if unresponsive and suspicions.count(config) >= 1:
        return True
    return suspicions.is_lost(config)


def _set_promotion(state: NodeState, promotion: Promotion) -> NodeState:
    control: ControlState = state.control
    promotions = control.promotions.set(promotion.group, promotion)
    return replace(state, control=replace(control, promotions=promotions))


def _remove_promotion(state: NodeState, group: str) -> NodeState:
    control: ControlState = state.control
    if group not in control.promotions:
        return state
    promotions = control.promotions.delete(group)
    return replace(state, control=replace(control, promotions=promotions))


def _start_promotion(
    state: NodeState, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Start a promotion by allocating its fence through the log."""
    promotion = Promotion(config.name, PromotionStage.ALLOCATE, now, config.fence)
    record = _build_start_record(state, config, now)
    step = _proposals.propose_command(
        _set_promotion(state, promotion), AllocateFence(config.name), now
    )
    return Step(step.state, step.effects + (record,))


def _build_start_record(state: NodeState, config: GroupConfig, now: float) -> Effect:
    """Return the log record with the reasons for a promotion."""
    primary = get_view(state, config.name).instances.get(config.primary)
    endpoint = state.catalogue.endpoints.get(config.primary)
    unresponsive_s = now - primary.seen_at if primary else 0.0
    return PromotionStarted(
        group=config.name,
        primary=config.primary,
        term=config.term,
        silent_ms=round(unresponsive_s * 1000),
        leaving=endpoint is None or endpoint.leaving,
        evacuated=state.catalogue.is_evacuated(config.primary),
        suspecting=collect_suspicions(state.control, now).count(config),
    )


StageHandler = Callable[[NodeState, Promotion, GroupConfig, float], Step[NodeState]]
_stage_handlers: Handlers[PromotionStage, StageHandler] = Handlers()
at_stage = _stage_handlers.on


@at_stage(PromotionStage.ALLOCATE)
def _await_fence(
    state: NodeState, promotion: Promotion, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Start the survey once the fence is allocated."""
    if config.fence <= promotion.fence:
        return Step(state)
    promotion = replace(
        promotion,
        stage=PromotionStage.SURVEY,
        fence=config.fence,
        stage_started_at=now,
        target=choose_unpaused(state, config),
    )
    return _survey_replicas(_set_promotion(state, promotion), promotion, config, now)


@at_stage(PromotionStage.SURVEY)
def _survey_replicas(
    state: NodeState, promotion: Promotion, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Poll the replicas' positions, then order the promotion of the most advanced.

    Where replicas confirm commits, all but one are first ordered to stop receiving, so
    that none confirms a commit that the promoted instance lacks. If the other one does
    not catch up with them in time, it is paused too.
    """
    endpoints = state.catalogue.group_endpoints(config.name)
    is_early = now - promotion.stage_started_at < SURVEY_TIMEOUT_S
    step = _poll_in_survey(state, promotion, config, is_early, now)
    state = step.state
    new_primary = _find_new_primary(state, config)
    if new_primary is not None:
        return step.then(_install(state, config, new_primary, now))
    view = get_view(state, config.name)
    candidates = find_candidates(state, view, config, promotion)
    others = [
        endpoint
        for endpoint in endpoints
        if endpoint.name != config.primary
        and (config.sync_replicas or not state.catalogue.is_evacuated(endpoint.name))
    ]
    if not candidates or (len(candidates) < len(others) and is_early):
        return step
    target = max(candidates, key=lambda i: candidate_key(state, config, i))
    settled = count_settled(config, candidates, target)
    if settled < answers_needed(config, len(others)):
        return step
    if not may_order(state, config, now):
        return step
    if is_pause_in_doubt(state, config, target.endpoint, now):
        return step
    promotion = replace(
        promotion,
        stage=PromotionStage.ORDER,
        target=target.endpoint,
        stage_started_at=now,
        ordered_at=now,
    )
    return step.then(_order_promotion(_set_promotion(state, promotion), promotion, now))


def _poll_in_survey(
    state: NodeState,
    promotion: Promotion,
    config: GroupConfig,
    is_early: bool,
    now: float,
) -> Step[NodeState]:
    """Poll the instances of a group, and pause those that may confirm commits."""
    endpoints = state.catalogue.group_endpoints(config.name)
    unpaused = endpoints
    if config.sync_replicas:
        unpaused = tuple(
            e for e in endpoints if is_early and e.name == promotion.target
        )
    paused = tuple(e for e in endpoints if e not in unpaused)
    step = poll_instances(state, unpaused, SURVEY_PERIOD_S, now)
    order = ReplicationOrder.PAUSE
    return step.then(poll_instances(step.state, paused, SURVEY_PERIOD_S, now, order))


def _order_promotion(
    state: NodeState, promotion: Promotion, now: float
) -> Step[NodeState]:
    effect = PromoteInstance(
        promotion.group, promotion.target, state.identity.name, promotion.fence
    )
    record = PromotionOrdered(
        group=promotion.group,
        target=promotion.target,
        fence=promotion.fence,
    )
    return Step(record_order(state, now), (record, effect))


@at_stage(PromotionStage.ORDER)
def _await_promotion(
    state: NodeState, promotion: Promotion, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Wait until the target is primary; repeat the order if the call was lost."""
    new_primary = _find_new_primary(state, config)
    if new_primary is not None:
        return _install(state, config, new_primary, now)
    target = state.catalogue.endpoints.get(promotion.target)
    is_excluded = target is not None and not config.sync_replicas
    if is_excluded:
        is_excluded = target.leaving or state.catalogue.is_evacuated(target.name)
    if target is None or is_excluded or _target_failed(state, promotion, now):
        return _start_promotion(_remove_promotion(state, promotion.group), config, now)
    step = poll_instances(state, (target,), SURVEY_PERIOD_S, now)
    if promotion.accepted or now - promotion.ordered_at < ORDER_RETRY_S:
        return step
    if not may_order(state, config, now):
        return step
    promotion = replace(promotion, ordered_at=now)
    state = _set_promotion(step.state, promotion)
    return step.then(_order_promotion(state, promotion, now))


def _target_failed(state: NodeState, promotion: Promotion, now: float) -> bool:
    instance = get_view(state, promotion.group).instances.get(promotion.target)
    unresponsive = instance is None or now - instance.seen_at >= PRIMARY_UNRESPONSIVE_S
    return unresponsive or now - promotion.stage_started_at >= PROMOTION_TIMEOUT_S


@at_stage(PromotionStage.INSTALL)
def _await_install(
    state: NodeState, promotion: Promotion, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Wait, at most `PROMOTION_TIMEOUT_S`, until this or a later term is installed."""
    is_installed = config.term >= promotion.term
    if is_installed or now - promotion.stage_started_at >= PROMOTION_TIMEOUT_S:
        return Step(_remove_promotion(state, promotion.group))
    return Step(state)


def _install(
    state: NodeState, config: GroupConfig, new_primary: InstanceView, now: float
) -> Step[NodeState]:
    """Install the term of an instance that reports itself as the primary."""
    status = new_primary.status
    promotion = Promotion(
        config.name, PromotionStage.INSTALL, now, config.fence, term=status.term
    )
    start = TermStart(status.term, status.index, status.last_term)
    command = InstallTerm(config.name, status.term, new_primary.endpoint, (), start)
    return _proposals.propose_command(_set_promotion(state, promotion), command, now)


def on_promotion_answered(
    state: NodeState, event: PromotionAnswered
) -> Step[NodeState]:
    """Handle the provider's answer to an order."""
    raft = state.consensus
    if raft is None or not raft.is_leader:
        return Step(state)
    promotion = state.control.promotions.get(event.group)
    is_current = (
        promotion is not None
        and promotion.stage is PromotionStage.ORDER
        and promotion.fence == event.fence
    )
    if not is_current:
        return Step(state)
    if event.outcome is PromotionOutcome.ACCEPTED:
        return Step(_set_promotion(state, replace(promotion, accepted=True)))
    if event.outcome is PromotionOutcome.REFUSED:
        config = state.catalogue.group(event.group)
        return _start_promotion(_remove_promotion(state, event.group), config, event.at)
    return Step(state)
