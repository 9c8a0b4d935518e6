"""Performers of the effects that persist data: journal, snapshots, audit trail."""

import logging
from collections.abc import Callable
from hashlib import sha256
from typing import Any

from lovagewalk.catalogue import Command, IssueKey, ReplaceConfiguration
from lovagewalk.codec import to_dict
from lovagewalk.consensus import (
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
)
from lovagewalk.control import JournalFilled, JournalWritable, RecordAudit
from lovagewalk.core import Code, Handlers, LovageError, performs

from ._ports import Ports

# A full disk is cleaned up by an operator, within minutes; a probe takes milliseconds.
PROBE_PERIOD_S = 0.5

log = logging.getLogger("lovagewalk.journal")


def _append(ports: Ports, record: PersistVote | PersistVoters | PersistEntries) -> None:
    """Append a record; on a full disk, leave the consensus.

    Later records are not written then: on disk, they would follow a gap.
    """
    if ports.peers.consensus_disabled:
        return
    try:
        ports.journal.append(record)
    except LovageError as exc:
        _leave_consensus(ports, exc)


def _leave_consensus(ports: Ports, exc: LovageError) -> None:
    """Take no part in the consensus while the disk is full, if other voters remain.

    Raises
    ------
    LovageError
        The given error, if it is another one or this VM is the only voter.
    """
    if exc.code is not Code.DISK_FULL or ports.state.consensus.quorum == 1:
        raise exc
    if ports.peers.consensus_disabled:
        return
    log.error("journal: %s; this VM no longer takes part in control", exc)
    ports.peers.consensus_disabled = True
    ports.feed(JournalFilled(ports.now()))
    ports.spawn(_await_room(ports))


async def _await_room(ports: Ports) -> None:
    """Wait until the disk takes writes again, and report it."""
    while True:
        await ports.timer.sleep(PROBE_PERIOD_S)
        if ports.journal.has_room():
            log.warning("journal: the disk takes writes again; restarting")
            ports.feed(JournalWritable(ports.now()))
            return


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
        # After its restart, this VM applies the entry again and records it then.
        return
    proposal = effect.entry.proposal
    detail = _audit_detail(proposal.command)
    refusal = effect.result.refusal
    try:
        ports.audit.append(
            effect.entry.index,
            proposal.proposed_at,
            proposal.operator,
            type(proposal.command).__name__,
            detail,
            str(refusal) if refusal else "ok",
        )
    except LovageError as exc:
        _leave_consensus(ports, exc)
