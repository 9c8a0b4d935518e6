"""Latency added to a read, reads per second, and fraction of reads at replicas."""

import asyncio
import tempfile
from pathlib import Path
from statistics import median
from time import perf_counter

import asyncmy

from benchmarks._rows import Better, Row, benchmark
from lovagewalk.cli.tests.process_fleet import ProcessFleet
from lovagewalk.demo import CAMPANERIA, HOST, KANIMICHI, Fleet, run

READS_PER_BLOCK = 1000
BLOCKS = 5
CALLERS = 8
SESSIONS = 200
CREATE_TABLE = "CREATE TABLE repairs (id INT PRIMARY KEY, x INT)"


async def _time_reads(conn, query: str) -> list[float]:
    times_s = []
    for _ in range(READS_PER_BLOCK):
        started = perf_counter()
        await run(conn, query)
        times_s.append(perf_counter() - started)
    return times_s


@benchmark("latency")
async def measure_latency() -> list[Row]:
    """Compare reads through a daemon with reads directly from an instance.

    Daemons and instances run as separate processes.
    """
    query = "SELECT x FROM repairs WHERE id = 1"
    with tempfile.TemporaryDirectory() as folder:
        async with ProcessFleet(Path(folder)) as fleet:
            await fleet.wait_for_status("vm1", lambda status: status["groups"][0:1])
            await fleet.set_up_catalogue(["customer"], 1e6, 1e6)
            proxied = await fleet.connect("vm1", "customer", "secret")
            await run(proxied, CREATE_TABLE)
            await run(proxied, "INSERT INTO repairs VALUES (1, 1)")
            await run(proxied, query)
            direct = await asyncmy.connect(
                host=HOST,
                port=fleet.instance_ports["db2"],
                user="lovagewalk",
                password="endpoint-secret",
                autocommit=True,
            )
            added_s = []
            for _ in range(BLOCKS):
                direct_s = median(await _time_reads(direct, query))
                added_s.append(median(await _time_reads(proxied, query)) - direct_s)
            reads_per_s = await _measure_read_rate(fleet, query)
            proxied.close()
            direct.close()
    return [
        Row("time added to a read, median", median(added_s) * 1000, "ms", 0.6, 0.6),
        Row(
            "reads a second through one daemon", reads_per_s, "1/s", 0, 0, Better.HIGHER
        ),
    ]


async def _measure_read_rate(fleet: ProcessFleet, query: str) -> float:
    """Return the reads per second of several callers of one daemon."""
    conns = [await fleet.connect("vm1", "customer", "secret") for _ in range(CALLERS)]
    for conn in conns:
        await run(conn, query)
    started = perf_counter()
    await asyncio.gather(*(_time_reads(conn, query) for conn in conns))
    elapsed_s = perf_counter() - started
    for conn in conns:
        conn.close()
    return CALLERS * READS_PER_BLOCK / elapsed_s


@benchmark("replica reads")
async def measure_replica_fraction() -> list[Row]:
    """Write at one daemon, then read at another with the session token and without."""
    rows = []
    for profile in (CAMPANERIA, KANIMICHI):
        async with Fleet(profile, emulate_latency=True) as fleet:
            conns = [await fleet.connect(name) for name in fleet.daemons]
            await run(conns[0], CREATE_TABLE)
            stale_reads = 0
            for number in range(SESSIONS):
                writer = conns[number % 3]
                reader = conns[(number + 1) % 3]
                await run(writer, f"INSERT INTO repairs VALUES ({number}, 1)")
                token = (await run(writer, "SELECT LOVAGEWALK_TOKEN()"))[0][0]
                query = f"SELECT x FROM repairs WHERE id = {number}"
                rows_with_token = await run(reader, f"/* lw token={token} */ {query}")
                rows_without_token = await run(reader, query)
                stale_reads += (rows_with_token != [(1,)]) + (
                    rows_without_token != [(1,)]
                )
            replica_fraction = _replica_fraction(fleet)
            for conn in conns:
                conn.close()
        name = f"session reads at replicas, {profile.name}"
        rows.append(Row(name, replica_fraction, "", 0.95, 0.95, Better.HIGHER))
        rows.append(Row(f"stale session reads, {profile.name}", stale_reads, "", 0, 0))
    return rows


def _replica_fraction(fleet: Fleet) -> float:
    reads = {
        instance.cfg.name: sum(
            text.startswith("SELECT x") for text in instance.received
        )
        for instance in fleet.instances
    }
    return 1 - reads[fleet.primary().cfg.name] / max(sum(reads.values()), 1)
