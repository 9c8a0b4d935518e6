"""A control VM with a full disk leaves the consensus, and returns once it has room."""

import asyncio
import errno
from types import SimpleNamespace

import pytest

from lovagewalk.audit import AuditTrail
from lovagewalk.catalogue import ChangeResult, NoChange, control_proposal
from lovagewalk.consensus import LogEntry, PersistEntries
from lovagewalk.control import (
    AnswerRequester,
    JournalFilled,
    JournalWritable,
    RecordAudit,
)
from lovagewalk.core import Shell, Step, TimerService, perform
from lovagewalk.journal import Journal
from lovagewalk.runtime import _storage


class FullFile:
    """A file on a disk without room."""

    def __init__(self, file):
        self._file = file

    def tell(self):
        return self._file.tell()

    def write(self, data):
        raise OSError(errno.ENOSPC, "no space left on device")

    def close(self):
        self._file.close()


class FullDiskPorts:
    """Ports of a control VM, one voter of three, with its files in a folder."""

    def __init__(self, folder):
        self.timer = TimerService()
        self.journal = Journal(folder)
        self.journal.load()
        self.audit = AuditTrail(folder)
        self.state = SimpleNamespace(consensus=SimpleNamespace(quorum=2))
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


async def test_a_vm_returns_once_its_disk_has_room(ports):
    """Three disks that were full in turn left control without a majority for good."""
    ports.journal._file = FullFile(ports.journal._file)
    perform(ports, PersistEntries((_entry(1),)))
    assert ports.events == [JournalFilled] and ports.peers.consensus_disabled
    await asyncio.wait_for(ports.tasks[0], 5.0)
    assert ports.events == [JournalFilled, JournalWritable]


async def test_a_vm_stays_away_while_its_disk_has_no_room(ports, monkeypatch):
    monkeypatch.setattr(ports.journal, "has_room", lambda: False)
    ports.journal._file = FullFile(ports.journal._file)
    perform(ports, PersistEntries((_entry(1),)))
    await asyncio.sleep(0.05)
    assert ports.events == [JournalFilled] and not ports.tasks[0].done()


async def test_no_entry_is_written_after_one_that_was_refused(ports, tmp_path):
    """On disk it would follow a gap, which a restart takes for a complete log."""
    perform(ports, PersistEntries((_entry(1),)))
    ports.journal._file = FullFile(ports.journal._file)
    perform(ports, PersistEntries((_entry(2),)))
    perform(ports, PersistEntries((_entry(3),)))
    ports.journal.close()
    stored = Journal(tmp_path).load()
    assert [entry.index for entry in stored.entries] == [1]


async def test_no_audit_record_is_written_after_one_that_was_refused(ports, tmp_path):
    """The entry that lacks its record would never be recorded again."""
    for index in (1, 2, 3):
        if index == 2:
            ports.audit._file = FullFile(ports.audit._file)
        perform(ports, RecordAudit(_entry(index), ChangeResult(index)))
    assert ports.events == [JournalFilled]
    ports.audit.close()
    trail = AuditTrail(tmp_path)
    for index in (1, 2, 3):
        trail.append(index, 0.0, "control", "NoChange", {}, "ok")
    lines = trail.path.read_text().splitlines()
    assert len(lines) == 3


async def test_no_change_is_answered_that_the_audit_trail_could_not_take(
    ports, monkeypatch
):
    """The record was logged as failed, and so were all later ones."""

    def refuse(path, size):
        raise OSError(errno.EROFS, "read-only file system")

    monkeypatch.setattr("os.truncate", refuse)
    ports.audit._file = FullFile(ports.audit._file)
    answered, faults = [], []
    ports.pending_requests = SimpleNamespace(answer=answered.append)
    shell = Shell(ports.state, ports, ports.timer, faults.append)
    result = ChangeResult(1)
    effects = (RecordAudit(_entry(1), result), AnswerRequester(1, result))
    shell.apply_step(Step(ports.state, effects))
    assert answered == [] and len(faults) == 1
