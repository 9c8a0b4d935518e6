"""Durable state of one control VM, as synced files under one data folder.

``identity`` holds a random identifier of the disk. ``journal`` holds checksummed
records: votes, initial voters, log entries. ``snapshot`` replaces the journal up to
an index. Both are replaced by rename after a sync.

A crash can leave a torn record at the end of the journal. It was never acknowledged
and is dropped. Any other damage means that synced data changed, and the VM must not
vote on the basis of it. Its files are then set aside, and it joins the fleet as a VM
with an empty disk.
"""

import fcntl
import logging
import os
import re
import uuid
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
from lovagewalk.disk import (
    close_file,
    disk_errors,
    remove_file,
    replace_file,
    sync_folder,
)

from ._frames import SYNC_MARK, build_frame, scan_frames

# Longer than most records; a longer one that does not fit is refused again.
PROBE_BYTES = 256 * 1024
_IDENTITY = re.compile(r"[0-9a-f]{32}")
_STATE_FILES = ("identity", "snapshot", "journal")
# One for each time that damaged state files were set aside.
REPLACEMENT_FILES = "damaged-*"

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
    is_replacement : bool
        Whether damaged files of the folder were set aside. The VM may then only join
        an existing fleet: what it does not hold may have been acknowledged.
    """

    disk: str
    term: int = 0
    voted_for: str = ""
    initial_voters: tuple = ()
    snapshot: PersistSnapshot | None = None
    entries: tuple[LogEntry, ...] = ()
    is_replacement: bool = False

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
            bootstrap_members=() if self.is_replacement else bootstrap_members,
            role=RaftRole.FOLLOWER if configs else RaftRole.JOINING,
            term=self.term,
            voted_for=self.voted_for,
            log=raft_log.append(self.entries),
            configs=configs,
            commit_index=snapshot_index,
            last_applied=snapshot_index,
        )


class Journal:
    """Writes persisting effects; a call returns only once they are synced.

    After a write or a sync that failed, the folder has to be loaded again.

    Parameters
    ----------
    folder : Path
        The data folder; created if missing.

    Attributes
    ----------
    folder : Path
        The data folder.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._file: BinaryIO | None = None
        self._lock_file: BinaryIO | None = None

    @property
    def _journal_path(self) -> Path:
        return self.folder / "journal"

    def load(self) -> StoredState:
        """Read the folder and open the journal for appending.

        Everything that is returned is synced, also what an earlier process had written
        but not synced. The journal is written anew for that: after a sync that failed,
        a later one can succeed without having written what the failed one lost.

        Raises
        ------
        LovageError
            ``DISK_CORRUPT`` if synced data is damaged; ``DISK_UNREADABLE`` if it is
            whole, but not of this version; ``DISK_TAKEN`` if another process uses the
            folder; ``DISK_FULL`` or ``DISK_FAILED`` if the disk refuses what is needed.
        """
        with disk_errors():
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock_folder()
            self._close_journal()
            is_replacement = any(self.folder.glob(REPLACEMENT_FILES))
            stored = StoredState(self._load_identity(), is_replacement=is_replacement)
            stored = self._load_snapshot(stored)
            stored = self._load_journal(stored)
            sync_folder(self.folder)
        return stored

    def set_aside(self, reason: str) -> str:
        """Rename the state files, and return what their names end with now.

        Parameters
        ----------
        reason : str
            Why; it is kept beside the files.

        Raises
        ------
        LovageError
            ``DISK_FULL`` or ``DISK_FAILED`` if the disk refuses it.
        """
        number = len(list(self.folder.glob(REPLACEMENT_FILES))) + 1
        suffix = f"damaged-{number}"
        with disk_errors():
            # It says that this VM lacks data, so it has to last before they move.
            replace_file(self.folder / suffix, reason.encode())
            for name in _STATE_FILES:
                path = self.folder / name
                if path.exists():
                    os.replace(path, path.with_name(f"{name}-{suffix}"))
            sync_folder(self.folder)
        return suffix

    def _lock_folder(self) -> None:
        """Lock the folder until this process closes the journal or exits.

        A second process would vote as the same voter, and truncate the record that
        the first one is writing.
        """
        if self._lock_file is not None:
            return
        lock_file = open(self.folder / "lock", "wb")
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            lock_file.close()
            raise LovageError(Code.DISK_TAKEN) from exc
        self._lock_file = lock_file

    def _load_identity(self) -> str:
        """Return the identity of the disk; a new folder gets one after its journal."""
        path = self.folder / "identity"
        if not path.exists():
            if any(_has_content(self.folder / name) for name in _STATE_FILES):
                raise LovageError(Code.DISK_CORRUPT, "the disk's identity is missing")
            replace_file(self._journal_path, b"")
            replace_file(path, uuid.uuid4().hex.encode())
        if not self._journal_path.exists():
            raise LovageError(Code.DISK_CORRUPT, "the journal is missing")
        identity = path.read_bytes().decode("ascii", "replace")
        if not _IDENTITY.fullmatch(identity):
            raise LovageError(Code.DISK_CORRUPT, "the disk's identity is damaged")
        return identity

    def _load_snapshot(self, stored: StoredState) -> StoredState:
        path = self.folder / "snapshot"
        if not path.exists():
            return stored
        data = path.read_bytes()
        scan = scan_frames(data)
        if len(scan.payloads) != 1 or scan.end != len(data):
            raise LovageError(Code.DISK_CORRUPT, "snapshot is not one complete record")
        snapshot = self._decode(scan.payloads[0])
        return replace(
            stored,
            snapshot=snapshot,
            term=snapshot.term,
            voted_for=snapshot.voted_for,
        )

    def _load_journal(self, stored: StoredState) -> StoredState:
        """Read the records of the journal, and open it after the last one."""
        path = self._journal_path
        data = path.read_bytes()
        scan = scan_frames(data)
        records = [self._decode(payload) for payload in scan.payloads]
        if scan.end < len(data):
            log.warning(
                "journal: dropped a torn record of %d bytes at byte %d, which starts "
                "with %s",
                len(data) - scan.end,
                scan.end,
                data[scan.end : scan.end + 16].hex(),
            )
        mark = b"" if scan.is_marked else SYNC_MARK
        self._replace_journal(data[: scan.end] + mark)
        entries: dict[int, LogEntry] = {}
        for record in records:
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
        if later_entries and later_entries[0].index != snapshot_index + 1:
            raise LovageError(
                Code.DISK_CORRUPT, f"no entry or snapshot of index {snapshot_index + 1}"
            )
        return replace(stored, entries=later_entries)

    def _decode(self, payload: bytes) -> Any:
        try:
            return decode(payload)
        except LovageError as exc:
            # Its checksum is right, so it is whole, and another version can read it.
            raise LovageError(Code.DISK_UNREADABLE, "record cannot be decoded") from exc

    def append(self, record: PersistVote | PersistVoters | PersistEntries) -> None:
        """Append one record and sync it.

        Raises
        ------
        LovageError
            ``DISK_FULL`` or ``DISK_FAILED`` if the write or the sync failed. The
            folder has to be loaded again then.
        """
        frame = build_frame(encode(record))
        with disk_errors():
            self._write(frame)
            os.fsync(self._file.fileno())
            self._write(SYNC_MARK)

    def _write(self, data: bytes) -> None:
        self._file.write(data)
        self._file.flush()

    def has_room(self) -> bool:
        """Whether the disk takes writes: writes and removes a file of `PROBE_BYTES`."""
        path = self.folder / "probe"
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            with open(path, "wb") as file:
                file.write(bytes(PROBE_BYTES))
                file.flush()
                os.fsync(file.fileno())
            path.unlink()
        except OSError as exc:
            log.info("journal: the disk still refuses writes: %s", exc.strerror)
            remove_file(path)
            return False
        return True

    def write_snapshot(self, record: PersistSnapshot) -> None:
        """Write a snapshot, then reduce the journal to the entries after it.

        Raises
        ------
        LovageError
            ``DISK_FULL`` or ``DISK_FAILED`` if a write or a sync failed. The folder
            has to be loaded again then.
        """
        snapshot_frame = build_frame(encode(replace(record, keep=())))
        journal_data = build_frame(encode(PersistVote(record.term, record.voted_for)))
        for entry in record.keep:
            journal_data += build_frame(encode(PersistEntries((entry,))))
        with disk_errors():
            replace_file(self.folder / "snapshot", snapshot_frame)
            self._replace_journal(journal_data + SYNC_MARK)

    def _replace_journal(self, data: bytes) -> None:
        self._close_journal()
        replace_file(self._journal_path, data)
        self._file = open(self._journal_path, "ab")

    def close(self) -> None:
        """Close the journal and release the lock on the folder."""
        self._close_journal()
        if self._lock_file is not None:
            close_file(self._lock_file)
            self._lock_file = None

    def _close_journal(self) -> None:
        if self._file is not None:
            close_file(self._file)
            self._file = None


def _has_content(path: Path) -> bool:
    return path.exists() and path.stat().st_size > 0
