"""The data folder of a control VM: performers that write to it, and its recovery.

A disk that refuses a write takes the VM out of the consensus, not out of service. It
follows the leader like a VM without a disk, and returns with what is on disk once the
folder can be loaded again.
"""

import logging
import secrets
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from hashlib import sha256
from typing import Any

from lovagewalk.audit import AuditTrail
from lovagewalk.catalogue import Command, IssueKey, ReplaceConfiguration
from lovagewalk.codec import to_dict
from lovagewalk.consensus import (
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
    RaftState,
)
from lovagewalk.control import JournalRestored, JournalUnavailable, RecordAudit
from lovagewalk.core import Code, Handlers, LovageError, RequirementFailed, performs
from lovagewalk.journal import Journal, StoredState

from ._ports import Ports

# A full disk is cleaned up by an operator, within minutes; a probe takes milliseconds.
PROBE_PERIOD_S = 0.5
# The period doubles up to this while the disk refuses writes, since each probe of a
# slow disk blocks the event loop.
MAX_PROBE_PERIOD_S = 1.0

log = logging.getLogger("lovagewalk.journal")


def load_storage(ports: Ports) -> StoredState:
    """Load the data folder; damaged state files are set aside before.

    Raises
    ------
    LovageError
        If the disk refuses what is needed, another process uses the folder, or the
        folder is of another version.
    """
    journal: Journal = ports.journal
    try:
        stored = journal.load()
    except LovageError as exc:
        if exc.code is not Code.DISK_CORRUPT:
            raise
        suffix = journal.set_aside(str(exc))
        log.critical(
            "journal: %s; the files are kept as *-%s, and this VM joins as one with "
            "an empty disk",
            exc,
            suffix,
        )
        stored = journal.load()
    snapshot_index = stored.snapshot.index if stored.snapshot else 0
    ports.audit = AuditTrail(journal.folder, snapshot_index)
    return stored


def leave_consensus(ports: Ports, exc: LovageError) -> None:
    """Take no part in the consensus until the data folder can be loaded again.

    Nothing is written until then: on disk, it would follow a gap.
    """
    ports.peers.consensus_disabled = True
    ports.feed(JournalUnavailable(ports.now(), exc.refusal))
    ports.spawn(return_to_consensus(ports))


async def return_to_consensus(ports: Ports) -> None:
    """Load the data folder as soon as it takes writes, and report what it holds."""
    period_s = PROBE_PERIOD_S
    last_error = ""
    while True:
        await ports.timer.sleep(period_s)
        period_s = min(2 * period_s, MAX_PROBE_PERIOD_S)
        if not ports.journal.has_room():
            continue
        try:
            stored = load_storage(ports)
        except LovageError as exc:
            if str(exc) != last_error:
                log.error("journal: cannot load the data folder yet: %s", exc)
            last_error = str(exc)
            continue
        except Exception:
            log.exception("journal: loading the data folder failed")
            continue
        raft: RaftState = ports.state.consensus
        restored = stored.restore_raft(
            raft.me, raft.peers, secrets.randbits(62), raft.bootstrap_members
        )
        ports.peers.consensus_disabled = False
        ports.feed(JournalRestored(ports.now(), restored, stored.catalogue))
        return


@contextmanager
def _required(ports: Ports) -> Iterator[None]:
    """Leave the consensus if a write fails, whatever the reason.

    Raises
    ------
    RequirementFailed
        If the write failed.
    """
    try:
        yield
    except Exception as exc:
        if not isinstance(exc, LovageError):
            log.exception("journal: a record could not be written")
            exc = LovageError(Code.EFFECT_FAILED, type(exc).__name__)
        leave_consensus(ports, exc)
        raise RequirementFailed(exc.code, exc.refusal.detail) from exc


def _append(ports: Ports, record: PersistVote | PersistVoters | PersistEntries) -> None:
    """Append a record; if the disk refuses it, leave the consensus."""
    if ports.peers.consensus_disabled:
        return
    with _required(ports):
        ports.journal.append(record)


@performs(PersistVote)
def _persist_vote(ports: Ports, effect: PersistVote) -> None:
    _append(ports, effect)


@performs(PersistVoters)
def _persist_voters(ports: Ports, effect: PersistVoters) -> None:
    _append(ports, effect)


@performs(PersistEntries)
def _persist_entries(ports: Ports, effect: PersistEntries) -> None:
    _append(ports, effect)


@performs(PersistSnapshot)
def _persist_snapshot(ports: Ports, effect: PersistSnapshot) -> None:
    if ports.peers.consensus_disabled:
        return
    with _required(ports):
        ports.audit.sync()
        ports.journal.write_snapshot(effect)


def _audit_detail(command: Command) -> dict[str, Any]:
    """Return a command's fields for the audit trail, without keys."""
    build_detail = _detail_builders.get(type(command)) or to_dict
    return build_detail(command)


_detail_builders: Handlers[type, Callable[[Any], dict[str, Any]]] = Handlers()


@_detail_builders.on(ReplaceConfiguration)
def _configuration_detail(command: ReplaceConfiguration) -> dict[str, Any]:
    return {
        "version": command.version,
        "routes": len(command.routes),
        "customers": sorted(customer.name for customer in command.customers),
        "keys": len(command.keys),
        "document_sha256": sha256(command.document).hexdigest(),
    }


@_detail_builders.on(IssueKey)
def _key_detail(command: IssueKey) -> dict[str, Any]:
    return {**to_dict(command), "digest": "left out"}


@performs(RecordAudit)
def _record_audit(ports: Ports, effect: RecordAudit) -> None:
    if ports.peers.consensus_disabled:
        # Once the folder is loaded, this VM applies the entry again and records it.
        return
    proposal = effect.entry.proposal
    refusal = effect.result.refusal
    with _required(ports):
        ports.audit.append(
            effect.entry.index,
            proposal.proposed_at,
            proposal.operator,
            type(proposal.command).__name__,
            _audit_detail(proposal.command),
            str(refusal) if refusal else "ok",
        )
