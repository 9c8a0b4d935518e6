"""The audit trail after a loss of power, and the absence of secrets in it."""

import json

import pytest

from lovagewalk.audit import AuditTrail
from lovagewalk.catalogue import ReplaceConfiguration
from lovagewalk.core import Code, LovageError
from lovagewalk.runtime._storage import _detail


def _trail_of(folder, count, covered=0):
    trail = AuditTrail(folder, covered)
    for index in range(1, count + 1):
        trail.append(index, 0.0, "op", "PutRoute", {"n": index}, "ok")
    trail.close()
    return (folder / "audit").read_bytes()


@pytest.mark.parametrize("covered", [0, 2])
def test_records_torn_by_a_loss_of_power_come_again(tmp_path, covered):
    whole = _trail_of(tmp_path, 5)
    lines = whole.splitlines(keepends=True)
    missing = b"".join(lines[:2] + lines[3:])
    zeroed = whole[: len(whole) - 40] + b"\0" * 40
    for damaged in (missing, zeroed, whole[:-7], whole + b"\0" * 64):
        (tmp_path / "audit").write_bytes(damaged)
        assert _trail_of(tmp_path, 5, covered) == whole


def test_damage_that_the_log_cannot_mend_stops_the_daemon(tmp_path):
    whole = _trail_of(tmp_path, 5)
    (tmp_path / "audit").write_bytes(b"x" + whole[1:])
    with pytest.raises(LovageError) as caught:
        AuditTrail(tmp_path, 3)
    assert caught.value.code is Code.DISK_CORRUPT


def test_a_configuration_leaves_no_key_in_the_trail():
    document = b'{"apiKeys": ["very-secret-key"]}'
    command = ReplaceConfiguration(3, (), (), (), (), document=document)
    assert "very-secret-key" not in json.dumps(_detail(command))
