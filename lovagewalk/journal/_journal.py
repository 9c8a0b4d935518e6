"""Durable state of one control VM, as synced files under one data folder.

``identity`` holds a random identifier of the disk. ``journal`` holds checksummed
records: votes, initial voters, log entries. ``snapshot`` replaces the journal up to
an index. Both are replaced by rename after a sync.

A crash can leave a torn record at the end of the journal. It was never acknowledged
and is dropped. Any other damage means that synced data changed, and the VM must not
vote on the basis of it.
"""

import fcntl
import logging
import os
import struct
import uuid
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

from lovagewalk.catalogue import Catalogue
from lovagewalk.codec import decode, encode
from lovagewalk.consensus import (
    LogEntry,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
    RaftLog,
    RaftRole,
    RaftState,
    VoterConfig,
    extend_configs,
)
from lovagewalk.core import Code, LovageError, replace

# The header holds the length and the checksum of the payload, then its own checksum.
_HEADER = struct.Struct("<II")
_HEADER_CRC = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _HEADER_CRC.size
# More than the largest record, so that the next one fits.
PROBE_BYTES = 2 * 1024 * 1024

log = logging.getLogger("lovagewalk.journal")


@dataclass(frozen=True, slots=True)
class StoredState:
    """Contents of a data folder.

    Attributes
    ----------
    disk : str
        Identity of the disk that holds the folder.
    initial_voters : tuple of ControlVoter
        Initial voters of the fleet; empty if no record holds them.
    snapshot : PersistSnapshot or None
        The latest snapshot.
    entries : tuple of LogEntry
        Entries after the snapshot.
    """

    disk: str
    term: int = 0
    voted_for: str = ""
    initial_voters: tuple = ()
    snapshot: PersistSnapshot | None = None
    entries: tuple[LogEntry, ...] = ()

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue as of the snapshot."""
        return self.snapshot.catalogue if self.snapshot else Catalogue()

    def restore_raft(
        self,
        me: str,
        peers: tuple[str, ...],
        seed: int,
        bootstrap_members: tuple[str, ...] = (),
    ) -> RaftState:
        """Return the consensus state restored from the folder.

        Parameters
        ----------
        me : str
            The name of this VM.
        peers : tuple of str
            The control VMs to contact first.
        seed : int
            Seed of the random election timeouts.
        bootstrap_members : tuple of str
            The VMs that may bootstrap a fleet; empty to only join an existing one.
        """
        snapshot_index = self.snapshot.index if self.snapshot else 0
        raft_log = RaftLog()
        configs: tuple[VoterConfig, ...] = ()
        if self.initial_voters:
            configs = (VoterConfig(0, self.initial_voters),)
        if self.snapshot:
            raft_log = RaftLog(
                last_index=snapshot_index,
                base_index=snapshot_index,
                base_term=self.snapshot.index_term,
            )
            configs = (VoterConfig(snapshot_index, self.snapshot.voters),)
        configs = extend_configs(configs, self.entries)
        return RaftState(
            me=me,
            disk=self.disk,
            peers=peers,
            seed=seed,
            bootstrap_members=bootstrap_members,
            role=RaftRole.FOLLOWER if configs else RaftRole.JOINING,
            term=self.term,
            voted_for=self.voted_for,
            log=raft_log.append(self.entries),
            configs=configs,
            commit_index=snapshot_index,
            last_applied=snapshot_index,
        )


def _frame(payload: bytes) -> bytes:
    header = _HEADER.pack(len(payload), zlib.crc32(payload))
    return header + _HEADER_CRC.pack(zlib.crc32(header)) + payload


def read_frames(data: bytes) -> tuple[list[bytes], int]:
    """Return the complete records of a journal, and the offset of their end.

    Raises
    ------
    LovageError
        ``DISK_CORRUPT`` if a record is damaged rather than torn.
    """
    frames = []
    offset = 0
    while offset < len(data):
        payload = _read_frame(data, offset)
        if payload is None:
            break
        frames.append(payload)
        offset += HEADER_BYTES + len(payload)
    return frames, offset


def _read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at an offset, or None for a torn record.

    A crash can extend the file before the data is written. Zeros up to the end of the
    file are therefore torn, and so is a last record with a bad checksum whose payload
    ends in a zero byte.
    """
    header = data[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES or not any(data[offset:]):
        return None
    length, crc = _HEADER.unpack_from(header)
    (header_crc,) = _HEADER_CRC.unpack_from(header, _HEADER.size)
    if zlib.crc32(header[: _HEADER.size]) != header_crc:
        raise LovageError(
            Code.DISK_CORRUPT, f"bad checksum of the record header at byte {offset}"
        )
    payload = data[offset + HEADER_BYTES : offset + HEADER_BYTES + length]
    if len(payload) < length:
        return None
    if zlib.crc32(payload) == crc:
        return payload
    is_last_record = offset + HEADER_BYTES + length >= len(data)
    if is_last_record and payload.endswith(b"\0"):
        return None
    raise LovageError(Code.DISK_CORRUPT, f"bad checksum of the record at byte {offset}")


class Journal:
    """Writes persisting effects; a call returns only once they are synced.

    Parameters
    ----------
    folder : Path
        The data folder; created if missing.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._file: BinaryIO | None = None
        self._lock_file: BinaryIO | None = None
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def _journal_path(self) -> Path:
        return self._folder / "journal"

    def load(self) -> StoredState:
        """Read the folder and open the journal for appending.

        Raises
        ------
        LovageError
            ``DISK_CORRUPT`` if synced data is damaged; ``DISK_TAKEN`` if another
            process uses the folder.
        """
        self._lock_folder()
        stored = StoredState(self._load_identity())
        stored = self._load_snapshot(stored)
        if self._journal_path.exists():
            stored = self._load_journal(stored)
        self._file = open(self._journal_path, "ab")
        self._sync_folder()
        return stored

    def _lock_folder(self) -> None:
        """Lock the folder until this process closes the journal or exits.

        A second process would vote as the same voter, and truncate the record that
        the first one is writing.
        """
        self._lock_file = open(self._folder / "lock", "wb")
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            self._lock_file.close()
            raise LovageError(Code.DISK_TAKEN) from exc

    def _load_identity(self) -> str:
        path = self._folder / "identity"
        if not path.exists():
            self._replace_file(path, uuid.uuid4().hex.encode())
        return path.read_text()

    def _load_snapshot(self, stored: StoredState) -> StoredState:
        path = self._folder / "snapshot"
        if not path.exists():
            return stored
        data = path.read_bytes()
        frames, end = read_frames(data)
        if len(frames) != 1 or end != len(data):
            raise LovageError(Code.DISK_CORRUPT, "snapshot is not one complete record")
        snapshot = self._decode(frames[0])
        return replace(
            stored,
            snapshot=snapshot,
            term=snapshot.term,
            voted_for=snapshot.voted_for,
        )

    def _load_journal(self, stored: StoredState) -> StoredState:
        data = self._journal_path.read_bytes()
        frames, end = read_frames(data)
        if end < len(data):
            log.warning("journal: dropped a torn record of %d bytes", len(data) - end)
            with open(self._journal_path, "r+b") as file:
                file.truncate(end)
                os.fsync(file.fileno())
        entries: dict[int, LogEntry] = {}
        for frame in frames:
            record = self._decode(frame)
            if isinstance(record, PersistVote):
                stored = replace(stored, term=record.term, voted_for=record.voted_for)
            elif isinstance(record, PersistVoters):
                stored = replace(stored, initial_voters=record.voters)
            else:
                first_index = record.entries[0].index
                entries = {i: e for i, e in entries.items() if i < first_index}
                entries.update((entry.index, entry) for entry in record.entries)
        snapshot_index = stored.snapshot.index if stored.snapshot else 0
        later_entries = tuple(entries[i] for i in sorted(entries) if i > snapshot_index)
        return replace(stored, entries=later_entries)

    def _decode(self, frame: bytes) -> Any:
        try:
            return decode(frame)
        except LovageError as exc:
            raise LovageError(Code.DISK_CORRUPT, "record cannot be decoded") from exc

    def append(self, record: PersistVote | PersistVoters | PersistEntries) -> None:
        """Append one record and sync it.

        Raises
        ------
        LovageError
            ``DISK_FULL`` if the write failed, after which the journal is as
            before; ``DISK_FAILED`` if the sync failed, after which the state of
            the disk is unknown.
        """
        size_before = self._file.tell()
        try:
            self._file.write(_frame(encode(record)))
            self._file.flush()
        except OSError as exc:
            self._discard_failed_write(size_before)
            raise LovageError(Code.DISK_FULL, exc.strerror or "") from exc
        self._sync()

    def has_room(self) -> bool:
        """Whether the disk takes writes: writes and removes a file of `PROBE_BYTES`."""
        path = self._folder / "probe"
        try:
            with open(path, "wb") as file:
                file.write(bytes(PROBE_BYTES))
                file.flush()
                os.fsync(file.fileno())
        except OSError as exc:
            log.info("journal: the disk still refuses writes: %s", exc.strerror)
            return False
        finally:
            path.unlink(missing_ok=True)
        return True

    def _discard_failed_write(self, size_before: int) -> None:
        try:
            self._file.close()
        except OSError:
            log.debug("journal: dropped the buffered bytes of a failed write")
        os.truncate(self._journal_path, size_before)
        self._file = open(self._journal_path, "ab")

    def _sync(self) -> None:
        try:
            os.fsync(self._file.fileno())
        except OSError as exc:
            raise LovageError(Code.DISK_FAILED, exc.strerror or "") from exc

    def write_snapshot(self, record: PersistSnapshot) -> None:
        """Write a snapshot, then reduce the journal to the entries after it.

        Raises
        ------
        LovageError
            ``DISK_FAILED`` if a write or a sync failed.
        """
        try:
            without_entries = replace(record, keep=())
            frame = _frame(encode(without_entries))
            self._replace_file(self._folder / "snapshot", frame)
            journal_data = _frame(encode(PersistVote(record.term, record.voted_for)))
            for entry in record.keep:
                journal_data += _frame(encode(PersistEntries((entry,))))
            self._file.close()
            self._replace_file(self._journal_path, journal_data)
            self._file = open(self._journal_path, "ab")
        except OSError as exc:
            raise LovageError(Code.DISK_FAILED, exc.strerror or "") from exc

    def _replace_file(self, path: Path, data: bytes) -> None:
        temporary_path = path.with_suffix(".new")
        with open(temporary_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder_fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)

    def close(self) -> None:
        """Close the journal and release the lock on the folder."""
        for file in (self._file, self._lock_file):
            if file is not None:
                file.close()
