"""The audit trail: a hash chain of committed changes.

Each record holds the hash of the preceding one, so that a removed, altered or
reordered record breaks the chain at that point. Records hold no secrets: the control
log holds only digests of them, and those are left out too.
"""

import json
import logging
import os
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

from lovagewalk.core import Code, LovageError
from lovagewalk.disk import close_file, disk_errors, replace_file

log = logging.getLogger("lovagewalk.audit")

FIRST_HASH = "0" * 64
AUDIT_FILE_NAME = "audit"
# Holds the number of bytes of the trail that have been synced.
SYNCED_FILE_NAME = "audit-synced"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One record of the chain.

    Attributes
    ----------
    index : int
        Index in the control log.
    at : float
        Wall clock time of the proposer, in seconds; informative only.
    operator : str
        The operator who proposed the change; ``control`` for the control leader.
    kind : str
        Class name of the command.
    detail : str
        The command's fields as JSON.
    result : str
        ``ok``, or why the change was refused.
    before, digest : str
        Hashes of the preceding record and of this one.
    """

    index: int
    at: float
    operator: str
    kind: str
    detail: str
    result: str
    before: str
    digest: str

    def to_line(self) -> str:
        """Return the record as one line of JSON."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        return json.dumps(fields, sort_keys=True)


@dataclass(frozen=True, slots=True)
class VerificationResult:
    """Result of verifying a trail.

    Attributes
    ----------
    records : int
        Number of valid records.
    gaps : int
        Number of index gaps, where a snapshot replaced log entries; other VMs hold
        the missing records.
    fault : str
        The fault of the first invalid record; empty if all are valid.
    """

    records: int
    gaps: int
    fault: str = ""


def build_record(
    before: str,
    index: int,
    at: float,
    operator: str,
    kind: str,
    detail: str,
    result: str,
) -> AuditRecord:
    """Return a record that follows the one with the hash `before`."""
    body = json.dumps([before, index, at, operator, kind, detail, result])
    digest = sha256(body.encode()).hexdigest()
    return AuditRecord(index, at, operator, kind, detail, result, before, digest)


def parse_line(line: str) -> AuditRecord:
    """Return the record in a line of JSON.

    Raises
    ------
    ValueError
        If the line is not a record.
    """
    fields = json.loads(line)
    try:
        return AuditRecord(**fields)
    except TypeError as exc:
        raise ValueError("line does not hold the fields of an audit record") from exc


def verify_lines(lines: Iterator[str]) -> VerificationResult:
    """Verify a trail from its first record on."""
    before, last_index, count, gaps = FIRST_HASH, 0, 0, 0
    for line in lines:
        try:
            record = parse_line(line)
        except ValueError:
            return VerificationResult(count, gaps, f"record {count + 1} cannot be read")
        recomputed = build_record(
            before,
            record.index,
            record.at,
            record.operator,
            record.kind,
            record.detail,
            record.result,
        )
        if recomputed != record:
            return VerificationResult(
                count, gaps, f"record {count + 1} breaks the chain"
            )
        if record.index <= last_index:
            return VerificationResult(
                count, gaps, f"record {count + 1} is out of order"
            )
        gaps += record.index != last_index + 1
        before, last_index, count = record.digest, record.index, count + 1
    return VerificationResult(count, gaps)


