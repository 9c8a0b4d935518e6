"""Customers' fleet-wide rates, divided into shares that daemons hold."""

from ._bucket import (
    Taken,
    expire,
    give_back,
    grow,
    level_at,
    refill,
    set_aside,
    shrink,
    smooth_demand,
    take,
)
from ._state import Share

__all__ = [
    "Share",
    "Taken",
    "expire",
    "give_back",
    "grow",
    "level_at",
    "refill",
    "set_aside",
    "shrink",
    "smooth_demand",
    "take",
]
