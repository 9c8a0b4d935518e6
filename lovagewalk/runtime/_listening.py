"""Opening of listeners whose address may be in use for a while."""

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

from ._ports import Ports

# An address is in use until a previous process has ended, or for as long as another
# program has it.
LISTEN_RETRY_S = 0.5

log = logging.getLogger("lovagewalk.daemon")


class Listener(Protocol):
    """A server that listens on one address."""

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections, and return the port."""


async def listen_when_free(
    ports: Ports, purpose: str, listen: Callable[[], Awaitable[int]]
) -> int:
    """Open a listener, once its address is free, and return its port.

    A daemon that ended instead would meet the same address at its next start.

    Parameters
    ----------
    purpose : str
        What the listener is for, as the log names it.
    listen : coroutine function
        Opens the listener and returns its port.

    Returns
    -------
    int
        The port; 0 if the daemon stopped before the address was free.
    """
    last_error = ""
    while not ports.stopped.is_set():
        try:
            port = await listen()
        except OSError as exc:
            if str(exc) != last_error:
                log.error("daemon: cannot listen for %s yet: %s", purpose, exc)
            last_error = str(exc)
            await ports.timer.sleep(LISTEN_RETRY_S)
            continue
        if last_error:
            log.warning("daemon: listens for %s now", purpose)
        return port
    return 0
