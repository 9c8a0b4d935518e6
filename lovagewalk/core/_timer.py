"""The timer service: the only source of time."""

import asyncio
import time
from collections.abc import Callable

from reactivex import Observable
from reactivex.subject import Subject

from ._registry import get_period_s
from ._types import Event


def boot_clock() -> float:
    """Return seconds since the machine booted.

    Unlike the event loop's clock it also counts while the machine is suspended, so
    that leases expire during that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TimerService:
    """Emits periodic timer events to subscribers.

    There is one service for each event loop. Tests pass their own `clock`.

    Parameters
    ----------
    clock : callable, optional
        Returns monotonic seconds; `boot_clock` by default.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or boot_clock
        self._handles: dict[type[Event], asyncio.TimerHandle] = {}
        self._subjects: dict[type[Event], Subject] = {}

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock()

    def subscribe(self, event_type: type[Event]) -> Observable:
        """Return an observable of a periodic event, starting its timer."""
        subject = self._subjects.get(event_type)
        if subject is None:
            subject = Subject()
            self._subjects[event_type] = subject
            self._schedule(event_type, subject)
        return subject

    def call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Run `callback` once after `delay_s` seconds."""
        return asyncio.get_running_loop().call_later(delay_s, callback)

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for `delay_s` seconds."""
        await asyncio.sleep(delay_s)

    def _schedule(self, event_type: type[Event], subject: Subject) -> None:
        def fire() -> None:
            self._schedule(event_type, subject)
            subject.on_next(event_type(self.now()))

        self._handles[event_type] = self.call_later(get_period_s(event_type), fire)

    def close(self) -> None:
        """Stop all periodic events."""
        for handle in self._handles.values():
            handle.cancel()
        self._handles.clear()
