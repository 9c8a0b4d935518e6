"""Reads and single writes on a `primary` route, while the primary refuses requests.

Compares the acknowledged writes with the log of the primary, which stays the same.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from site_2 import CannotRun, Client, Site, run_case

# The largest dose that the pages name for instances that fail part of their requests.
TROUBLE = {"fraction": 0.4}
TROUBLE_S = 6.0
SESSIONS = 12


async def use(site, number, end):
    """Read once and write twice by turns until `end`, outside transactions."""
    count = 0
    client = None
    while time.time() < end:
        if client is None or not client.is_open:
            client = Client(site, site.edge_hosts[number % len(site.edge_hosts)])
            if not await client.open():
                await asyncio.sleep(0.1)
                continue
        count += 1
        if (count + number) % 3 == 0:
            await client.query("READ warmup")
        else:
            await client.query(f"WRITE sale-{number}-{count} one")
        await asyncio.sleep(0.01)
    if client is not None:
        client.close()


async def check(with_trouble):
    service = {"trouble": TROUBLE, "workMs": 4, "maxConns": 20}
    async with Site(HERE, service) as site:
        if with_trouble:
            site.set_trouble(True)
        start = time.time()
        await asyncio.gather(*(use(site, n, start + TROUBLE_S) for n in range(SESSIONS)))
        if with_trouble:
            site.set_trouble(False)
        await asyncio.sleep(1.0)
        record = site.service_record()
        if any(e["event"] == "promote" and e["at"] > start for e in record):
            raise CannotRun("the primary was replaced")
        committed = {e["id"] for e in record if e["event"] == "commit"}
        inside = {
            e["id"]
            for e in record
            if e["event"] == "run" and e["outcome"] == "ok" and e["transaction"]
        }
        return [
            f"PINNED: the single write {e['id']} ({e['text']}) was acknowledged; it ran "
            f"inside a transaction: {e['id'] in inside}; in the log: {e['id'] in committed}"
            for e in site.record
            if e["event"] == "query"
            and e["outcome"] == "ok"
            and e["text"].startswith("WRITE")
            and e["id"] not in committed
        ]


run_case(check)
