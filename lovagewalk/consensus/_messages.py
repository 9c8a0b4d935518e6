"""Messages between control VMs, and entries of their log."""

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
    """Asks a control VM, at a first start, whether the fleet exists already.

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
        The voters that the sender started from; empty if it has none yet.
    leader : str
        Whom to ask to be taken in; empty if unknown.
    """

    disk: str
    voters: tuple[ControlVoter, ...]
    leader: str = ""


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with `pre` whether a vote would be given."""

    term: int
    last_index: int
    last_term: int
    pre: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Gives or denies a vote.

    Attributes
    ----------
    remembers : bool
        Whether the voter has heard a leader since it started, and so has not
        forgotten one that may still hold its lease.
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
        Echoed by the reply, so that the leader knows which heartbeat a quorum
        has answered.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an append or a snapshot.

    Attributes
    ----------
    index : int
        On success the last index known to match; otherwise where to go on.
    """

    term: int
    success: bool
    index: int
    round: int
    disk: str


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Replaces the log of a control VM that is too far behind."""

    term: int
    index: int
    index_term: int
    voters: tuple[ControlVoter, ...]
    catalogue: Catalogue
    round: int
