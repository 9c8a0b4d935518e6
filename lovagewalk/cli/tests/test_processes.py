"""Daemons and instances that run as separate processes."""

import asyncio
import os
import signal
import sys

import pytest

from lovagewalk.demo import run

from .process_fleet import MAIN_SCRIPT, ProcessFleet, daemon_ini, is_serving


def _has_primary(status):
    return bool(status["groups"] and status["groups"][0]["primary"])


async def test_session_continues_on_another_vm_after_a_vm_is_killed(tmp_path):
    async with ProcessFleet(tmp_path) as fleet:
        await fleet.wait_for_status("vm1", _has_primary)
        await fleet.set_up_catalogue(["c"], 500.0, 100.0)
        for name in ("vm1", "vm3"):
            await fleet.wait_for_status(name, is_serving)
        async with fleet.operator_client("vm3") as client:
            catalogue = await client.get("/catalogue")
        assert [item["entry"]["name"] for item in catalogue["customers"]] == ["c"]
        conn = await fleet.connect("vm3", "c", "secret")
        await run(conn, "CREATE TABLE sales (id INT PRIMARY KEY)")
        await run(conn, "INSERT INTO sales VALUES (1)")
        token = (await run(conn, "SELECT LOVAGEWALK_TOKEN()"))[0][0]
        fleet.processes["vm3"].kill()
        new_conn = await fleet.connect("vm1", "c", "secret")
        query = f"/* lw token={token} */ SELECT id FROM sales"
        assert await run(new_conn, query) == [(1,)]
        new_conn.close()
        fleet.processes["vm1"].send_signal(signal.SIGTERM)
        assert await fleet.processes["vm1"].wait() == 0


@pytest.mark.parametrize(
    ("replacement", "problem"),
    [
        (("zone = z\n", ""), "[daemon] zone: setting is missing"),
        (
            ("fleet_size = 3", "fleet_size = many"),
            "[daemon] fleet_size: must be a number",
        ),
        (
            ("region = r", "region = r\ncolour = red"),
            "[daemon] colour: unknown setting",
        ),
        (("[log]", "[lag]"), "[lag] *: unknown section"),
        (("level = WARNING", "level = LOUD"), "[log] level: must be one of"),
        (("fleet = ", "fleet = short\n; instead of "), "[secrets] fleet: shorter"),
        (("host = 127.0.0.1", "host = localhost"), "[listen] host: not an IP address"),
        (
            ("roles = entry, control", "roles = king"),
            "[daemon] roles: must be one or more",
        ),
        (("[daemon]", "nonsense\n[daemon]"), "[file] vm1.ini"),
    ],
)
async def test_check_reports_the_problem_and_its_setting(
    tmp_path, replacement, problem
):
    settings = daemon_ini(tmp_path, "vm1", (1, 2), {"vm1": 3})
    path = tmp_path / "vm1.ini"
    path.write_text(settings.replace(*replacement))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        MAIN_SCRIPT,
        "check",
        str(path),
        stderr=asyncio.subprocess.PIPE,
        env=dict(os.environ),
    )
    _, errors = await process.communicate()
    assert process.returncode == 2
    assert problem in errors.decode()
