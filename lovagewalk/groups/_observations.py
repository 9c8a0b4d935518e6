"""Updates of a group's view from the results of statements at its endpoints."""

from lovagewalk.core import replace
from lovagewalk.node import NodeState

from ._policy import add_proof
from ._state import GroupView, MissingPosition, Position

# A position reported as not applied counts as missing for this time, the largest lag of
# replicas at the users' sites, which is 8 to 60 ms.
MISSING_POSITION_S = 0.06
# Longer than the 0.6 s after which control replaces a primary: two of the control
# leader's polls without an answer.
ISOLATED_AFTER_S = 0.8
# A failover begins within this time if other daemons cannot reach the primary either.
ISOLATED_FOR_S = 0.5


def get_view(state: NodeState, group: str) -> GroupView:
    """Return a group's view, an empty one if there is none yet."""
    return state.groups.get(group) or GroupView(group)


def _store_view(state: NodeState, view: GroupView) -> NodeState:
    return replace(state, groups=state.groups.set(view.name, view))


def record_primary_proof(
    state: NodeState, group: str, term: int, sent_at: float, position: Position
) -> NodeState:
    """Record that an instance answered as the primary of a term."""
    if state.catalogue.group(group).term != term:
        return state
    view = add_proof(get_view(state, group), sent_at, position)
    view = replace(view, failed_at=0.0, failing_since=0.0)
    return _store_view(state, view)


def record_primary_failure(state: NodeState, group: str, now: float) -> NodeState:
    """Record that a statement failed at the primary."""
    view = get_view(state, group)
    since = view.failing_since or now
    return _store_view(state, replace(view, failed_at=now, failing_since=since))


def is_isolated_from_primary(state: NodeState, group: str, now: float) -> bool:
    """Whether apparently only this daemon cannot reach a primary.

    If others could not reach it either, control would have begun to replace it.
    The last failure counts for `ISOLATED_FOR_S` only, so that a later request
    tests the primary again.
    """
    view = state.groups.get(group)
    config = state.catalogue.group(group)
    if view is None or not view.failing_since or config.fence > config.settled_fence:
        return False
    is_lasting = now - view.failing_since >= ISOLATED_AFTER_S
    return is_lasting and now - view.failed_at < ISOLATED_FOR_S


def record_missing_position(
    state: NodeState, group: str, endpoint: str, position: Position, now: float
) -> NodeState:
    """Record that an endpoint has not yet applied a position."""
    view = get_view(state, group)
    missing = MissingPosition(position, now + MISSING_POSITION_S)
    return _store_view(
        state,
        replace(view, missing_positions=view.missing_positions.set(endpoint, missing)),
    )
