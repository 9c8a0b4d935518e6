"""A simulated site: control VMs and entry daemons with all reducers, and databases.

Databases execute statements at once. The answers to callers and the logs of the
databases are stored separately, so that one can be checked against the other.
"""

from dataclasses import dataclass, field, replace

from lovagewalk import catalogue as cat
from lovagewalk.control import ControlTick, FollowState
from lovagewalk.core import Outcome
from lovagewalk.daemon import SweepTick
from lovagewalk.groups import (
    InstanceFailed,
    InstanceSeen,
    InstanceStatus,
    Position,
    Role,
)
from lovagewalk.node import Identity, NodeState
from lovagewalk.pools import ConnectionOpened, ConnectionRefused, OpenConnection
from lovagewalk.routing import (
    AnswerCaller,
    CallerConnected,
    Failure,
    Marks,
    RunStatement,
    StatementArrived,
    StatementDone,
    StatementFailed,
    StatementKind,
)

from .control_fleet import ControlFleet, Database

CONTROLS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2", "e3")
DATABASES = ("a", "b", "c")
GROUP, CUSTOMER, KEY = "g", "kiosk", "key-digest"
RATE, BURST = 30.0, 20.0
STALENESS_S = 1.5
REVOKE_S = 5.0
ROUTES = {
    "till": cat.Consistency.PRIMARY,
    "board": cat.Consistency.BOUNDED,
    "alloc": cat.Consistency.OWN_WRITES,
}


@dataclass
class LoggedDatabase(Database):
    """A database with its log: a term and the text of the write for each commit."""

    log: list = field(default_factory=list)

    @property
    def position(self):
        return Position(self.log[-1][0] if self.log else 1, len(self.log))

    def holds(self, need):
        if len(self.log) < need.index:
            return False
        return not need.index or self.log[need.index - 1][0] == need.term


@dataclass(frozen=True)
class SentRequest:
    """A request as its caller sent it, and the writes that a read must return."""

    entry: str
    session: int
    kind: StatementKind
    text: str
    route: str
    at: float
    required_writes: frozenset


def configuration(version, keys=(KEY,)):
    routes = tuple(
        cat.RouteEntry(
            name,
            "op",
            GROUP,
            consistency=consistency,
            max_staleness_s=STALENESS_S,
            statement_timeout_s=1.0,
            objective_s=0.6,
        )
        for name, consistency in ROUTES.items()
    )
    customer = cat.CustomerEntry(
        CUSTOMER, "op", RATE, BURST, unit=cat.RateUnit.OPERATIONS
    )
    return cat.ReplaceConfiguration(
        version,
        routes,
        (customer,),
        tuple(cat.KeyEntry(key, CUSTOMER, "") for key in keys),
        (cat.GroupLimits(GROUP, 40),),
    )


