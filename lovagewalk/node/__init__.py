"""The state of one daemon, shared by all rooms."""

from ._notes import NoteBelief, note
from ._state import AccessKey, Identity, NodeState

__all__ = ["AccessKey", "Identity", "NodeState", "NoteBelief", "note"]
