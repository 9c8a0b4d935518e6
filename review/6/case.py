"""Single writes of sessions with values, while the primary fails part of its requests.

Counts the commits of each write in the log of the primary.
"""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from site_2 import Client, Site, run_case

# The largest dose that the pages name for instances that fail part of their requests.
TROUBLE = {"fraction": 0.4}
TROUBLE_S = 6.0
SESSIONS = 6


async def write_all(site, number, end):
    """Write until `end` in sessions that have set a value of their own."""
    count = 0
    client = None
    while time.time() < end:
        if client is None or not client.is_open:
            client = Client(site, site.edge_hosts[number % len(site.edge_hosts)])
            if not await client.open():
                await asyncio.sleep(0.1)
                continue
            await client.query(f"SET branch b{number}")
        count += 1
        await client.query(f"WRITE sale-{number}-{count} one")
        await asyncio.sleep(0.02)
    if client is not None:
        client.close()


async def check(with_trouble):
    service = {"trouble": TROUBLE, "workMs": 4, "maxConns": 20}
    async with Site(HERE, service) as site:
        if with_trouble:
            site.set_trouble(True)
        end = time.time() + TROUBLE_S
        await asyncio.gather(*(write_all(site, n, end) for n in range(SESSIONS)))
        if with_trouble:
            site.set_trouble(False)
        await asyncio.sleep(1.0)
        commits = Counter(
            entry["id"] for entry in site.service_record() if entry["event"] == "commit"
        )
        return [
            f"TWICE: attempt {e['id']} ({e['text']}) was answered {e['outcome']} and "
            f"committed {commits[e['id']]} times"
            for e in site.record
            if e["event"] == "query" and commits[e["id"]] > 1
        ]


run_case(check)
