"""Adds new control VMs to the voters and replaces lost ones, one at a time.

A VM that returned with another disk has lost its log. It is removed from the
voters first, receives the log as a learner, and is added once it has caught up. A
new VM replaces the voter that has been unresponsive longest. Each step changes one
voter, so the majorities before and after it share a VM.
"""

from lovagewalk.catalogue import ChangeControlVoters, ControlVoter
from lovagewalk.consensus import RaftState, has_committed_in_term, remove_peers
from lovagewalk.core import Step, replace
from lovagewalk.node import NodeState
from lovagewalk.records import VotersChanged

from . import _proposals

# A learner that answered within this time is reachable; the longest election is
# shorter.
LEARNER_REACHABLE_S = 1.0
# A learner that lacks so few entries receives all of them with one heartbeat.
CAUGHT_UP_ENTRIES = 10
# Two disks may be lost at once; of five voters a majority remains.
MAX_VOTERS = 5
# A restart or a suspension takes less time, and the voter returns with its disk.
VOTER_UNRESPONSIVE_S = 4.0
# The leader stops contacting a peer without a vote that is unresponsive for this long.
PEER_REMOVAL_S = 30.0


def tick(state: NodeState, now: float) -> Step[NodeState]:
    """Propose the next single change of voters, if one is due."""
    raft = remove_peers(state.consensus, _unresponsive_peers(state.consensus, now))
    state = replace(state, consensus=raft)
    # The last change and an entry of this leader's term have to be committed first.
    if raft.configs[-1].index > raft.commit_index or not has_committed_in_term(raft):
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


def _unresponsive_peers(raft: RaftState, now: float) -> list[str]:
    """Return the peers without a vote that did not answer for `PEER_REMOVAL_S`."""
    voter_names = {voter.name for voter in raft.voters}
    return [
        peer
        for peer in raft.peers
        if peer not in voter_names
        and now - max(raft.progress[peer].answered_at, raft.elected_at) > PEER_REMOVAL_S
    ]


def desired_voters(raft: RaftState, now: float) -> tuple[ControlVoter, ...]:
    """Return the voters that there should be, with one change at most."""
    for voter in raft.voters:
        progress = raft.progress.get(voter.name)
        if progress is not None and progress.disk not in ("", voter.disk):
            return _remove_voter(raft, voter)
    learner = _caught_up_learner(raft, now)
    if learner is None:
        return raft.voters
    if len(raft.voters) < MAX_VOTERS:
        return tuple(sorted(raft.voters + (learner,)))
    unresponsive = _longest_unresponsive(raft, now)
    return raft.voters if unresponsive is None else _remove_voter(raft, unresponsive)


def _remove_voter(raft: RaftState, voter: ControlVoter) -> tuple[ControlVoter, ...]:
    return tuple(other for other in raft.voters if other != voter)


def _caught_up_learner(raft: RaftState, now: float) -> ControlVoter | None:
    voter_names = {voter.name for voter in raft.voters}
    for peer in raft.peers:
        progress = raft.progress[peer]
        if peer in voter_names or not progress.disk:
            continue
        lag_entries = raft.log.last_index - progress.match_index
        is_reachable = now - progress.answered_at < LEARNER_REACHABLE_S
        if is_reachable and lag_entries <= CAUGHT_UP_ENTRIES:
            return ControlVoter(peer, progress.disk)
    return None


def _longest_unresponsive(raft: RaftState, now: float) -> ControlVoter | None:
    unresponsive = [
        (raft.progress[voter.name].answered_at, voter)
        for voter in raft.voters
        if voter.name != raft.me
        and now - raft.progress[voter.name].answered_at >= VOTER_UNRESPONSIVE_S
    ]
    return min(unresponsive)[1] if unresponsive else None
