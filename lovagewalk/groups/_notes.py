"""What statements at endpoints tell about their group."""

from lovagewalk.core import replace
from lovagewalk.node import NodeState

from ._policy import add_proof
from ._state import GroupView, Lacking, Position

# Replicas of the sheets are 8 to 60 ms behind.
LACKING_S = 0.06


def view_of(state: NodeState, group: str) -> GroupView:
    """Return a group's view, an empty one if there is none yet."""
    return state.groups.get(group) or GroupView(group)


def _put(state: NodeState, view: GroupView) -> NodeState:
    return replace(state, groups=state.groups.set(view.name, view))


def note_proof(
    state: NodeState, group: str, term: int, sent_at: float, position: Position
) -> NodeState:
    """Note that the primary of a term answered as such."""
    if state.catalogue.group(group).term != term:
        return state
    view = add_proof(view_of(state, group), sent_at, position)
    return _put(state, replace(view, served_at=sent_at, trouble_at=0.0))


def note_trouble(state: NodeState, group: str, now: float) -> NodeState:
    """Note that the primary failed a statement."""
    return _put(state, replace(view_of(state, group), trouble_at=now))


def note_lacking(
    state: NodeState, group: str, endpoint: str, position: Position, now: float
) -> NodeState:
    """Note that an endpoint lacks a position."""
    view = view_of(state, group)
    lacking = Lacking(position, now + LACKING_S)
    return _put(state, replace(view, lacking=view.lacking.set(endpoint, lacking)))
