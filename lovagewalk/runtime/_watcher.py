"""Asks instances for their status and says what came of it."""

import asyncio

from lovagewalk.groups import (
    InstanceFailed,
    InstanceSeen,
    InstanceStatus,
    PollInstance,
)

from ._ports import Ports


class NoStatusError(Exception):
    """An instance answered, but not with its status.

    Attributes
    ----------
    alive : bool
        Whether the answer shows that the instance works.
    """

    def __init__(self, alive: bool, detail: str) -> None:
        super().__init__(detail)
        self.alive = alive


class Watcher:
    """Polls instances; subclasses know the protocol.

    Parameters
    ----------
    limit_s : float
        Longest time for an answer, in seconds.
    """

    def __init__(self, ports: Ports, limit_s: float) -> None:
        self._ports = ports
        self._limit_s = limit_s

    async def ask(self, effect: PollInstance) -> InstanceStatus:
        """Return an instance's status.

        Raises
        ------
        NoStatusError, OSError
        """
        raise NotImplementedError

    def forget(self, endpoint: str) -> None:
        """Close the connection by which an instance is watched."""
        raise NotImplementedError

    async def poll(self, effect: PollInstance) -> None:
        """Ask for an instance's status and report the answer."""
        sent_at = self._ports.now()
        try:
            async with asyncio.timeout(self._limit_s):
                status = await self.ask(effect)
        except NoStatusError as exc:
            self._fail(effect, broken=False, alive=exc.alive)
        except TimeoutError:
            self.forget(effect.endpoint)
            self._fail(effect, broken=False, alive=False)
        except OSError:
            self.forget(effect.endpoint)
            self._fail(effect, broken=True, alive=False)
        else:
            now = self._ports.now()
            seen = InstanceSeen(now, effect.endpoint, status, sent_at, False)
            self._ports.feed(seen)

    def _fail(self, effect: PollInstance, broken: bool, alive: bool) -> None:
        now = self._ports.now()
        self._ports.feed(InstanceFailed(now, effect.endpoint, False, broken, alive))
