"""Consensus among the control VMs: elections, a replicated log, snapshots."""

from ._effects import (
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
    SendPeer,
)
from ._messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Probe,
    ProbeReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from ._raft import is_consensus_message, receive, tick
from ._replication import (
    append_proposals,
    compact,
    compaction_due,
    confirmed_round,
    has_quorum,
    send_snapshots,
)
from ._state import (
    SNAPSHOT_EVERY,
    RaftLog,
    RaftState,
    RaftStep,
    Standing,
    VoterConfig,
    configs_of,
    forget_peers,
)

__all__ = [
    "SNAPSHOT_EVERY",
    "AppendReply",
    "AppendRequest",
    "LogEntry",
    "PersistEntries",
    "PersistSnapshot",
    "PersistVote",
    "PersistVoters",
    "Probe",
    "ProbeReply",
    "RaftLog",
    "RaftState",
    "RaftStep",
    "SendPeer",
    "SnapshotRequest",
    "Standing",
    "VoteReply",
    "VoteRequest",
    "VoterConfig",
    "append_proposals",
    "compact",
    "compaction_due",
    "configs_of",
    "confirmed_round",
    "forget_peers",
    "has_quorum",
    "is_consensus_message",
    "receive",
    "send_snapshots",
    "tick",
]
