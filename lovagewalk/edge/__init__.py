"""The daemon and its adapters: MySQL servers and clients, and HTTP for operators."""

from lovagewalk.runtime import Network, on_stop_signals

from ._daemon import Daemon

__all__ = ["Daemon", "Network", "on_stop_signals"]
