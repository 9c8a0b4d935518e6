"""A control VM whose disk refuses writes leaves the consensus, and returns."""

import asyncio
import errno
import os
from types import SimpleNamespace

import pytest

from lovagewalk.audit import AuditTrail
from lovagewalk.catalogue import Catalogue, ChangeResult, NoChange, control_proposal
from lovagewalk.consensus import (
    LogEntry,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    RaftState,
    SendToPeer,
)
from lovagewalk.control import (
    AnswerRequester,
    JournalRestored,
    JournalUnavailable,
    RecordAudit,
)
from lovagewalk.control._messages import ProposalResult
from lovagewalk.core import (
    Code,
    LovageError,
    RequirementFailed,
    Shell,
    Step,
    TimerService,
    perform,
)
from lovagewalk.journal import Journal, _journal
from lovagewalk.runtime import _storage
from lovagewalk.tests.disk_faults import RefusingFile


class FullDiskPorts:
    """Ports of a control VM, one voter of three, with its files in a folder."""

    def __init__(self, folder):
        self.timer = TimerService()
        self.journal = Journal(folder)
        self.journal.load()
        self.audit = AuditTrail(folder)
        self.state = SimpleNamespace(
            consensus=RaftState("vm1", "", ("vm2", "vm3"), seed=1)
        )
        self.peers = SimpleNamespace(consensus_disabled=False)
        self.events = []
        self.tasks = []

    def now(self):
        return self.timer.now()

    def feed(self, event):
        self.events.append(type(event))

    def spawn(self, coro):
        self.tasks.append(asyncio.get_running_loop().create_task(coro))


@pytest.fixture
async def ports(tmp_path, monkeypatch):
    monkeypatch.setattr(_storage, "PROBE_PERIOD_S", 0.01)
    full_disk_ports = FullDiskPorts(tmp_path)
    yield full_disk_ports
    for task in full_disk_ports.tasks:
        task.cancel()


def _entry(index):
    return LogEntry(index, 1, control_proposal(NoChange()))


def _perform_refused(ports, effect):
    with pytest.raises(RequirementFailed):
        perform(ports, effect)


async def test_a_vm_returns_once_its_disk_has_room(ports):
    """Three disks that were full in turn left control without a majority for good."""
    ports.journal._file = RefusingFile(ports.journal._file)
    _perform_refused(ports, PersistEntries((_entry(1),)))
    assert ports.events == [JournalUnavailable] and ports.peers.consensus_disabled
    await asyncio.wait_for(ports.tasks[0], 5.0)
    assert ports.events == [JournalUnavailable, JournalRestored]
    assert not ports.peers.consensus_disabled
    perform(ports, PersistEntries((_entry(1),)))
    ports.journal.close()
    assert len(Journal(ports.journal.folder).load().entries) == 1


async def test_a_vm_stays_away_while_its_disk_has_no_room(ports, monkeypatch):
    monkeypatch.setattr(ports.journal, "has_room", lambda: False)
    ports.journal._file = RefusingFile(ports.journal._file)
    _perform_refused(ports, PersistEntries((_entry(1),)))
    await asyncio.sleep(0.05)
    assert ports.events == [JournalUnavailable] and not ports.tasks[0].done()


async def test_no_entry_is_written_after_one_that_was_refused(ports, tmp_path):
    """On disk it would follow a gap, which a restart takes for a complete log."""
    perform(ports, PersistEntries((_entry(1),)))
    ports.journal._file = RefusingFile(ports.journal._file)
    _perform_refused(ports, PersistEntries((_entry(2),)))
    perform(ports, PersistEntries((_entry(3),)))
    ports.journal.close()
    stored = Journal(tmp_path).load()
    assert [entry.index for entry in stored.entries] == [1]


async def test_no_audit_record_is_written_after_one_that_was_refused(ports, tmp_path):
    """The entry that lacks its record would never be recorded again."""
    for index in (1, 2, 3):
        if index == 2:
            ports.audit._file = RefusingFile(ports.audit._file)
            _perform_refused(ports, RecordAudit(_entry(2), ChangeResult(2)))
        else:
            perform(ports, RecordAudit(_entry(index), ChangeResult(index)))
    assert ports.events == [JournalUnavailable]
    ports.audit.close()
    trail = AuditTrail(tmp_path)
    for index in (1, 2, 3):
        trail.append(index, 0.0, "control", "NoChange", {}, "ok")
    lines = trail.path.read_text().splitlines()
    assert len(lines) == 3


