"""Reducers of control: ticks, peers' messages, operators' requests."""

from lovagewalk.consensus import (
    RaftRole,
    RaftStep,
    SnapshotRequest,
    is_consensus_message,
    receive,
)
from lovagewalk.consensus import tick as tick_consensus
from lovagewalk.core import Step, reduces, replace
from lovagewalk.node import NodeState
from lovagewalk.records import JournalLost, JournalRegained
from lovagewalk.routing import begin_drain

from . import (
    _catalogue_reads,
    _failover,
    _follow,
    _heartbeats,
    _membership,
    _owned_buckets,
    _owner_directory,
    _proposals,
    _provider,
    _raft_steps,
    _repair,
    _reports,
    _token_queue,
    _token_requests,
)
from ._effects import StopDaemon
from ._events import (
    CatalogueRequested,
    ChangeRequested,
    ConsensusTick,
    ControlTick,
    DrainRequested,
    EndpointHeartbeat,
    EndpointLeft,
    JournalRestored,
    JournalUnavailable,
    OrderAnswered,
    PeerLost,
    PeerMessage,
    PromotionAnswered,
    RepairTick,
    SeedsChanged,
    SwitchRequested,
)
from ._leader import is_informed_leader
from ._peer_messages import peer_handlers
from ._state import Ticket


@reduces(PeerMessage)
def _peer_message(state: NodeState, event: PeerMessage) -> Step[NodeState]:
    if is_consensus_message(event.message):
        return _consensus_message(state, event)
    handler = peer_handlers.get(type(event.message))
    if handler is None:
        return Step(state)
    return handler(state, event.peer, event.message, event.at)


@reduces(PeerLost)
def _peer_lost(state: NodeState, event: PeerLost) -> Step[NodeState]:
    if state.follow is None:
        return Step(state)
    return Step(_follow.on_peer_lost(state, event.peer))


@reduces(SeedsChanged)
def _seeds_changed(state: NodeState, event: SeedsChanged) -> Step[NodeState]:
    return _follow.on_seeds_changed(state, event.seeds)


def _consensus_message(state: NodeState, event: PeerMessage) -> Step[NodeState]:
    if state.consensus is None:
        return Step(state)
    applied_before = state.consensus.last_applied
    received = receive(state.consensus, event.peer, event.message, event.at)
    if not isinstance(event.message, SnapshotRequest):
        return _raft_steps.apply_raft_step(state, received, event.at)
    if received.raft.last_applied == applied_before:
        return _raft_steps.apply_raft_step(state, received, event.at)
    # The snapshot was applied, so its catalogue replaces the one in the state.
    adopted = _raft_steps.adopt_log_catalogue(state, event.message.catalogue, event.at)
    step = _raft_steps.apply_raft_step(adopted.state, received, event.at)
    return Step(step.state, step.effects + adopted.effects)


@reduces(ConsensusTick)
def _consensus_tick(state: NodeState, event: ConsensusTick) -> Step[NodeState]:
    if state.consensus is None:
        return Step(state)
    ticked = tick_consensus(state.consensus, event.at)
    if ticked.raft is state.consensus and not ticked.effects:
        return Step(state)
    return _raft_steps.apply_raft_step(state, ticked, event.at)


@reduces(ControlTick)
def _control_tick(state: NodeState, event: ControlTick) -> Step[NodeState]:
    step = Step(state)
    if state.follow is not None:
        step = _reports.tick(state, event.at)
        step = step.then(_owned_buckets.tick(step.state, event.at))
        step = step.then(_token_requests.request_tokens(step.state, event.at))
    # A leader that has not caught up could replace a primary that its predecessor has
    # replaced already.
    if is_informed_leader(step.state):
        step = step.then(_failover.tick(step.state, event.at))
        step = step.then(_provider.tick(step.state, event.at))
        step = step.then(_token_queue.tick(step.state, event.at))
        step = step.then(_owner_directory.tick(step.state, event.at))
    if step.state.draining and not _has_unfinished_work(step.state):
        step = step.then(Step(step.state, (StopDaemon(),)))
    return step


