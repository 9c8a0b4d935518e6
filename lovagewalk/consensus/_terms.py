"""Changes of term, and election timers."""

from lovagewalk.core import draw, replace

from ._effects import PersistVote
from ._state import (
    ATTEMPTS_BEFORE_BACKOFF,
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    FIRST_PRE_VOTE_DELAY_MAX_S,
    FIRST_PRE_VOTE_DELAY_MIN_S,
    FIRST_RETRY_DELAY_MAX_S,
    FIRST_RETRY_DELAY_MIN_S,
    RaftRole,
    RaftState,
    RaftStep,
)


def reset_election_timer(raft: RaftState, now: float) -> RaftState:
    """Set a new random time for the next election."""
    return _set_timer(raft, now, ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)


def reset_pre_vote_timer(raft: RaftState, now: float) -> RaftState:
    """Set a random time for the next pre-vote, an early one after a start.

    A VM without contact with a leader in this run need not wait for one that is
    slow to answer, since a pre-vote deposes no leader.
    """
    return _reset_short_timer(
        raft, now, FIRST_PRE_VOTE_DELAY_MIN_S, FIRST_PRE_VOTE_DELAY_MAX_S
    )


def reset_retry_timer(raft: RaftState, now: float) -> RaftState:
    """Set a random time for the next attempt, in case this election fails.

    After all VMs lose power, candidates often split the votes, and no VM
    admits requests until one of them is elected.
    """
    return _reset_short_timer(
        raft, now, FIRST_RETRY_DELAY_MIN_S, FIRST_RETRY_DELAY_MAX_S
    )


def _reset_short_timer(
    raft: RaftState, now: float, min_s: float, max_s: float
) -> RaftState:
    """Set a full election timeout, or a short one before any contact with a leader.

    Over slow links, short timeouts would end each attempt before its replies
    arrive, so they double with each attempt after the first `ATTEMPTS_BEFORE_BACKOFF`.
    """
    if raft.leader_contact_at:
        return reset_election_timer(raft, now)
    backoff_factor = 2 ** max(raft.pre_vote_attempts - ATTEMPTS_BEFORE_BACKOFF, 0)
    min_s = min(min_s * backoff_factor, ELECTION_TIMEOUT_MIN_S)
    max_s = min(max_s * backoff_factor, ELECTION_TIMEOUT_MAX_S)
    return _set_timer(raft, now, min_s, max_s)


def _set_timer(raft: RaftState, now: float, min_s: float, max_s: float) -> RaftState:
    drawn = draw(raft.seed)
    delay_s = min_s + drawn.value * (max_s - min_s)
    return replace(raft, seed=drawn.seed, election_due_at=now + delay_s)


def step_down(raft: RaftState, term: int, now: float) -> RaftStep:
    """Adopt a higher term as a follower without a leader."""
    raft = replace(
        reset_election_timer(raft, now),
        role=RaftRole.FOLLOWER,
        term=term,
        voted_for="",
        leader="",
        votes=frozenset(),
    )
    return RaftStep(raft, (PersistVote(term, ""),))
