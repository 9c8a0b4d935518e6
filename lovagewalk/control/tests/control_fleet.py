"""Control VMs with all reducers, over in-memory links and with simulated disks."""

from dataclasses import dataclass, field, replace

from lovagewalk import catalogue as cat
from lovagewalk.consensus import (
    AppendRequest,
    PersistEntries,
    PersistSnapshot,
    PersistVote,
    PersistVoters,
    SendToPeer,
)
from lovagewalk.control import (
    AnswerReader,
    AnswerRequester,
    CatalogueRequested,
    ChangeRequested,
    ConsensusTick,
    ControlState,
    ControlTick,
    EndpointHeartbeat,
    FollowState,
    PeerMessage,
    PromoteInstance,
    PromotionAnswered,
    PromotionOutcome,
    RepairTick,
)
from lovagewalk.core import reduce
from lovagewalk.daemon import install_catalogue
from lovagewalk.groups import (
    InstanceFailed,
    InstanceSeen,
    InstanceStatus,
    PollInstance,
    ReplicationOrder,
    Role,
)
from lovagewalk.journal import StoredState
from lovagewalk.node import Identity, NodeState

STEP_S = 0.02
STEPS_PER_REPAIR = 12


@dataclass
class Disk:
    """The stored state of a VM, which survives a restart."""

    name: str
    stored: StoredState = None
    entries: dict = field(default_factory=dict)

    def __post_init__(self):
        self.stored = StoredState(self.name)

    def write(self, effect):
        if isinstance(effect, PersistVote):
            self.stored = replace(
                self.stored, term=effect.term, voted_for=effect.voted_for
            )
        elif isinstance(effect, PersistVoters):
            self.stored = replace(self.stored, initial_voters=effect.voters)
        elif isinstance(effect, PersistEntries):
            first = effect.entries[0].index
            self.entries = {i: e for i, e in self.entries.items() if i < first}
            self.entries.update((entry.index, entry) for entry in effect.entries)
        elif isinstance(effect, PersistSnapshot):
            self.stored = replace(self.stored, snapshot=effect)
            self.entries = {entry.index: entry for entry in effect.keep}

    def load(self):
        entries = tuple(self.entries[index] for index in sorted(self.entries))
        return replace(self.stored, entries=entries)


@dataclass
class Database:
    """An instance of a provider-managed group; while paused, it receives nothing."""

    name: str
    group: str
    role: Role = Role.REPLICA
    term: int = 1
    received: int = 100
    up: bool = True
    paused: bool = False
    paused_by: int = 0

    @property
    def paused_term(self):
        """Term of the order that pauses it; 0 if it receives."""
        return (self.paused_by or self.term + 1) if self.paused else 0


