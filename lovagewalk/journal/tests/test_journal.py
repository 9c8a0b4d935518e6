"""The data folder: torn records, bit rot, full disks and failed syncs."""

import errno
import os
from types import SimpleNamespace

import pytest

from lovagewalk.catalogue import (
    Catalogue,
    ControlVoter,
    CustomerEntry,
    IssueKey,
    Proposal,
    PutCustomer,
    apply_proposal,
)
from lovagewalk.consensus import (
    AppendReply,
    LogEntry,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
    SendToPeer,
)
from lovagewalk.core import Code, LovageError, Shell, Step, TimerService
from lovagewalk.journal import Journal
from lovagewalk.journal._frames import SYNC_MARK
from lovagewalk.runtime import PERFORMERS


def _build_entry(index, term=1):
    command = PutCustomer(CustomerEntry(f"c{index}", "o", 5.0, 5.0), 0)
    return LogEntry(index, term, Proposal(f"p{index}", "op", 1.5, command))


def _write_journal(folder, *records):
    journal = Journal(folder)
    journal.load()
    for record in records:
        journal.append(record)
    journal.close()


def test_stored_records_are_loaded(tmp_path):
    voters = (ControlVoter("vm1", "d1"),)
    _write_journal(
        tmp_path,
        PersistVoters(voters),
        PersistVote(3, "vm2"),
        PersistEntries((_build_entry(1), _build_entry(2), _build_entry(3))),
        PersistEntries((_build_entry(2, 3),)),
    )
    stored = Journal(tmp_path).load()
    assert (stored.term, stored.voted_for) == (3, "vm2")
    assert stored.initial_voters == voters
    assert stored.entries == (_build_entry(1), _build_entry(2, 3))
    raft = stored.restore_raft("vm1", ("vm2",), 1)
    assert raft.log.last_index == 2 and raft.voters == voters


def test_disk_identity_does_not_change(tmp_path):
    first_journal = Journal(tmp_path)
    disk = first_journal.load().disk
    first_journal.close()
    assert Journal(tmp_path).load().disk == disk


