"""Messages between control VMs, and the entries of the control log."""

from dataclasses import dataclass

from lovagewalk.catalogue import Catalogue, ControlVoter, Proposal


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the control log."""

    index: int
    term: int
    proposal: Proposal


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks a control VM whether the fleet exists already; sent by new VMs.

    Attributes
    ----------
    disk : str
        Identity of the sender's data folder.
    """

    disk: str


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Answers a probe.

    Attributes
    ----------
    voters : tuple of ControlVoter
        Oldest voter configuration of the sender; empty if it has none yet.
    leader : str
        The leader, which can add the VM to the voters; empty if unknown.
    """

    disk: str
    voters: tuple[ControlVoter, ...]
    leader: str = ""


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote, or with `pre` a pre-vote, which is not persisted."""

    term: int
    last_index: int
    last_term: int
    pre: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Grants or denies a vote.

    Attributes
    ----------
    remembers : bool
        Whether the voter has had contact with a leader since it started. A voter
        without such contact may have lost the record of a leader that still holds
        its lease.
    """

    term: int
    granted: bool
    pre: bool
    disk: str
    remembers: bool = False


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates entries; without any it is a heartbeat.

    Attributes
    ----------
    round : int
        Number of the heartbeat round. The reply echoes it, so that the leader
        can tell which round a quorum has answered.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an append request or a snapshot request.

    Attributes
    ----------
    index : int
        On success the last index known to match; on failure the index from which
        the leader sends next, or 0 if the term of the request is out of date.
    """

    term: int
    success: bool
    index: int
    round: int
    disk: str


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Replaces the log of a peer whose next entry the leader has compacted away."""

    term: int
    index: int
    index_term: int
    voters: tuple[ControlVoter, ...]
    catalogue: Catalogue
    round: int
