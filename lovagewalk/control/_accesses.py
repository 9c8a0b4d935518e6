"""Counts of answered statements, which a daemon reports for the audit trail."""

from lovagewalk.catalogue import AccessCount, Proposal, RecordAccess
from lovagewalk.consensus import SendToPeer
from lovagewalk.core import Effect, Step, replace
from lovagewalk.node import NodeState

from ._messages import ForwardProposal
from ._state import FollowState

# The time between two batches bounds the counts that are lost if a daemon is killed.
AUDIT_PERIOD_S = 5.0
# An election of the control VMs, 0.8 s, and the forwarding after it take less time.
AUDIT_RESEND_S = 2.0
# Every batch has this ticket; the tickets of other changes start at 1.
AUDIT_TICKET = 0


def report_accesses(state: NodeState, now: float) -> Step[NodeState]:
    """Send the counts if they are due, or resend a batch that is not confirmed."""
    follow: FollowState = state.follow
    if follow.access_batch is None:
        is_due = now - follow.access_batch_built_at >= AUDIT_PERIOD_S or state.draining
        if not state.access_counts or not is_due:
            return Step(state)
        state = _build_batch(state, now)
        follow = state.follow
    if now - follow.access_batch_sent_at < AUDIT_RESEND_S:
        return Step(state)
    follow = replace(follow, access_batch_sent_at=now)
    message = ForwardProposal(AUDIT_TICKET, follow.access_batch)
    effects: tuple[Effect, ...] = (SendToPeer(follow.target, message),)
    return Step(replace(state, follow=follow), effects)


def _build_batch(state: NodeState, now: float) -> NodeState:
    """Move all counts into a batch."""
    follow: FollowState = state.follow
    counts = tuple(
        AccessCount(key.customer, key.code, count)
        for key, count in sorted(
            state.access_counts.items(),
            key=lambda item: (item[0].customer, item[0].code),
        )
    )
    number = follow.access_batch_number + 1
    command = RecordAccess(state.identity.name, f"{follow.boot}/{number}", counts)
    follow = replace(
        follow,
        access_batch=Proposal("", state.identity.name, 0.0, command),
        access_batch_number=number,
        access_batch_built_at=now,
        access_batch_sent_at=0.0,
    )
    return replace(state, follow=follow, access_counts=type(state.access_counts)())


def confirm_batch(state: NodeState) -> NodeState:
    """Remove the batch of counts that the leader has recorded."""
    return replace(state, follow=replace(state.follow, access_batch=None))
