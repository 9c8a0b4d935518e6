"""Elections: pre-votes, votes, and the bootstrap of a new fleet."""

from collections.abc import Iterable

from immutables import Map

from lovagewalk.catalogue import (
    ChangeControlVoters,
    ControlVoter,
    NoChange,
    control_proposal,
)
from lovagewalk.core import replace

from . import _messages as msg
from ._effects import PersistVote, PersistVoters, SendToPeer
from ._replication import append_proposals
from ._state import (
    ELECTION_TIMEOUT_MIN_S,
    Progress,
    RaftRole,
    RaftState,
    RaftStep,
    VoterConfig,
    add_peers,
    add_voter_peers,
)
from ._terms import (
    reset_election_timer,
    reset_pre_vote_timer,
    reset_retry_timer,
    step_down,
)


def broadcast(raft: RaftState, message: object, names: Iterable[str]) -> RaftStep:
    """Send a message to the named control VMs."""
    return RaftStep(raft, tuple(SendToPeer(name, message) for name in names))


def _send_to_voters(raft: RaftState, message: object) -> RaftStep:
    names = (voter.name for voter in raft.voters if voter.name != raft.me)
    return broadcast(raft, message, names)


def send_probes(raft: RaftState) -> RaftStep:
    """Bootstrap a fleet if this VM can, and ask the peers for an existing one.

    The leader of an existing fleet adds this VM to its peers, then to the voters.
    """
    step = bootstrap_fleet(raft)
    return step.then(broadcast(step.raft, msg.Probe(raft.disk), raft.peers))


def bootstrap_fleet(raft: RaftState) -> RaftStep:
    """Bootstrap the fleet once every other initial member reports no voters."""
    others = [name for name in raft.bootstrap_members if name != raft.me]
    if raft.configs or raft.me not in raft.bootstrap_members:
        return RaftStep(raft)
    if any(name not in raft.disks for name in others):
        return RaftStep(raft)
    voters = [ControlVoter(raft.me, raft.disk)]
    voters += [ControlVoter(name, raft.disks[name]) for name in others]
    return adopt_initial_voters(raft, tuple(sorted(voters)))


def adopt_initial_voters(raft: RaftState, voters: tuple[ControlVoter, ...]) -> RaftStep:
    """Adopt the initial voters; they are persisted before they take effect."""
    raft = replace(raft, configs=(VoterConfig(0, voters),), role=RaftRole.FOLLOWER)
    return RaftStep(raft, (PersistVoters(voters),))


def on_probe(raft: RaftState, peer: str, message: msg.Probe) -> RaftStep:
    """Answer a probe with the oldest voter configuration of this VM."""
    voters = raft.voters if raft.log.last_index == 0 else ()
    has_entries = raft.configs and raft.log.last_index > 0
    if has_entries:
        voters = raft.configs[0].voters
    reply = msg.ProbeReply(raft.disk, voters, raft.leader)
    return RaftStep(raft, (SendToPeer(peer, reply),))


def on_probe_reply(raft: RaftState, peer: str, message: msg.ProbeReply) -> RaftStep:
    """Record the disk of a peer without voters, or join the fleet it reports."""
    raft = add_peers(raft, (message.leader, *(v.name for v in message.voters)))
    if raft.configs:
        return RaftStep(raft)
    if message.voters:
        if ControlVoter(raft.me, raft.disk) in message.voters:
            return adopt_initial_voters(raft, message.voters)
        return RaftStep(raft)
    raft = replace(raft, disks=raft.disks.set(peer, message.disk))
    return bootstrap_fleet(raft)


def start_pre_vote(raft: RaftState, now: float) -> RaftStep:
    """Ask whether an election could be won, without raising the term.

    A VM that is not a voter probes its peers instead, to be added to the voters.
    """
    raft = reset_pre_vote_timer(
        replace(raft, pre_vote_attempts=raft.pre_vote_attempts + 1), now
    )
    if not raft.is_voter:
        return send_probes(raft)
    raft = replace(raft, role=RaftRole.PRE_CANDIDATE, leader="")
    raft = replace(raft, votes=frozenset((raft.me,)))
    if len(raft.votes) >= raft.quorum:
        return start_election(raft, now)
    return _send_to_voters(raft, _build_vote_request(raft, raft.term + 1, True))


