"""A daemon with its adapters for MySQL, peer streams, HTTP and files."""

from lovagewalk.runtime import Network, on_stop_signals

from ._daemon import Daemon

__all__ = ["Daemon", "Network", "on_stop_signals"]
