"""The state of one daemon, shared by all packages."""

from ._state import AccessKey, Identity, NodeState

__all__ = ["AccessKey", "Identity", "NodeState"]
