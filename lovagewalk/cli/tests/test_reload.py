"""A daemon process reloads its settings on SIGHUP."""

import asyncio
import signal

from .rig import HOST, Rig


async def test_a_daemon_outlives_bad_settings_and_takes_good_ones_over(tmp_path):
    async with Rig(tmp_path, count=1) as rig:
        await rig.until("vm1", lambda status: status["control"]["leader"] == "vm1")
        path = tmp_path / "vm1.ini"
        good = path.read_text()
        path.write_text("nonsense\n" + good)
        rig.processes["vm1"].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert rig.processes["vm1"].returncode is None
        added = f"[control]\nvm8 = {HOST}:8\nvm9 = {HOST}:9\n"
        path.write_text(good.replace("[control]\n", added))
        rig.processes["vm1"].send_signal(signal.SIGHUP)
        status = await rig.until("vm1", lambda status: "vm9" in status["seeds"])
        assert status["seeds"] == ["vm8", "vm9", "vm1"]
        assert rig.processes["vm1"].returncode is None
