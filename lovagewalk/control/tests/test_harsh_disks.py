"""Fleets whose disks tear, fill up and are lost, with power lost everywhere at once."""

import random

import pytest

from lovagewalk.control import CatalogueReadResult

from .control_fleet import configuration
from .harsh_fleet import HarshFleet

NAMES = tuple(f"10.0.0.{number}:7560" for number in range(1, 6))
SEEDS = NAMES[:3]
SEED_COUNT = 16
ACTIONS = 14
READ_TIME_S = 0.5


class HarshRun:
    """Changes and reads of the configuration while the disks fail.

    Attributes
    ----------
    acknowledged : int
        The newest version whose change was answered with success.
    """

    def __init__(self, folder, seed):
        self.random = random.Random(seed)
        self.fleet = HarshFleet(folder, NAMES, SEEDS, seed)
        self.version = 0
        self.acknowledged = 0
        self.tickets = {}
        self.fleet.run(4.0)

    def change(self, count=1):
        for _ in range(count):
            if not self.fleet.states:
                return
            self.version += self.random.randrange(1, 4)
            name = self.random.choice(sorted(self.fleet.states))
            ticket = self.fleet.change(configuration(self.version), name)
            self.tickets[ticket] = self.version
            self.fleet.run(self.random.uniform(0.02, 0.2))
        self.collect()

    def collect(self):
        for ticket, version in list(self.tickets.items()):
            result = self.fleet.answers.get(ticket)
            if result is not None and result.refusal is None:
                self.acknowledged = max(self.acknowledged, version)

    def read(self):
        """Read at one VM; what it returns is at least what was acknowledged before."""
        if not self.fleet.states:
            return
        self.collect()
        acknowledged = self.acknowledged
        name = self.random.choice(sorted(self.fleet.states))
        ticket = self.fleet.request_catalogue(name)
        self.fleet.run(READ_TIME_S)
        result = self.fleet.answers.get(ticket)
        if isinstance(result, CatalogueReadResult) and result.refusal is None:
            assert result.catalogue.version >= acknowledged
            document = f"document {result.catalogue.version}".encode()
            assert result.catalogue.document == document

    def fill_some_disks(self):
        names = self.random.sample(NAMES, self.random.randrange(1, 6))
        for name in names:
            self.fleet.fill_disk(name)
        self.change(self.random.randrange(1, 6))
        self.random.shuffle(names)
        for name in names:
            self.fleet.free_disk(name)
            self.fleet.run(self.random.uniform(0.0, 0.5))

    def lose_power_everywhere(self):
        self.change(2)
        self.fleet.lose_power(sorted(self.fleet.states), self.random.uniform(0.02, 0.5))
        self.collect()
        self.fleet.start_all()
        self.fleet.run(3.0)

    def kill_some(self):
        for name in self.random.sample(NAMES, self.random.randrange(1, 4)):
            self.fleet.states.pop(name, None)
            self.fleet.down.add(name)
        self.change(2)
        self.fleet.start_all()
        self.fleet.run(self.random.uniform(0.5, 3.0))

    def lose_two_disks_and_all_power(self):
        """Lose as many disks as tolerated, while all other VMs lose power."""
        self.change(2)
        names = sorted(self.fleet.states)
        lost = self.random.sample(names, 2)
        others = [name for name in names if name not in lost]
        self.fleet.lose_power(others, self.random.uniform(0.0, 0.1))
        self.collect()
        for name in lost:
            self.fleet.states.pop(name, None)
            self.fleet.disks[name] = None
            self.fleet.down.add(name)
        self.fleet.start_all()
        self.fleet.run(8.0)

    def settle(self):
        """Wait until all VMs have one catalogue, with all that was acknowledged."""
        self.fleet.run(6.0)
        self.collect()
        latest = self.fleet.leader().catalogue
        assert latest.version >= self.acknowledged
        for state in self.fleet.states.values():
            assert state.log_catalogue is None and state.catalogue == latest


@pytest.mark.parametrize("seed", range(SEED_COUNT))
def test_nothing_acknowledged_is_lost_on_harsh_disks(tmp_path, seed):
    """A start that ended, a torn entry that counted, or a gap would lose a change."""
    run = HarshRun(tmp_path, seed)
    actions = (
        run.change,
        run.read,
        run.fill_some_disks,
        run.lose_power_everywhere,
        run.kill_some,
    )
    for _ in range(ACTIONS):
        run.random.choice(actions)()
    run.settle()
    run.fill_some_disks()
    run.settle()
    run.lose_two_disks_and_all_power()
    run.read()
    run.settle()
    assert run.acknowledged > 0