def start_election(raft: RaftState, now: float) -> RaftStep:
    """Start a new term, vote for this VM and request the votes of the others."""
    raft = replace(
        reset_retry_timer(raft, now),
        role=RaftRole.CANDIDATE,
        term=raft.term + 1,
        voted_for=raft.me,
        votes=frozenset((raft.me,)),
        may_overlap_earlier_lease=not raft.leader_contact_at,
        leader="",
    )
    step = RaftStep(raft, (PersistVote(raft.term, raft.me),))
    if len(raft.votes) >= raft.quorum:
        return step.then(become_leader(raft, now))
    return step.then(_send_to_voters(raft, _build_vote_request(raft, raft.term, False)))


def _build_vote_request(raft: RaftState, term: int, pre: bool) -> msg.VoteRequest:
    return msg.VoteRequest(term, raft.log.last_index, raft.log.last_term, pre)


def on_vote_request(
    raft: RaftState, peer: str, message: msg.VoteRequest, now: float
) -> RaftStep:
    """Grant or deny a vote.

    No vote is granted within the minimum election timeout after contact with a
    leader, so that a VM that returns from a partition does not depose it.
    """
    has_recent_leader = (
        raft.leader and now - raft.leader_contact_at < ELECTION_TIMEOUT_MIN_S
    )
    if has_recent_leader or raft.is_leader:
        if message.term > raft.term or message.pre:
            return _reply_vote(raft, peer, False, message.pre)
    if message.pre:
        granted = message.term > raft.term and _is_log_up_to_date(raft, message)
        if granted:
            # The delay gives the first candidate time to win the election.
            raft = reset_pre_vote_timer(raft, now)
        return _reply_vote(raft, peer, granted, True)
    step = RaftStep(raft)
    if message.term > raft.term:
        step = step_down(raft, message.term, now)
        raft = step.raft
    granted = (
        message.term == raft.term
        and raft.voted_for in ("", peer)
        and _is_log_up_to_date(raft, message)
    )
    if granted and not raft.voted_for:
        raft = replace(reset_election_timer(raft, now), voted_for=peer)
        step = step.then(RaftStep(raft, (PersistVote(raft.term, peer),)))
    return step.then(_reply_vote(raft, peer, granted, False))


def _is_log_up_to_date(raft: RaftState, message: msg.VoteRequest) -> bool:
    """Whether the log of a candidate is at least as up to date as that of this VM."""
    own_last_entry = (raft.log.last_term, raft.log.last_index)
    return (message.last_term, message.last_index) >= own_last_entry


def _reply_vote(raft: RaftState, peer: str, granted: bool, pre: bool) -> RaftStep:
    """Reply to a vote request; a VM that is not a voter grants no vote."""
    granted = granted and raft.is_voter
    reply = msg.VoteReply(
        raft.term, granted, pre, raft.disk, raft.leader_contact_at > 0
    )
    return RaftStep(raft, (SendToPeer(peer, reply),))


def on_vote_reply(
    raft: RaftState, peer: str, message: msg.VoteReply, now: float
) -> RaftStep:
    """Count a vote.

    A majority of pre-votes starts an election; a majority of votes wins it.
    """
    if message.term > raft.term:
        return step_down(raft, message.term, now)
    expected_role = RaftRole.PRE_CANDIDATE if message.pre else RaftRole.CANDIDATE
    is_voter = ControlVoter(peer, message.disk) in raft.voters
    if raft.role is not expected_role or not message.granted or not is_voter:
        return RaftStep(raft)
    if not message.pre and message.term != raft.term:
        return RaftStep(raft)
    raft = replace(raft, votes=raft.votes | {peer})
    if not message.remembers:
        raft = replace(raft, may_overlap_earlier_lease=True)
    if len(raft.votes) < raft.quorum:
        return RaftStep(raft)
    if message.pre:
        return start_election(raft, now)
    return become_leader(raft, now)


def become_leader(raft: RaftState, now: float) -> RaftStep:
    """Become leader and append an entry of the new term at once.

    Entries of earlier terms are committed only through one of the current term.
    """
    raft = add_voter_peers(raft)
    progress = Map(
        (peer, Progress(raft.log.last_index + 1, answered_at=now))
        for peer in raft.peers
    )
    raft = replace(
        raft,
        role=RaftRole.LEADER,
        leader=raft.me,
        progress=progress,
        leader_contact_at=now,
        elected_at=now,
        heartbeat_due_at=now,
        round_times=Map(),
    )
    command = NoChange()
    if raft.configs[-1].index == 0:
        command = ChangeControlVoters(raft.voters)
    return append_proposals(raft, (control_proposal(command),), now)
