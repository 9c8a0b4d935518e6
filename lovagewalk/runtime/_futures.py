"""Futures that may have been given up by whoever waits."""

import asyncio
from typing import Any


def settle(fut: asyncio.Future, result: Any) -> None:
    """Give a future its result, unless it is done or given up."""
    if not fut.done():
        fut.set_result(result)