@reduces(RepairTick)
def _repair_tick(state: NodeState, event: RepairTick) -> Step[NodeState]:
    if not is_informed_leader(state):
        return Step(state)
    step = _repair.tick(state, event.at)
    return step.then(_membership.tick(step.state, event.at))


def _has_unfinished_work(state: NodeState) -> bool:
    """Whether draining has to wait for requests, access counts or sessions."""
    if state.requests or state.access_counts:
        return True
    if state.follow is not None and state.follow.access_batch is not None:
        return True
    if state.identity.drain_limits.operations_s and state.sessions:
        return True
    return any(session.conn for session in state.sessions.values())


@reduces(OrderAnswered)
def _order_answered(state: NodeState, event: OrderAnswered) -> Step[NodeState]:
    return _failover.on_order_answered(state, event)


@reduces(PromotionAnswered)
def _promotion_answered(state: NodeState, event: PromotionAnswered) -> Step[NodeState]:
    return _provider.on_promotion_answered(state, event)


@reduces(EndpointHeartbeat)
def _endpoint_heartbeat(state: NodeState, event: EndpointHeartbeat) -> Step[NodeState]:
    return _heartbeats.on_heartbeat(state, event)


@reduces(EndpointLeft)
def _endpoint_left(state: NodeState, event: EndpointLeft) -> Step[NodeState]:
    return _heartbeats.on_endpoint_left(state, event)


@reduces(ChangeRequested)
def _change_requested(state: NodeState, event: ChangeRequested) -> Step[NodeState]:
    return _proposals.request_change(state, event.ticket, event.proposal, event.at)


@reduces(CatalogueRequested)
def _catalogue_requested(
    state: NodeState, event: CatalogueRequested
) -> Step[NodeState]:
    return _catalogue_reads.on_catalogue_requested(state, event)


@reduces(SwitchRequested)
def _switch_requested(state: NodeState, event: SwitchRequested) -> Step[NodeState]:
    ticket = Ticket("", event.ticket)
    return _failover.request_switch(
        state, event.group, event.endpoint, ticket, event.at
    )


@reduces(DrainRequested)
def _drain_requested(state: NodeState, event: DrainRequested) -> Step[NodeState]:
    return Step(_start_draining(state, event.at))


def _start_draining(state: NodeState, now: float) -> NodeState:
    follow = state.follow
    if follow is not None:
        follow = replace(follow, is_report_urgent=True)
    return begin_drain(replace(state, follow=follow), now)


@reduces(JournalUnavailable)
def _journal_unavailable(
    state: NodeState, event: JournalUnavailable
) -> Step[NodeState]:
    """Take this VM out of the consensus, since it can persist no vote or entry."""
    offline_raft = replace(state.consensus, role=RaftRole.OFFLINE, leader="")
    step = _raft_steps.apply_raft_step(state, RaftStep(offline_raft), event.at)
    record = JournalLost(
        outcome=event.reason.code.label,
        detail=event.reason.detail,
        term=offline_raft.term,
        last_index=offline_raft.log.last_index,
    )
    return Step(step.state, step.effects + (record,))


@reduces(JournalRestored)
def _journal_restored(state: NodeState, event: JournalRestored) -> Step[NodeState]:
    """Take part in the consensus again, with what is on disk.

    The state in memory contained votes and entries that the disk has refused.
    """
    record = JournalRegained(
        term=event.raft.term,
        last_index=event.raft.log.last_index,
        role=event.raft.role.value,
        disk=event.raft.disk,
    )
    step = _raft_steps.adopt_log_catalogue(state, event.catalogue, event.at)
    step = Step(step.state, step.effects + (record,))
    raft_step = RaftStep(event.raft)
    return step.then(_raft_steps.apply_raft_step(step.state, raft_step, event.at))
