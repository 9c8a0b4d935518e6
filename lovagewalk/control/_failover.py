"""Changes of a group's term: failover, planned switch, repair of voters.

All three use one mechanism. A term is allocated through the log, so that no
two attempts share one. Enough voters are fenced that no write of the old term
can be confirmed any more. The fenced voter with the most advanced log is
promoted; then the term, its primary and its voters are installed through the log.
"""

from collections.abc import Callable

from lovagewalk.catalogue import (
    AllocateTerm,
    Catalogue,
    ChangeResult,
    Endpoint,
    GroupConfig,
    InstallTerm,
    Management,
    TermStart,
    Voter,
)
from lovagewalk.core import Code, Effect, Handlers, Refusal, Step, replace
from lovagewalk.groups import Role
from lovagewalk.node import NodeState

from . import _proposals
from ._effects import SendOrder
from ._events import Order, OrderAnswered
from ._leader import is_informed_leader
from ._primary_choice import choose_primary
from ._raft_steps import answer_ticket
from ._state import (
    ControlState,
    Failover,
    FailoverStage,
    FencedInstance,
    Ticket,
)
from ._suspicion import Suspicions, collect_suspicions

# An attempt that takes longer is restarted with a new term: four times the 0.5 s
# timeout of a connection to an instance.
ATTEMPT_TIMEOUT_S = 2.0


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Start, advance and restart changes of term."""
    suspicions = collect_suspicions(state.control, now)
    step = Step(state)
    for name, config in state.catalogue.groups.items():
        if config.management is Management.PROVIDER:
            continue
        if _needs_no_change(step.state, config, suspicions):
            continue
        step = step.then(_tick_group(step.state, name, suspicions, now))
    return step


def _needs_no_change(
    state: NodeState, config: GroupConfig, suspicions: Suspicions
) -> bool:
    if config.name in state.control.failovers or not config.primary:
        return False
    return config.allocated_term == config.term and not suspicions.is_lost(config)


def _tick_group(
    state: NodeState, group: str, suspicions: Suspicions, now: float
) -> Step[NodeState]:
    failover = state.control.failovers.get(group)
    config = state.catalogue.group(group)
    if failover is not None:
        return _advance(state, failover, config, now)
    if not config.primary:
        return _start_first_term(state, config, now)
    if suspicions.is_lost(config):
        return start_term_change(
            state, config, config.voters, now, failed_primary=config.primary
        )
    # A term was allocated but not installed, for example by a former leader.
    return start_term_change(state, config, config.voters, now)


def _start_first_term(
    state: NodeState, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Start the first term of a group once all its instances report a status.

    A group of two instances waits for a third.
    """
    endpoints = state.catalogue.group_endpoints(config.name)
    view = state.groups.get(config.name)
    if view is None or not endpoints:
        return Step(state)
    voters = []
    for endpoint in endpoints:
        instance = view.instances.get(endpoint.name)
        if instance is None or instance.status is None:
            return Step(state)
        voters.append(Voter(endpoint.name, instance.status.incarnation))
    if len(voters) % 2 == 0 and len(voters) < 3:
        return Step(state)
    return start_term_change(state, config, tuple(voters), now)


def start_term_change(
    state: NodeState,
    config: GroupConfig,
    voters: tuple[Voter, ...],
    now: float,
    target: str = "",
    requested_primary: str = "",
    failed_primary: str = "",
    tickets: tuple[Ticket, ...] = (),
) -> Step[NodeState]:
    """Start a change of term by allocating one through the log."""
    highest_seen = _highest_term_seen(state, config)
    term = max(config.allocated_term, highest_seen) + 1
    failover = Failover(
        group=config.name,
        term=term,
        stage=FailoverStage.ALLOCATE,
        started_at=now,
        voters=voters,
        target=target,
        requested_primary=requested_primary,
        failed_primary=failed_primary,
        tickets=tickets,
    )
    state = _set_failover(state, failover)
    return _proposals.propose_command(state, AllocateTerm(config.name, term), now)


def _highest_term_seen(state: NodeState, config: GroupConfig) -> int:
    view = state.groups.get(config.name)
    if view is None:
        return 0
    terms = [i.status.term for i in view.instances.values() if i.status]
    return max(terms, default=0)


def _set_failover(state: NodeState, failover: Failover) -> NodeState:
    """Return the state with a failover stored in it."""
    control: ControlState = state.control
    failovers = control.failovers.set(failover.group, failover)
    return replace(state, control=replace(control, failovers=failovers))


def _remove_failover(state: NodeState, group: str) -> NodeState:
    control: ControlState = state.control
    failovers = control.failovers.delete(group)
    return replace(state, control=replace(control, failovers=failovers))


StageHandler = Callable[[NodeState, Failover, GroupConfig, float], Step[NodeState]]
_stage_handlers: Handlers[FailoverStage, StageHandler] = Handlers()
at_stage = _stage_handlers.on


