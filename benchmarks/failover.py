"""Failover gap, and propagation time of changes, with emulated network latencies."""

import asyncio
from statistics import median

import asyncmy

from benchmarks._rows import Row, benchmark
from lovagewalk.demo import CAMPANERIA, Fleet, run
from lovagewalk.groups import Role

FAILOVERS = 9
CHANGES = 20
WITHDRAWALS = 5
REQUEST_ERRORS = (asyncmy.errors.Error, OSError, EOFError)


async def _measure_gap(fleet: Fleet, row_id: int, acknowledged: set[int]) -> float:
    """Kill the primary; return the seconds until the next acknowledged write."""
    conn = await fleet.connect("vm1")
    old_primary = fleet.primary()
    started = fleet.timer.now()
    await old_primary.crash(lose_rows=False)
    while True:
        row_id += 1
        try:
            await run(conn, f"INSERT INTO repairs VALUES ({row_id}, 0)")
        except asyncmy.errors.Error:
            continue
        break
    gap_s = fleet.timer.now() - started
    acknowledged.add(row_id)
    await old_primary.start()
    await fleet.until(lambda: old_primary.state.role is Role.REPLICA)
    await asyncio.sleep(0.5)
    conn.close()
    return gap_s


@benchmark("failover")
async def measure_failover() -> list[Row]:
    """Kill the primary repeatedly, and check that no acknowledged write is lost."""
    acknowledged: set[int] = set()
    async with Fleet(CAMPANERIA, emulate_latency=True) as fleet:
        conn = await fleet.connect("vm1")
        await run(conn, "CREATE TABLE repairs (id INT PRIMARY KEY, x INT)")
        gaps_s = [
            await _measure_gap(fleet, (i + 1) * 1000, acknowledged)
            for i in range(FAILOVERS)
        ]
        stored = {row[0] for row in await run(conn, "SELECT id FROM repairs")}
        conn.close()
    return [
        Row("failover gap, median of 9", median(gaps_s), "s", 1.0, 1.0),
        Row("failover gap, worst of 9", max(gaps_s), "s", 2.0, 2.0),
        Row("acknowledged writes lost", len(acknowledged - stored), "", 0, 0),
    ]


@benchmark("spread")
async def measure_spread() -> list[Row]:
    """Measure the time from the request of a change until nine daemons apply it."""
    async with Fleet(CAMPANERIA, daemon_count=9, emulate_latency=True) as fleet:
        propagation_s = [
            await _measure_propagation(fleet, number) for number in range(CHANGES)
        ]
        withdrawal_s = [await _measure_withdrawal(fleet) for _ in range(WITHDRAWALS)]
    return [
        Row(
            "change in force on 9 daemons, worst of 20",
            max(propagation_s),
            "s",
            1.0,
            1.0,
        ),
        Row("withdrawn key dead on 9 daemons, worst", max(withdrawal_s), "s", 1.0, 1.0),
    ]


async def _measure_propagation(fleet: Fleet, number: int) -> float:
    name = f"new-{number}"
    entry = {"name": name, "owner": "o", "rate": 9.0, "burst": 9.0, "weight": 1.0}
    started = fleet.timer.now()
    await fleet.change({"_type": "PutCustomer", "entry": entry, "expected": 0})
    await fleet.until(
        lambda: all(d.state.catalogue.customer(name) for d in fleet.daemons.values())
    )
    return fleet.timer.now() - started


async def _measure_withdrawal(fleet: Fleet) -> float:
    key = await fleet.issue_key(fleet.customer_keys[0].customer)
    await fleet.until(
        lambda: all(d.state.catalogue.key(key.key_id) for d in fleet.daemons.values())
    )
    conns = [await fleet.connect(name, key) for name in fleet.daemons]
    started = fleet.timer.now()
    await fleet.change({"_type": "WithdrawKey", "key_id": key.key_id})
    while any([await _is_served(conn) for conn in conns]):
        pass
    return fleet.timer.now() - started


async def _is_served(conn) -> bool:
    try:
        await run(conn, "SELECT 1")
    except REQUEST_ERRORS:
        return False
    return True
