"""Updates of a group's view from the results of statements at its endpoints."""

from lovagewalk.core import replace
from lovagewalk.node import NodeState

from ._policy import add_proof
from ._state import GroupView, MissingPosition, Position

# A position reported as not applied counts as missing for this time, the largest lag of
# replicas at the users' sites, which is 8 to 60 ms.
MISSING_POSITION_S = 0.06
# Longer than the 0.6 s (two polls without an answer) after which control replaces a
# primary.
CUT_OFF_AFTER_S = 0.8
# A failover begins within this time if other daemons cannot reach the primary either.
CUT_OFF_FOR_S = 0.5


def view_of(state: NodeState, group: str) -> GroupView:
    """Return a group's view, an empty one if there is none yet."""
    return state.groups.get(group) or GroupView(group)


def _store_view(state: NodeState, view: GroupView) -> NodeState:
    return replace(state, groups=state.groups.set(view.name, view))


def note_proof(
    state: NodeState, group: str, term: int, sent_at: float, position: Position
) -> NodeState:
    """Record that an instance answered as the primary of a term."""
    if state.catalogue.group(group).term != term:
        return state
    view = add_proof(view_of(state, group), sent_at, position)
    view = replace(view, failed_at=0.0, failing_since=0.0)
    return _store_view(state, view)


def note_trouble(state: NodeState, group: str, now: float) -> NodeState:
    """Record that a statement failed at the primary."""
    view = view_of(state, group)
    since = view.failing_since or now
    return _store_view(state, replace(view, failed_at=now, failing_since=since))


def is_cut_off(state: NodeState, group: str, now: float) -> bool:
    """Whether apparently only this daemon cannot reach a primary.

    If others could not reach it either, control would have begun to replace it.
    The last failure counts for `CUT_OFF_FOR_S` only, so that a later request
    tests the primary again.
    """
    view = state.groups.get(group)
    config = state.catalogue.group(group)
    if view is None or not view.failing_since or config.fence > config.settled_fence:
        return False
    lasting = now - view.failing_since >= CUT_OFF_AFTER_S
    return lasting and now - view.failed_at < CUT_OFF_FOR_S


def note_lacking(
    state: NodeState, group: str, endpoint: str, position: Position, now: float
) -> NodeState:
    """Record that an endpoint has not yet applied a position."""
    view = view_of(state, group)
    lacking = MissingPosition(position, now + MISSING_POSITION_S)
    return _store_view(
        state, replace(view, lacking=view.lacking.set(endpoint, lacking))
    )