@pytest.mark.parametrize("lost_bytes", [1, 5, 11, 12, 13, 40])
def test_torn_tail_is_dropped(tmp_path, lost_bytes):
    _write_journal(tmp_path, PersistVote(1, "a"), PersistVote(2, "b"))
    path = tmp_path / "journal"
    # A record that was not synced has no mark.
    size = path.stat().st_size - len(SYNC_MARK)
    os.truncate(path, size - min(lost_bytes, size // 2 - len(SYNC_MARK)))
    assert Journal(tmp_path).load().term == 1
    _write_journal(tmp_path, PersistVote(5, "c"))
    assert Journal(tmp_path).load().term == 5


def test_zeros_at_the_end_are_dropped_as_torn(tmp_path):
    _write_journal(tmp_path, PersistVote(1, "a"))
    with open(tmp_path / "journal", "ab") as file:
        file.write(bytes(100))
    assert Journal(tmp_path).load().term == 1


@pytest.mark.parametrize("offset", [0, 9, 14, 25])
def test_bit_rot_is_reported_as_corruption(tmp_path, offset):
    _write_journal(tmp_path, PersistVote(1, "a"), PersistVote(2, "b"))
    path = tmp_path / "journal"
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x10
    path.write_bytes(data)
    with pytest.raises(LovageError) as caught:
        Journal(tmp_path).load()
    assert caught.value.code is Code.DISK_CORRUPT


@pytest.mark.parametrize("is_marked", [True, False])
def test_bit_rot_in_the_last_record_is_reported_as_corruption(tmp_path, is_marked):
    _write_journal(tmp_path, PersistVote(1, "a"), PersistVote(2, "b"))
    path = tmp_path / "journal"
    data = bytearray(path.read_bytes())
    data[-2 - len(SYNC_MARK)] ^= 0x10
    path.write_bytes(data if is_marked else data[: -len(SYNC_MARK)])
    with pytest.raises(LovageError) as caught:
        Journal(tmp_path).load()
    assert caught.value.code is Code.DISK_CORRUPT


def _build_snapshot():
    catalogue = Catalogue()
    for index in (1, 2):
        entry = _build_entry(index)
        catalogue = apply_proposal(catalogue, index, entry.proposal).catalogue
    key = Proposal("k", "op", 0.0, IssueKey("key", "c1", "ab" * 20))
    catalogue = apply_proposal(catalogue, 3, key).catalogue
    failed = Proposal("bad", "op", 0.0, IssueKey("key2", "nobody", ""))
    catalogue = apply_proposal(catalogue, 4, failed).catalogue
    voters = (ControlVoter("vm1", "d1"),)
    keep = (_build_entry(5),)
    return PersistSnapshot(4, 1, voters, catalogue, keep, 2, "vm1")


def test_snapshot_replaces_the_journal(tmp_path):
    journal = Journal(tmp_path)
    journal.load()
    journal.append(PersistEntries(tuple(_build_entry(i) for i in range(1, 6))))
    record = _build_snapshot()
    journal.write_snapshot(record)
    journal.append(PersistEntries((_build_entry(6),)))
    journal.close()
    stored = Journal(tmp_path).load()
    assert stored.catalogue == record.catalogue
    assert stored.entries == (_build_entry(5), _build_entry(6))
    assert (stored.term, stored.voted_for) == (2, "vm1")


def test_damaged_snapshot_is_refused(tmp_path):
    journal = Journal(tmp_path)
    journal.load()
    journal.write_snapshot(_build_snapshot())
    journal.close()
    data = bytearray((tmp_path / "snapshot").read_bytes())
    data[len(data) // 2] ^= 1
    (tmp_path / "snapshot").write_bytes(data)
    with pytest.raises(LovageError) as caught:
        Journal(tmp_path).load()
    assert caught.value.code is Code.DISK_CORRUPT


def test_crash_between_snapshot_and_journal_loses_no_entry(tmp_path):
    journal = Journal(tmp_path)
    journal.load()
    journal.append(PersistEntries(tuple(_build_entry(i) for i in range(1, 6))))
    journal_before = (tmp_path / "journal").read_bytes()
    journal.write_snapshot(_build_snapshot())
    journal.close()
    (tmp_path / "journal").write_bytes(journal_before)
    assert Journal(tmp_path).load().entries == (_build_entry(5),)


def test_failed_sync_raises_disk_failed(tmp_path, monkeypatch):
    journal = Journal(tmp_path)
    journal.load()

    def fail(handle):
        raise OSError(errno.EIO, "input/output error")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(LovageError) as caught:
        journal.append(PersistVote(1, "a"))
    assert caught.value.code is Code.DISK_FAILED


class _FileOnFullDisk:
    def __init__(self, file):
        self._file = file

    def __getattr__(self, name):
        return getattr(self._file, name)

    def write(self, data):
        self._file.write(data[:7])
        self._file.flush()
        raise OSError(errno.ENOSPC, "no space left")


def test_full_disk_raises_disk_full_and_loses_no_record(tmp_path):
    journal = Journal(tmp_path)
    journal.load()
    journal.append(PersistVote(1, "a"))
    journal._file = _FileOnFullDisk(journal._file)
    with pytest.raises(LovageError) as caught:
        journal.append(PersistVote(2, "b"))
    assert caught.value.code is Code.DISK_FULL
    assert journal.load().term == 1
    journal.append(PersistVote(3, "c"))
    journal.close()
    assert Journal(tmp_path).load().term == 3


def test_a_second_process_on_the_folder_is_refused_and_changes_nothing(tmp_path):
    first_journal = Journal(tmp_path)
    first_journal.load()
    first_journal.append(PersistVote(7, "a"))
    path = tmp_path / "journal"
    data_before = path.read_bytes()
    with open(path, "ab") as file:
        file.write(data_before[:5])
    with pytest.raises(LovageError) as caught:
        Journal(tmp_path).load()
    assert caught.value.code is Code.DISK_TAKEN
    assert (
        path.read_bytes() == data_before + data_before[:5]
    ), "the tail may be a record that the first process is writing"
    first_journal.close()
    assert Journal(tmp_path).load().term == 7


class ClosedDisk:
    """A file whose writes fail, and which cannot be opened again afterwards."""

    def __init__(self, file):
        self._file = file

    def tell(self):
        return self._file.tell()

    def write(self, data):
        raise OSError(errno.EIO, "input/output error")

    def close(self):
        self._file.close()


def test_no_reply_follows_a_write_that_could_not_be_undone(tmp_path, monkeypatch):
    """The follower said that an entry was on its disk after the truncation failed."""

    def refuse(path, size):
        raise OSError(errno.EROFS, "read-only file system")

    assert PERFORMERS, "importing the runtime registers the performers"
    ports, sent = SimpleNamespace(journal=Journal(tmp_path)), []
    ports.journal.load()
    ports.journal._file = ClosedDisk(ports.journal._file)
    ports.peers = SimpleNamespace(send=lambda peer, message: sent.append(message))
    monkeypatch.setattr(os, "truncate", refuse)
    shell = Shell(None, ports, TimerService(lambda: 0.0), lambda exc: None)
    entries = (_build_entry(1),)
    reply = AppendReply(1, True, 1, 1, "disk")
    shell.apply_step(Step(None, (PersistEntries(entries), SendToPeer("vm1", reply))))
    assert sent == []
