"""The audit trail: a hash chain of committed changes.

Each record holds the hash of the one before it, so that a removed, altered or
reordered record breaks the chain at its place. Secrets never are in a record:
the log itself holds only digests, and they are left out too.
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

log = logging.getLogger("lovagewalk.audit")

FIRST_HASH = "0" * 64
FILE_NAME = "audit"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One link of the chain.

    Attributes
    ----------
    index : int
        Index in the control log.
    at : float
        Wall clock of the proposer, in seconds; informative only.
    kind : str
        Name of the command.
    detail : str
        The command's fields as JSON.
    result : str
        ``ok`` or the refusal.
    before, digest : str
        Hashes of the record before and of this one.
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
class Verdict:
    """Result of checking a trail.

    Attributes
    ----------
    records : int
        Records that are in order.
    gaps : int
        Places where the trail goes on from a snapshot; other VMs hold the rest.
    fault : str
        What is wrong at the first bad record; empty if nothing is.
    """

    records: int
    gaps: int
    fault: str = ""


def make_record(
    before: str,
    index: int,
    at: float,
    operator: str,
    kind: str,
    detail: str,
    result: str,
) -> AuditRecord:
    """Return the record that follows the one with hash `before`."""
    body = json.dumps([before, index, at, operator, kind, detail, result])
    digest = sha256(body.encode()).hexdigest()
    return AuditRecord(index, at, operator, kind, detail, result, before, digest)


def parse_line(line: str) -> AuditRecord:
    """Return the record of a line.

    Raises
    ------
    ValueError
        If the line is no record.
    """
    fields = json.loads(line)
    try:
        return AuditRecord(**fields)
    except TypeError as exc:
        raise ValueError("not an audit record") from exc


def verify_lines(lines: Iterator[str]) -> Verdict:
    """Check a trail from its first record on."""
    before, last, count, gaps = FIRST_HASH, 0, 0, 0
    for line in lines:
        try:
            record = parse_line(line)
        except ValueError:
            return Verdict(count, gaps, f"record {count + 1} cannot be read")
        again = make_record(
            before,
            record.index,
            record.at,
            record.operator,
            record.kind,
            record.detail,
            record.result,
        )
        if again != record:
            return Verdict(count, gaps, f"record {count + 1} breaks the chain")
        if record.index <= last:
            return Verdict(count, gaps, f"record {count + 1} is out of order")
        gaps += record.index != last + 1
        before, last, count = record.digest, record.index, count + 1
    return Verdict(count, gaps)


class AuditTrail:
    """The trail in a data folder; appends skip what is recorded already.

    The file is synced before the log behind it is dropped, and not otherwise. A
    loss of power may tear records that the log still holds; they are cut off
    and come again from there.

    Parameters
    ----------
    folder : Path
    covered : int
        Log index up to which the log has been dropped.

    Raises
    ------
    LovageError
        ``DISK_CORRUPT`` if a record is damaged that the log does not hold.

    Attributes
    ----------
    path : Path
        The file of the trail.
    """

    def __init__(self, folder: Path, covered: int = 0) -> None:
        self.path = folder / FILE_NAME
        self._before = FIRST_HASH
        self._last = 0
        if self.path.exists():
            self._load(covered)
        self._file = open(self.path, "a")

    def _load(self, covered: int) -> None:
        kept = 0
        with open(self.path, "rb") as file:
            for raw in file:
                if not self._take(raw):
                    break
                kept += len(raw)
        torn = self.path.stat().st_size - kept
        if not torn:
            return
        if self._last < covered:
            raise LovageError(Code.DISK_CORRUPT, "audit trail")
        log.warning("audit: cut off %d torn bytes", torn)
        os.truncate(self.path, kept)

    def _take(self, raw: bytes) -> bool:
        """Take a line as the next record, if it is whole and follows the last."""
        try:
            record = parse_line(raw.decode())
        except ValueError:
            return False
        follows = record.before == self._before and record.index > self._last
        if not raw.endswith(b"\n") or not follows:
            return False
        self._before, self._last = record.digest, record.index
        return True

    def append(
        self, index: int, at: float, operator: str, kind: str, detail: Any, result: str
    ) -> None:
        """Add a record for a log entry, unless it is there already."""
        if index <= self._last:
            return
        text = json.dumps(detail, sort_keys=True, default=str)
        record = make_record(self._before, index, at, operator, kind, text, result)
        self._file.write(record.to_line() + "\n")
        self._file.flush()
        self._before, self._last = record.digest, index

    def sync(self) -> None:
        """Sync the trail; called before the log behind it is dropped."""
        os.fsync(self._file.fileno())

    def close(self) -> None:
        """Sync and close the trail."""
        self.sync()
        self._file.close()
