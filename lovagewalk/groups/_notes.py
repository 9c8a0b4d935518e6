"""What statements at endpoints tell about their group."""

from lovagewalk.core import replace
from lovagewalk.node import NodeState

from ._policy import add_proof
from ._state import GroupView, Lacking, Position

# Replicas of the users' sites are 8 to 60 ms behind.
LACKING_S = 0.06
# Control needs two polls without an answer, 0.6 s, before it replaces a primary.
CUT_OFF_AFTER_S = 0.8
# A failover begins within this time, if the primary is lost to others too.
CUT_OFF_FOR_S = 0.5


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
    view = replace(view, trouble_at=0.0, trouble_since=0.0)
    return _put(state, view)


def note_trouble(state: NodeState, group: str, now: float) -> NodeState:
    """Note that the primary failed a statement."""
    view = view_of(state, group)
    since = view.trouble_since or now
    return _put(state, replace(view, trouble_at=now, trouble_since=since))


def is_cut_off(state: NodeState, group: str, now: float) -> bool:
    """Whether this daemon alone seems not to reach a primary.

    Control would have begun to replace it by now, if others did not reach it
    either. The last failure counts for a while only, so that a later request
    finds out whether it is over.
    """
    view = state.groups.get(group)
    config = state.catalogue.group(group)
    if view is None or not view.trouble_since or config.fence > config.settled_fence:
        return False
    lasting = now - view.trouble_since >= CUT_OFF_AFTER_S
    return lasting and now - view.trouble_at < CUT_OFF_FOR_S


def note_lacking(
    state: NodeState, group: str, endpoint: str, position: Position, now: float
) -> NodeState:
    """Note that an endpoint lacks a position."""
    view = view_of(state, group)
    lacking = Lacking(position, now + LACKING_S)
    return _put(state, replace(view, lacking=view.lacking.set(endpoint, lacking)))
