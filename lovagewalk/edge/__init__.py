"""Encodings and sockets: MySQL, peer streams, HTTP, files."""

from lovagewalk.runtime import Network, on_stop_signals

from ._daemon import Daemon

__all__ = ["Daemon", "Network", "on_stop_signals"]
