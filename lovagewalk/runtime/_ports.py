"""What performers act on: the adapters of one daemon."""

import asyncio
import itertools
import logging
import time
from collections.abc import Coroutine
from typing import Any

from lovagewalk.core import Event, Shell, TimerService
from lovagewalk.node import NodeState

from ._decisions import Decisions
from ._metrics import Metrics
from ._tickets import Tickets

log = logging.getLogger("lovagewalk.daemon")


class Ports:
    """The outside of one daemon.

    Attributes
    ----------
    results : dict
        Results of statements by request number, until their caller is answered.
    endpoints, callers, peers, operators, journal, orders, audit, provider
        Adapters; set by whoever builds the daemon.
    decisions : Decisions
        Writes decisions to the log.
    tickets : Tickets
        Requests that wait for an answer.
    stopped : asyncio.Event
        Set once the daemon is to end.
    """

    def __init__(self, timer: TimerService) -> None:
        self.timer = timer
        self.shell: Shell[NodeState] | None = None
        self.results: dict[int, Any] = {}
        self.endpoints: Any = None
        self.callers: Any = None
        self.peers: Any = None
        self.operators: Any = None
        self.journal: Any = None
        self.orders: Any = None
        self.audit: Any = None
        self.provider: Any = None
        self.decisions = Decisions(self)
        self.tickets = Tickets(self)
        self.metrics = Metrics()
        self.stopped = asyncio.Event()
        self.numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._closed = False

    @property
    def state(self) -> NodeState:
        """The daemon's present state."""
        return self.shell.state

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.timer.now()

    def wall_clock(self) -> float:
        """Return seconds since the epoch, for the audit trail only."""
        return time.time()

    def feed(self, event: Event) -> None:
        """Feed an event, unless the daemon has stopped."""
        if not self._closed:
            self.shell.feed(event)

    def spawn(self, coro: Coroutine) -> asyncio.Task:
        """Run a coroutine until it ends or the daemon stops."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def _reap(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("daemon: a task failed", exc_info=task.exception())

    def close(self) -> None:
        """Stop all tasks; later events are dropped."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
