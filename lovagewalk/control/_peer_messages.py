"""Registry of the handlers of messages from peers.

Consensus messages have a registry of their own.
"""

from collections.abc import Callable
from typing import Any

from lovagewalk.core import Handlers, Step
from lovagewalk.node import NodeState

PeerHandler = Callable[[NodeState, str, Any, float], Step[NodeState]]
peer_handlers: Handlers[type, PeerHandler] = Handlers()
on_message = peer_handlers.on
