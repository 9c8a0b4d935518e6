"""Consensus over an in-memory link that loses, duplicates and reorders messages.

Invariants are checked after each step. The disk of each VM is a fake that holds only
what a persisting effect wrote; a restart begins from that alone.
"""

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lovagewalk.catalogue import (
    Catalogue,
    ChangeControlVoters,
    ControlVoter,
    CustomerEntry,
    Proposal,
    PutCustomer,
    apply_proposal,
)
from lovagewalk.consensus import (
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
    RaftLog,
    RaftRole,
    RaftState,
    SendToPeer,
    VoterConfig,
    append_proposals,
    compact,
    extend_configs,
    is_compaction_due,
    receive,
    send_snapshots,
    tick,
)

NAMES = ("vm1", "vm2", "vm3")
COMPACTION_INTERVAL_ENTRIES = 5


@dataclass
class Disk:
    """The data of one control VM that survives a restart."""

    identity: str
    term: int = 0
    voted_for: str = ""
    initial_voters: tuple = ()
    snapshot: object = None
    entries: dict = field(default_factory=dict)

    def write(self, effect):
        if isinstance(effect, PersistVote):
            self.term, self.voted_for = effect.term, effect.voted_for
        elif isinstance(effect, PersistVoters):
            self.initial_voters = effect.voters
        elif isinstance(effect, PersistEntries):
            first = effect.entries[0].index
            self.entries = {i: e for i, e in self.entries.items() if i < first}
            self.entries.update((e.index, e) for e in effect.entries)
        elif isinstance(effect, PersistSnapshot):
            self.snapshot = effect
            self.entries = {e.index: e for e in effect.keep}
            self.term, self.voted_for = effect.term, effect.voted_for


class Fleet:
    """Three control VMs, their disks, and the messages in flight."""

    def __init__(self, seed=1):
        self.now = 0.0
        self.seed = seed
        self.disks = {}
        self.rafts = {}
        self.catalogues = {}
        self.in_flight = []
        self.isolated = set()
        self.committed_entries = {}
        self.leaders_by_term = {}
        self.disk_count = 0
        for name in NAMES:
            self.replace_disk(name)

    def replace_disk(self, name):
        self.disk_count += 1
        self.disks[name] = Disk(f"disk{self.disk_count}")
        self.restart(name)

    def restart(self, name):
        disk = self.disks[name]
        entries = tuple(disk.entries[i] for i in sorted(disk.entries))
        log, configs, catalogue, snapshot_index = RaftLog(), (), Catalogue(), 0
        if disk.initial_voters:
            configs = (VoterConfig(0, disk.initial_voters),)
        if disk.snapshot is not None:
            snapshot_index = disk.snapshot.index
            log = RaftLog(
                last_index=snapshot_index,
                base_index=snapshot_index,
                base_term=disk.snapshot.index_term,
            )
            configs = (VoterConfig(snapshot_index, disk.snapshot.voters),)
            catalogue = disk.snapshot.catalogue
        configs = extend_configs(configs, entries)
        self.seed += 1
        self.rafts[name] = RaftState(
            me=name,
            disk=disk.identity,
            peers=tuple(other for other in NAMES if other != name),
            seed=self.seed,
            bootstrap_members=NAMES,
            role=RaftRole.FOLLOWER if configs else RaftRole.JOINING,
            term=disk.term,
            voted_for=disk.voted_for,
            log=log.append(entries),
            configs=configs,
            commit_index=snapshot_index,
            last_applied=snapshot_index,
            election_due_at=self.now + 0.4,
        )
        self.catalogues[name] = catalogue

    def apply_step(self, name, step):
        for effect in step.effects:
            if isinstance(effect, SendToPeer):
                self.in_flight.append((name, effect.peer, effect.message))
            else:
                self.disks[name].write(effect)
        self.rafts[name] = step.raft
        self._apply_committed(name)

    def _apply_committed(self, name):
        raft = self.rafts[name]
        if self.disks[name].snapshot is not None:
            snapshot = self.disks[name].snapshot
            if snapshot.index > self.catalogues[name].revision:
                self.catalogues[name] = snapshot.catalogue
        if raft.is_leader:
            self.leaders_by_term.setdefault(raft.term, set()).add(name)
        for index in range(raft.last_applied + 1, raft.commit_index + 1):
            entry = raft.log.entries[index]
            committed_entry = self.committed_entries.setdefault(index, entry)
            assert committed_entry == entry, "a committed entry changed"
            result = apply_proposal(self.catalogues[name], index, entry.proposal)
            self.catalogues[name] = result.catalogue
        self.rafts[name] = replace(raft, last_applied=raft.commit_index)
        if is_compaction_due(self.rafts[name], COMPACTION_INTERVAL_ENTRIES):
            self._compact(name)
        raft = self.rafts[name]
        if raft.is_leader:
            step = send_snapshots(raft, self.catalogues[name], self.now)
            for effect in step.effects:
                self.in_flight.append((name, effect.peer, effect.message))
            self.rafts[name] = step.raft

    def _compact(self, name):
        step = compact(self.rafts[name], self.catalogues[name])
        self.rafts[name] = step.raft
        for effect in step.effects:
            self.disks[name].write(effect)

    def deliver(self, index):
        sender, receiver, message = self.in_flight.pop(index % len(self.in_flight))
        if sender in self.isolated or receiver in self.isolated:
            return
        self.apply_step(
            receiver, receive(self.rafts[receiver], sender, message, self.now)
        )

    def tick(self, name, elapsed_s=0.05):
        self.now += elapsed_s
        self.apply_step(name, tick(self.rafts[name], self.now))

    def run(self, seconds):
        """Advance the clock, with every message delivered in order."""
        end = self.now + seconds
        while self.now < end:
            for name in NAMES:
                self.tick(name, 0.01)
            while self.in_flight:
                self.deliver(0)

    def leader(self):
        connected_leaders = [
            r for r in self.rafts.values() if r.is_leader and r.me not in self.isolated
        ]
        return max(connected_leaders, key=lambda raft: raft.term, default=None)

    def propose(self, name, number):
        raft = self.rafts[name]
        if not raft.is_leader:
            return False
        entry = CustomerEntry(f"c{number}", "o", 1.0, 1.0)
        proposal = Proposal(f"p{number}", "op", 0.0, PutCustomer(entry, 0))
        self.apply_step(name, append_proposals(raft, (proposal,), self.now))
        return True


class RaftStateMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = Fleet(seed)
        self.fleet.run(2.0)
        self.proposal_count = 0
        self.revisions = {}

    @rule(
        name=st.sampled_from(NAMES), elapsed_s=st.sampled_from((0.01, 0.05, 0.5, 1.0))
    )
    def tick(self, name, elapsed_s):
        self.fleet.tick(name, elapsed_s)

    @rule(position=st.integers(0, 50))
    def deliver(self, position):
        if self.fleet.in_flight:
            self.fleet.deliver(position)

    @rule(position=st.integers(0, 50))
    def drop_message(self, position):
        if self.fleet.in_flight:
            self.fleet.in_flight.pop(position % len(self.fleet.in_flight))

    @rule(position=st.integers(0, 50))
    def duplicate(self, position):
        if self.fleet.in_flight:
            self.fleet.in_flight.append(
                self.fleet.in_flight[position % len(self.fleet.in_flight)]
            )

    @rule(name=st.sampled_from(NAMES))
    def propose(self, name):
        self.proposal_count += 1
        self.fleet.propose(name, self.proposal_count)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.fleet.restart(name)
        self.revisions.pop(name, None)

    @rule(name=st.sampled_from(NAMES))
    def isolate(self, name):
        self.fleet.isolated = {name}

    @rule()
    def heal(self):
        self.fleet.isolated = set()

    @rule()
    def run_undisturbed(self):
        self.fleet.run(0.3)

    @invariant()
    def one_leader_per_term(self):
        if hasattr(self, "fleet"):
            assert all(len(names) == 1 for names in self.fleet.leaders_by_term.values())

    @invariant()
    def revisions_never_decrease(self):
        if not hasattr(self, "fleet"):
            return
        for name, catalogue in self.fleet.catalogues.items():
            assert catalogue.revision >= self.revisions.get(name, 0)
            self.revisions[name] = catalogue.revision

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.isolated = set()
        self.fleet.run(4.0)
        assert self.fleet.leader() is not None
        assert len({c.revision for c in self.fleet.catalogues.values()}) == 1
        expected = self.fleet.catalogues[NAMES[0]]
        assert all(
            expected == catalogue for catalogue in self.fleet.catalogues.values()
        )


