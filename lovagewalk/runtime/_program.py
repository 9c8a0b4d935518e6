"""Runs a daemon as a program: waits for its settings, and gives the exit status."""

import logging
from collections.abc import Callable, Coroutine
from typing import TypeVar

import uvloop

from lovagewalk.core import Code, LovageError, TimerService

EXIT_FAULT = 1
EXIT_BAD_SETTINGS = 2
# Whatever writes the file may not be done yet.
SETTINGS_RETRY_S = 1.0

T = TypeVar("T")

log = logging.getLogger("lovagewalk.daemon")


def run_program(run: Callable[[], Coroutine[None, None, None]]) -> int:
    """Run a daemon on a new event loop, and return the exit status of its process.

    Parameters
    ----------
    run : coroutine function
        Runs the daemon until it is asked to stop.
    """
    try:
        uvloop.run(run())
    except LovageError as exc:
        log.critical("daemon: ended: %s", exc)
        return EXIT_BAD_SETTINGS if exc.code is Code.SETTINGS_BAD else EXIT_FAULT
    except Exception:
        log.critical("daemon: ended by an exception", exc_info=True)
        return EXIT_FAULT
    return 0


async def load_when_accepted(timer: TimerService, load: Callable[[], T]) -> T:
    """Load settings, once the file holds some that are accepted.

    A process that ended instead would read the same file at its next start.

    Parameters
    ----------
    load : callable
        Reads the file; raises ``LovageError`` for settings that are not accepted.
    """
    last_error = ""
    while True:
        try:
            return load()
        except LovageError as exc:
            if str(exc) != last_error:
                log.error("daemon: waits for other settings: %s", exc)
            last_error = str(exc)
        await timer.sleep(SETTINGS_RETRY_S)
