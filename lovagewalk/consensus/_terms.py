"""Terms and election times."""

from lovagewalk.core import draw, replace

from ._effects import PersistVote
from ._state import (
    ELECTION_MAX_S,
    ELECTION_MIN_S,
    FIRST_ELECTION_MAX_S,
    FIRST_ELECTION_MIN_S,
    RaftState,
    RaftStep,
    Standing,
)


def postpone_election(raft: RaftState, now: float) -> RaftState:
    """Set a new random time for the next election."""
    return _postpone(raft, now, ELECTION_MIN_S, ELECTION_MAX_S)


def postpone_first_election(raft: RaftState, now: float) -> RaftState:
    """Set a time for the next pre-vote, an early one after a start.

    A VM that has heard no leader in this run need not wait for one that may
    only be slow; a pre-vote deposes nobody.
    """
    if raft.heard_at:
        return postpone_election(raft, now)
    return _postpone(raft, now, FIRST_ELECTION_MIN_S, FIRST_ELECTION_MAX_S)


def _postpone(raft: RaftState, now: float, least_s: float, most_s: float) -> RaftState:
    drawn = draw(raft.seed)
    delay_s = least_s + drawn.value * (most_s - least_s)
    return replace(raft, seed=drawn.seed, election_at=now + delay_s)


def step_down(raft: RaftState, term: int, now: float) -> RaftStep:
    """Follow a higher term."""
    raft = replace(
        postpone_election(raft, now),
        standing=Standing.FOLLOWER,
        term=term,
        voted_for="",
        leader="",
        votes=frozenset(),
    )
    return RaftStep(raft, (PersistVote(term, ""),))
