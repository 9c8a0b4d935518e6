"""Evacuations in a fleet in one process, whose groups control promotes itself."""

import asyncio

import asyncmy
import pytest

from lovagewalk.audit import parse_line, verify_lines
from lovagewalk.demo import run
from lovagewalk.operators import OperatorError

from .test_faults import (  # noqa: F401
    _start_writers,
    _stop_and_check,
    _wait_for_writes,
    fleet,
)


def _zone(running_fleet, instance):
    catalogue = running_fleet.leader().state.catalogue
    return catalogue.endpoints[instance.cfg.name].zone


async def _evacuate(running_fleet, *zones, withdraw=False):
    async with running_fleet.operator() as client:
        for zone in zones:
            path = f"/evacuations/{zone}?operator=anna"
            await (client.delete(path) if withdraw else client.post(path, {}))


def _statements(instance):
    """Return what an instance has received of the callers."""
    return [text for text in instance.received if "repairs" in text]


async def test_a_primary_moves_and_its_zone_gets_nothing(fleet):  # noqa: F811
    """Guards against statements to the zone, and against writes lost by the move."""
    writers = _start_writers(fleet)
    await _wait_for_writes(writers)
    old_primary = fleet.primary()
    zone = _zone(fleet, old_primary)
    await _evacuate(fleet, zone)
    await fleet.until(lambda: fleet.primary() is not old_primary)
    await _wait_for_writes(writers)
    received = len(_statements(old_primary))
    await _wait_for_writes(writers)
    assert len(_statements(old_primary)) == received
    await _evacuate(fleet, zone, withdraw=True)
    await _wait_for_writes(writers)
    await _stop_and_check(fleet, writers)
    async with fleet.operator() as client:
        lines = (await client.get_text("/audit")).splitlines()
    assert not verify_lines(iter(lines)).fault
    records = [parse_line(line) for line in lines]
    assert [r.operator for r in records if r.kind == "SetZoneEvacuation"] == [
        "anna"
    ] * 2


async def test_everything_is_refused_and_comes_back(fleet):  # noqa: F811
    """Guards against callers that wait for a zone that does not come back."""
    catalogue = fleet.leader().state.catalogue
    zones = {endpoint.zone for endpoint in catalogue.endpoints.values()}
    conn = await fleet.connect("vm1")
    await run(conn, "INSERT INTO repairs VALUES (1, 0)")
    await _evacuate(fleet, *zones)
    await fleet.until(
        lambda: all(
            daemon.state.catalogue.evacuated_zones == zones
            for daemon in fleet.daemons.values()
        )
    )
    for text in ("INSERT INTO repairs VALUES (2, 0)", "SELECT id FROM repairs"):
        with pytest.raises(
            asyncmy.errors.Error, match=r"LW1103 \[not run\].*evacuated"
        ):
            await run(conn, text)
    await _evacuate(fleet, *zones, withdraw=True)
    async with asyncio.timeout(30.0):
        while True:
            try:
                rows = await run(conn, "SELECT id FROM repairs")
                break
            except asyncmy.errors.Error:
                await asyncio.sleep(0.05)
    assert rows == [(1,)]
    conn.close()


async def test_an_unknown_zone_is_refused(fleet):  # noqa: F811
    with pytest.raises(OperatorError) as caught:
        await _evacuate(fleet, "nowhere")
    assert caught.value.code == "LW2101"
