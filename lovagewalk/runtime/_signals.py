"""Signals of the process."""

import asyncio
import signal
from collections.abc import Callable


def on_stop_signals(call: Callable[[], None]) -> None:
    """Run `call` when the process is asked to end."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, call)


def on_reload_signal(call: Callable[[], None]) -> None:
    """Run `call` when the process is told that its settings have changed."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, call)
