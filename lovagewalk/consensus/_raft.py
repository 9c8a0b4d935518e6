"""Entry points of consensus: handle a tick or a message, return a step."""

from collections.abc import Callable
from typing import Any

from lovagewalk.core import Handlers, replace

from . import _election
from . import _messages as msg
from . import _replication
from ._state import RaftRole, RaftState, RaftStep, add_peers
from ._terms import reset_election_timer, reset_pre_vote_timer

# The interval is several heartbeat intervals, since a probe costs one message for
# each peer.
PROBE_INTERVAL_S = 0.3

MessageHandler = Callable[[RaftState, str, Any, float], RaftStep]
_message_handlers: Handlers[type, MessageHandler] = Handlers()
handles = _message_handlers.on


handles(msg.VoteRequest)(_election.on_vote_request)
handles(msg.VoteReply)(_election.on_vote_reply)
handles(msg.AppendRequest)(_replication.on_append_request)
handles(msg.AppendReply)(_replication.on_append_reply)
handles(msg.SnapshotRequest)(_replication.on_snapshot_request)


@handles(msg.Probe)
def _on_probe(raft: RaftState, peer: str, message: msg.Probe, now: float) -> RaftStep:
    return _election.on_probe(raft, peer, message)


@handles(msg.ProbeReply)
def _on_probe_reply(
    raft: RaftState, peer: str, message: msg.ProbeReply, now: float
) -> RaftStep:
    return _election.on_probe_reply(raft, peer, message)


def is_consensus_message(message: object) -> bool:
    """Whether a message belongs to consensus."""
    return type(message) in _message_handlers


def receive(raft: RaftState, peer: str, message: object, now: float) -> RaftStep:
    """Handle a message from a control VM.

    An unknown sender becomes a peer, so that a new VM can ask to be added, and a
    VM that was removed while unreachable receives the log entry of its removal.
    A VM that is offline because its disk refuses writes ignores all messages.
    """
    if raft.role is RaftRole.OFFLINE or peer == raft.me:
        return RaftStep(raft)
    raft = add_peers(raft, (peer,))
    return _message_handlers[type(message)](raft, peer, message, now)


def tick(raft: RaftState, now: float) -> RaftStep:
    """Do the periodic work of the role: probe, heartbeat, step down or election."""
    if raft.role is RaftRole.OFFLINE:
        return RaftStep(raft)
    if raft.role is RaftRole.JOINING:
        return _tick_joining(raft, now)
    if raft.is_leader:
        return _tick_leader(raft, now)
    if not raft.election_due_at:
        # The delay is random, so that VMs that start together do not split the votes.
        return RaftStep(reset_pre_vote_timer(raft, now))
    if now < raft.election_due_at:
        return RaftStep(raft)
    return _election.start_pre_vote(raft, now)


def _tick_joining(raft: RaftState, now: float) -> RaftStep:
    if now < raft.heartbeat_due_at:
        return RaftStep(raft)
    raft = replace(raft, heartbeat_due_at=now + PROBE_INTERVAL_S)
    return _election.send_probes(reset_election_timer(raft, now))


def _tick_leader(raft: RaftState, now: float) -> RaftStep:
    """Step down without a quorum; otherwise send a heartbeat when it is due."""
    if not _replication.has_quorum(raft, now):
        raft = replace(raft, role=RaftRole.FOLLOWER, leader="")
        return RaftStep(reset_election_timer(raft, now))
    if now < raft.heartbeat_due_at:
        return RaftStep(raft)
    return _replication.send_appends(raft, now, True)
