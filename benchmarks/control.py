"""Recovery time of control after many changes, and the cost of control per daemon."""

import asyncio
import tempfile
from dataclasses import replace
from pathlib import Path
from time import perf_counter

from benchmarks._rows import Row, benchmark
from lovagewalk.catalogue import (
    ControlVoter,
    CustomerEntry,
    Proposal,
    PutCustomer,
    apply_proposal,
)
from lovagewalk.consensus import (
    SNAPSHOT_INTERVAL_ENTRIES,
    LogEntry,
    PersistEntries,
    PersistVoters,
    RaftState,
    compact,
    is_compaction_due,
)
from lovagewalk.core import Event
from lovagewalk.demo import CAMPANERIA, Fleet
from lovagewalk.edge import Daemon
from lovagewalk.edge._daemon import TICKS
from lovagewalk.journal import Journal

CHANGES = (100, 1000, 10000)
CUSTOMERS = 500
IDLE_S = 5.0
CPU_FRACTION_LIMIT = 0.03
BYTES_PER_S_LIMIT = 12 * 1024


def _write_changes(folder: Path, count: int) -> None:
    """Write changes to a data folder as a single control VM would."""
    journal = Journal(folder)
    stored = journal.load()
    journal.append(PersistVoters((ControlVoter("vm1", stored.disk),)))
    raft: RaftState = stored.restore_raft("vm1", (), 1)
    catalogue = stored.catalogue
    for index in range(1, count + 1):
        name = f"c{index % CUSTOMERS}"
        current = catalogue.customers.get(name)
        expected = current.revision if current else 0
        command = PutCustomer(CustomerEntry(name, "o", index, 5.0), expected)
        entry = LogEntry(index, 1, Proposal(f"r{index}", "op", 0.0, command))
        journal.append(PersistEntries((entry,)))
        catalogue = apply_proposal(catalogue, index, entry.proposal).catalogue
        raft = replace(
            raft, log=raft.log.append((entry,)), commit_index=index, last_applied=index
        )
        if is_compaction_due(raft, SNAPSHOT_INTERVAL_ENTRIES):
            step = compact(raft, catalogue)
            raft = step.raft
            journal.write_snapshot(step.effects[0])
    journal.close()


def _read_control_state(folder: Path) -> float:
    started = perf_counter()
    stored = Journal(folder).load()
    catalogue = stored.catalogue
    for entry in stored.entries:
        catalogue = apply_proposal(catalogue, entry.index, entry.proposal).catalogue
    return perf_counter() - started


@benchmark("recovery")
async def measure_recovery() -> list[Row]:
    """Measure the time to read the control state, which snapshots bound."""
    rows = []
    for count in CHANGES:
        with tempfile.TemporaryDirectory() as folder:
            _write_changes(Path(folder), count)
            read_s = _read_control_state(Path(folder))
        rows.append(
            Row(f"control state read after {count} changes", read_s, "s", 5.0, 5.0)
        )
    return rows


@benchmark("control cost")
async def measure_control_cost() -> list[Row]:
    """Measure what control and polls cost an entry daemon of an idle fleet."""
    async with Fleet(CAMPANERIA, daemon_count=6) as fleet:
        await asyncio.sleep(1.0)
        entry, leader = fleet.daemons["vm4"], fleet.leader()
        clock = _ShellClock(entry)
        before = entry.ports.peers.sent_bytes, leader.ports.peers.sent_bytes
        await asyncio.sleep(IDLE_S)
        sent_bytes_per_s = (entry.ports.peers.sent_bytes - before[0]) / IDLE_S
        received_bytes_per_s = (leader.ports.peers.sent_bytes - before[1]) / IDLE_S
    received_bytes_per_s /= len(fleet.settings) - 1
    return [
        Row(
            "control bytes a second of an entry daemon",
            sent_bytes_per_s + received_bytes_per_s,
            "B/s",
            BYTES_PER_S_LIMIT / 2,
            BYTES_PER_S_LIMIT,
        ),
        Row(
            "core share of control in an entry daemon's shell",
            clock.seconds / IDLE_S,
            "",
            CPU_FRACTION_LIMIT / 2,
            CPU_FRACTION_LIMIT,
        ),
    ]


class _ShellClock:
    """Measures the time that a daemon spends on events and their effects.

    Timer subscriptions are renewed so that their events are measured too.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.seconds = 0.0
        shell = daemon.ports.shell
        feed = shell.feed

        def timed_feed(event: Event) -> None:
            started = perf_counter()
            feed(event)
            self.seconds += perf_counter() - started

        shell.feed = timed_feed
        shell.close()
        for event_type in TICKS:
            shell.subscribe(event_type)
