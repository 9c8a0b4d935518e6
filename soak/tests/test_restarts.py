"""Overlapping faults start a process once, and data is lost on one node at a time.

Two starts would run two processes on one data folder. A second loss of rows or of a
disk before the first one is repaired exceeds what the fleet is designed to tolerate.
"""

import asyncio
import signal

import pytest

from soak._faults import Kill, Stop
from soak._fleet import SoakFleet, _restart_after


class Process:
    """A fake process that ends only when it is killed."""

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
    """Records the starts of processes instead of starting them."""

    def __init__(self, folder):
        super().__init__(folder)
        self.started = []

    async def start_process(self, program, name):
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


class Knowing(SoakFleet):
    """A fleet whose instances and daemons report incarnations that a test sets."""

    def __init__(self, folder, held, told):
        super().__init__(folder)
        self.held, self.told = held, told

    async def _incarnation(self, name):
        return self.held[name]

    async def _voters(self, name):
        return self.told[name]


WHOLE = {"db1": "a", "db2": "b", "db3": "c"}
ALL = dict.fromkeys(("vm1", "vm2", "vm3"), WHOLE)


@pytest.mark.parametrize(
    ("held", "told", "whole"),
    [
        (WHOLE, ALL, True),
        (WHOLE, ALL | {"vm2": None}, True),
        (WHOLE | {"db1": "lost"}, ALL, False),
        (WHOLE | {"db1": None}, ALL, False),
        (WHOLE | {"db1": "new"}, ALL | {"vm1": WHOLE | {"db1": "new"}}, False),
        (WHOLE, dict.fromkeys(ALL, None), False),
    ],
)
async def test_rows_are_taken_from_a_whole_group_only(tmp_path, held, told, whole):
    assert await Knowing(tmp_path, held, told).is_group_whole() is whole


class Telling(SoakFleet):
    """A fleet whose control VMs return statuses that a test sets."""

    def __init__(self, folder, told):
        super().__init__(folder)
        self.told = told

    async def _status(self, name):
        return self.told[name]


DISKS = {"vm1": "a", "vm2": "b", "vm3": "c"}
CONTROL = {
    name: {"control": {"disk": disk, "voters": DISKS}} for name, disk in DISKS.items()
}
RETURNED = {"vm1": {"control": {"disk": "new", "voters": {}}}}


@pytest.mark.parametrize(
    ("told", "whole"),
    [(CONTROL, True), (CONTROL | {"vm3": None}, False), (CONTROL | RETURNED, False)],
)
async def test_a_disk_is_taken_from_whole_control_only(tmp_path, told, whole):
    assert await Telling(tmp_path, told).is_control_whole() is whole
