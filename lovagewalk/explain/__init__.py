"""The cause of a request's outcome, found by request id in the logs of VMs."""

from ._causes import explain
from ._lines import LogLine, parse_log

__all__ = ["LogLine", "explain", "parse_log"]
