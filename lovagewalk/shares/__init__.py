"""Customers' fleet-wide rates, divided into shares that daemons hold."""

from ._bucket import (
    TakeResult,
    expire,
    forget_requested,
    grow,
    keep_queued,
    leave_owner,
    level_at,
    refill,
    remove_tokens,
    return_tokens,
    shrink,
    smooth_demand,
    take_token,
    turn_to_other_owner,
)
from ._state import Share

__all__ = [
    "Share",
    "TakeResult",
    "expire",
    "forget_requested",
    "grow",
    "keep_queued",
    "leave_owner",
    "level_at",
    "refill",
    "remove_tokens",
    "return_tokens",
    "shrink",
    "smooth_demand",
    "take_token",
    "turn_to_other_owner",
]
