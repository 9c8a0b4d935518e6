"""One stand-in instance, which serves SQLite rows over the MySQL protocol.

Faults can be injected while it runs: replication lag, isolation from the group, a
stall, and a crash that loses all rows.
"""

import asyncio
import itertools
import json
import sqlite3
import uuid
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import asyncmy

from lovagewalk.core import Code, LovageError, Shell, TimerService, performs
from lovagewalk.edge._mysql_server import MysqlListener

from . import _state as types
from ._constants import FETCH_TIMEOUT_S, GROUP_USER
from ._database import Database
from ._session import StandinIdentityProvider, StandinSession
from ._state import LogEntry, StandinState


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Settings of one instance.

    Attributes
    ----------
    connections : int
        Limit on client connections; those of other instances are not counted.
    slots : int
        Number of statements that may run at the same time.
    service_s, connect_s : float
        Emulated time to run a statement and to accept a connection, in seconds.
    """

    name: str
    host: str = "127.0.0.1"
    port: int = 0
    user: str = "lovagewalk"
    password: str = "endpoint-secret"
    connections: int = 20
    slots: int = 3
    service_s: float = 0.0
    connect_s: float = 0.0
    lag_s: float = 0.0


class Standin:
    """A running instance.

    Parameters
    ----------
    cfg : StandinSettings
    timer : TimerService
    on_fatal : callable, optional
        Called with the error when the instance stops because its rows no longer
        agree with its log.
    """

    def __init__(
        self,
        cfg: StandinSettings,
        timer: TimerService,
        on_fatal: Callable[[LovageError], None] | None = None,
    ) -> None:
        self.cfg = cfg
        self.on_fatal = on_fatal
        self.database = Database()
        self.received: deque[str] = deque(maxlen=100_000)
        self.ticket_sequence = itertools.count(1)
        self.pending_requests: dict[int, asyncio.Future] = {}
        self.write_lock = asyncio.Lock()
        self.slots = asyncio.Semaphore(cfg.slots)
        self.client_count = 0
        self.is_isolated = False
        self.not_stalled = asyncio.Event()
        self.not_stalled.set()
        self.tasks: set[asyncio.Task] = set()
        self.sessions_in_transaction: set[StandinSession] = set()
        self._source_conn: Any = None
        self._source_address = ("", 0)
        self._timer = timer
        self._listener: MysqlListener | None = None
        self.shell = self._new_shell()
        self.port = cfg.port

    def _new_shell(self) -> Shell[StandinState]:
        return Shell(self._initial_state(), self, self._timer, self._fail)

    def _initial_state(self) -> StandinState:
        incarnation = uuid.uuid4().hex[:12]
        return StandinState(self.cfg.name, incarnation, lag_s=self.cfg.lag_s)

    @property
    def is_listening(self) -> bool:
        """Whether clients can connect."""
        return self._listener is not None

    @property
    def state(self) -> StandinState:
        """The current state of the instance."""
        return self.shell.state

    async def start(self) -> None:
        """Listen for clients."""
        listener = MysqlListener(
            lambda: StandinSession(self),
            lambda session: StandinIdentityProvider(self, session),
        )
        self.port = await listener.listen(self.cfg.host, self.port)
        self._listener = listener
        self.shell.subscribe(types.ApplyTick)

    async def crash(self, lose_rows: bool = True) -> None:
        """Stop the instance; with `lose_rows`, also discard its rows and its state."""
        await self.stop()
        if lose_rows:
            self.database.close()
            self.database = Database()
            self.shell = self._new_shell()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._shut_down()

    def _fail(self, exc: LovageError) -> None:
        self._shut_down()
        if self.on_fatal is not None:
            self.on_fatal(exc)

    def _shut_down(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.shell.close()
        self._close_source()
        for task in list(self.tasks):
            task.cancel()
        self.client_count = 0

    async def close(self) -> None:
        """Stop the instance and delete its rows."""
        await self.stop()
        self.database.close()

    def set_lag(self, lag_s: float) -> None:
        """Set the emulated replication lag of this instance."""
        self.shell.feed(types.LagChanged(self._timer.now(), lag_s))

    def set_isolated(self, is_isolated: bool) -> None:
        """Isolate the instance from its group, or end the isolation."""
        self.is_isolated = is_isolated
        self._close_source()

    async def request(self, build_event: Callable[[int], Any]) -> types.SendStatus:
        """Feed the event that `build_event` makes for a ticket; return its answer."""
        ticket = next(self.ticket_sequence)
        fut = asyncio.get_running_loop().create_future()
        self.pending_requests[ticket] = fut
        try:
            self.shell.feed(build_event(ticket))
            return await fut
        finally:
            self.pending_requests.pop(ticket, None)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._timer.now()

    def spawn(self, coro: Any) -> None:
        """Run a coroutine in a task that is cancelled when the instance stops."""
        task = asyncio.get_running_loop().create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _close_source(self) -> None:
        if self._source_conn is not None:
            self._source_conn.close()
            self._source_conn = None

    async def fetch(self, effect: types.FetchLog) -> None:
        """Fetch log entries from the primary and feed the outcome."""
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                event = await self._fetch_log(effect)
        except (asyncmy.errors.Error, OSError, TimeoutError, ValueError):
            self._close_source()
            await self._timer.sleep(0.02)
            event = types.FetchFailed(self.now())
        self.shell.feed(event)

    async def _fetch_log(self, effect: types.FetchLog) -> types.LogFetched:
        if self.is_isolated:
            raise ValueError("the instance is isolated from its group")
        address = (effect.host, effect.port)
        if self._source_conn is None or self._source_address != address:
            self._close_source()
            self._source_conn = await asyncmy.connect(
                host=effect.host,
                port=effect.port,
                user=GROUP_USER,
                password=self.cfg.password,
                autocommit=None,
            )
            self._source_address = address
        wait_ms = int(types.FETCH_WAIT_S * 1000)
        async with self._source_conn.cursor() as cursor:
            await cursor.execute(
                f"CALL group_log({effect.index}, {effect.last_term}, {effect.term},"
                f" {wait_ms})"
            )
            term, matched, entries = cursor._rows[0]
        return types.LogFetched(
            self.now(),
            int(term),
            bool(int(matched)),
            tuple(
                LogEntry(index, entry_term, tuple(statements))
                for index, entry_term, statements in json.loads(entries)
            ),
        )


@performs(types.SendStatus)
def _send_status(standin: Standin, effect: types.SendStatus) -> None:
    fut = standin.pending_requests.get(effect.ticket)
    if fut is not None and not fut.done():
        fut.set_result(effect)


@performs(types.ApplyEntries)
def _apply_entries(standin: Standin, effect: types.ApplyEntries) -> None:
    try:
        standin.database.apply(entry.statements for entry in effect.entries)
    except sqlite3.Error as exc:
        raise LovageError(Code.DISK_FAILED, f"cannot apply log entries: {exc}") from exc


@performs(types.RollBackTransactions)
def _roll_back_transactions(
    standin: Standin, effect: types.RollBackTransactions
) -> None:
    for session in list(standin.sessions_in_transaction):
        session.roll_back_by_server()


@performs(types.RebuildDatabase)
def _rebuild_database(standin: Standin, effect: types.RebuildDatabase) -> None:
    standin.database.rebuild(entry.statements for entry in effect.entries)


@performs(types.FetchLog)
def _fetch_log(standin: Standin, effect: types.FetchLog) -> None:
    standin.spawn(standin.fetch(effect))
