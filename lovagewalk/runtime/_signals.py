"""Handlers of the process's signals."""

import asyncio
import signal
from collections.abc import Callable


def on_stop_signals(call: Callable[[], None]) -> None:
    """Run `call` on SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, call)


def on_reload_signal(call: Callable[[], None]) -> None:
    """Run `call` on SIGHUP, the request to reload the settings."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, call)
