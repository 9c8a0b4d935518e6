"""Writes with `syncReplicas` 1, while the primary is cut off from the core.

Orders to resume are left unanswered and carried out late; one of them after the replica
has been paused for the promotion. Compares the acknowledged commits with the log of the
instance at the moment of its promotion.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from site_2 import KEY, KEY_2, TENANT_2, CannotRun, Client, Site, run_case

# The primary is cut off from control and from the callers of one daemon of three.
TROUBLE = {"cutUsers": ["lovagewalk", TENANT_2]}
CUT_S = 5.0
# Orders are carried out 2 to 12 s late.
LATE_ORDERS = {"minS": 2.0, "maxS": 12.0}
BEFORE_CUT_S = 3.0
AFTER_CUT_S = 2.0
SESSIONS = 12


async def write_all(site, number, end):
    """Write until `end`; the callers of the last daemon belong to another tenant."""
    edge = number % len(site.edge_hosts)
    key = KEY_2 if edge == len(site.edge_hosts) - 1 else KEY
    client = None
    count = 0
    while time.time() < end:
        if client is None or not client.is_open:
            client = Client(site, site.edge_hosts[edge])
            if not await client.open(key):
                await asyncio.sleep(0.1)
                continue
        count += 1
        await client.query(f"WRITE sale-{number}-{count} one")
        await asyncio.sleep(0.05)
    if client is not None:
        client.close()


async def check(with_trouble):
    service = {
        "trouble": TROUBLE,
        "syncReplicas": 1,
        "receiveMs": 20,
        "promoteMs": 1000,
        "maxConns": 21,
    }
    if with_trouble:
        service["lateOrders"] = LATE_ORDERS
    async with Site(HERE, service, edges=3) as site:
        start = time.time()
        end = start + BEFORE_CUT_S + CUT_S + AFTER_CUT_S
        sessions = [
            asyncio.create_task(write_all(site, n, end)) for n in range(SESSIONS)
        ]
        await asyncio.sleep(BEFORE_CUT_S)
        if with_trouble:
            site.set_trouble(True)
        await asyncio.sleep(CUT_S)
        if with_trouble:
            site.set_trouble(False)
        await asyncio.gather(*sessions)
        record = site.service_record()
        promotions = [e for e in record if e["event"] == "promote" and e["at"] > start]
        if with_trouble and not promotions:
            raise CannotRun("no instance was promoted")
        orders = [e["outcome"] for e in record if e["event"] == "instance order"]
        print(f"{len(orders)} orders to instances, {orders.count('late')} late")
        return find_lost(site, record, promotions)


def find_lost(site, record, promotions):
    """Return the acknowledged commits that a promoted instance did not hold."""
    acknowledged = {
        e["id"] for e in site.record if e["event"] == "query" and e["outcome"] == "ok"
    }
    lost = {}
    for promotion in promotions:
        last = tuple(promotion["log"])
        for entry in record:
            if entry["event"] != "confirmed" or entry["at"] >= promotion["at"]:
                continue
            position = (entry["term"], entry["number"])
            if entry["id"] in acknowledged and position > last:
                lost.setdefault(entry["id"], (position, promotion, last))
    return [
        f"LOST: attempt {attempt} was acknowledged as commit {term}.{number}; "
        f"{p['instance']} was promoted with the log up to {last[0]}.{last[1]}"
        for attempt, ((term, number), p, last) in lost.items()
    ]


run_case(check)
