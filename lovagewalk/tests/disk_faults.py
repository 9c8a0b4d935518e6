"""What a loss of power leaves of a file: writes that were not synced are torn."""

import errno
import os
import random

import pytest

SECTOR_BYTES = 512


class PowerLoss(BaseException):
    """The power fails; no code of the process may run after it."""


class PowerLossDisk:
    """Records what has been synced to a file, and fails at a sync.

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
        self._is_failing = False
        self.synced = b""
        monkeypatch.setattr(os, "fsync", self._fsync)

    def _fsync(self, fd):
        if self._is_failing:
            raise PowerLoss
        self._sync(fd)
        if self._path.exists() and os.path.samestat(os.fstat(fd), self._path.stat()):
            self.synced = self._path.read_bytes()

    def lose_power(self, write):
        """Run `write`, whose sync fails, and return the bytes that are not synced."""
        self._is_failing = True
        with pytest.raises(PowerLoss):
            write()
        self._is_failing = False
        return self._path.read_bytes()[len(self.synced) :]

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
