"""What any daemon runs on: ports, peer streams, storage, metrics, signals.

Front ends and clients of endpoints are added to the ports by whoever builds a
daemon.
"""

from ._decisions import Decisions
from ._logs import BoundedHandler, JsonFormatter, set_up_structured_logs
from ._metrics import Metrics
from ._network import Network
from ._peers import PeerAddress, Peers
from ._ports import Ports
from ._signals import on_stop_signals
from ._sockets import limit_silence

__all__ = [
    "BoundedHandler",
    "Decisions",
    "JsonFormatter",
    "Metrics",
    "Network",
    "PeerAddress",
    "Peers",
    "Ports",
    "limit_silence",
    "on_stop_signals",
    "set_up_structured_logs",
]