class ControlFleet:
    """Control VMs, the databases that they poll, and the provider.

    VMs in `isolated` reach one another, but no other VM. A message for which
    `is_lost` returns true is not delivered.
    """

    def __init__(self, names, seeds):
        self.now = 10.0
        self.seeds = tuple(seeds)
        self.boots = 0
        self.disks = {}
        self.states = {}
        self.isolated = set()
        self.links_up = True
        self.is_lost = lambda message: False
        self.sent_outside = []
        self.wire = []
        self.answers = {}
        self.last_number = 0
        self.databases = {}
        self.orders = []
        self.provider_unresponsive = False
        self.promotion_delay_s = 1.0
        self.due_promotions = []
        self.followers = {}
        for name in names:
            self.disks[name] = Disk(f"disk-{name}")
            self.start(name, may_bootstrap=True)

    def start(self, name, may_bootstrap=False):
        """Start a VM, or start it again from its disk."""
        self.boots += 1
        self.restore(name, self.disks[name].load(), may_bootstrap)

    def restore(self, name, stored, may_bootstrap=False):
        """Set a VM's state to the one that a start from stored data gives."""
        peers = tuple(seed for seed in self.seeds if seed != name)
        bootstrap_members = self.seeds if may_bootstrap else ()
        state = NodeState(
            Identity(name, "z", "r", b"secret", control=True, entry=False),
            consensus=stored.restore_raft(name, peers, self.boots, bootstrap_members),
            control=ControlState(),
            follow=FollowState(self.seeds, name, str(self.boots)),
        )
        self.states[name] = install_catalogue(state, stored.catalogue, self.now).state

    def wipe(self, name):
        """Start a VM again with an empty disk, as after the loss of its disk."""
        self.boots += 1
        self.disks[name] = Disk(f"disk-{name}-{self.boots}")
        self.start(name)

    def remove(self, name):
        del self.states[name]

    def add(self, name):
        self.disks[name] = Disk(f"disk-{name}")
        self.start(name)

    def feed(self, name, event):
        step = reduce(self.states[name], event)
        self.states[name] = step.state
        for effect in step.effects:
            self._perform(name, effect)

    def _perform(self, name, effect):
        if isinstance(effect, SendToPeer):
            self.wire.append((name, effect.peer, effect.message))
        elif isinstance(effect, PollInstance):
            self._poll(name, effect)
        elif isinstance(effect, PromoteInstance):
            self._promote(name, effect)
        elif isinstance(effect, AnswerRequester | AnswerReader):
            self.answers[effect.ticket] = effect.result
        else:
            self.disks[name].write(effect)

    def _poll(self, name, effect):
        database = self.databases.get(effect.endpoint)
        if database is not None and database.up:
            self._apply_replication_order(database, effect)
        if database is None or not database.up:
            event = InstanceFailed(self.now, effect.endpoint, False, False)
        else:
            status = InstanceStatus(
                "born",
                database.role,
                database.term,
                database.received,
                1,
                paused_term=database.paused_term,
            )
            event = InstanceSeen(self.now, effect.endpoint, status, self.now, False)
        self.feed(name, event)

    def _apply_replication_order(self, database, effect):
        if effect.order is ReplicationOrder.PAUSE:
            assert effect.term > max(d.term for d in self.databases.values())
            database.paused, database.paused_by = True, effect.term
        elif effect.order is ReplicationOrder.RESUME:
            database.paused = False

    def commit(self, group):
        """Commit on a primary; each replica that is up and not paused receives it."""
        for database in self.databases.values():
            if database.group == group and database.up and not database.paused:
                database.received += 1

    def _promote(self, name, effect):
        self.orders.append(effect)
        if self.provider_unresponsive:
            return
        self.due_promotions.append((self.now + self.promotion_delay_s, effect.endpoint))
        self.feed(
            name,
            PromotionAnswered(
                self.now,
                effect.group,
                effect.endpoint,
                effect.fence,
                PromotionOutcome.ACCEPTED,
            ),
        )

    def make_primary(self, name):
        """Make a database the primary of the next term, as the provider does."""
        new_primary = self.databases[name]
        group = [d for d in self.databases.values() if d.group == new_primary.group]
        term = max(database.term for database in group) + 1
        for database in group:
            database.role, database.term = Role.REPLICA, term
            database.paused, database.paused_by = False, 0
        new_primary.role = Role.PRIMARY

    def run(self, seconds):
        """Advance the clock and deliver every message in order."""
        end = self.now + seconds
        steps = 0
        while self.now < end:
            self.now += STEP_S
            steps += 1
            for at, name in [
                item for item in self.due_promotions if item[0] <= self.now
            ]:
                self.due_promotions.remove((at, name))
                self.make_primary(name)
            for name in list(self.states):
                self.feed(name, ConsensusTick(self.now))
                self.feed(name, ControlTick(self.now))
                if steps % STEPS_PER_REPAIR == 0:
                    self.feed(name, RepairTick(self.now))
            self._deliver()

    def _deliver(self):
        while self.wire:
            source, target, message = self.wire.pop(0)
            separated = (source in self.isolated) != (target in self.isolated)
            if not self.links_up or separated or self.is_lost(message):
                continue
            if target not in self.states:
                self.sent_outside.append(message)
            elif source in self.states:
                self.feed(target, PeerMessage(self.now, source, message))

    def leader(self):
        leaders = [
            state
            for name, state in self.states.items()
            if state.consensus
            and state.consensus.is_leader
            and name not in self.isolated
        ]
        return max(leaders, key=lambda s: s.consensus.term, default=None)

    def voters(self):
        return {voter.name for voter in self.leader().consensus.voters}

    def change(self, command, name=""):
        """Propose a change at a VM, by default the leader, and return its ticket."""
        self.last_number += 1
        proposal = cat.Proposal("", "op", 0.0, command)
        event = ChangeRequested(self.now, self.last_number, proposal)
        self.feed(name or self.leader().identity.name, event)
        return self.last_number

    def request_catalogue(self, name):
        """Request the latest catalogue at a VM, and return the ticket."""
        self.last_number += 1
        self.feed(name, CatalogueRequested(self.now, self.last_number, True))
        return self.last_number

    def send_heartbeat(
        self, name, group, sequence=1, leaving=False, up=True, zone="z", **reported
    ):
        """Send a database's heartbeat to the leader, and return its ticket."""
        self.databases.setdefault(name, Database(name, group)).up = up
        port = 1000 + sum(name.encode())
        endpoint = cat.Endpoint(
            name, group, "host", port, zone, "r", 0, leaving, sequence, 5, **reported
        )
        self.last_number += 1
        event = EndpointHeartbeat(self.now, self.last_number, endpoint)
        self.feed(self.leader().identity.name, event)
        return self.last_number


def is_append_with_entries(message):
    """Whether a message carries log entries to a follower."""
    return isinstance(message, AppendRequest) and bool(message.entries)


def configuration(version, groups=("g",), customers=(), sync_replicas=0):
    """Return a configuration with a route to each group."""
    return cat.ReplaceConfiguration(
        version,
        tuple(
            cat.RouteEntry(
                f"route-{group}",
                "op",
                group,
                consistency=cat.Consistency.PRIMARY,
                statement_timeout_s=1.0,
            )
            for group in groups
        ),
        tuple(customers),
        (),
        tuple(cat.GroupLimits(group, 20, sync_replicas) for group in groups),
        document=f"document {version}".encode(),
    )
