"""Handlers of the process's signals."""

import asyncio
import signal
from collections.abc import Callable


def on_stop_signals(callback: Callable[[], None]) -> None:
    """Run `callback` on SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, callback)


def on_reload_signal(callback: Callable[[], None]) -> None:
    """Run `callback` on SIGHUP, the request to reload the settings."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, callback)