async def test_no_change_is_answered_that_the_audit_trail_could_not_take(ports):
    """The record was logged as failed, and so were all later ones."""
    ports.audit._file = RefusingFile(ports.audit._file)
    answered, sent, faults = [], [], []
    ports.pending_requests = SimpleNamespace(answer=answered.append)
    ports.peers.send = lambda peer, message: sent.append(message)
    shell = Shell(ports.state, ports, ports.timer, faults.append)
    result = ChangeResult(1)
    effects = (
        RecordAudit(_entry(1), result),
        AnswerRequester(1, result),
        SendToPeer("vm2", ProposalResult(1, result, "vm1")),
    )
    shell.apply_step(Step(ports.state, effects))
    assert answered == [] == sent and faults == []
    assert ports.events == [JournalUnavailable]


@pytest.mark.parametrize("failing", ["sync", "encode"])
async def test_a_vm_takes_part_again_after_any_failed_write(
    ports, monkeypatch, failing
):
    """A failed sync, and an entry that no VM could write, ended the process."""

    def fail(*args):
        raise (
            OSError(errno.EIO, "input/output error")
            if failing == "sync"
            else (OverflowError("integer out of range"))
        )

    with monkeypatch.context() as patch:
        if failing == "sync":
            patch.setattr(os, "fsync", fail)
        else:
            patch.setattr(_journal, "encode", fail)
        _perform_refused(ports, PersistEntries((_entry(1),)))
    await asyncio.wait_for(ports.tasks[0], 5.0)
    assert ports.events == [JournalUnavailable, JournalRestored]
    perform(ports, PersistVote(3, "vm2"))
    ports.journal.close()
    assert Journal(ports.journal.folder).load().term == 3


async def test_a_full_disk_at_a_snapshot_does_not_end_the_process(ports, monkeypatch):
    """The snapshot's error had another code than a full disk, which stopped it."""
    perform(ports, PersistEntries((_entry(1), _entry(2))))

    def refuse(path, data):
        raise OSError(errno.ENOSPC, "no space left on device")

    snapshot = PersistSnapshot(2, 1, (), Catalogue(), (), 1, "")
    with monkeypatch.context() as patch:
        patch.setattr(_journal, "replace_file", refuse)
        _perform_refused(ports, snapshot)
    await asyncio.wait_for(ports.tasks[0], 5.0)
    perform(ports, snapshot)
    ports.journal.close()
    assert Journal(ports.journal.folder).load().snapshot == snapshot


async def test_a_folder_of_another_version_is_left_as_it_is(ports, monkeypatch):
    """A build that was rolled back on all VMs must not set all folders aside."""

    def refuse(data):
        raise LovageError(Code.FRAME_BAD, "unsupported codec version")

    perform(ports, PersistEntries((_entry(1),)))
    ports.journal.close()
    before = (ports.journal.folder / "journal").read_bytes()
    monkeypatch.setattr(_journal, "decode", refuse)
    with pytest.raises(LovageError) as caught:
        _storage.load_storage(ports)
    assert caught.value.code is Code.DISK_UNREADABLE
    assert (ports.journal.folder / "journal").read_bytes() == before


async def test_damaged_files_are_set_aside_and_the_vm_starts(ports):
    """Each start ended with LW2202, until an operator moved the folder away."""
    for index in (1, 2):
        perform(ports, PersistEntries((_entry(index),)))
    ports.journal.close()
    path = ports.journal.folder / "journal"
    damaged = bytes((path.read_bytes()[0] ^ 1,)) + path.read_bytes()[1:]
    path.write_bytes(damaged)
    stored = _storage.load_storage(ports)
    assert stored.entries == () and stored.is_replacement
    kept = ports.journal.folder / "journal-damaged-1"
    assert kept.read_bytes() == damaged