class JoinedSite(ControlFleet):
    """Three VMs of each kind, and three databases; `frozen` VMs process no event."""

    def __init__(self):
        self.frozen = {}
        self.sent = {}
        self.results = {}
        self.acknowledged = []
        self.rolled_back = set()
        self.not_executed = set()
        self.executions = []
        self.faults = set()
        self.stalled = set()
        self.late_writes = []
        self.versions = 1
        self.withdrawn_at = None
        super().__init__(CONTROLS, CONTROLS)
        for name in ENTRIES:
            self.start_entry(name)
        self.run(1.5)
        self.change(configuration(1))
        self.run(0.2)
        for name in DATABASES:
            self.databases[name] = LoggedDatabase(name, GROUP)
            self.send_heartbeat(name, GROUP)
        self.databases["a"].role = Role.PRIMARY
        self.run(3.5)

    def start_entry(self, name):
        """Start an entry daemon, or start it again with empty state."""
        self.boots += 1
        self.states[name] = NodeState(
            Identity(name, "z", "r", b"secret"),
            follow=FollowState(self.seeds, self.seeds[0], str(self.boots)),
        )
        self.sent = {r: a for r, a in self.sent.items() if a.entry != name}

    # Time and faults

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            super().run(0.02)
            for name in ENTRIES:
                if name in self.states and name not in self.frozen:
                    self.feed(name, SweepTick(self.now))
            self._replicate()

    def feed(self, name, event):
        if name in self.frozen:
            if (
                not isinstance(event, ControlTick)
                and "Tick" not in type(event).__name__
            ):
                self.frozen[name].append(event)
            return
        super().feed(name, event)

    def freeze(self, name):
        self.frozen.setdefault(name, [])

    def thaw(self, name):
        """Let a VM process what arrived meanwhile, with the present time."""
        for event in self.frozen.pop(name, ()):
            self.feed(name, replace(event, at=self.now))

    def _replicate(self):
        primary = self.newest_primary()
        if primary is None or not primary.up:
            return
        for database in self.databases.values():
            receives = database.up and not database.paused
            receives = receives and database.name not in self.stalled
            if receives and database is not primary:
                database.log = list(primary.log)
                database.received = len(database.log)

    def newest_primary(self):
        leading = [d for d in self.databases.values() if d.role is Role.PRIMARY]
        return max(leading, key=lambda d: d.term, default=None)

    def make_primary(self, name):
        """Promote a database; writes that it lacks are rolled back everywhere."""
        kept = set(self.databases[name].log)
        for database in self.databases.values():
            self.rolled_back |= {w for t, w in set(database.log) - kept}
        super().make_primary(name)
        chosen = self.databases[name].log
        for database in self.databases.values():
            shared = [x for x, y in zip(database.log, chosen, strict=False) if x == y]
            database.log = shared if database.name != name else chosen
            database.received = len(database.log)

    # Databases

    def _poll(self, name, effect):
        database = self.databases.get(effect.endpoint)
        if database is None or not database.up:
            event = InstanceFailed(self.now, effect.endpoint, False, False)
        else:
            status = InstanceStatus(
                "5",
                database.role,
                database.term,
                len(database.log),
                database.position.term,
            )
            event = InstanceSeen(self.now, effect.endpoint, status, self.now, False)
        self.feed(name, event)

    def _perform(self, name, effect):
        if isinstance(effect, OpenConnection):
            self._open(name, effect)
        elif isinstance(effect, RunStatement):
            self._run_statement(name, effect)
        elif isinstance(effect, AnswerCaller):
            self._record_answer(name, effect)
        elif name in ENTRIES and type(effect).__name__ not in ("SendToPeer",):
            return
        else:
            super()._perform(name, effect)

    def _open(self, name, effect):
        if not self.databases[effect.endpoint].up:
            event = ConnectionRefused(self.now, effect.conn, effect.endpoint)
        else:
            event = ConnectionOpened(self.now, effect.conn, effect.endpoint, "5")
        self.feed(name, event)

    def _run_statement(self, name, effect):
        endpoint = self.states[name].conn_endpoints.get(effect.conn, "")
        database = self.databases[endpoint]
        sent = self.sent.get((name, effect.req))
        if not database.up:
            self._fail(name, effect, Failure.LOST)
            return
        if (endpoint, "late") in self.faults and sent.kind is StatementKind.WRITE:
            # Executed seconds after its caller was answered that the result is unknown.
            self.late_writes.append((self.now + 2.0, name, effect, endpoint, sent))
            self._fail(name, effect, Failure.LOST)
            return
        failure, rows = self._execute(database, effect, sent)
        if (endpoint, "answers") in self.faults:
            self._fail(name, effect, Failure.LOST)
        elif failure is not None:
            self._fail(name, effect, failure, usable=True)
        else:
            if rows is not None:
                self.results[(name, effect.req, "rows")] = rows
            event = StatementDone(self.now, effect.req, effect.conn, database.position)
            self.feed(name, event)

    def _execute(self, database, effect, sent):
        writes = sent.kind is StatementKind.WRITE
        if effect.wait_for is not None and not database.holds(effect.wait_for):
            return Failure.BEHIND, None
        if (writes or effect.vouch) and database.role is not Role.PRIMARY:
            return Failure.READ_ONLY, None
        self.executions.append((self.now, sent))
        if not writes:
            return None, frozenset(write for _, write in database.log)
        database.log.append((database.term, sent.text))
        database.received = len(database.log)
        return None, None

    def run_late(self):
        """Execute the delayed writes whose time has come."""
        for item in [item for item in self.late_writes if item[0] <= self.now]:
            self.late_writes.remove(item)
            _, _, effect, endpoint, sent = item
            database = self.databases[endpoint]
            if database.up:
                self._execute(database, effect, sent)

    def _fail(self, name, effect, failure, usable=False):
        event = StatementFailed(
            self.now, effect.req, effect.conn, failure, usable=usable
        )
        self.feed(name, event)

    # Callers

    def connect(self, entry, route, key=KEY):
        self.last_number += 1
        self.feed(entry, CallerConnected(self.now, self.last_number, key, route))
        return self.last_number

    def send_statement(self, entry, session, route, kind):
        """Send a statement of a session, and record what a read of it must return."""
        if session not in self.states[entry].sessions or entry in self.frozen:
            return None
        if self.states[entry].sessions[session].req:
            return None
        self.last_number += 1
        req = self.last_number
        text = f"write {req}" if kind is StatementKind.WRITE else "read"
        required_writes = frozenset(
            write
            for at, owner, write in self.acknowledged
            if self._is_required(at, owner, session, route)
        )
        sent = SentRequest(entry, session, kind, text, route, self.now, required_writes)
        self.sent[(entry, req)] = sent
        marks = Marks(request_id=f"r{req}")
        self.feed(entry, StatementArrived(self.now, req, session, kind, text, marks))
        return req

    def _is_required(self, at, owner, session, route):
        if route == "till":
            return True
        if route == "alloc" and owner == session:
            return True
        return self.now - at > STALENESS_S

    def _record_answer(self, name, effect):
        sent = self.sent.get((name, effect.req))
        if sent is None:
            return
        assert (name, effect.req) not in self.results, "answered twice"
        self.results[(name, effect.req)] = effect.refusal
        if effect.refusal is not None:
            if effect.refusal.code.outcome in (Outcome.NOT_RUN, Outcome.FAILED):
                self.not_executed.add(sent.text)
        elif sent.kind is StatementKind.WRITE:
            self.acknowledged.append((self.now, sent.session, sent.text))
        else:
            rows = self.results[(name, effect.req, "rows")]
            missing = sent.required_writes - rows - self.rolled_back
            assert not missing, f"{sent.route} at {sent.entry} lacks {missing}"

    def withdraw_key(self):
        """Withdraw the key; `REVOKE_S` after the answer, it must admit no statement."""
        self.versions += 1
        return self.change(configuration(self.versions, keys=()))
