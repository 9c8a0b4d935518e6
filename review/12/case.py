"""A customer's limit is lowered by less than half while its bucket is lent in parts."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from site_3 import (  # noqa: E402
    BROKEN,
    CONTROL_PORT,
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
    send_http,
)

ZONES = {
    "celaya": "bajio",
    "queretaro": "bajio",
    "guadalajara": "occidente",
    "zapopan": "occidente",
}
EDGES_IN_ZONE = 3
INVARIANTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "health",
    "pool",
    "sql",
    "tenants",
    "quota",
]
CONFIG_APPLY_S, WINDOW_S, OVERAGE, SLACK = 5.0, 5.0, 0.1, 20
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "settleWindowMs": 6000,
    "ackTimeoutMs": 8000,
    "catchUpS": 6,
    "drainMs": 7000,
    "graceS": 6,
    "configApplyMs": 5000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
    "recoveryS": 15,
    "fencingEnforced": True,
}
SERVICE, DATABASE, TENANT = "registro", "ordenes", "large"
BEFORE, AFTER = (100, 20), (72, 14)
# The tenant sends more than either limit, evenly from all zones.
SENT_PER_S = 160.0
SESSIONS_PER_EDGE = 6
BEFORE_S, AFTER_S = 10.0, 25.0


async def send_at_a_rate(client, period_s, sent_at):
    await asyncio.sleep(period_s * (id(client) % 97) / 97)
    due = time.monotonic()
    number = 0
    while True:
        number += 1
        request = Client.next_id()
        sent_at[request] = time.monotonic()
        await client.query(f"WRITE it{number % 50} data{number}", request)
        due = max(due + period_s, time.monotonic())
        await asyncio.sleep(max(due - time.monotonic(), 0.0))


def find_worst_window(runs, sent_at, since, until):
    """Return the most runs in a window in which they were both sent and arrived."""
    spans = sorted(
        (run_at, sent_at[request])
        for run_at, tenant, request in runs
        if tenant == TENANT and since <= sent_at[request] and run_at <= until
    )
    worst, worst_end = 0, 0.0
    for run_at, _ in spans:
        start = run_at - WINDOW_S
        count = sum(start <= sent and at <= run_at for at, sent in spans)
        if count > worst:
            worst, worst_end = count, run_at
    return worst, worst_end


def allowed(limits):
    rate, burst = limits
    return (rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK


async def play(record, folder):
    edges = [zone for zone in ZONES for _ in range(EDGES_IN_ZONE)]
    site = Site(record, folder, ZONES, edges, 2.0, INVARIANTS, BOUNDS)
    group = Group(record, SERVICE)
    group.work_s = 0.001
    site.groups.append(group)
    for number, zone in enumerate(("celaya", "guadalajara", "zapopan")):
        Instance(group, f"i-{number}", site.next_host(), zone)
    group.instances[0].role = "primary"
    sent_at = {}
    route = {
        "host": DATABASE,
        "kind": "primary",
        "timeoutMs": 1000,
        "targetLatencyMs": 600,
    }

    def build(version, limits):
        tenant = {"name": TENANT, "apiKeys": [KEY]}
        tenant |= {"ratePerS": limits[0], "burst": limits[1]}
        return build_configuration(version, SERVICE, [route], [tenant], connections=180)

    try:
        await site.start()
        await site.configure(build(1, BEFORE))
        await site.wait_ready()
        hosts = [host for host, _ in site.edges.values()]
        clients = [
            Client(record, host, DATABASE)
            for host in hosts
            for _ in range(SESSIONS_PER_EDGE)
        ]
        for client in clients:
            site.spawn(send_at_a_rate(client, len(clients) / SENT_PER_S, sent_at))
        await asyncio.sleep(BEFORE_S)
        limits = BEFORE
        bound_since = time.monotonic() - 5.0
        if has_trouble():
            limits = AFTER
            acknowledged_at = await site.configure(build(2, AFTER))
            # A lower limit binds one window after `configApplyMs`.
            bound_since = acknowledged_at + CONFIG_APPLY_S + WINDOW_S
        await asyncio.sleep(AFTER_S)
        until = time.monotonic()
        site.check_alive()
        status, body = await send_http(
            site.shuffled_control_hosts()[0], CONTROL_PORT, "GET", "/lovagewalk/config"
        )
        held = json.loads(body) if status == 200 else {}
        record.write(f"read back: {status} {held.get('tenants')}")
        print("read back:", held.get("version"), held.get("tenants"))
        runs = list(group.runs)
    finally:
        site.close()
    worst, _ = find_worst_window(runs, sent_at, bound_since, until)
    if worst < limits[0] * WINDOW_S / 2:
        raise NotRunError(f"only {worst} requests run in a window")
    bound = allowed(limits)
    text = f"limit {limits}: {worst} requests in the worst window, {bound:.0f} allowed"
    print(text)
    record.write(f"verdict: {text}")
    return BROKEN if worst > bound else HELD


run_case(play, Path(__file__).resolve().parent)
