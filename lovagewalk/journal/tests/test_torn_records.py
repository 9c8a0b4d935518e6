"""Journals after a loss of power in the middle of a write."""

import random

import pytest

from lovagewalk.catalogue import (
    CustomerEntry,
    Proposal,
    PutCustomer,
    ReplaceConfiguration,
)
from lovagewalk.consensus import LogEntry, PersistEntries, PersistVote
from lovagewalk.core import Code, LovageError
from lovagewalk.journal import Journal
from lovagewalk.tests.disk_faults import TEARS, PowerLossDisk, tear

SEEDS = range(40)


def _build_entry(index, seed):
    """Return an entry whose record is longer than a few sectors."""
    rng = random.Random(seed * 100 + index)
    if index % 2:
        customer = CustomerEntry(f"c{index}", "o", 5.0, 5.0)
        return LogEntry(
            index, 1, Proposal(f"p{index}", "op", 1.5, PutCustomer(customer, 0))
        )
    document = rng.randbytes(rng.randrange(600, 3000))
    command = ReplaceConfiguration(index, (), (), (), (), document=document)
    return LogEntry(index, 1, Proposal("", "op", 1.5, command))


def _append(journal, index, seed):
    journal.append(PersistEntries((_build_entry(index, seed),)))


def test_a_torn_unsynced_record_does_not_keep_the_vm_from_starting(
    tmp_path, monkeypatch
):
    """The start ended with LW2202 for ever, on each VM that was writing the record."""
    refused = []
    for how in TEARS:
        for seed in SEEDS:
            with monkeypatch.context() as patch:
                try:
                    _restart_after_tear(tmp_path / f"{how} {seed}", patch, how, seed)
                except LovageError as exc:
                    refused.append((how, seed, str(exc)))
    assert refused == []


def _restart_after_tear(folder, monkeypatch, how, seed):
    count = random.Random(seed).randrange(1, 6)
    disk = PowerLossDisk(monkeypatch, folder / "journal")
    journal = Journal(folder)
    journal.load()
    journal.append(PersistVote(1, "vm1"))
    for index in range(1, count + 1):
        _append(journal, index, seed)
    unsynced = disk.lose_power(lambda: _append(journal, count + 1, seed))
    journal.close()
    disk.leave(tear(unsynced, how, seed))
    restarted = Journal(folder)
    stored = restarted.load()
    expected = tuple(_build_entry(index, seed) for index in range(1, count + 1))
    assert stored.entries[:count] == expected
    assert stored.term == 1 and len(stored.entries) <= count + 1
    _append(restarted, len(stored.entries) + 1, seed)
    restarted.close()
    assert len(Journal(folder).load().entries) == len(stored.entries) + 1


@pytest.mark.parametrize("seed", SEEDS)
def test_damage_to_a_synced_record_is_never_taken_for_a_tear(tmp_path, seed):
    """An acknowledged entry that is dropped as torn is lost without a word."""
    journal = Journal(tmp_path)
    journal.load()
    for index in range(1, 6):
        _append(journal, index, seed)
    last_end = (tmp_path / "journal").stat().st_size
    _append(journal, 6, seed)
    journal.close()
    path = tmp_path / "journal"
    data = bytearray(path.read_bytes())
    data[random.Random(seed).randrange(last_end)] ^= 0x10
    path.write_bytes(data)
    try:
        stored = Journal(tmp_path).load()
    except LovageError as exc:
        assert exc.code is Code.DISK_CORRUPT
    else:
        assert stored.entries == tuple(_build_entry(i, seed) for i in range(1, 7))


def test_records_that_a_killed_process_did_not_sync_are_synced_before_they_count(
    tmp_path, monkeypatch
):
    """The restarted VM said that it held an entry which the next loss of power took."""
    disk = PowerLossDisk(monkeypatch, tmp_path / "journal")
    journal = Journal(tmp_path)
    journal.load()
    _append(journal, 1, 0)
    disk.lose_power(lambda: _append(journal, 2, 0))
    journal.close()
    stored = Journal(tmp_path).load()
    assert len(stored.entries) == 2
    assert disk.synced == (tmp_path / "journal").read_bytes()[: len(disk.synced)]
    disk.leave(b"")
    assert len(Journal(tmp_path).load().entries) == 2


def test_an_entry_whose_sync_failed_in_a_killed_process_counts_only_once_on_disk(
    tmp_path, monkeypatch
):
    """The next process read it from the kernel's cache and took it for synced."""
    disk = PowerLossDisk(monkeypatch, tmp_path / "journal")
    journal = Journal(tmp_path)
    journal.load()
    _append(journal, 1, 0)
    disk.refuse_sync(lambda: _append(journal, 2, 0))
    journal.close()
    restarted = Journal(tmp_path)
    count = len(restarted.load().entries)
    restarted.close()
    disk.leave(b"")
    assert len(Journal(tmp_path).load().entries) == count
