"""Futures whose waiter may have been cancelled."""

import asyncio
from typing import Any


def set_result_if_pending(fut: asyncio.Future, result: Any) -> None:
    """Set the result of a future, unless it is done or cancelled."""
    if not fut.done():
        fut.set_result(result)
