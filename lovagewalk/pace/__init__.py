"""Pace at which a daemon sends to an endpoint that recovers or is overloaded."""

from ._decisions import (
    change_share,
    compute_interval,
    compute_share,
    count_sendable,
    create_pace,
    estimate_pace_wait,
    record_answer,
    record_busy,
    record_ended,
    record_error,
    record_lost,
    record_opened,
    record_sent,
    record_time_out,
    restart_pace,
)
from ._state import Pace, PaceCause, PaceState

__all__ = [
    "Pace",
    "PaceCause",
    "PaceState",
    "change_share",
    "compute_interval",
    "compute_share",
    "count_sendable",
    "create_pace",
    "estimate_pace_wait",
    "record_answer",
    "record_busy",
    "record_ended",
    "record_error",
    "record_lost",
    "record_opened",
    "record_sent",
    "record_time_out",
    "restart_pace",
]
