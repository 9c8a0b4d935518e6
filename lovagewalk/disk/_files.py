"""Operations on files of a data folder."""

import errno
import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO

from lovagewalk.core import Code, LovageError

_FULL_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))

log = logging.getLogger("lovagewalk.journal")


@contextmanager
def disk_errors() -> Iterator[None]:
    """Raise errors of the disk with a code.

    Raises
    ------
    LovageError
        ``DISK_FULL`` if the disk has no room, ``DISK_FAILED`` for any other error.
    """
    try:
        yield
    except OSError as exc:
        code = Code.DISK_FULL if exc.errno in _FULL_ERRORS else Code.DISK_FAILED
        raise LovageError(code, exc.strerror or str(exc)) from exc


def sync_folder(folder: Path) -> None:
    """Sync the names in a folder."""
    folder_fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)


def replace_file(path: Path, data: bytes, sync_name: bool = True) -> None:
    """Replace a file by synced data; a crash leaves the old or the new content.

    Parameters
    ----------
    sync_name : bool
        Whether the new content lasts when the call returns; if not, it lasts from the
        next sync of the folder on.
    """
    temporary_path = path.with_suffix(".new")
    try:
        with open(temporary_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
    except OSError:
        # What was written takes room that the disk may not have.
        remove_file(temporary_path)
        raise
    os.replace(temporary_path, path)
    if sync_name:
        sync_folder(path.parent)


def remove_file(path: Path) -> None:
    """Remove a file; one that the disk keeps is logged."""
    try:
        path.unlink(missing_ok=True)
    except OSError as exc:
        log.info("journal: cannot remove %s: %s", path.name, exc.strerror)


def close_file(file: IO) -> None:
    """Close a file; bytes that the disk refuses were not acknowledged."""
    try:
        file.close()
    except OSError as exc:
        log.info("journal: dropped the bytes of a failed write: %s", exc.strerror)
