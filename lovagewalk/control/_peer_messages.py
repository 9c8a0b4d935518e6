"""The registry of what this daemon does with messages of its peers.

Those of the consensus have a registry of their own.
"""

from collections.abc import Callable
from typing import Any

from lovagewalk.core import Handlers, Step
from lovagewalk.node import NodeState

PeerHandler = Callable[[NodeState, str, Any, float], Step[NodeState]]
peer_handlers: Handlers[type, PeerHandler] = Handlers()
on_message = peer_handlers.on
