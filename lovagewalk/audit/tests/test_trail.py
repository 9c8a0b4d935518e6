"""The audit trail after a loss of power, and the absence of secrets in it."""

import json

import pytest

from lovagewalk.audit import AuditTrail, verify_lines
from lovagewalk.catalogue import ReplaceConfiguration
from lovagewalk.core import LovageError
from lovagewalk.runtime._storage import _audit_detail
from lovagewalk.tests.disk_faults import TEARS, PowerLossDisk, tear


def _write_trail(folder, count, compacted_index=0):
    trail = AuditTrail(folder, compacted_index)
    for index in range(1, count + 1):
        trail.append(index, 0.0, "op", "PutRoute", {"n": index}, "ok")
    trail.close()
    return (folder / "audit").read_bytes()


@pytest.mark.parametrize("compacted_index", [0, 2])
def test_records_torn_by_a_loss_of_power_are_rewritten(tmp_path, compacted_index):
    intact = _write_trail(tmp_path, 5)
    lines = intact.splitlines(keepends=True)
    missing = b"".join(lines[:2] + lines[3:])
    zeroed = intact[: len(intact) - 40] + b"\0" * 40
    for damaged in (missing, zeroed, intact[:-7], intact + b"\0" * 64):
        (tmp_path / "audit").write_bytes(damaged)
        assert _write_trail(tmp_path, 5, compacted_index) == intact


@pytest.mark.parametrize("is_synced_known", [True, False])
def test_damage_to_records_of_compacted_entries_is_reported(
    tmp_path, caplog, is_synced_known
):
    """The damage ended each start; now the damaged file is kept as evidence."""
    intact = _write_trail(tmp_path, 5)
    if is_synced_known:
        AuditTrail(tmp_path).sync()
    lines = intact.splitlines(keepends=True)
    damaged = lines[0] + b"x" + b"".join(lines[1:])
    (tmp_path / "audit").write_bytes(damaged)
    trail = AuditTrail(tmp_path, 3)
    assert "LW2202" in caplog.text
    assert (tmp_path / "audit-damaged-1").read_bytes() == damaged
    assert trail.path.read_bytes() == lines[0]
    trail.append(6, 0.0, "op", "PutRoute", {"n": 6}, "ok")
    trail.close()
    caplog.clear()
    AuditTrail(tmp_path, 3).close()
    result = verify_lines(iter(trail.path.read_text().splitlines()))
    assert (result.records, result.gaps, result.fault) == (2, 1, "")
    assert "LW2202" not in caplog.text, "damage is reported once"


def test_a_missing_trail_whose_records_were_synced_is_reported(tmp_path, caplog):
    _write_trail(tmp_path, 5)
    AuditTrail(tmp_path).sync()
    (tmp_path / "audit").unlink()
    AuditTrail(tmp_path, 3).close()
    assert "LW2202" in caplog.text


def test_records_of_a_configuration_hold_no_key():
    document = b'{"apiKeys": ["very-secret-key"]}'
    command = ReplaceConfiguration(3, (), (), (), (), document=document)
    assert "very-secret-key" not in json.dumps(_audit_detail(command))


def test_torn_records_after_an_installed_snapshot_do_not_keep_the_vm_from_starting(
    tmp_path,
):
    """The leader's snapshot left a gap, and any tear after it was LW2202 for ever."""
    refused = []
    for how in TEARS:
        for seed in range(50):
            folder = tmp_path / f"{how} {seed}"
            folder.mkdir()
            _write_trail(folder, 40)
            trail = AuditTrail(folder)
            trail.sync()
            synced = trail.path.read_bytes()
            for index in (101, 102):
                trail.append(index, 0.0, "op", "PutRoute", {"n": index}, "ok")
            unsynced = trail.path.read_bytes()[len(synced) :]
            trail.path.write_bytes(synced + tear(unsynced, how, seed))
            try:
                AuditTrail(folder, 100)
            except LovageError as exc:
                refused.append((how, seed, str(exc)))
            else:
                assert trail.path.read_bytes().startswith(synced)
    assert refused == []


def test_records_whose_sync_failed_are_written_again_before_they_count_as_synced(
    tmp_path, monkeypatch
):
    """A later sync succeeded without them, and their log entries were dropped."""
    disk = PowerLossDisk(monkeypatch, tmp_path / "audit")
    trail = AuditTrail(tmp_path)
    trail.append(1, 0.0, "op", "PutRoute", {}, "ok")
    trail.sync()
    trail.append(2, 0.0, "op", "PutRoute", {}, "ok")
    disk.refuse_sync(trail.sync)
    trail.close()
    restarted = AuditTrail(tmp_path)
    restarted.sync()
    restarted.close()
    disk.leave(b"")
    with open(tmp_path / "audit") as lines:
        assert verify_lines(lines).records == 2
