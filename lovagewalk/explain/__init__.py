"""Finds the cause of a request's outcome by its id in the logs of several VMs."""

from ._causes import explain
from ._lines import LogLine, parse_log

__all__ = ["LogLine", "explain", "parse_log"]