def _advance(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Handle the present stage; restart an attempt that is overdue or superseded.

    The new attempt may promote any voter, since the requested one may be unreachable.
    """
    if config.term >= failover.term:
        return _finish(state, failover, config)
    overdue = now - failover.started_at >= ATTEMPT_TIMEOUT_S
    superseded = config.allocated_term > failover.term
    if overdue or superseded:
        state = _remove_failover(state, failover.group)
        return start_term_change(
            state,
            config,
            config.voters or failover.voters,
            now,
            requested_primary=failover.requested_primary,
            failed_primary=failover.failed_primary,
            tickets=failover.tickets,
        )
    return _stage_handlers[failover.stage](state, failover, config, now)


def _finish(
    state: NodeState, failover: Failover, config: GroupConfig
) -> Step[NodeState]:
    """End a change once its term, or a later one, is installed."""
    state = _remove_failover(state, failover.group)
    result = ChangeResult(state.catalogue.revision)
    if failover.requested_primary not in ("", config.primary):
        refusal = Refusal(Code.CHANGE_BAD, f"primary is now {config.primary}")
        result = ChangeResult(state.catalogue.revision, refusal)
    effects = tuple(answer_ticket(state, ticket, result) for ticket in failover.tickets)
    return Step(state, effects)


@at_stage(FailoverStage.ALLOCATE)
def _await_allocation(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Order the fencing once the term is allocated.

    In a planned change the old primary is fenced first, so that the target can
    catch up with its log.
    """
    if config.allocated_term < failover.term:
        return Step(state)
    if failover.target:
        failover = replace(failover, stage=FailoverStage.DRAIN)
        state = _set_failover(state, failover)
        return _send_orders(state, failover, (config.primary,), Order.FENCE)
    failover = replace(failover, stage=FailoverStage.FENCE)
    return _send_order_to_all(_set_failover(state, failover), failover, Order.FENCE)


def _send_order_to_all(
    state: NodeState, failover: Failover, order: Order
) -> Step[NodeState]:
    endpoints = state.catalogue.group_endpoints(failover.group)
    return _send_orders(state, failover, tuple(e.name for e in endpoints), order)


def _send_orders(
    state: NodeState, failover: Failover, names: tuple[str, ...], order: Order
) -> Step[NodeState]:
    effects: tuple[Effect, ...] = ()
    for name in names:
        endpoint = state.catalogue.endpoints.get(name)
        if endpoint is not None:
            effects += (_build_order(state.catalogue, failover, endpoint, order),)
    return Step(state, effects)


def _build_order(
    catalogue: Catalogue, failover: Failover, endpoint: Endpoint, order: Order
) -> SendOrder:
    source = catalogue.endpoints.get(failover.new_primary)
    return SendOrder(
        group=failover.group,
        endpoint=endpoint.name,
        host=endpoint.host,
        port=endpoint.port,
        order=order,
        term=failover.term,
        source_host=source.host if source else "",
        source_port=source.port if source else 0,
        catch_up_index=failover.start_index,
        catch_up_term=catalogue.group(failover.group).term,
    )


@at_stage(FailoverStage.DRAIN)
def _await_drain(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Wait for answers: those to FENCE and CATCH_UP advance this stage."""
    return Step(state)


@at_stage(FailoverStage.FENCE)
def _await_fence_quorum(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Order the promotion of an instance once enough voters are fenced."""
    chosen = choose_primary(state, failover, config, now)
    if chosen is None:
        return Step(state)
    failover = replace(
        failover,
        stage=FailoverStage.PROMOTE,
        new_primary=chosen.endpoint,
        start_index=chosen.status.index,
        prior_term=chosen.status.last_term,
    )
    state = _set_failover(state, failover)
    return _send_orders(state, failover, (chosen.endpoint,), Order.PROMOTE)


@at_stage(FailoverStage.PROMOTE)
def _await_promotion(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Wait for the answer to PROMOTE, which advances this stage."""
    return Step(state)


@at_stage(FailoverStage.CATCH_UP)
def _await_catch_up(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Install changed voters once each has the log up to the term's start."""
    view = state.groups[failover.group]
    for voter in failover.voters:
        instance = view.instances.get(voter.name)
        status = instance.status if instance else None
        if voter.name == failover.new_primary:
            continue
        if status is None or status.incarnation != voter.incarnation:
            return Step(state)
        is_following = status.role is Role.REPLICA and status.term == failover.term
        if not is_following or status.index < failover.start_index:
            return Step(state)
    return _install(state, failover, failover.voters, now)


@at_stage(FailoverStage.INSTALL)
def _await_install(
    state: NodeState, failover: Failover, config: GroupConfig, now: float
) -> Step[NodeState]:
    """Wait until the catalogue holds the new term, which ends the change."""
    return Step(state)


def _install(
    state: NodeState, failover: Failover, voters: tuple[Voter, ...], now: float
) -> Step[NodeState]:
    failover = replace(failover, stage=FailoverStage.INSTALL)
    start = TermStart(failover.term, failover.start_index, failover.prior_term)
    command = InstallTerm(
        failover.group, failover.term, failover.new_primary, voters, start
    )
    return _proposals.propose_command(_set_failover(state, failover), command, now)


def on_order_answered(state: NodeState, event: OrderAnswered) -> Step[NodeState]:
    """Handle an instance's answer to an order of the current attempt."""
    raft = state.consensus
    if raft is None or not raft.is_leader:
        return Step(state)
    failover = state.control.failovers.get(event.group)
    if failover is None or failover.term != event.term or event.status is None:
        return Step(state)
    handler = _answer_handlers.get(event.order)
    if handler is None:
        return Step(state)
    return handler(state, failover, event)


AnswerHandler = Callable[[NodeState, Failover, OrderAnswered], Step[NodeState]]
_answer_handlers: Handlers[Order, AnswerHandler] = Handlers()
on_answer_to = _answer_handlers.on


@on_answer_to(Order.FENCE)
def _on_fenced(
    state: NodeState, failover: Failover, event: OrderAnswered
) -> Step[NodeState]:
    """Record that an instance is fenced; then let a target catch up, or promote."""
    others = tuple(f for f in failover.fenced if f.endpoint != event.endpoint)
    fenced = others + (FencedInstance(event.endpoint, event.status),)
    failover = replace(failover, fenced=fenced)
    config = state.catalogue.group(failover.group)
    if failover.stage is FailoverStage.DRAIN:
        failover = replace(failover, start_index=event.status.index)
        state = _set_failover(state, failover)
        return _send_orders(state, failover, (failover.target,), Order.CATCH_UP)
    state = _set_failover(state, failover)
    if failover.stage is not FailoverStage.FENCE:
        return Step(state)
    return _await_fence_quorum(state, failover, config, event.at)


@on_answer_to(Order.CATCH_UP)
def _on_caught_up(
    state: NodeState, failover: Failover, event: OrderAnswered
) -> Step[NodeState]:
    """Fence all instances once the target has the whole log of the old primary."""
    if failover.stage is not FailoverStage.DRAIN:
        return Step(state)
    if event.status.index < failover.start_index:
        return _send_orders(state, failover, (failover.target,), Order.CATCH_UP)
    failover = replace(failover, stage=FailoverStage.FENCE)
    return _send_order_to_all(_set_failover(state, failover), failover, Order.FENCE)


@on_answer_to(Order.PROMOTE)
def _on_promoted(
    state: NodeState, failover: Failover, event: OrderAnswered
) -> Step[NodeState]:
    """Order the other instances to follow, and install the term.

    New voters catch up before the term is installed.
    """
    if failover.stage is not FailoverStage.PROMOTE:
        return Step(state)
    config = state.catalogue.group(failover.group)
    others = tuple(
        endpoint.name
        for endpoint in state.catalogue.group_endpoints(failover.group)
        if endpoint.name != failover.new_primary
    )
    same_voters = set(failover.voters) == set(config.voters) or not config.voters
    if same_voters:
        step = _send_orders(state, failover, others, Order.FOLLOW)
        return step.then(_install(step.state, failover, failover.voters, event.at))
    failover = replace(failover, stage=FailoverStage.CATCH_UP)
    return _send_orders(_set_failover(state, failover), failover, others, Order.FOLLOW)


def request_switch(
    state: NodeState, group: str, endpoint: str, ticket: Ticket, now: float
) -> Step[NodeState]:
    """Start a planned change of primary, or answer why it is refused."""
    refusal = _switch_refusal(state, group, endpoint)
    if refusal is not None:
        answer = answer_ticket(state, ticket, ChangeResult(0, refusal))
        return Step(state, (answer,))
    config = state.catalogue.group(group)
    return start_term_change(
        state,
        config,
        config.voters,
        now,
        target=endpoint,
        requested_primary=endpoint,
        tickets=(ticket,),
    )


def _switch_refusal(state: NodeState, group: str, endpoint: str) -> Refusal | None:
    raft = state.consensus
    if not is_informed_leader(state):
        return Refusal(Code.NOT_LEADER, raft.leader if raft else "")
    config = state.catalogue.group(group)
    if group in state.control.failovers or not config.primary:
        return Refusal(Code.CHANGE_CONFLICT, "the group is changing already")
    if endpoint == config.primary:
        return Refusal(Code.CHANGE_BAD, "endpoint is the primary")
    if all(voter.name != endpoint for voter in config.voters):
        return Refusal(Code.CHANGE_BAD, "endpoint is no voter of the group")
    return None
