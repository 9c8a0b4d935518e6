"""Evacuations of zones through the operators' HTTP interface of a control VM."""

import asyncio
import json

import pytest

from lovagewalk.audit import AUDIT_FILE_NAME

from .test_start import HOST, _build_settings, _start, metrics_port  # noqa: F401


async def _send(cfg, method, zone):
    """Send a request without a body, and return its status and answer."""
    reader, writer = await asyncio.open_connection(HOST, cfg.operators.port)
    head = f"{method} /lovagewalk/drain/{zone} HTTP/1.1\r\nHost: x\r\n"
    writer.write(f"{head}Connection: close\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body or b"{}")


async def _send_until_decided(cfg, method, zone):
    while True:
        status, answer = await _send(cfg, method, zone)
        if status != 503:
            return status, answer
        await asyncio.sleep(0.05)


@pytest.fixture
async def daemon(tmp_path, metrics_port):  # noqa: F811
    running, start = await _start(_build_settings(tmp_path))
    await asyncio.wait_for(start, 5.0)
    yield running
    await running.close()


async def test_requests_are_acknowledged_and_in_force(daemon):
    """Guards against an answer before the request is in force and in the trail."""
    async with asyncio.timeout(10.0):
        for method, evacuated in (("POST", True), ("POST", True), ("DELETE", False)):
            status, answer = await _send_until_decided(daemon.cfg, method, "z")
            assert (status, answer) == (200, {"zone": "z", "evacuated": evacuated})
            assert daemon.ports.state.catalogue.evacuated_zones == (
                {"z"} if evacuated else set()
            )
    trail = daemon.ports.audit.path.with_name(AUDIT_FILE_NAME).read_text()
    assert trail.count("SetZoneEvacuation") == 3


async def test_an_unknown_zone_or_another_method_is_refused(daemon):
    """Guards against a misspelt zone that is acknowledged and has no effect."""
    async with asyncio.timeout(10.0):
        for method in ("POST", "DELETE"):
            status, answer = await _send_until_decided(daemon.cfg, method, "no%20zone")
            assert status == 400 and "LW2101" in answer["error"]
            assert (await _send(daemon.cfg, method, ""))[0] == 400
        assert (await _send(daemon.cfg, "PUT", "z"))[0] == 404


async def test_an_acknowledged_evacuation_survives_a_restart(daemon):
    """Guards against an evacuation that only the memory holds."""
    async with asyncio.timeout(10.0):
        assert (await _send_until_decided(daemon.cfg, "POST", "z"))[0] == 200
    await daemon.close()
    again, start = await _start(daemon.cfg)
    async with asyncio.timeout(10.0):
        await start
        while not again.ports.state.catalogue.evacuated_zones:
            await asyncio.sleep(0.05)
    await again.close()
