"""Failover gap, and propagation time of changes, at the specified latencies."""

import asyncio
from statistics import median

import asyncmy

from benchmarks._rows import Row, benchmark
from lovagewalk.demo import CAMPANERIA, Fleet, run
from lovagewalk.groups import Role

FAILOVERS = 9
CHANGES = 20
WITHDRAWALS = 5
CALLER_ERRORS = (asyncmy.errors.Error, OSError, EOFError)


async def _gap(fleet: Fleet, number: int, acknowledged: set[int]) -> float:
    """Kill the primary; return the seconds until the next acknowledged write."""
    conn = await fleet.connect("vm1")
    old = fleet.primary()
    started = fleet.timer.now()
    await old.crash(lose_rows=False)
    while True:
        number += 1
        try:
            await run(conn, f"INSERT INTO repairs VALUES ({number}, 0)")
        except asyncmy.errors.Error:
            continue
        break
    gap = fleet.timer.now() - started
    acknowledged.add(number)
    await old.start()
    await fleet.until(lambda: old.state.role is Role.REPLICA)
    await asyncio.sleep(0.5)
    conn.close()
    return gap


@benchmark("failover")
async def measure_failover() -> list[Row]:
    """Kill the primary repeatedly, and check that no acknowledged write is lost."""
    acknowledged: set[int] = set()
    async with Fleet(CAMPANERIA, latencies=True) as fleet:
        conn = await fleet.connect("vm1")
        await run(conn, "CREATE TABLE repairs (id INT PRIMARY KEY, x INT)")
        gaps = [
            await _gap(fleet, (i + 1) * 1000, acknowledged) for i in range(FAILOVERS)
        ]
        rows = {row[0] for row in await run(conn, "SELECT id FROM repairs")}
        conn.close()
    return [
        Row("failover gap, median of 9", median(gaps), "s", 1.0, 1.0),
        Row("failover gap, worst of 9", max(gaps), "s", 2.0, 2.0),
        Row("acknowledged writes lost", len(acknowledged - rows), "", 0, 0),
    ]


@benchmark("spread")
async def measure_spread() -> list[Row]:
    """Measure the time from the request of a change until nine daemons apply it."""
    async with Fleet(CAMPANERIA, daemons=9, latencies=True) as fleet:
        spreads = [await _spread_change(fleet, number) for number in range(CHANGES)]
        withdrawals = [await _withdraw(fleet) for _ in range(WITHDRAWALS)]
    return [
        Row("change in force on 9 daemons, worst of 20", max(spreads), "s", 1.0, 1.0),
        Row("withdrawn key dead on 9 daemons, worst", max(withdrawals), "s", 1.0, 1.0),
    ]


async def _spread_change(fleet: Fleet, number: int) -> float:
    name = f"new-{number}"
    entry = {"name": name, "owner": "o", "rate": 9.0, "burst": 9.0, "weight": 1.0}
    started = fleet.timer.now()
    await fleet.change({"_type": "PutCustomer", "entry": entry, "expected": 0})
    await fleet.until(
        lambda: all(d.state.catalogue.customer(name) for d in fleet.daemons.values())
    )
    return fleet.timer.now() - started


async def _withdraw(fleet: Fleet) -> float:
    key = await fleet.issue_key(fleet.customers[0].name)
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
    except CALLER_ERRORS:
        return False
    return True
