"""From a request's id to its cause, out of the logs of several VMs."""

from ._causes import explain
from ._lines import LogLine, parse_log

__all__ = ["LogLine", "explain", "parse_log"]
