"""Rate limits across the fleet, refusals within the rate, and fairness."""

import asyncio
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import asyncmy

from benchmarks._rows import Row, benchmark
from lovagewalk.cli.tests.process_fleet import ProcessFleet, is_serving
from lovagewalk.core import TimerService
from lovagewalk.demo import CAMPANERIA, Fleet, run

RATE = 60.0
BURST = 20.0
RUN_S = 8.0
WARM_UP_S = 2.0
FAIRNESS_RUN_S = 15.0
SMALL_RATE_FACTOR = 0.4
SERVICE_MS = 4.0
LARGE_RATE_FACTOR = 5.0
STEADY_RATE_FACTOR = 0.8
CREATE_TABLE = "CREATE TABLE repairs (id INT PRIMARY KEY, x INT)"
QUERY = "SELECT x FROM repairs WHERE id = 1"


@dataclass
class Tally:
    """Outcomes and latencies of one customer's requests."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    latencies_s: list[float] = field(default_factory=list)

    def p99(self) -> float:
        ordered = sorted(self.latencies_s)
        return ordered[int(len(ordered) * 0.99)] if ordered else 0.0


class Caller:
    """Sends statements of one customer at a constant rate, in an open loop."""

    def __init__(self, fleet: Fleet, number: int, daemons: list[str], rate: float):
        self.fleet = fleet
        self.key = fleet.customer_keys[number]
        self.daemons = daemons
        self.rate = rate
        self.tally = Tally()
        self.started_at = 0.0

    async def run(self, seconds: float) -> Tally:
        idle = {name: [] for name in self.daemons}
        tasks = []
        started_at = self.started_at = self.fleet.timer.now()
        for number in range(int(self.rate * seconds)):
            due_at = started_at + number / self.rate
            await asyncio.sleep(max(due_at - self.fleet.timer.now(), 0))
            name = self._choose_daemon(number)
            tasks.append(asyncio.create_task(self._send(name, idle[name])))
        await asyncio.gather(*tasks)
        for conns in idle.values():
            for conn in conns:
                conn.close()
        return self.tally

    def _choose_daemon(self, number: int) -> str:
        for offset in range(len(self.daemons)):
            name = self.daemons[(number + offset) % len(self.daemons)]
            if name in self.fleet.daemons:
                return name
        raise RuntimeError("no daemon is running")

    async def _send(self, name: str, idle: list) -> None:
        self.tally.sent += 1
        try:
            conn = idle.pop() if idle else await self.fleet.connect(name, self.key)
        except (asyncmy.errors.Error, OSError, EOFError):
            self.tally.sent -= 1
            return
        sent_at = self.fleet.timer.now()
        try:
            await run(conn, QUERY)
        except (asyncmy.errors.Error, OSError, EOFError) as exc:
            if "LW1101" in str(exc):
                self.tally.refused += 1
                idle.append(conn)
            else:
                self.tally.sent -= 1
            return
        self.tally.served += 1
        if sent_at - self.started_at >= WARM_UP_S:
            self.tally.latencies_s.append(self.fleet.timer.now() - sent_at)
        idle.append(conn)


async def _build_fleet() -> Fleet:
    return Fleet(CAMPANERIA, daemon_count=5, rate=RATE, burst=BURST, service_s=0.004)


async def _create_table(fleet: Fleet) -> None:
    conn = await fleet.connect("vm1")
    await run(conn, CREATE_TABLE)
    conn.close()


@benchmark("rates")
async def measure_rates() -> list[Row]:
    """Send five times the rate of a customer through one VM and through all VMs."""
    rows = []
    for label, count in (("one VM", 1), ("all VMs", 5)):
        async with await _build_fleet() as fleet:
            await _create_table(fleet)
            daemons = list(fleet.daemons)[:count]
            caller = Caller(fleet, 1, daemons, RATE * LARGE_RATE_FACTOR)
            started_at = fleet.timer.now()
            tally = await caller.run(RUN_S)
            allowed = RATE * (fleet.timer.now() - started_at) + BURST
            rows.append(
                Row(
                    f"admitted of rate and burst, 5x through {label}",
                    tally.served / allowed,
                    "",
                    1.0,
                    1.0,
                )
            )
    return rows


@benchmark("refusals")
async def measure_refusals() -> list[Row]:
    """Send within the rate: over all VMs, through one VM, and while a VM fails."""
    async with await _build_fleet() as fleet:
        await _create_table(fleet)
        names = list(fleet.daemons)
        fleet_caller = Caller(fleet, 1, names, RATE * STEADY_RATE_FACTOR)
        single_vm_caller = Caller(fleet, 2, names[3:4], RATE * STEADY_RATE_FACTOR)
        tallies = await asyncio.gather(
            fleet_caller.run(RUN_S), single_vm_caller.run(RUN_S)
        )
        steady_fraction = sum(t.refused for t in tallies) / sum(t.sent for t in tallies)
        leader_name = next(n for n in names if fleet.daemons[n] is fleet.leader())
        caller = Caller(fleet, 3, names, RATE * STEADY_RATE_FACTOR)
        task = asyncio.create_task(caller.run(2 * RUN_S))
        await asyncio.sleep(RUN_S / 2)
        await fleet.kill_daemon(leader_name)
        tally = await task
    return [
        Row("refused within rate, steady load", steady_fraction, "", 0, 0),
        Row(
            "refused within rate, control leader's VM lost",
            tally.refused / tally.sent,
            "",
            0.001,
            0.001,
        ),
    ]


@dataclass(frozen=True, slots=True)
class FleetAdapter:
    """Adapts a fleet of processes to the interface that `Caller` uses."""

    process_fleet: ProcessFleet
    timer: TimerService
    customer_keys: tuple[str, ...]

    @property
    def daemons(self) -> dict[str, tuple[int, int]]:
        """Ports of the daemons by name."""
        return self.process_fleet.ports

    async def connect(self, name: str, key: str) -> asyncmy.Connection:
        """Connect as a customer to one daemon."""
        return await self.process_fleet.connect(name, key, "secret")


@benchmark("fairness")
async def measure_fairness() -> list[Row]:
    """Compare the p99 of small customers alone and beside one at five times its rate.

    Daemons and instances run as separate processes, so that queueing is measured and
    not contention for one event loop.
    """
    customers = ("large", "one", "two", "three")
    with tempfile.TemporaryDirectory() as folder:
        async with ProcessFleet(
            Path(folder), daemon_count=3, service_ms=SERVICE_MS
        ) as process_fleet:
            await process_fleet.wait_for_status(
                "vm1", lambda status: status["groups"][0:1]
            )
            await process_fleet.set_up_catalogue(customers, RATE, BURST)
            for name in process_fleet.ports:
                await process_fleet.wait_for_status(name, is_serving)
            fleet = FleetAdapter(process_fleet, TimerService(), customers)
            conn = await fleet.connect("vm1", "one")
            await run(conn, CREATE_TABLE)
            conn.close()
            alone, together = await _run_alone_and_together(fleet)
    small_tallies = together[1:]
    worst_ratio = max(
        beside_large.p99() / by_itself.p99()
        for by_itself, beside_large in zip(alone, small_tallies, strict=True)
    )
    refused = sum(t.refused for t in small_tallies)
    return [
        Row("worst-served p99, other at 5x, against alone", worst_ratio, "x", 1.5, 1.5),
        Row("refused of the others, one at 5x", refused, "", 0, 0),
    ]


async def _run_alone_and_together(
    fleet: FleetAdapter,
) -> tuple[list[Tally], list[Tally]]:
    names = list(fleet.daemons)

    def build_small_callers() -> list[Caller]:
        return [Caller(fleet, n, names, RATE * SMALL_RATE_FACTOR) for n in (1, 2, 3)]

    await asyncio.gather(*(caller.run(2.0) for caller in build_small_callers()))
    alone = await asyncio.gather(
        *(caller.run(FAIRNESS_RUN_S) for caller in build_small_callers())
    )
    large = Caller(fleet, 0, names, RATE * LARGE_RATE_FACTOR)
    together = await asyncio.gather(
        large.run(FAIRNESS_RUN_S),
        *(caller.run(FAIRNESS_RUN_S) for caller in build_small_callers()),
    )
    return alone, together
