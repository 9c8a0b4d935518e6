"""The adapters of one daemon, on which performers act."""

import asyncio
import functools
import itertools
import logging
import time
from collections.abc import Callable, Coroutine
from typing import Any

from lovagewalk.core import Event, Shell, TimerService
from lovagewalk.node import NodeState

from ._clients import ClientPort
from ._decision_log import DecisionLog
from ._metrics import Metrics
from ._pending_requests import PendingRequests

log = logging.getLogger("lovagewalk.daemon")


class Ports:
    """The adapters of one daemon, its state and its tasks.

    Attributes
    ----------
    results : dict
        Results of statements by request number, until their caller is answered.
    clients : dict of int to ClientPort
        Connections of clients by number.
    endpoints, callers, peers, operators, journal, audit, orders, provider
        Adapters; set by the program that builds the daemon.
    decision_log : DecisionLog
        Writes decisions to the log.
    pending_requests : PendingRequests
        Requested changes that wait for their result.
    stopped : asyncio.Event
        Set when the daemon must stop.
    id_sequence : iterator of int
        Identifiers of callers, requests and tickets.
    """

    def __init__(self, timer: TimerService) -> None:
        self.timer = timer
        self.shell: Shell[NodeState] | None = None
        self.results: dict[int, Any] = {}
        self.clients: dict[int, ClientPort] = {}
        self.endpoints: Any = None
        self.callers: Any = None
        self.peers: Any = None
        self.operators: Any = None
        self.journal: Any = None
        self.orders: Any = None
        self.audit: Any = None
        self.provider: Any = None
        self.decision_log = DecisionLog(self)
        self.pending_requests = PendingRequests(self)
        self.metrics = Metrics()
        self.stopped = asyncio.Event()
        self.id_sequence = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._closed = False

    @property
    def state(self) -> NodeState:
        """The daemon's current state."""
        return self.shell.state

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.timer.now()

    def wall_clock(self) -> float:
        """Return seconds since the Unix epoch, for the audit trail only."""
        return time.time()

    def feed(self, event: Event) -> None:
        """Pass an event to the shell, unless the daemon has stopped."""
        if not self._closed:
            self.shell.feed(event)

    def spawn(
        self, coro: Coroutine, failed: Callable[[float], Event] | None = None
    ) -> asyncio.Task:
        """Run a coroutine until it ends or the daemon stops.

        Parameters
        ----------
        failed : callable, optional
            Returns the event to feed if the coroutine raises, from the present time in
            monotonic seconds. The state waits for the event that the coroutine would
            have fed.
        """
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(functools.partial(self._on_task_done, failed))
        return task

    def _on_task_done(
        self, failed: Callable[[float], Event] | None, task: asyncio.Task
    ) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log.error("daemon: a task failed", exc_info=task.exception())
        if failed is not None:
            self.feed(failed(self.now()))

    def close(self) -> None:
        """Stop all tasks; later events are dropped."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
