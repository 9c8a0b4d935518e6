"""Whether a daemon that drains still takes operations."""

from lovagewalk.node import NodeState


def is_closed(state: NodeState, now: float) -> bool:
    """Whether this daemon drains and takes no new operations any more."""
    return state.draining and now - state.draining_since >= state.me.drain_s
