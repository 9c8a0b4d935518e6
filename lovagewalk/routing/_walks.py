"""Walks over the state, in which each step sees what the steps before it have changed.

A step may answer, move or send any request, not only the one that it is for, since a
connection that becomes free goes to the next in the queue. So a walk holds names, and
reads each record when its turn comes.
"""

from collections.abc import Callable
from operator import attrgetter
from typing import TypeVar

from immutables import Map

from lovagewalk.core import Step
from lovagewalk.node import NodeState
from lovagewalk.pools import Pool
from lovagewalk.sessions import Session
from lovagewalk.shares import Share

from ._state import Request

T = TypeVar("T")


def walk_requests(
    state: NodeState, visit: Callable[[NodeState, Request], Step[NodeState]]
) -> Step[NodeState]:
    """Visit each request that is in progress when its turn comes."""
    return _walk(state, attrgetter("requests"), visit)


def walk_sessions(
    state: NodeState, visit: Callable[[NodeState, Session], Step[NodeState]]
) -> Step[NodeState]:
    """Visit each session as it is when its turn comes."""
    return _walk(state, attrgetter("sessions"), visit)


def walk_pools(
    state: NodeState, visit: Callable[[NodeState, Pool], Step[NodeState]]
) -> Step[NodeState]:
    """Visit each endpoint's pool as it is when its turn comes."""
    return _walk(state, attrgetter("pools"), visit)


def walk_shares(
    state: NodeState, visit: Callable[[NodeState, Share], Step[NodeState]]
) -> Step[NodeState]:
    """Visit each customer's share as it is when its turn comes."""
    return _walk(state, attrgetter("shares"), visit)


def _walk(
    state: NodeState,
    get_records: Callable[[NodeState], Map],
    visit: Callable[[NodeState, T], Step[NodeState]],
) -> Step[NodeState]:
    step = Step(state)
    for name in get_records(state):
        record = get_records(step.state).get(name)
        if record is not None:
            step = step.then(visit(step.state, record))
    return step
