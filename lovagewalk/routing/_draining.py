"""What a draining daemon still accepts, and when its requests have to be answered."""

import math

from lovagewalk.core import replace
from lovagewalk.node import DrainLimits, NodeState
from lovagewalk.sessions import Session

# Part of the time to stop in which open transactions may continue; the users' platform
# promises them half of it.
TRANSACTION_FRACTION = 0.6
# Reserved for sending the last answers and for the exit of the process on a busy VM.
ANSWER_MARGIN_S = 1.0


def plan_drain(grace_s: float, rotation_s: float) -> DrainLimits:
    """Return the limits of a drain after which the process is killed.

    Parameters
    ----------
    grace_s : float
        Time from the stop signal until the process is killed, in seconds.
    rotation_s : float
        Time until a load balancer sends no new callers, in seconds.
    """
    answers_s = max(grace_s - ANSWER_MARGIN_S, 0.0)
    transactions_s = min(grace_s * TRANSACTION_FRACTION, answers_s)
    return DrainLimits(min(rotation_s, transactions_s), transactions_s, answers_s)


def begin_drain(state: NodeState, now: float) -> NodeState:
    """Return the state of a daemon that drains from now on.

    A repeated request to drain changes nothing, since the process ends at the limit of
    the first one.
    """
    if state.draining:
        return state
    state = replace(state, draining=True, draining_since=now)
    deadline = answer_deadline(state)
    requests = state.requests
    for req, request in state.requests.items():
        if request.deadline > deadline:
            requests = requests.set(req, replace(request, deadline=deadline))
    return replace(state, requests=requests)


def answer_deadline(state: NodeState) -> float:
    """Return when a drain requires every request to be answered; infinite without one.

    The process ends soon afterwards and cuts every connection.
    """
    if not state.draining:
        return math.inf
    return state.draining_since + state.identity.drain_limits.answers_s


def refuses_operations(state: NodeState, now: float) -> bool:
    """Whether this daemon is draining and no longer accepts new operations."""
    limit_s = state.identity.drain_limits.operations_s
    return state.draining and now - state.draining_since >= limit_s


def refuses_transactions(state: NodeState, now: float) -> bool:
    """Whether this daemon is draining and no longer continues open transactions."""
    limit_s = state.identity.drain_limits.transactions_s
    return state.draining and now - state.draining_since >= limit_s


def refuses_statements(state: NodeState, session: Session, now: float) -> bool:
    """Whether the drain of this daemon refuses the next statement of a session."""
    if session.in_transaction:
        return refuses_transactions(state, now)
    return refuses_operations(state, now)
