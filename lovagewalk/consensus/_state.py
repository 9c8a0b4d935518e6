"""Consensus state of one control VM, and its time constants."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from lovagewalk.catalogue import ChangeControlVoters, ControlVoter, estimate_size
from lovagewalk.core import Effect, replace

from ._messages import LogEntry

# The interval is an eighth of the minimum election timeout, so that the loss of a
# single heartbeat starts no election.
HEARTBEAT_INTERVAL_S = 0.05
# The minimum election timeout is ten round trips of 40 ms between regions.
ELECTION_TIMEOUT_MIN_S = 0.4
# The maximum election timeout is twice the minimum, so that votes are seldom split.
ELECTION_TIMEOUT_MAX_S = 0.8
# The minimum delay between pre-votes before the first contact with a leader in this
# run is a little over a round trip between regions. It is short because the first
# requests may be lost: the streams to the peers may not be open yet.
FIRST_PRE_VOTE_DELAY_MIN_S = 0.05
# The maximum is five times the minimum, so that five candidates start apart.
FIRST_PRE_VOTE_DELAY_MAX_S = 0.25
# The minimum delay after a split vote before the first contact with a leader is a
# round trip between regions, plus the syncs of slow disks.
FIRST_RETRY_DELAY_MIN_S = 0.1
# The maximum is over four round trips more, so that candidates start apart.
FIRST_RETRY_DELAY_MAX_S = 0.3
# After this number of attempts the delay doubles with each further one, which slow
# links need. The streams to the peers are open by then.
ATTEMPTS_BEFORE_BACKOFF = 3
# The lease lasts nine tenths of the minimum election timeout: the clocks of two VMs
# drift apart by far less than a tenth in 0.4 s.
LEADER_LEASE_S = 0.9 * ELECTION_TIMEOUT_MIN_S
# The limit bounds the size of one append to a follower that lags behind.
MAX_BATCH_ENTRIES = 200
# A quarter of the largest message. Even one entry with the longest configuration stays
# below that limit.
MAX_BATCH_BYTES = 4 * 1024 * 1024
# This number of log entries is written in about 5 hours at 2,700 changes a day, the
# rate in the capacity plan.
SNAPSHOT_INTERVAL_ENTRIES = 600
# By the estimate of their encoded size, which is about three times what entries take
# in memory: some 20 MB of the 296 MB of a control VM.
MAX_LOG_BYTES = 64 * 1024 * 1024


class RaftRole(Enum):
    """The Raft role of a control VM.

    A VM is joining until it has a voter configuration. It is offline as long
    as its disk refuses writes.
    """

    JOINING = "joining"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    OFFLINE = "offline"


@dataclass(frozen=True, slots=True)
class VoterConfig:
    """The voters in force from a log index on."""

    index: int
    voters: tuple[ControlVoter, ...]


@dataclass(frozen=True, slots=True)
class RaftLog:
    """The log entries after the last snapshot.

    Attributes
    ----------
    entries : Map of int to LogEntry
        The entries by index.
    base_index, base_term : int
        Index and term of the last entry that the snapshot covers.
    size : int
        Estimated size of the entries, in bytes.
    """

    entries: Map = field(default_factory=Map)
    last_index: int = 0
    base_index: int = 0
    base_term: int = 0
    size: int = 0

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return an entry's term; -1 for an entry that the log does not hold."""
        if index == self.base_index:
            return self.base_term
        entry = self.entries.get(index)
        return entry.term if entry else -1

    def append(self, entries: tuple[LogEntry, ...]) -> "RaftLog":
        """Append entries after the last one."""
        new_entries = self.entries
        size = self.size
        for entry in entries:
            new_entries = new_entries.set(entry.index, entry)
            size += _estimate_entry_size(entry)
        last_index = entries[-1].index if entries else self.last_index
        return replace(self, entries=new_entries, last_index=last_index, size=size)

    def truncate(self, from_index: int) -> "RaftLog":
        """Drop the entries from an index on."""
        remaining = self._without(range(from_index, self.last_index + 1))
        last_index = min(self.last_index, from_index - 1)
        return replace(remaining, last_index=last_index)

    def compact(self, index: int) -> "RaftLog":
        """Drop the entries up to an index that a snapshot covers."""
        remaining = self._without(range(self.base_index + 1, index + 1))
        return replace(remaining, base_index=index, base_term=self.term_at(index))

    def _without(self, indexes: range) -> "RaftLog":
        """Return the log without the entries at some indexes."""
        entries = self.entries
        size = self.size
        for index in indexes:
            size -= _estimate_entry_size(entries[index])
            entries = entries.delete(index)
        return replace(self, entries=entries, size=size)

    def next_batch(self, start: int) -> tuple[LogEntry, ...]:
        """Return the entries from an index on that fit into one message.

        The first one is always returned, whatever its size.
        """
        entries = self.slice(start, MAX_BATCH_ENTRIES)
        size = 0
        for count, entry in enumerate(entries):
            size += _estimate_entry_size(entry)
            if count and size > MAX_BATCH_BYTES:
                return entries[:count]
        return entries

    def slice(self, start: int, limit: int) -> tuple[LogEntry, ...]:
        """Return up to `limit` entries from an index on."""
        end = min(self.last_index, start + limit - 1)
        return tuple(self.entries[index] for index in range(start, end + 1))


def _estimate_entry_size(entry: LogEntry) -> int:
    return estimate_size(entry.proposal.command)


