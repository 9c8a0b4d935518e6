"""The demo: a short workload on a fleet, and faults that callers must not notice."""

import asyncio
import json
import logging
from dataclasses import dataclass
from pathlib import Path

import asyncmy

from lovagewalk.edge import on_stop_signals

from ._fleet import CAMPANERIA, HOST, Fleet, run

WRITE_COUNT = 60
ROAMING_READS = 60
FAILOVER_LIMIT_S = 9.0
WITHDRAW_LIMIT_S = 3.0
REPLICA_FRACTION_TARGET = 0.95
TABLE = "repairs"


@dataclass(frozen=True, slots=True)
class Finding:
    """One row of the demo's table: a measured figure and its target."""

    name: str
    figure: str
    target: str
    is_met: bool


async def run_demo(folder: Path | None = None) -> bool:
    """Run the demo and print its table; return whether every target was met."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    print("Starting three daemons, three database instances, one loop ...")
    async with Fleet(CAMPANERIA, emulate_latency=True, folder=folder) as fleet:
        findings = [
            *await _check_roaming(fleet),
            *await _check_failover(fleet),
            *await _check_withdrawal(fleet),
        ]
    _print_table(findings)
    return all(finding.is_met for finding in findings)


async def _check_roaming(fleet: Fleet) -> list[Finding]:
    conns = [await fleet.connect(name) for name in fleet.daemons]
    await run(conns[0], f"CREATE TABLE {TABLE} (id INT PRIMARY KEY, bell INT)")
    token = ""
    stale_reads = 0
    reads_before = _count_reads(fleet)
    for number in range(WRITE_COUNT):
        writer = conns[number % len(conns)]
        reader = conns[(number + 1) % len(conns)]
        await run(writer, f"INSERT INTO {TABLE} VALUES ({number}, {number % 7})")
        token = (await run(writer, "SELECT LOVAGEWALK_TOKEN()"))[0][0]
        text = f"/* lw token={token} */ SELECT id FROM {TABLE} WHERE id = {number}"
        stale_reads += await run(reader, text) != [(number,)]
    reads_after = _count_reads(fleet)
    primary = fleet.primary().cfg.name
    read_counts = {
        name: reads_after[name] - reads_before.get(name, 0) for name in reads_after
    }
    replica_fraction = 1 - read_counts.get(primary, 0) / max(
        sum(read_counts.values()), 1
    )
    for conn in conns:
        conn.close()
    return [
        Finding(
            "own writes missing after roaming", str(stale_reads), "0", stale_reads == 0
        ),
        Finding(
            "session reads served by replicas",
            f"{replica_fraction:.0%}",
            f"{REPLICA_FRACTION_TARGET:.0%}",
            replica_fraction >= REPLICA_FRACTION_TARGET,
        ),
    ]


def _count_reads(fleet: Fleet) -> dict[str, int]:
    return {
        instance.cfg.name: sum(
            text.startswith(f"SELECT id FROM {TABLE}") for text in instance.received
        )
        for instance in fleet.instances
    }


async def _check_failover(fleet: Fleet) -> list[Finding]:
    conn = await fleet.connect("vm2")
    old_primary = fleet.primary()
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await old_primary.crash(lose_rows=False)
    acknowledged = []
    gap_s = 0.0
    for number in range(1000, 1020):
        try:
            await run(conn, f"INSERT INTO {TABLE} VALUES ({number}, 0)")
        except asyncmy.errors.Error:
            continue
        acknowledged.append(number)
        gap_s = gap_s or loop.time() - started_at
    rows = await run(conn, f"SELECT id FROM {TABLE}")
    lost = set(range(WRITE_COUNT)) | set(acknowledged)
    lost -= {row[0] for row in rows}
    await old_primary.start()
    conn.close()
    return [
        Finding(
            "failover gap",
            f"{gap_s:.2f} s",
            f"{FAILOVER_LIMIT_S:.0f} s",
            0 < gap_s < FAILOVER_LIMIT_S,
        ),
        Finding("acknowledged writes lost", str(len(lost)), "0", not lost),
    ]


async def _check_withdrawal(fleet: Fleet) -> list[Finding]:
    key = await fleet.issue_key(fleet.customer_keys[1].customer)
    await fleet.until(
        lambda: all(d.state.catalogue.key(key.key_id) for d in fleet.daemons.values())
    )
    conns = [await fleet.connect(name, key) for name in fleet.daemons]
    started_at = fleet.timer.now()
    await fleet.change({"_type": "WithdrawKey", "key_id": key.key_id})
    last_served_at = started_at
    while fleet.timer.now() - started_at < WITHDRAW_LIMIT_S:
        served = [await _is_served(conn) for conn in conns]
        if not any(served):
            break
        last_served_at = fleet.timer.now()
    else:
        last_served_at = fleet.timer.now()
    elapsed_s = last_served_at - started_at
    for conn in conns:
        conn.close()
    return [
        Finding(
            "withdrawn key works for",
            f"{elapsed_s:.2f} s",
            f"{WITHDRAW_LIMIT_S:.0f} s",
            elapsed_s < WITHDRAW_LIMIT_S,
        )
    ]


async def _is_served(conn: asyncmy.Connection) -> bool:
    try:
        await run(conn, "SELECT 1")
    except (asyncmy.errors.Error, OSError, EOFError):
        return False
    return True


def _print_table(findings: list[Finding]) -> None:
    print()
    print(f"{'promise':36} {'figure':>10} {'target':>8}  held")
    for finding in findings:
        met = "yes" if finding.is_met else "NO"
        print(f"{finding.name:36} {finding.figure:>10} {finding.target:>8}  {met}")


async def run_fleet(folder: Path | None = None) -> None:
    """Run a fleet until the process receives a stop signal."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    stopped = asyncio.Event()
    async with Fleet(CAMPANERIA, folder=folder) as fleet:
        on_stop_signals(stopped.set)
        print(json.dumps(_describe_fleet(fleet)), flush=True)
        await stopped.wait()
        for daemon in list(fleet.daemons.values()):
            daemon.drain()


def _describe_fleet(fleet: Fleet) -> dict:
    return {
        "entries": [
            {
                "callers": f"{HOST}:{daemon.callers_port}",
                "operators": f"{HOST}:{daemon.operators_port}",
            }
            for daemon in fleet.daemons.values()
        ],
        "customers": [
            {"name": key.customer, "key_id": key.key_id, "secret": key.secret}
            for key in fleet.customer_keys
        ],
        "endpoints": [
            {
                "group": fleet.profile.group,
                "name": instance.cfg.name,
                "address": f"{HOST}:{instance.port}",
            }
            for instance in fleet.instances
        ],
        "operator_token": fleet.operator_token,
        "route": fleet.profile.route,
    }
