"""A daemon process reloads its settings on SIGHUP."""

import asyncio
import signal

from .process_fleet import HOST, ProcessFleet


async def test_reload_ignores_invalid_settings_and_applies_valid_ones(tmp_path):
    async with ProcessFleet(tmp_path, daemon_count=1) as fleet:
        await fleet.wait_for_status(
            "vm1", lambda status: status["control"]["leader"] == "vm1"
        )
        path = tmp_path / "vm1.ini"
        valid = path.read_text()
        path.write_text("nonsense\n" + valid)
        fleet.processes["vm1"].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert fleet.processes["vm1"].returncode is None
        control_section = f"[control]\nvm8 = {HOST}:8\nvm9 = {HOST}:9\n"
        path.write_text(valid.replace("[control]\n", control_section))
        fleet.processes["vm1"].send_signal(signal.SIGHUP)
        status = await fleet.wait_for_status(
            "vm1", lambda status: "vm9" in status["seeds"]
        )
        assert status["seeds"] == ["vm8", "vm9", "vm1"]
        assert fleet.processes["vm1"].returncode is None
