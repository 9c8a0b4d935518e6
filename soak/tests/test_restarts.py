"""Overlapping faults restart a process once, and data is lost on one node at a time.

Two restarts would run two processes on one data folder. A second loss of rows or of a
disk before the first one is repaired exceeds what the fleet is designed to tolerate.
"""

import asyncio
import signal

import pytest

from soak._faults import Kill, Stop
from soak._fleet import SoakFleet, _restart_after


class FakeProcess:
    """A fake process that ends only when it is killed."""

    def __init__(self):
        self.returncode = None
        self.ended = asyncio.Event()

    def send_signal(self, signal_number):
        self.kill() if signal_number == signal.SIGKILL else None

    def kill(self):
        self.returncode = 0
        self.ended.set()

    async def wait(self):
        await self.ended.wait()


class RecordingFleet(SoakFleet):
    """Records the starts of processes instead of starting them."""

    def __init__(self, folder):
        super().__init__(folder)
        self.started = []

    async def start_process(self, program, name, output):
        self.started.append(name)
        return FakeProcess()


async def test_a_kill_during_a_drain_starts_the_process_once(tmp_path):
    fleet = RecordingFleet(tmp_path)
    await fleet.launch("vm2")
    stop = _restart_after(fleet, Stop("vm2", 0.02), signal.SIGTERM)
    kill = _restart_after(fleet, Kill("vm2", 0.01), signal.SIGKILL)
    await asyncio.gather(stop, kill)
    assert fleet.started == ["vm2", "vm2"]
    assert fleet.processes["vm2"].returncode is None


class IncarnationsFleet(SoakFleet):
    """A fleet whose instances and daemons report incarnations that a test sets."""

    def __init__(self, folder, incarnations, reported):
        super().__init__(folder)
        self.incarnations, self.reported = incarnations, reported

    async def _fetch_incarnation(self, name):
        return self.incarnations[name]

    async def _fetch_voters(self, name):
        return self.reported[name]


INCARNATIONS = {"db1": "a", "db2": "b", "db3": "c"}
REPORTED = dict.fromkeys(("vm1", "vm2", "vm3"), INCARNATIONS)


@pytest.mark.parametrize(
    ("incarnations", "reported", "repaired"),
    [
        (INCARNATIONS, REPORTED, True),
        (INCARNATIONS, REPORTED | {"vm2": None}, True),
        (INCARNATIONS | {"db1": "lost"}, REPORTED, False),
        (INCARNATIONS | {"db1": None}, REPORTED, False),
        (
            INCARNATIONS | {"db1": "new"},
            REPORTED | {"vm1": INCARNATIONS | {"db1": "new"}},
            False,
        ),
        (INCARNATIONS, dict.fromkeys(REPORTED, None), False),
    ],
)
async def test_group_is_repaired_if_responding_daemons_report_current_incarnations(
    tmp_path, incarnations, reported, repaired
):
    assert (
        await IncarnationsFleet(tmp_path, incarnations, reported).is_group_repaired()
        is repaired
    )


class StatusFleet(SoakFleet):
    """A fleet whose control VMs return statuses that a test sets."""

    def __init__(self, folder, statuses):
        super().__init__(folder)
        self.statuses = statuses

    async def _fetch_status(self, name):
        return self.statuses[name]


DISKS = {"vm1": "a", "vm2": "b", "vm3": "c"}
STATUSES = {
    name: {"control": {"disk": disk, "voters": DISKS}} for name, disk in DISKS.items()
}
EMPTIED = {"vm1": {"control": {"disk": "new", "voters": {}}}}


@pytest.mark.parametrize(
    ("statuses", "repaired"),
    [(STATUSES, True), (STATUSES | {"vm3": None}, False), (STATUSES | EMPTIED, False)],
)
async def test_control_is_repaired_if_all_vms_vote_with_their_current_disk(
    tmp_path, statuses, repaired
):
    assert await StatusFleet(tmp_path, statuses).is_control_repaired() is repaired