@dataclass(frozen=True, slots=True)
class Progress:
    """Replication progress of one peer, as recorded by the leader.

    Attributes
    ----------
    next_index : int
        Index of the first entry to send next.
    match_index : int
        Index of the last entry known to be on the peer's disk.
    round : int
        Latest heartbeat round that the peer has answered.
    disk : str
        Identity of the peer's disk; empty before its first answer.
    in_flight_since : float
        Send time of the unanswered batch, in monotonic seconds; 0 for none.
    answered_at : float
        Arrival time of its last answer, in monotonic seconds.
    """

    next_index: int
    match_index: int = 0
    round: int = 0
    disk: str = ""
    in_flight_since: float = 0.0
    answered_at: float = 0.0


@dataclass(frozen=True, slots=True)
class RaftState:
    """Consensus state of one control VM.

    Attributes
    ----------
    me : str
        The name of this VM.
    disk : str
        Identity of the disk that holds the data folder.
    peers : tuple of str
        The other known control VMs, voters or not.
    seed : int
        Seed of the next random election timeout.
    bootstrap_members : tuple of str
        The VMs, including this one, that may bootstrap a fleet together; empty
        if this VM may only join an existing fleet.
    voted_for : str
        The VM that received this VM's vote in `term`; empty for none.
    leader : str
        The leader of `term`; empty if unknown.
    configs : tuple of VoterConfig
        Voter configurations by their first log index, oldest first.
    commit_index : int
        Index of the last entry known to be committed.
    last_applied : int
        Index of the last committed entry that was applied to the catalogue.
    votes : frozenset of str
        The VMs that have granted a vote, or a pre-vote, in this attempt.
    may_overlap_earlier_lease : bool
        Whether one of `votes` came from a voter without contact with a leader since
        its start, which may have lost the record of one that still holds its lease.
    progress : Map of str to Progress
        Replication progress of each peer, recorded while this VM is the leader.
    disks : Map of str to str
        Disk identities of the peers that answered a probe, by name.
    round : int
        Number of the latest heartbeat round sent.
    election_due_at : float
        Time of the next pre-vote or election, in monotonic seconds; 0 if not set.
    heartbeat_due_at : float
        Time of the leader's next heartbeat or of a joining VM's next probe.
    leader_contact_at : float
        Time of the last contact with a leader, or of this VM's own election; 0
        for none in this run.
    pre_vote_attempts : int
        Number of pre-votes started in this run.
    elected_at : float
        Time of this VM's last election as leader.
    round_times : Map of int to float
        Send time of each heartbeat round that a majority has not answered yet,
        and of the latest round that it has.
    """

    me: str
    disk: str
    peers: tuple[str, ...]
    seed: int
    bootstrap_members: tuple[str, ...] = ()
    role: RaftRole = RaftRole.JOINING
    term: int = 0
    voted_for: str = ""
    leader: str = ""
    log: RaftLog = field(default_factory=RaftLog)
    configs: tuple[VoterConfig, ...] = ()
    commit_index: int = 0
    last_applied: int = 0
    votes: frozenset[str] = frozenset()
    may_overlap_earlier_lease: bool = False
    progress: Map = field(default_factory=Map)
    disks: Map = field(default_factory=Map)
    round: int = 0
    election_due_at: float = 0.0
    heartbeat_due_at: float = 0.0
    leader_contact_at: float = 0.0
    pre_vote_attempts: int = 0
    elected_at: float = 0.0
    round_times: Map = field(default_factory=Map)

    @property
    def voters(self) -> tuple[ControlVoter, ...]:
        """The voters in force: those of the last entry that changes them."""
        return self.configs[-1].voters if self.configs else ()

    @property
    def is_voter(self) -> bool:
        """Whether this VM, with its current disk, is a voter."""
        return ControlVoter(self.me, self.disk) in self.voters

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def is_leader(self) -> bool:
        """Whether this VM is the leader."""
        return self.role is RaftRole.LEADER


def add_peers(raft: RaftState, names: Iterable[str]) -> RaftState:
    """Return the state with the named control VMs added to the peers."""
    known = set(raft.peers) | {raft.me, ""}
    new_names = tuple(sorted({name for name in names if name not in known}))
    if not new_names:
        return raft
    progress = raft.progress
    if raft.is_leader:
        for name in new_names:
            progress = progress.set(name, Progress(raft.log.last_index + 1))
    return replace(raft, peers=raft.peers + new_names, progress=progress)


def add_voter_peers(raft: RaftState) -> RaftState:
    """Return the state with the voters in force added to the peers."""
    return add_peers(raft, (voter.name for voter in raft.voters))


def remove_peers(raft: RaftState, names: Iterable[str]) -> RaftState:
    """Return the state without the named peers."""
    removed = set(names)
    if not removed:
        return raft
    progress = raft.progress
    for name in removed:
        if name in progress:
            progress = progress.delete(name)
    peers = tuple(peer for peer in raft.peers if peer not in removed)
    return replace(raft, peers=peers, progress=progress)


def extend_configs(
    configs: tuple[VoterConfig, ...], entries: tuple[LogEntry, ...]
) -> tuple[VoterConfig, ...]:
    """Return the voter configurations with the changes among `entries` added."""
    new_configs = tuple(
        VoterConfig(entry.index, entry.proposal.command.voters)
        for entry in entries
        if isinstance(entry.proposal.command, ChangeControlVoters)
    )
    return configs + new_configs


@dataclass(frozen=True, slots=True)
class RaftStep:
    """Result of one step of consensus.

    Attributes
    ----------
    raft : RaftState
        The state after the step.
    effects : tuple of Effect
        Persisting effects come before the messages that depend on them.
    """

    raft: RaftState
    effects: tuple[Effect, ...] = ()

    def then(self, following: "RaftStep") -> "RaftStep":
        """Return a step with the effects of both, in order."""
        return RaftStep(following.raft, self.effects + following.effects)
