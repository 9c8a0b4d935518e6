"""Runs a load plan against a fleet and reports the results of each customer."""

import asyncio
import re
from dataclasses import dataclass
from typing import Any

import asyncmy
from hdrh.histogram import HdrHistogram

from lovagewalk.core import Shell, TimerService, performs

from . import _reducer
from ._state import (
    OK,
    CustomerPlan,
    FinishRun,
    LoadPlan,
    LoadState,
    RequestAnswered,
    SendRequest,
    SendTick,
)

LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3
# Pending requests have as long at the end of a run as in the drain of a daemon.
DRAIN_LIMIT_S = 10.0
TABLE = "lovagewalk_load"
CREATE_TABLE = f"CREATE TABLE IF NOT EXISTS {TABLE} (id INT PRIMARY KEY, x INT)"
_CODE_LABEL = re.compile(r"LW\d+")
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class CustomerReport:
    """Results of one customer's requests; latencies are in milliseconds."""

    customer: str
    sent: int
    answers: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LoadRun:
    """Runs one plan; holds its callers' connections and the measured latencies."""

    def __init__(self, plan: LoadPlan, timer: TimerService, first_id: int) -> None:
        self.plan = plan
        self.finished = asyncio.Event()
        self._timer = timer
        self._first_id = first_id
        self._idle: dict[tuple[str, int], list[Any]] = {}
        self._tokens: dict[str, str] = {}
        self._tasks: set[asyncio.Task] = set()
        self.histograms = {
            customer.name: HdrHistogram(
                LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
            )
            for customer in plan.customers
        }
        now = timer.now()
        state = LoadState(plan, now, plan.seed, now)
        self.shell: Shell[LoadState] = Shell(state, self, timer)

    async def run(self) -> list[CustomerReport]:
        """Run the plan and return a report for each customer."""
        conn = await self._connect(self.plan.customers[0], 0)
        async with conn.cursor() as cursor:
            await cursor.execute(CREATE_TABLE)
        conn.close()
        self.shell.subscribe(SendTick)
        await self.finished.wait()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=DRAIN_LIMIT_S)
        self.close()
        return [self._build_report(customer) for customer in self.plan.customers]

    def close(self) -> None:
        """Cancel the pending requests and close the idle connections."""
        self.shell.close()
        for task in self._tasks:
            task.cancel()
        for conns in self._idle.values():
            for conn in conns:
                conn.close()

    def send(self, effect: SendRequest) -> None:
        """Send a request in a new task, on a connection that no other request uses."""
        task = asyncio.get_running_loop().create_task(self._send(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, effect: SendRequest) -> None:
        key = (effect.customer.name, effect.entry_index)
        idle = self._idle.setdefault(key, [])
        started_at = self._timer.now()
        try:
            conn = idle.pop() if idle else None
            if conn is None:
                conn = await self._connect(effect.customer, effect.entry_index)
            await self._execute(conn, effect)
        except (asyncmy.errors.Error, OSError, EOFError) as exc:
            self._record_answer(effect, _error_code(exc))
            if conn is not None and conn.connected:
                idle.append(conn)
            return
        elapsed_s = self._timer.now() - started_at
        self.histograms[effect.customer.name].record_value(int(elapsed_s * 1e6))
        idle.append(conn)
        self._record_answer(effect, OK)

    async def _execute(self, conn: Any, effect: SendRequest) -> None:
        number = self._first_id + effect.number
        text = f"SELECT x FROM {TABLE} WHERE id = {number - 1}"
        if effect.is_write:
            text = f"INSERT INTO {TABLE} VALUES ({number}, 1)"
        async with conn.cursor() as cursor:
            await cursor.execute(text)

    async def _connect(self, customer: CustomerPlan, entry_index: int) -> Any:
        host, _, port = self.plan.entry_addresses[entry_index].rpartition(":")
        return await asyncmy.connect(
            host=host,
            port=int(port),
            user=customer.key_id,
            password=customer.secret,
            db=self.plan.route,
            autocommit=True,
        )

    def _record_answer(self, effect: SendRequest, code: str) -> None:
        now = self._timer.now()
        self.shell.feed(RequestAnswered(now, effect.customer.name, code))

    def _build_report(self, customer: CustomerPlan) -> CustomerReport:
        histogram = self.histograms[customer.name]
        tally = self.shell.state.tallies[customer.name]
        p50, p99, p999 = (
            histogram.get_value_at_percentile(percent) / 1000 for percent in PERCENTILES
        )
        return CustomerReport(
            customer=customer.name,
            sent=tally.sent,
            answers=dict(tally.answers),
            p50_ms=p50,
            p99_ms=p99,
            p999_ms=p999,
            max_ms=histogram.get_max_value() / 1000,
        )


def _error_code(exc: Exception) -> str:
    match = _CODE_LABEL.search(str(exc))
    return match.group(0) if match else type(exc).__name__


@performs(SendRequest)
def _send_request(run: LoadRun, effect: SendRequest) -> None:
    run.send(effect)


@performs(FinishRun)
def _finish_run(run: LoadRun, effect: FinishRun) -> None:
    run.finished.set()


_REGISTERED = (_reducer,)
