"""Control VMs with real journals, on disks that tear, refuse and lose writes."""

import random
import secrets

from lovagewalk.consensus import (
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
    RaftRole,
    is_consensus_message,
)
from lovagewalk.control import JournalRestored, JournalUnavailable
from lovagewalk.core import Code, DependentEffect, Refusal, reduce
from lovagewalk.journal import Journal
from lovagewalk.tests.disk_faults import TEARS, tear

from .control_fleet import ControlFleet

PERSISTING = (PersistVote, PersistVoters, PersistEntries, PersistSnapshot)
FULL = Refusal(Code.DISK_FULL)


class PowerLost(Exception):
    """A VM lost power in the middle of a write."""


class DiskRefused(Exception):
    """The disk refused a write."""


class JournalDisk:
    """A data folder, and what goes wrong with the next write to it.

    Attributes
    ----------
    is_full : bool
        Whether writes are refused.
    is_losing_power : bool
        Whether the next write is torn, and the VM gone.
    """

    def __init__(self, folder, seed):
        self.folder = folder
        self.is_full = False
        self.is_losing_power = False
        self._random = random.Random(seed)
        self._journal = Journal(folder)

    def load(self):
        self._journal.close()
        self._journal = Journal(self.folder)
        return self._journal.load()

    def write(self, effect):
        if not isinstance(effect, PERSISTING):
            return
        if self.is_losing_power:
            self._tear(effect)
            raise PowerLost
        if self.is_full:
            raise DiskRefused
        if isinstance(effect, PersistSnapshot):
            self._journal.write_snapshot(effect)
        else:
            self._journal.append(effect)

    def _tear(self, effect):
        """Write a record of which a loss of power leaves only parts."""
        path = self.folder / "journal"
        synced = path.read_bytes()
        if isinstance(effect, PersistSnapshot):
            return
        self._journal.append(effect)
        unsynced = path.read_bytes()[len(synced) :]
        how = self._random.choice(sorted(TEARS))
        path.write_bytes(synced + tear(unsynced, how, self._random.random()))


class HarshFleet(ControlFleet):
    """A control fleet whose VMs keep their state in real data folders.

    Parameters
    ----------
    folder : Path
        Holds the data folders.
    """

    def __init__(self, folder, names, seeds, seed):
        self.folder = folder
        self.seed = seed
        self.down = set()
        super().__init__(names, seeds)

    def start(self, name, may_bootstrap=False):
        """Start a VM from its data folder."""
        self.boots += 1
        self.down.discard(name)
        if not isinstance(self.disks[name], JournalDisk):
            folder = self.folder / f"{name.replace(':', '-')}-{self.boots}"
            self.disks[name] = JournalDisk(folder, f"{self.seed} {self.boots}")
        disk = self.disks[name]
        disk.is_losing_power = disk.is_full = False
        self.restore(name, disk.load(), may_bootstrap)

    def feed(self, name, event):
        if name not in self.states:
            return
        step = reduce(self.states[name], event)
        self.states[name] = step.state
        disk = self.disks[name]
        was_refused = disk.is_full
        for effect in step.effects:
            if was_refused and self._is_on_hold(effect):
                continue
            try:
                self._perform(name, effect)
            except PowerLost:
                del self.states[name]
                self.down.add(name)
                return
            except DiskRefused:
                was_refused = True
        if was_refused and not self._is_offline(name):
            self.feed(name, JournalUnavailable(self.now, FULL))

    def _is_on_hold(self, effect):
        """Whether an effect must not follow a write that was refused."""
        if isinstance(effect, PERSISTING):
            return True
        if not isinstance(effect, DependentEffect):
            return False
        message = getattr(effect, "message", None)
        return message is None or is_consensus_message(message)

    def _is_offline(self, name):
        state = self.states.get(name)
        return state is not None and state.consensus.role is RaftRole.OFFLINE

    def fill_disk(self, name):
        self.disks[name].is_full = True

    def free_disk(self, name):
        """Give the disk room again; the VM loads its folder and returns."""
        disk = self.disks[name]
        disk.is_full = False
        if not self._is_offline(name):
            return
        stored = disk.load()
        raft = self.states[name].consensus
        restored = stored.restore_raft(
            raft.me, raft.peers, secrets.randbits(62), raft.bootstrap_members
        )
        self.feed(name, JournalRestored(self.now, restored, stored.catalogue))

    def lose_power(self, names, seconds):
        """Tear the next write of each VM; those that write nothing just stop."""
        for name in names:
            self.disks[name].is_losing_power = True
        self.run(seconds)
        for name in names:
            self.states.pop(name, None)
            self.down.add(name)

    def start_all(self):
        for name in sorted(self.down):
            self.start(name)
