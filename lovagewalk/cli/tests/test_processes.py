"""Daemons and instances that run as separate processes."""

import asyncio
import os
import signal
import sys

import pytest

from lovagewalk.demo import run

from .rig import COMMAND, Rig, daemon_ini, is_serving


def _has_primary(status):
    return bool(status["groups"] and status["groups"][0]["primary"])


async def test_fleet_of_processes_serves_and_survives_a_killed_vm(tmp_path):
    async with Rig(tmp_path) as rig:
        await rig.until("vm1", _has_primary)
        await rig.set_up(["c"], 500.0, 100.0)
        for name in ("vm1", "vm3"):
            await rig.until(name, is_serving)
        async with rig.operator("vm3") as client:
            catalogue = await client.get("/catalogue")
        assert [item["entry"]["name"] for item in catalogue["customers"]] == ["c"]
        conn = await rig.connect("vm3", "c", "secret")
        await run(conn, "CREATE TABLE sales (id INT PRIMARY KEY)")
        await run(conn, "INSERT INTO sales VALUES (1)")
        token = (await run(conn, "SELECT LOVAGEWALK_TOKEN()"))[0][0]
        rig.processes["vm3"].kill()
        other = await rig.connect("vm1", "c", "secret")
        text = f"/* lw token={token} */ SELECT id FROM sales"
        assert await run(other, text) == [(1,)]
        other.close()
        rig.processes["vm1"].send_signal(signal.SIGTERM)
        assert await rig.processes["vm1"].wait() == 0


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (("zone = z\n", ""), "[daemon] zone: setting is missing"),
        (("fleet_size = 3", "fleet_size = many"), "[daemon] fleet_size: not a number"),
        (
            ("region = r", "region = r\ncolour = red"),
            "[daemon] colour: unknown setting",
        ),
        (("[log]", "[lag]"), "[lag] *: unknown section"),
        (("level = WARNING", "level = LOUD"), "[log] level: one of"),
        (("fleet = ", "fleet = short\n; instead of "), "[secrets] fleet: shorter"),
        (("host = 127.0.0.1", "host = localhost"), "[listen] host: not an IP number"),
        (("roles = entry, control", "roles = king"), "[daemon] roles: one or more"),
        (("[daemon]", "nonsense\n[daemon]"), "[file] vm1.ini"),
    ],
)
async def test_check_names_what_is_wrong(tmp_path, change, named):
    text = daemon_ini(tmp_path, "vm1", (1, 2), {"vm1": 3})
    path = tmp_path / "vm1.ini"
    path.write_text(text.replace(*change))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        COMMAND,
        "check",
        str(path),
        stderr=asyncio.subprocess.PIPE,
        env=dict(os.environ),
    )
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert named in errors.decode()
