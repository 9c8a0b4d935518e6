"""A route moves to another service and back while replicas are behind."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleet import play, route, tenant  # noqa: E402

HOME, AWAY, DATABASE, KEY = "svca1", "svcb2", "agenda", "k-north-7f3a91c2"
# Replicas are 8 ms behind; the site file's troubles let them apply up to 150 times as
# late.
LAG_S = 0.008 * 150
MAX_STALENESS_MS = 2500
# Gap between changes; the site file has storms with 0.06 s between them.
CHANGE_GAP_S = 0.33


def routes(service):
    return [
        route(
            "r-1",
            DATABASE,
            service,
            "read_your_writes",
            1000,
            1000,
            maxStalenessMs=MAX_STALENESS_MS,
        )
    ]


async def session_of_writes(fleet, edge, trouble, number):
    """Write, let the route move away and back, and read; return whether it was stale."""
    client = await fleet.connect(edge, DATABASE, KEY)
    item, data = f"item{number}", f"value{number}"
    write, answer, _ = await client.query(f"WRITE {item} {data}")
    if not answer.ok:
        client.close()
        return False
    acked_at = time.monotonic()
    if trouble:
        await fleet.put_config(routes(AWAY), TENANTS)
        # One operation while the route leads to the other service.
        for _ in range(50):
            request, _, _ = await client.query("READ elsewhere")
            if any(r["instance"].group.service == AWAY for r in fleet.runs_of(request)):
                break
            await asyncio.sleep(0.01)
        await asyncio.sleep(CHANGE_GAP_S)
        await fleet.put_config(routes(HOME), TENANTS)
    stale = False
    for _ in range(20):
        request, answer, sent_at = await client.query(f"READ {item}")
        home_runs = [
            r for r in fleet.runs_of(request) if r["instance"].group.service == HOME
        ]
        number_of_write = next(
            n for n, e in enumerate(fleet.groups[0].log, 1) if e["request"] == write
        )
        for run in home_runs:
            if answer.ok and run["number"] < number_of_write:
                stale = True
                fleet.log(
                    f"STALE: {request} ran on a log of {run['number']}; commit "
                    f"{number_of_write} of the same session was acknowledged "
                    f"{sent_at - acked_at:.3f} s before; read {answer.rows}"
                )
        if home_runs:
            break
        await asyncio.sleep(0.01)
    client.close()
    return stale


TENANTS = [tenant("north", [KEY])]


async def case(fleet, trouble):
    await fleet.put_config(routes(HOME), TENANTS)
    await fleet.wait_ready()
    warm = [await fleet.connect(edge, DATABASE, KEY) for edge in fleet.edges]
    for client in warm:
        await client.query("READ warm")
        client.close()
    await asyncio.sleep(3.0)
    if trouble:
        for instance in fleet.groups[0].instances[1:]:
            instance.lag_s = LAG_S
    # The lag lasts 6 s of the 7 s that the site file names.
    until = time.monotonic() + 6.0
    stale = number = 0
    while time.monotonic() < until and number < 6:
        edge = fleet.edges[number % len(fleet.edges)]
        stale += await session_of_writes(fleet, edge, trouble, number)
        number += 1
        await asyncio.sleep(CHANGE_GAP_S)
    fleet.log(f"sessions that did not read their own write: {stale} of {number}")
    return stale > 0


play(case, [HOME, AWAY])
