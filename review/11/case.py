"""A replica that restarts while a promotion is ordered confirms commits again."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from site_3 import (  # noqa: E402
    BROKEN,
    HELD,
    KEY,
    Client,
    Group,
    Instance,
    NotRunError,
    Site,
    build_configuration,
    has_trouble,
    run_case,
)

ZONES = {"celaya": "bajio", "queretaro": "bajio", "guadalajara": "occidente"}
INVARIANTS = ["base", "drain", "config", "cost", "recover", "sql", "tenants", "quota"]
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "settleWindowMs": 5000,
    "ackTimeoutMs": 6000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "configApplyMs": 4000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "recoveryS": 12,
    "fencingEnforced": True,
}
SERVICE, DATABASE = "registro", "ordenes"
PROMOTE_S = 1.0
# The replica crashes twice. It is up again for at most `MAX_UP_S`, and fails `FAIL_AFTER_S`
# after the promotion of the other one was ordered.
FIRST_DOWN_S, SECOND_DOWN_S, MAX_UP_S, FAIL_AFTER_S = 1.2, 0.15, 1.5, 0.1
# From a replica's start until it receives from the primary.
CONNECT_S = 0.35
CLIENTS = 6


async def write_all_the_time(client, acknowledged):
    number = 0
    while True:
        number += 1
        request, outcome, *_ = await client.query(f"WRITE it{number} data{number}")
        if outcome == "ok":
            acknowledged[request] = time.monotonic()
            await asyncio.sleep(0.03)
        else:
            await asyncio.sleep(0.1)


async def crash_for(site, replica, down_s):
    record = site.record
    record.write(f"{replica.name} crashes")
    replica.crash()
    await asyncio.sleep(down_s)
    await replica.start()
    record.write(f"{replica.name} is up again")
    site.spawn(replica.send_heartbeat(site))


async def crash_twice(site, group, replica):
    fence = group.highest_fence
    await crash_for(site, replica, FIRST_DOWN_S)
    end = time.monotonic() + MAX_UP_S
    while group.highest_fence == fence and time.monotonic() < end:
        await asyncio.sleep(0.005)
    await asyncio.sleep(FAIL_AFTER_S)
    await crash_for(site, replica, SECOND_DOWN_S)


async def play(record, folder):
    edges = list(ZONES)
    site = Site(record, folder, ZONES, edges, 1000.0, INVARIANTS, BOUNDS)
    group = Group(record, SERVICE, sync=1, promote_s=PROMOTE_S)
    site.groups.append(group)
    names = ("i-1", "i-2", "i-3")
    for name, zone in zip(names, ZONES, strict=True):
        Instance(group, name, site.next_host(), zone)
    primary, first, second = group.instances
    primary.role = "primary"
    first.receive_delay_s, second.receive_delay_s = 0.004, 0.021
    second.connect_s = CONNECT_S
    acknowledged = {}
    try:
        await site.start()
        route = {
            "host": DATABASE,
            "kind": "primary",
            "timeoutMs": 1000,
            "targetLatencyMs": 600,
        }
        tenant = {"name": "t", "apiKeys": [KEY], "ratePerS": 900, "burst": 900}
        await site.configure(
            build_configuration(1, SERVICE, [route], [tenant], sync=1)
        )
        await site.wait_ready()
        hosts = [host for host, _ in site.edges.values()]
        for number in range(CLIENTS):
            client = Client(record, hosts[number % len(hosts)], DATABASE)
            site.spawn(write_all_the_time(client, acknowledged))
        await asyncio.sleep(5.0)
        if len(acknowledged) < 50:
            raise NotRunError("writes are not served")
        if has_trouble():
            site.spawn(crash_twice(site, group, second))
            await asyncio.sleep(0.05)
        record.write("the primary is to be replaced: it says that it drains")
        primary.state = "draining"
        if not await primary.send_heartbeat(site):
            raise NotRunError("the heartbeat is not acknowledged")
        await asyncio.sleep(8.0)
        site.check_alive()
        if group.term == 1:
            raise NotRunError("nothing was promoted")
    finally:
        site.close()
    lost = [request for request in group.lost if request in acknowledged]
    print(
        f"acknowledged {len(acknowledged)} term {group.term} "
        f"lost {len(group.lost)}, of which clients had a success for {len(lost)}"
    )
    record.write(f"verdict: {len(lost)} acknowledged commits lost")
    return BROKEN if lost else HELD


run_case(play, Path(__file__).resolve().parent)
