"""Damaged data folders are set aside, and their VMs join as ones with empty disks."""

import pytest

from lovagewalk.catalogue import Catalogue, ControlVoter, NoChange, control_proposal
from lovagewalk.consensus import (
    LogEntry,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
    RaftRole,
)
from lovagewalk.core import Code, LovageError
from lovagewalk.journal import Journal


def _write_journal(folder):
    journal = Journal(folder)
    disk = journal.load().disk
    journal.append(PersistVoters((ControlVoter("vm1", disk),)))
    journal.append(PersistVote(1, "vm1"))
    journal.close()
    return disk


@pytest.mark.parametrize("content", [b"", b"other bytes", b"\xff" * 32])
def test_a_damaged_identity_is_reported(tmp_path, content):
    """An empty one was taken for the identity of a disk."""
    _write_journal(tmp_path)
    (tmp_path / "identity").write_bytes(content)
    with pytest.raises(LovageError) as caught:
        Journal(tmp_path).load()
    assert caught.value.code is Code.DISK_CORRUPT


def test_a_missing_identity_is_reported_if_there_are_records(tmp_path):
    _write_journal(tmp_path)
    (tmp_path / "identity").unlink()
    with pytest.raises(LovageError) as caught:
        Journal(tmp_path).load()
    assert caught.value.code is Code.DISK_CORRUPT


def test_a_missing_journal_is_reported(tmp_path):
    """Its votes would be forgotten, and the VM could vote twice in a term."""
    _write_journal(tmp_path)
    (tmp_path / "journal").unlink()
    with pytest.raises(LovageError) as caught:
        Journal(tmp_path).load()
    assert caught.value.code is Code.DISK_CORRUPT


def test_a_missing_snapshot_is_reported_if_entries_follow_it(tmp_path):
    """The VM would apply the entries to an empty catalogue."""
    _write_journal(tmp_path)
    journal = Journal(tmp_path)
    journal.load()
    entries = tuple(LogEntry(i, 1, control_proposal(NoChange())) for i in (1, 2, 3))
    journal.append(PersistEntries(entries))
    journal.write_snapshot(PersistSnapshot(2, 1, (), Catalogue(), entries[2:], 1, ""))
    journal.close()
    assert Journal(tmp_path).load().entries == entries[2:]
    (tmp_path / "snapshot").unlink()
    with pytest.raises(LovageError) as caught:
        Journal(tmp_path).load()
    assert caught.value.code is Code.DISK_CORRUPT


def test_a_vm_whose_folder_was_set_aside_may_only_join(tmp_path):
    """Another identity keeps no promise of the damaged disk."""
    disk = _write_journal(tmp_path)
    journal = Journal(tmp_path)
    journal.load()
    suffix = journal.set_aside("bad checksum")
    stored = journal.load()
    assert (tmp_path / f"identity-{suffix}").read_text() == disk != stored.disk
    assert (tmp_path / suffix).read_text() == "bad checksum"
    assert stored.entries == stored.initial_voters == () and stored.term == 0
    raft = stored.restore_raft("vm1", ("vm2",), 1, ("vm1", "vm2"))
    assert raft.role is RaftRole.JOINING and raft.bootstrap_members == ()
    journal.append(PersistVote(2, ""))
    journal.close()
    assert Journal(tmp_path).load().is_replacement, "it may not bootstrap later either"
