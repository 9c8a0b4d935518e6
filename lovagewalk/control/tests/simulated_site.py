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

CONTROL_VMS = ("c1", "c2", "c3")
ENTRY_DAEMONS = ("e1", "e2", "e3")
DATABASES = ("a", "b", "c")
GROUP, CUSTOMER, KEY = "g", "kiosk", "key-digest"
RATE, BURST = 30.0, 20.0
STALENESS_S = 1.5
KEY_REVOCATION_S = 5.0
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

    def holds_position(self, position):
        if len(self.log) < position.index:
            return False
        return not position.index or self.log[position.index - 1][0] == position.term


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


class SimulatedSite(ControlFleet):
    """Three VMs of each kind, and three databases; `suspended` VMs process no event."""

    def __init__(self):
        self.suspended = {}
        self.requests = {}
        self.results = {}
        self.acknowledged_writes = []
        self.rolled_back_writes = set()
        self.not_executed = set()
        self.executions = []
        self.faults = set()
        self.stalled_replicas = set()
        self.delayed_writes = []
        self.version = 1
        self.key_withdrawn_at = None
        super().__init__(CONTROL_VMS, CONTROL_VMS)
        for name in ENTRY_DAEMONS:
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
            self.identify_entry(name),
            follow=FollowState(self.seeds, self.seeds[0], str(self.boots)),
        )
        self.requests = {
            key: request
            for key, request in self.requests.items()
            if request.entry != name
        }

    def identify_entry(self, name):
        """Return the settings of an entry daemon."""
        return Identity(name, "z", "r", b"secret")

    # Time and faults

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            super().run(0.02)
            for name in ENTRY_DAEMONS:
                if name in self.states and name not in self.suspended:
                    self.feed(name, SweepTick(self.now))
            self._replicate()

    def feed(self, name, event):
        if name in self.suspended:
            if (
                not isinstance(event, ControlTick)
                and "Tick" not in type(event).__name__
            ):
                self.suspended[name].append(event)
            return
        super().feed(name, event)

    def suspend(self, name):
        self.suspended.setdefault(name, [])

    def resume(self, name):
        """Let a VM process the events that arrived meanwhile, at the present time."""
        for event in self.suspended.pop(name, ()):
            self.feed(name, replace(event, at=self.now))

    def _replicate(self):
        primary = self.newest_primary()
        if primary is None or not primary.up:
            return
        for database in self.databases.values():
            is_receiving = database.up and not database.paused
            is_receiving = is_receiving and database.name not in self.stalled_replicas
            if is_receiving and database is not primary:
                database.log = list(primary.log)
                database.received = len(database.log)

    def newest_primary(self):
        primaries = [d for d in self.databases.values() if d.role is Role.PRIMARY]
        return max(primaries, key=lambda d: d.term, default=None)

    def make_primary(self, name):
        """Promote a database; writes that it lacks are rolled back everywhere."""
        surviving = set(self.databases[name].log)
        for database in self.databases.values():
            self.rolled_back_writes |= {
                write for _, write in set(database.log) - surviving
            }
        super().make_primary(name)
        new_log = self.databases[name].log
        for database in self.databases.values():
            common = [
                old
                for old, new in zip(database.log, new_log, strict=False)
                if old == new
            ]
            database.log = common if database.name != name else new_log
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
            self._open_connection(name, effect)
        elif isinstance(effect, RunStatement):
            self._run_statement(name, effect)
        elif isinstance(effect, AnswerCaller):
            self._record_answer(name, effect)
        elif name in ENTRY_DAEMONS and type(effect).__name__ not in ("SendToPeer",):
            return
        else:
            super()._perform(name, effect)

    def _open_connection(self, name, effect):
        if not self.databases[effect.endpoint].up:
            event = ConnectionRefused(self.now, effect.conn, effect.endpoint)
        else:
            event = ConnectionOpened(self.now, effect.conn, effect.endpoint, "5")
        self.feed(name, event)

    def _run_statement(self, name, effect):
        endpoint = self.states[name].conn_endpoints.get(effect.conn, "")
        database = self.databases[endpoint]
        sent = self.requests.get((name, effect.req))
        if not database.up:
            self._fail_statement(name, effect, Failure.LOST)
            return
        if (endpoint, "late") in self.faults and sent.kind is StatementKind.WRITE:
            # The write is executed seconds after its caller was told that the outcome
            # is unknown.
            self.delayed_writes.append((self.now + 2.0, name, effect, endpoint, sent))
            self._fail_statement(name, effect, Failure.LOST)
            return
        failure, rows = self._execute(database, effect, sent)
        if (endpoint, "answers") in self.faults:
            self._fail_statement(name, effect, Failure.LOST)
        elif failure is not None:
            self._fail_statement(name, effect, failure, usable=True)
        else:
            if rows is not None:
                self.results[(name, effect.req, "rows")] = rows
            event = StatementDone(self.now, effect.req, effect.conn, database.position)
            self.feed(name, event)

    def _execute(self, database, effect, sent):
        is_write = sent.kind is StatementKind.WRITE
        if effect.min_position is not None and not database.holds_position(
            effect.min_position
        ):
            return Failure.BEHIND, None
        if (is_write or effect.require_proof) and database.role is not Role.PRIMARY:
            return Failure.READ_ONLY, None
        self.executions.append((self.now, sent))
        if not is_write:
            return None, frozenset(write for _, write in database.log)
        database.log.append((database.term, sent.text))
        database.received = len(database.log)
        return None, None

    def run_delayed_writes(self):
        """Execute the delayed writes that are due."""
        for delayed in [d for d in self.delayed_writes if d[0] <= self.now]:
            self.delayed_writes.remove(delayed)
            _, _, effect, endpoint, sent = delayed
            database = self.databases[endpoint]
            if database.up:
                self._execute(database, effect, sent)

    def _fail_statement(self, name, effect, failure, usable=False):
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
        if session not in self.states[entry].sessions or entry in self.suspended:
            return None
        if self.states[entry].sessions[session].req:
            return None
        self.last_number += 1
        req = self.last_number
        text = f"write {req}" if kind is StatementKind.WRITE else "read"
        required_writes = frozenset(
            write
            for at, writer, write in self.acknowledged_writes
            if self._is_required(at, writer, session, route)
        )
        sent = SentRequest(entry, session, kind, text, route, self.now, required_writes)
        self.requests[(entry, req)] = sent
        marks = Marks(request_id=f"r{req}")
        self.feed(entry, StatementArrived(self.now, req, session, kind, text, marks))
        return req

    def _is_required(self, acknowledged_at, writer, session, route):
        if route == "till":
            return True
        if route == "alloc" and writer == session:
            return True
        return self.now - acknowledged_at > STALENESS_S

    def _record_answer(self, name, effect):
        sent = self.requests.get((name, effect.req))
        if sent is None:
            return
        assert (name, effect.req) not in self.results, "answered twice"
        self.results[(name, effect.req)] = effect.refusal
        if effect.refusal is not None:
            if effect.refusal.code.outcome in (Outcome.NOT_RUN, Outcome.FAILED):
                self.not_executed.add(sent.text)
        elif sent.kind is StatementKind.WRITE:
            self.acknowledged_writes.append((self.now, sent.session, sent.text))
        else:
            rows = self.results[(name, effect.req, "rows")]
            missing = sent.required_writes - rows - self.rolled_back_writes
            assert not missing, f"{sent.route} at {sent.entry} lacks {missing}"

    def withdraw_key(self):
        """Withdraw the key; `KEY_REVOCATION_S` after the answer it admits nothing."""
        self.version += 1
        return self.change(configuration(self.version, keys=()))
