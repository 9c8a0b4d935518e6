"""From a request's id to its cause, out of the logs of several VMs."""

from ._causes import explain
from ._records import LogRecord, parse_log

__all__ = ["LogRecord", "explain", "parse_log"]