TestRaftInvariants = RaftStateMachine.TestCase
TestRaftInvariants.settings = settings(
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture
def fleet():
    new_fleet = Fleet()
    new_fleet.run(2.0)
    return new_fleet


def test_new_fleet_bootstraps_and_commits(fleet):
    leader = fleet.leader()
    fleet.propose(leader.me, 1)
    fleet.run(0.5)
    assert all(c.customer("c1") for c in fleet.catalogues.values())


def test_isolated_leader_steps_down_and_returns_without_an_election(fleet):
    old_leader = fleet.leader().me
    fleet.isolated = {old_leader}
    fleet.propose(old_leader, 1)
    fleet.run(3.0)
    new_leader = fleet.leader()
    assert new_leader.me != old_leader and not fleet.rafts[old_leader].is_leader
    fleet.propose(new_leader.me, 2)
    fleet.run(0.5)
    fleet.isolated = set()
    fleet.run(2.0)
    assert (
        fleet.leader().term == new_leader.term
    ), "a returning VM must not force an election"
    assert all(c.customer("c2") for c in fleet.catalogues.values())
    assert not any(c.customer("c1") for c in fleet.catalogues.values())


def test_lagging_vm_receives_a_snapshot(fleet):
    leader = fleet.leader().me
    follower = next(name for name in NAMES if name != leader)
    fleet.isolated = {follower}
    for number in range(30):
        fleet.propose(leader, number)
        fleet.run(0.1)
    assert fleet.rafts[leader].log.base_index > 0
    fleet.isolated = set()
    fleet.run(2.0)
    assert fleet.catalogues[follower].revision == fleet.catalogues[leader].revision


def test_vm_with_a_lost_disk_does_not_vote_until_added(fleet):
    leader = fleet.leader().me
    fleet.propose(leader, 1)
    fleet.run(0.5)
    replaced = next(name for name in NAMES if name != leader)
    fleet.replace_disk(replaced)
    fleet.run(1.0)
    assert not fleet.rafts[replaced].is_voter
    assert fleet.catalogues[replaced].customer("c1"), "it replicates as a learner"
    fleet.isolated = {leader}
    fleet.run(3.0)
    assert fleet.leader() is None, "the learner must not help elect a leader"


def test_replaced_vm_votes_once_added_and_tolerates_another_loss(fleet):
    leader = fleet.leader().me
    fleet.propose(leader, 1)
    fleet.run(0.5)
    replaced, third = (name for name in NAMES if name != leader)
    fleet.replace_disk(replaced)
    fleet.run(1.0)
    remaining_voters = tuple(
        v for v in fleet.rafts[leader].voters if v.name != replaced
    )
    all_voters = remaining_voters + (
        ControlVoter(replaced, fleet.disks[replaced].identity),
    )
    for voters in (remaining_voters, tuple(sorted(all_voters))):
        proposal = Proposal("", "op", 0.0, ChangeControlVoters(voters))
        step = append_proposals(fleet.rafts[leader], (proposal,), fleet.now)
        fleet.apply_step(leader, step)
        fleet.run(0.5)
    assert fleet.rafts[replaced].is_voter
    fleet.isolated = {third}
    fleet.propose(leader, 2)
    fleet.run(0.5)
    assert fleet.catalogues[leader].customer("c2")
    assert fleet.catalogues[replaced].customer("c2")


def test_uncommitted_voter_change_is_reverted_with_its_entry(fleet):
    old_leader = fleet.leader().me
    old_voters = fleet.rafts[old_leader].voters
    fleet.isolated = {old_leader}
    proposal = Proposal("", "op", 0.0, ChangeControlVoters(old_voters[:2]))
    fleet.apply_step(
        old_leader, append_proposals(fleet.rafts[old_leader], (proposal,), fleet.now)
    )
    assert fleet.rafts[old_leader].voters == old_voters[:2]
    fleet.run(3.0)
    fleet.isolated = set()
    fleet.run(2.0)
    assert fleet.rafts[old_leader].voters == old_voters


def test_single_vm_elects_itself():
    raft = RaftState("vm1", "disk1", (), seed=1, bootstrap_members=("vm1",))
    for tick_number in range(40):
        raft = tick(raft, tick_number * 0.05).raft
    assert raft.is_leader
    assert raft.commit_index == raft.log.last_index
