"""The audit trail after a loss of power, and the absence of secrets in it."""

import json

import pytest

from lovagewalk.audit import AuditTrail
from lovagewalk.catalogue import ReplaceConfiguration
from lovagewalk.core import Code, LovageError
from lovagewalk.runtime._storage import _audit_detail
from lovagewalk.tests.disk_faults import TEARS, tear


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


def test_damage_to_records_of_compacted_entries_is_reported(tmp_path):
    intact = _write_trail(tmp_path, 5)
    (tmp_path / "audit").write_bytes(b"x" + intact[1:])
    with pytest.raises(LovageError) as caught:
        AuditTrail(tmp_path, 3)
    assert caught.value.code is Code.DISK_CORRUPT


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
