"""Faults of one process that overlap: it is started again once."""

import asyncio
import signal

from soak._faults import Kill, Stop
from soak._fleet import SoakFleet, _restart_after


class Process:
    """A process that takes a while to end after it was asked to."""

    def __init__(self):
        self.returncode = None
        self.ended = asyncio.Event()

    def send_signal(self, number):
        self.kill() if number == signal.SIGKILL else None

    def kill(self):
        self.returncode = 0
        self.ended.set()

    async def wait(self):
        await self.ended.wait()


class Fleet(SoakFleet):
    """Counts starts instead of starting anything."""

    def __init__(self, folder):
        super().__init__(folder)
        self.started = []

    async def start(self, program, name):
        self.started.append(name)
        return Process()


async def test_a_kill_during_a_drain_starts_the_process_once(tmp_path):
    fleet = Fleet(tmp_path)
    await fleet.launch("vm2")
    stop = _restart_after(fleet, Stop("vm2", 0.02), signal.SIGTERM)
    kill = _restart_after(fleet, Kill("vm2", 0.01), signal.SIGKILL)
    await asyncio.gather(stop, kill)
    assert fleet.started == ["vm2", "vm2"]
    assert fleet.processes["vm2"].returncode is None
