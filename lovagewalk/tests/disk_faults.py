"""What a loss of power leaves of a file: writes that were not synced are torn."""

import errno
import os
import random

import pytest

from lovagewalk.core import LovageError

SECTOR_BYTES = 512


class PowerLoss(BaseException):
    """The power fails; no code of the process may run after it."""


class PowerLossDisk:
    """Records what has been synced to a file, by inode, and fails at a sync.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Replaces ``os.fsync`` while the test runs.
    path : Path
        The file that the loss of power tears.
    """

    def __init__(self, monkeypatch, path):
        self._sync = os.fsync
        self._path = path
        self._failure = None
        self._synced_by_inode = {}
        self._lost_from_by_inode = {}
        self._truncate = os.truncate
        monkeypatch.setattr(os, "fsync", self._fsync)
        monkeypatch.setattr(os, "truncate", self._truncate_file)

    @property
    def synced(self):
        """The synced bytes of the file that has the path now."""
        return self._synced_by_inode.get(self._path.stat().st_ino, b"")

    def _fsync(self, fd):
        inode = os.fstat(fd).st_ino
        if isinstance(self._failure, OSError):
            synced = self._synced_by_inode.get(inode, b"")
            self._lost_from_by_inode.setdefault(inode, len(synced))
        if self._failure is not None:
            raise self._failure
        self._sync(fd)
        if inode in self._lost_from_by_inode:
            return
        for file in self._path.parent.iterdir():
            if file.stat().st_ino == inode:
                self._synced_by_inode[inode] = file.read_bytes()

    def _truncate_file(self, path, length):
        self._truncate(path, length)
        inode = os.stat(path).st_ino
        if length <= self._lost_from_by_inode.get(inode, -1):
            # Whatever is written from there on is new to the kernel.
            del self._lost_from_by_inode[inode]

    def lose_power(self, write):
        """Run `write`, whose sync fails, and return the bytes that are not synced."""
        self._fail_during(write, PowerLoss(), PowerLoss)
        return self._path.read_bytes()[len(self.synced) :]

    def refuse_sync(self, write):
        """Run `write`, whose sync fails with an error of the disk.

        The bytes stay readable until the power is lost, and later syncs of the same
        file succeed without writing them.
        """
        error = OSError(errno.EIO, os.strerror(errno.EIO))
        self._fail_during(write, error, LovageError)

    def _fail_during(self, write, failure, raised_type):
        self._failure = failure
        with pytest.raises(raised_type):
            write()
        self._failure = None

    def leave(self, unsynced):
        """Leave the synced bytes in the file, and then what is left of the others."""
        self._path.write_bytes(self.synced + unsynced)


def _prefix(data, rng):
    return data[: rng.randrange(len(data) + 1)]


def _prefix_then_zeros(data, rng):
    length = rng.randrange(len(data))
    return data[:length] + bytes(len(data) - length)


def _zeros_then_rest(data, rng):
    length = rng.randrange(1, len(data))
    return bytes(length) + data[length:]


def _holes(data, rng):
    sectors = [
        data[start : start + SECTOR_BYTES]
        for start in range(0, len(data), SECTOR_BYTES)
    ]
    return b"".join(
        bytes(len(sector)) if rng.random() < 0.5 else sector for sector in sectors
    )


def _hole(data, rng):
    """Leave out a part of any length, as one of several blocks of a write."""
    start = rng.randrange(len(data))
    length = min(rng.randrange(16, 200), len(data) - start)
    return data[:start] + bytes(length) + data[start + length :]


TEARS = {
    "prefix": _prefix,
    "prefix then zeros": _prefix_then_zeros,
    "zeros then the rest": _zeros_then_rest,
    "holes": _holes,
    "one hole": _hole,
}


def tear(data, how, seed):
    """Return what is left of unsynced bytes after a tear of the kind `how`."""
    return TEARS[how](data, random.Random(seed))


class RefusingFile:
    """A file whose writes are refused with an error."""

    def __init__(self, file, error=errno.ENOSPC):
        self._file = file
        self._error = error

    def __getattr__(self, name):
        return getattr(self._file, name)

    def write(self, data):
        raise OSError(self._error, os.strerror(self._error))
