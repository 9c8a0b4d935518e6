"""The state of one daemon, shared by all packages."""

from ._state import AccessKey, DrainLimits, Identity, NodeState, is_narrow_link

__all__ = ["AccessKey", "DrainLimits", "Identity", "NodeState", "is_narrow_link"]
