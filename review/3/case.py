"""A key moves from one tenant to another while a client that shows it is connected."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleet import BOUNDS, play, route, tenant  # noqa: E402

SERVICE, DATABASE = "svca1", "ledger"
MOVED, OTHER, THIRD = "k-moved-7f3a91c2", "k-other-2b90e1c4", "k-third-d2a7b3f6"


async def case(fleet, trouble):
    routes = [route("r-1", DATABASE, SERVICE, "primary", 1000, 600)]
    before = [tenant("north", [MOVED, OTHER]), tenant("south", [THIRD])]
    after = [tenant("north", [OTHER]), tenant("south", [THIRD, MOVED])]
    await fleet.put_config(routes, before)
    await fleet.wait_ready()
    clients = [await fleet.connect(edge, DATABASE, MOVED) for edge in fleet.edges]
    for client in clients:
        await client.query("WRITE item1 before")
    # Without the trouble a configuration comes too, but the key stays where it is.
    acked_at = await fleet.put_config(routes, after if trouble else before)
    holder = "south" if trouble else "north"
    await asyncio.sleep(BOUNDS["revokeMs"] / 1000 + 2.0)
    broken = 0
    for n in range(5):
        for client in clients:
            request, answer, sent_at = await client.query(f"WRITE item{n} after")
            if answer.error == "CLOSED":
                await client.open()
                request, answer, sent_at = await client.query(f"WRITE item{n} after")
            late_s = sent_at - acked_at - BOUNDS["configApplyMs"] / 1000
            for run in fleet.runs_of(request):
                if late_s > 0 and run["user"] != holder:
                    broken += 1
                    fleet.log(
                        f"UNASKED: {request} ran for {run['user']}, but {holder} holds "
                        f"the key since {time.monotonic() - acked_at:.1f} s"
                    )
        await asyncio.sleep(0.5)
    fleet.log(f"requests that ran for another tenant: {broken}")
    return broken > 0


play(case, [SERVICE])
