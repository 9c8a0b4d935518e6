"""Connection pools with a fair queue over customers."""

from ._effects import CloseConnection, OpenConnection
from ._events import ConnectionBroken, ConnectionOpened, ConnectionRefused, Refused
from ._policy import (
    MAX_WAITING,
    Grant,
    Openings,
    count_to_open,
    discard,
    enqueue,
    grant,
    is_slow,
    narrow,
    open_failed,
    opened,
    plan_openings,
    release,
    remove_waiting,
    surplus,
    take_idle,
    time_read,
)
from ._state import CustomerQueue, Pool, PoolConnection

__all__ = [
    "MAX_WAITING",
    "CloseConnection",
    "ConnectionBroken",
    "ConnectionOpened",
    "ConnectionRefused",
    "CustomerQueue",
    "Grant",
    "OpenConnection",
    "Openings",
    "Pool",
    "PoolConnection",
    "Refused",
    "count_to_open",
    "discard",
    "enqueue",
    "grant",
    "is_slow",
    "narrow",
    "open_failed",
    "opened",
    "plan_openings",
    "release",
    "remove_waiting",
    "surplus",
    "take_idle",
    "time_read",
]
