"""Passes proposed changes to the leader, and their results to the proposers."""

from lovagewalk.catalogue import (
    ChangeResult,
    Command,
    Proposal,
    check_proposal,
    control_proposal,
)
from lovagewalk.consensus import RaftRole, SendToPeer, append_proposals
from lovagewalk.core import Code, Refusal, Step, replace
from lovagewalk.node import NodeState
from lovagewalk.records import ProposalRefused

from . import _raft_steps
from ._accesses import AUDIT_TICKET, confirm_batch
from ._effects import AnswerRequester
from ._messages import ForwardProposal, ProposalResult
from ._peer_messages import on_message
from ._state import Ticket


def request_change(
    state: NodeState, ticket: int, proposal: Proposal, now: float
) -> Step[NodeState]:
    """Propose a change here if this VM leads; forward it to the leader otherwise."""
    raft = state.consensus
    if raft is not None and raft.is_leader:
        return propose(state, proposal, Ticket("", ticket), now)
    refusal = check_proposal(proposal)
    if refusal is not None:
        return _refuse(state, proposal, Ticket("", ticket), refusal)
    target = state.follow.target
    if raft is not None and raft.role is not RaftRole.OFFLINE:
        target = raft.leader
    if not target or target == state.identity.name:
        refusal = Refusal(Code.NOT_LEADER, retry_after_s=1.0)
        return Step(state, (AnswerRequester(ticket, ChangeResult(0, refusal)),))
    return Step(state, (SendToPeer(target, ForwardProposal(ticket, proposal)),))


def propose(
    state: NodeState, proposal: Proposal, ticket: Ticket | None, now: float
) -> Step[NodeState]:
    """Append a valid proposal to the leader's log, and refuse any other."""
    refusal = check_proposal(proposal)
    if refusal is not None:
        return _refuse(state, proposal, ticket, refusal)
    index = state.consensus.log.last_index + 1
    if ticket is not None:
        tickets = state.control.tickets.set(index, ticket)
        state = replace(state, control=replace(state.control, tickets=tickets))
    appended = append_proposals(state.consensus, (proposal,), now)
    return _raft_steps.apply_raft_step(state, appended, now)


def _refuse(
    state: NodeState, proposal: Proposal, ticket: Ticket | None, refusal: Refusal
) -> Step[NodeState]:
    record = ProposalRefused(
        request=type(proposal.command).__name__,
        proposer=ticket.peer if ticket is not None else state.identity.name,
        outcome=refusal.code.label,
        detail=refusal.detail,
    )
    if ticket is None:
        return Step(state, (record,))
    result = ChangeResult(0, refusal)
    return Step(state, (record, _raft_steps.answer_ticket(state, ticket, result)))


def propose_command(state: NodeState, command: Command, now: float) -> Step[NodeState]:
    """Append a command of the leader itself to its log; its result is not reported."""
    return propose(state, control_proposal(command), None, now)


@on_message(ForwardProposal)
def on_forward_proposal(
    state: NodeState, peer: str, message: ForwardProposal, now: float
) -> Step[NodeState]:
    """Propose on behalf of another daemon, or reply that this VM does not lead."""
    raft = state.consensus
    if raft is not None and raft.is_leader:
        return propose(state, message.proposal, Ticket(peer, message.ticket), now)
    leader = raft.leader if raft is not None else ""
    reply = ProposalResult(message.ticket, None, leader)
    return Step(state, (SendToPeer(peer, reply),))


@on_message(ProposalResult)
def on_proposal_result(
    state: NodeState, peer: str, message: ProposalResult, now: float
) -> Step[NodeState]:
    """Answer the operator or endpoint whose change has a result."""
    result = message.result
    if message.ticket == AUDIT_TICKET:
        is_decided = result is not None and (
            result.refusal is None or result.refusal.code is Code.CHANGE_CONFLICT
        )
        return Step(confirm_batch(state) if is_decided else state)
    if result is None:
        refusal = Refusal(Code.NOT_LEADER, message.leader, retry_after_s=1.0)
        result = ChangeResult(0, refusal)
    return Step(state, (AnswerRequester(message.ticket, result),))
