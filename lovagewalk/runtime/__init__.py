"""What any daemon runs on: ports, peer streams, storage, metrics, signals.

Front ends and clients of endpoints are added to the ports by whoever builds a
daemon.
"""

from ._metrics import Metrics
from ._network import Network
from ._peers import PeerAddress, Peers
from ._ports import Ports
from ._signals import on_stop_signals

__all__ = [
    "Metrics",
    "Network",
    "PeerAddress",
    "Peers",
    "Ports",
    "on_stop_signals",
]
