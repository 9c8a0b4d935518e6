"""Changes of term, and the schedule of elections."""

from lovagewalk.core import draw, replace

from ._effects import PersistVote
from ._state import (
    ELECTION_MAX_S,
    ELECTION_MIN_S,
    FIRST_ELECTION_MAX_S,
    FIRST_ELECTION_MIN_S,
    FIRST_RETRY_MAX_S,
    FIRST_RETRY_MIN_S,
    FIRST_TRIES,
    RaftState,
    RaftStep,
    Standing,
)


def postpone_election(raft: RaftState, now: float) -> RaftState:
    """Set a new random time for the next election."""
    return _postpone(raft, now, ELECTION_MIN_S, ELECTION_MAX_S)


def postpone_first_election(raft: RaftState, now: float) -> RaftState:
    """Set a random time for the next pre-vote, an early one after a start.

    A VM without contact with a leader in this run need not wait for a slow one,
    since a pre-vote deposes no leader.
    """
    return _postpone_first(raft, now, FIRST_ELECTION_MIN_S, FIRST_ELECTION_MAX_S)


def postpone_retry(raft: RaftState, now: float) -> RaftState:
    """Set a random time for the next attempt, in case this election fails.

    After a loss of power of all VMs, candidates often split the votes, and no VM
    admits requests until one of them is elected.
    """
    return _postpone_first(raft, now, FIRST_RETRY_MIN_S, FIRST_RETRY_MAX_S)


def _postpone_first(
    raft: RaftState, now: float, least_s: float, most_s: float
) -> RaftState:
    """Set a full election timeout, or a short one before any contact with a leader.

    Over slow links, short timeouts would end each attempt before its replies
    arrive, so they double with each attempt after the first `FIRST_TRIES`.
    """
    if raft.heard_at:
        return postpone_election(raft, now)
    factor = 2 ** max(raft.tries - FIRST_TRIES, 0)
    least_s = min(least_s * factor, ELECTION_MIN_S)
    most_s = min(most_s * factor, ELECTION_MAX_S)
    return _postpone(raft, now, least_s, most_s)


def _postpone(raft: RaftState, now: float, least_s: float, most_s: float) -> RaftState:
    drawn = draw(raft.seed)
    delay_s = least_s + drawn.value * (most_s - least_s)
    return replace(raft, seed=drawn.seed, election_at=now + delay_s)


def step_down(raft: RaftState, term: int, now: float) -> RaftStep:
    """Adopt a higher term as a follower without a leader."""
    raft = replace(
        postpone_election(raft, now),
        standing=Standing.FOLLOWER,
        term=term,
        voted_for="",
        leader="",
        votes=frozenset(),
    )
    return RaftStep(raft, (PersistVote(term, ""),))
