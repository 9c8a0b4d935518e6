"""Whether a draining daemon still accepts operations."""

from lovagewalk.node import NodeState


def refuses_operations(state: NodeState, now: float) -> bool:
    """Whether this daemon is draining and no longer accepts new operations."""
    return state.draining and now - state.draining_since >= state.identity.drain_s
