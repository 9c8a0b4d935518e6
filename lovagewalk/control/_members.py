"""Adds new control VMs to the voters and replaces lost ones, one at a time.

A VM that returned with another disk has lost its log. It is removed from the
voters first, receives the log as a learner, and is added once it has caught up. A
new VM replaces the voter that has been silent longest. Each step changes one voter,
so the majorities before and after it share a VM.
"""

from lovagewalk.catalogue import ChangeControlVoters, ControlVoter
from lovagewalk.consensus import RaftState, remove_peers
from lovagewalk.core import Step, replace
from lovagewalk.node import NodeState
from lovagewalk.records import VotersChanged

from . import _proposals

# A learner that answered within this time is reachable; the longest election is
# shorter.
ANSWERING_S = 1.0
# Fewer than one heartbeat sends.
CAUGHT_UP_ENTRIES = 10
# Two disks may be lost at once; of five voters a majority remains.
MAX_VOTERS = 5
# Longer than a restart or a freeze, after which a voter returns with its disk.
VOTER_SILENT_S = 4.0
# A peer without a vote that is silent for this long is not dialled any more.
PEER_REMOVAL_S = 30.0


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Propose the next single change of voters, if one is due."""
    raft = remove_peers(state.consensus, _silent_peers(state.consensus, now))
    state = replace(state, consensus=raft)
    if (
        raft.configs[-1].index > raft.commit_index
        or raft.log.term_at(raft.commit_index) != raft.term
    ):
        return Step(state)
    voters = desired_voters(raft, now)
    if voters == raft.voters:
        return Step(state)
    record = VotersChanged(
        before=", ".join(voter.name for voter in raft.voters),
        after=", ".join(voter.name for voter in voters),
    )
    step = _proposals.propose_command(state, ChangeControlVoters(voters), now)
    return Step(step.state, (record,) + step.effects)


def _silent_peers(raft: RaftState, now: float) -> list[str]:
    """Return the peers without a vote that have been silent for `FORGET_PEER_S`."""
    names = {voter.name for voter in raft.voters}
    return [
        peer
        for peer in raft.peers
        if peer not in names
        and now - max(raft.progress[peer].answered_at, raft.elected_at) > PEER_REMOVAL_S
    ]


def desired_voters(raft: RaftState, now: float) -> tuple[ControlVoter, ...]:
    """Return the voters that there should be, with one change at most."""
    for voter in raft.voters:
        progress = raft.progress.get(voter.name)
        if progress is not None and progress.disk not in ("", voter.disk):
            return _without(raft, voter)
    learner = _caught_up_learner(raft, now)
    if learner is None:
        return raft.voters
    if len(raft.voters) < MAX_VOTERS:
        return tuple(sorted(raft.voters + (learner,)))
    silent = _longest_silent(raft, now)
    return raft.voters if silent is None else _without(raft, silent)


def _without(raft: RaftState, voter: ControlVoter) -> tuple[ControlVoter, ...]:
    return tuple(other for other in raft.voters if other != voter)


def _caught_up_learner(raft: RaftState, now: float) -> ControlVoter | None:
    names = {voter.name for voter in raft.voters}
    for peer in raft.peers:
        progress = raft.progress[peer]
        if peer in names or not progress.disk:
            continue
        behind = raft.log.last_index - progress.match_index
        answering = now - progress.answered_at < ANSWERING_S
        if answering and behind <= CAUGHT_UP_ENTRIES:
            return ControlVoter(peer, progress.disk)
    return None


def _longest_silent(raft: RaftState, now: float) -> ControlVoter | None:
    silent = [
        (raft.progress[voter.name].answered_at, voter)
        for voter in raft.voters
        if voter.name != raft.me
        and now - raft.progress[voter.name].answered_at >= VOTER_SILENT_S
    ]
    return min(silent)[1] if silent else None
