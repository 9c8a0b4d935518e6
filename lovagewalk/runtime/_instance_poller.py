"""Polls the status of instances and feeds the results as events."""

import asyncio
import logging
from typing import Any, Protocol

from lovagewalk.groups import (
    InstanceFailed,
    InstanceSeen,
    InstanceStatus,
    PollInstance,
)

from ._ports import Ports

log = logging.getLogger("lovagewalk.poller")


class NoStatusError(Exception):
    """An instance answered, but not with its status.

    Attributes
    ----------
    alive : bool
        Whether the answer shows that the instance is running.
    """

    def __init__(self, alive: bool, detail: str) -> None:
        super().__init__(detail)
        self.alive = alive


class StatusConnection(Protocol):
    """A connection over which an instance is polled."""

    @property
    def is_open(self) -> bool:
        """Whether a query can still be sent."""

    def close(self) -> None:
        """Close the connection."""


class InstancePoller:
    """Polls instances, each over a connection that is opened when needed.

    Subclasses implement the protocol in `connect` and `query_status`.

    Parameters
    ----------
    timeout_s : float
        Longest time for opening the connection and for the answer, in seconds.
    """

    def __init__(self, ports: Ports, timeout_s: float) -> None:
        self._ports = ports
        self._timeout_s = timeout_s
        self._conns: dict[str, StatusConnection] = {}
        self._addresses: dict[str, tuple[str, int]] = {}

    async def connect(self, effect: PollInstance) -> StatusConnection:
        """Open a connection to an instance.

        Raises
        ------
        NoStatusError, OSError
        """
        raise NotImplementedError

    async def query_status(self, conn: Any, effect: PollInstance) -> InstanceStatus:
        """Query an instance's status.

        Raises
        ------
        NoStatusError, OSError
        """
        raise NotImplementedError

    def close_connection(self, endpoint: str) -> None:
        """Close the connection over which an instance is polled."""
        conn = self._conns.pop(endpoint, None)
        if conn is not None:
            conn.close()

    def close(self) -> None:
        """Close all connections."""
        for endpoint in list(self._conns):
            self.close_connection(endpoint)

    async def _ensure_connection(self, effect: PollInstance) -> StatusConnection:
        """Return the connection to an instance, a new one if its address changed."""
        conn = self._conns.get(effect.endpoint)
        address = (effect.host, effect.port)
        address_changed = self._addresses.get(effect.endpoint) != address
        if conn is not None and conn.is_open and not address_changed:
            return conn
        self.close_connection(effect.endpoint)
        conn = self._conns[effect.endpoint] = await self.connect(effect)
        self._addresses[effect.endpoint] = address
        return conn

    async def poll(self, effect: PollInstance) -> None:
        """Query an instance's status and feed the result as an event."""
        sent_at = self._ports.now()
        try:
            async with asyncio.timeout(self._timeout_s):
                status = await self.query_status(
                    await self._ensure_connection(effect), effect
                )
        except NoStatusError as exc:
            self._report_failure(effect, broken=False, alive=exc.alive)
        except TimeoutError:
            self.close_connection(effect.endpoint)
            self._report_failure(effect, broken=False, alive=False)
        except (OSError, OverflowError, ValueError) as exc:
            log.debug("poller: cannot reach %s: %r", effect.endpoint, exc)
            self.close_connection(effect.endpoint)
            self._report_failure(effect, broken=True, alive=False)
        else:
            now = self._ports.now()
            event = InstanceSeen(now, effect.endpoint, status, sent_at, False)
            self._ports.feed(event)

    def _report_failure(self, effect: PollInstance, broken: bool, alive: bool) -> None:
        now = self._ports.now()
        self._ports.feed(InstanceFailed(now, effect.endpoint, False, broken, alive))
