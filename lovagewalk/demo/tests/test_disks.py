"""Disks of control VMs that refuse writes or tear them, in a fleet in one process."""

import asyncio
import errno
import os

import pytest

from lovagewalk.consensus import RaftRole
from lovagewalk.demo import Fleet
from lovagewalk.tests.disk_faults import RefusingFile


@pytest.fixture
async def fleet():
    async with Fleet() as running_fleet:
        yield running_fleet


async def _put_customer(fleet, name, daemon):
    entry = {"name": name, "owner": "o", "rate": 1.0, "burst": 1.0, "weight": 1.0}
    await fleet.change({"_type": "PutCustomer", "entry": entry, "expected": 0}, daemon)


async def test_a_control_vm_whose_disk_was_full_rejoins_without_ending(fleet):
    """It ended each time that its disk had room again, on all VMs of a full site."""
    leader = fleet.leader().cfg.daemon.name
    daemon = fleet.daemons[next(n for n in fleet.daemons if n != leader)]
    for number in range(3):
        journal = daemon.ports.journal
        journal._file = RefusingFile(journal._file)
        await _put_customer(fleet, f"new{number}", leader)
        await fleet.until(lambda: daemon.state.consensus.role is RaftRole.OFFLINE)
        await fleet.until(
            lambda: daemon.state.consensus.role is RaftRole.FOLLOWER
            or daemon.ports.stopped.is_set()
        )
        assert not daemon.state.draining and not daemon.ports.stopped.is_set()
    revision = fleet.leader().state.consensus.last_applied
    await fleet.until(lambda: daemon.state.consensus.last_applied >= revision)
    assert daemon.state.catalogue.customer("new2")


async def test_a_leader_whose_sync_failed_confirms_nothing_and_rejoins(
    fleet, monkeypatch
):
    """Another leader decides the change, and the VM returns with what is on disk."""
    daemon = fleet.leader()
    name = daemon.cfg.daemon.name
    journal_fd = daemon.ports.journal._file.fileno()
    is_failing = [True]
    sync = os.fsync

    def fail(fd):
        if is_failing[0] and fd == journal_fd:
            raise OSError(errno.EIO, "input/output error")
        sync(fd)

    monkeypatch.setattr(os, "fsync", fail)
    other = next(n for n in fleet.daemons if n != name)
    change = asyncio.create_task(_put_customer(fleet, "new", other))
    await fleet.until(lambda: daemon.state.consensus.role is RaftRole.OFFLINE)
    is_failing[0] = False
    await change
    await fleet.until(
        lambda: all(d.state.catalogue.customer("new") for d in fleet.daemons.values())
    )
    await fleet.until(lambda: daemon.state.consensus.role is not RaftRole.OFFLINE)
    await fleet.until(fleet.leader)
    revision = fleet.leader().state.consensus.last_applied
    await fleet.until(lambda: daemon.state.consensus.last_applied >= revision)
    assert daemon.fault is None and not daemon.ports.stopped.is_set()


async def test_damaged_disks_of_two_vms_in_turn_lose_no_change(fleet):
    """Each start ended with LW2202; now the VM joins as one with an empty disk."""
    for number, name in enumerate(("vm1", "vm2")):
        await _put_customer(fleet, f"new{number}", name)
        daemon = fleet.daemons[name]
        disk = daemon.state.consensus.disk
        await fleet.kill_daemon(name)
        path = daemon.ports.journal.folder / "journal"
        path.write_bytes(bytes((path.read_bytes()[0] ^ 1,)) + path.read_bytes()[1:])
        await fleet.start_daemon(name)
        restarted = fleet.daemons[name]
        await fleet.until(lambda: restarted.state.consensus.is_voter)
        assert restarted.state.consensus.disk != disk
    await fleet.until(
        lambda: all(
            d.state.catalogue.customer("new0") and d.state.catalogue.customer("new1")
            for d in fleet.daemons.values()
        )
    )
