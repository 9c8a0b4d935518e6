"""A control VM returns the latest configuration, or says that it does not know it."""

from lovagewalk.control import JournalUnavailable
from lovagewalk.core import Code, Refusal

from .control_fleet import (
    STEP_S,
    ControlFleet,
    configuration,
    is_append_with_entries,
)
from .delayed_fleet import DelayedFleet

VM_NAMES = tuple(f"10.0.0.{number}:7560" for number in range(1, 6))
SEEDS = VM_NAMES[:3]
FULL = Refusal(Code.DISK_FULL)
READ_TIME_S = 1.0
# Time after its acknowledgement by which a configuration is in force everywhere.
APPLY_S = 4.0
# A snapshot is made after 600 entries.
FIRST_CHANGES = 610
SEED_COUNT = 12


def _read(fleet, name):
    """Return the document that a VM answers with, None if it refuses."""
    ticket = fleet.request_catalogue(name)
    fleet.run(READ_TIME_S)
    result = fleet.answers[ticket]
    return None if result.refusal else result.catalogue.document


def test_a_vm_with_a_full_disk_returns_no_older_document():
    """It follows by deltas, which hold the version but not the document."""
    fleet = ControlFleet(VM_NAMES, SEEDS)
    fleet.run(4.0)
    fleet.change(configuration(3))
    fleet.run(0.5)
    name = next(n for n in VM_NAMES if n != fleet.leader().identity.name)
    fleet.feed(name, JournalUnavailable(fleet.now, FULL))
    fleet.change(configuration(7))
    fleet.run(1.0)
    assert fleet.states[name].catalogue.version == 7
    assert _read(fleet, name) in (None, b"document 7")
    other = next(n for n in VM_NAMES if n != name)
    assert _read(fleet, other) == b"document 7"


def test_a_read_that_waits_while_the_disk_fills_returns_no_empty_document():
    """The document is dropped between the request and the leader's confirmation."""
    fleet = ControlFleet(VM_NAMES, SEEDS)
    fleet.run(4.0)
    fleet.change(configuration(3))
    fleet.run(0.5)
    name = next(n for n in VM_NAMES if n != fleet.leader().identity.name)
    ticket = fleet.request_catalogue(name)
    fleet.feed(name, JournalUnavailable(fleet.now, FULL))
    fleet.change(configuration(7))
    fleet.run(READ_TIME_S)
    result = fleet.answers[ticket]
    assert result.refusal is not None or result.catalogue.document == b"document 7"


def test_a_leader_that_has_committed_nothing_yet_renews_no_lease():
    """It has its predecessor's last entry, but does not know that it is committed."""
    fleet = ControlFleet(SEEDS, SEEDS)
    fleet.run(4.0)
    fleet.change(configuration(3))
    fleet.run(0.5)
    first_leader = fleet.leader().identity.name
    heir, behind = (name for name in SEEDS if name != first_leader)
    fleet.isolated = {behind}
    ticket = fleet.change(configuration(7))
    fleet.run(STEP_S)
    assert fleet.answers[ticket].refusal is None
    fleet.remove(first_leader)
    assert fleet.states[heir].catalogue.version == 3, "it does not know of the commit"
    fleet.isolated = set()
    fleet.is_lost = is_append_with_entries
    fleet.run(APPLY_S)
    assert fleet.leader().identity.name == heir
    for name in (heir, behind):
        assert _read(fleet, name) is None
    fleet.is_lost = lambda message: False
    fleet.run(1.0)
    assert _read(fleet, heir) == _read(fleet, behind) == b"document 7"


class ReadingFleet:
    """Acknowledged changes and reads of a fleet, under a series of faults."""

    def __init__(self, seed):
        self.seed = seed
        self.fleet = DelayedFleet(SEEDS, SEEDS, seed)
        self.random = self.fleet.random
        self.version = 0
        self.acknowledged = []
        self.tickets = {}
        self.reads = {}
        self.answered = 0
        self.fleet.run(4.0)

    def change(self):
        leader = self.fleet.leader()
        if leader is None:
            return
        self.version += 1
        ticket = self.fleet.change(configuration(self.version), leader.identity.name)
        self.tickets[ticket] = self.version

    def run(self, seconds):
        """Advance the fleet in short steps, and read at each VM after every step."""
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            self.fleet.run(0.1)
            for ticket, version in list(self.tickets.items()):
                result = self.fleet.answers.get(ticket)
                if result is None:
                    continue
                del self.tickets[ticket]
                if result.refusal is None:
                    self.acknowledged.append((self.fleet.now, version))
            self.check_reads()
            for name, state in self.fleet.states.items():
                if self.fleet.now < state.fresh_until:
                    due = self.newest_acknowledged(self.fleet.now - APPLY_S)
                    self.check(name, state.catalogue.version, due)
                ticket = self.fleet.request_catalogue(name)
                due = self.newest_acknowledged(self.fleet.now)
                self.reads[ticket] = (name, due)

    def newest_acknowledged(self, until):
        return max((v for at, v in self.acknowledged if at <= until), default=0)

    def check_reads(self):
        for ticket, (name, due) in list(self.reads.items()):
            result = self.fleet.answers.get(ticket)
            if result is None:
                continue
            del self.reads[ticket]
            if result.refusal is None:
                self.answered += 1
                self.check(name, result.catalogue.version, due)

    def check(self, name, version, due):
        assert version >= due, f"seed {self.seed}: {name} has {version}, not {due}"

    def play(self):
        for _ in range(FIRST_CHANGES):
            self.change()
            self.fleet.run(0.02)
        self.run(2.0)
        isolated = self.random.choice(SEEDS)
        self.fleet.isolated = {isolated}
        self.run(1.0)
        for _ in range(self.random.randint(20, 80)):
            self.change()
            self.run(0.1)
        self.fleet.isolated = set()
        self.run(self.random.uniform(0.0, 0.5))
        restarted = [n for n in SEEDS if self.random.random() < 0.8]
        for name in restarted:
            self.fleet.start(name)
            self.fleet.stall(name)
        for _ in range(3):
            self.run(1.0)
            self.change()
        self.run(3.0)


def test_no_vm_returns_an_older_version_after_cuts_and_restarts():
    """Restarted VMs hold a snapshot and do not know what was committed after it."""
    for seed in range(SEED_COUNT):
        fleet = ReadingFleet(seed)
        fleet.play()
        assert fleet.answered > 100, f"seed {seed}: reads are answered at all"