class AuditTrail:
    """The trail in a data folder; log entries that it holds already are skipped.

    The file is synced before the log entries that it covers are dropped, not with
    each append. A loss of power may tear records whose entries the log still holds;
    they are truncated and written again from the log. If records are damaged that were
    synced, the damaged file is kept beside the trail, which goes on after the last
    valid record.

    Parameters
    ----------
    folder : Path
        The data folder.
    compacted_index : int
        Index up to which the control log has been compacted.

    Raises
    ------
    LovageError
        ``DISK_FULL`` or ``DISK_FAILED`` if the disk refuses what is needed.

    Attributes
    ----------
    path : Path
        Path of the trail file.
    """

    def __init__(self, folder: Path, compacted_index: int = 0) -> None:
        self.path = folder / AUDIT_FILE_NAME
        self._synced_path = folder / SYNCED_FILE_NAME
        self._last_digest = FIRST_HASH
        self._last_index = 0
        with disk_errors():
            self._load(compacted_index)
            self._file = open(self.path, "ab")

    def _load(self, compacted_index: int) -> None:
        data = self.path.read_bytes() if self.path.exists() else b""
        valid_bytes = 0
        for line in data.splitlines(keepends=True):
            if not self._accept_line(line):
                break
            valid_bytes += len(line)
        synced_bytes = self._read_synced_bytes()
        if synced_bytes is None:
            # Without the file, the trail covered at least the dropped log entries.
            is_damaged = valid_bytes < len(data) and self._last_index < compacted_index
        else:
            is_damaged = valid_bytes < synced_bytes
        if is_damaged:
            self._keep_damaged(data, valid_bytes)
        if valid_bytes < len(data):
            log.warning(
                "audit: truncated %d bytes after the last valid record",
                len(data) - valid_bytes,
            )
        if data:
            self._write_again(data[:valid_bytes], synced_bytes or 0)
        if is_damaged:
            self._write_synced_bytes(valid_bytes)

    def _write_again(self, valid_data: bytes, synced_bytes: int) -> None:
        """Write the records again that are not known to be synced.

        After a sync that failed, a later one can succeed without having written what
        the failed one lost. A crash in between leaves them out; the log brings them
        again.
        """
        os.truncate(self.path, min(synced_bytes, len(valid_data)))
        with open(self.path, "ab") as file:
            file.write(valid_data[synced_bytes:])

    def _read_synced_bytes(self) -> int | None:
        """Return how many bytes of the trail are surely synced; None if unknown."""
        try:
            return int(self._synced_path.read_bytes())
        except FileNotFoundError:
            return None
        except ValueError as exc:
            log.error("audit: %s is damaged: %s", SYNCED_FILE_NAME, exc)
            return None

    def _write_synced_bytes(self, count: int) -> None:
        """Record how much is synced; a loss of power may leave an earlier count."""
        replace_file(self._synced_path, str(count).encode(), sync_name=False)

    def _keep_damaged(self, data: bytes, valid_bytes: int) -> None:
        """Keep a copy of a trail of which synced records are damaged."""
        prefix = f"{AUDIT_FILE_NAME}-damaged-"
        number = len(list(self.path.parent.glob(f"{prefix}*"))) + 1
        path = self.path.with_name(f"{prefix}{number}")
        replace_file(path, data)
        detail = f"audit trail is damaged after byte {valid_bytes}; kept as {path.name}"
        log.error("audit: %s", LovageError(Code.DISK_CORRUPT, detail))

    def _accept_line(self, line: bytes) -> bool:
        """Accept a line as the next record if it is whole and continues the chain."""
        try:
            record = parse_line(line.decode())
        except ValueError:
            return False
        extends_chain = (
            record.before == self._last_digest and record.index > self._last_index
        )
        if not line.endswith(b"\n") or not extends_chain:
            return False
        self._last_digest, self._last_index = record.digest, record.index
        return True

    def append(
        self, index: int, at: float, operator: str, kind: str, detail: Any, result: str
    ) -> None:
        """Append a record for a log entry, unless it is recorded already.

        Raises
        ------
        LovageError
            ``DISK_FULL`` or ``DISK_FAILED`` if the write failed. The folder has to be
            loaded again then.
        """
        if index <= self._last_index:
            return
        detail_json = json.dumps(detail, sort_keys=True, default=str)
        record = build_record(
            self._last_digest, index, at, operator, kind, detail_json, result
        )
        with disk_errors():
            self._file.write(record.to_line().encode() + b"\n")
            self._file.flush()
        self._last_digest, self._last_index = record.digest, index

    def sync(self) -> None:
        """Sync the trail; called before the log entries that it covers are dropped.

        Raises
        ------
        LovageError
            ``DISK_FULL`` or ``DISK_FAILED`` if a sync failed.
        """
        with disk_errors():
            os.fsync(self._file.fileno())
            self._write_synced_bytes(self._file.tell())

    def close(self) -> None:
        """Close the trail; what the disk refuses is written again from the log."""
        close_file(self._file)
