"""Model: endpoints that answer, refuse, break and change roles behind one daemon.

Effects stay pending until a step delivers them. What runs at an endpoint is checked
against what the callers were told.
"""

import random
from dataclasses import dataclass, field

from lovagewalk import catalogue as cat
from lovagewalk.consensus import SendToPeer
from lovagewalk.control import ControlTick, DrainRequested
from lovagewalk.control._state import LEASE_S
from lovagewalk.core import Code, Outcome, reduce, replace
from lovagewalk.daemon import SweepTick, install_catalogue
from lovagewalk.groups import Position
from lovagewalk.node import DrainLimits, Identity, NodeState
from lovagewalk.pools import (
    CloseConnection,
    ConnectionBroken,
    ConnectionOpened,
    ConnectionRefused,
    ConnectionSettled,
    OpenConnection,
    OpenFailure,
)
from lovagewalk.routing import (
    AnswerCaller,
    BeginTransaction,
    CallerConnected,
    CallerDisconnected,
    CloseCaller,
    DiscardSettings,
    Failure,
    Marks,
    NamedStatement,
    PrepareShape,
    PrepareStatement,
    RunStatement,
    SetupAnswered,
    SetUpConnection,
    SetVariable,
    StatementArrived,
    StatementDone,
    StatementFailed,
    StatementKind,
)
from lovagewalk.sessions import PreparedShape
from lovagewalk.shares import Share

from .control_model import DAEMON, ControlModel, is_own_message

GROUPS = ("ledger", "stock")
CUSTOMERS = ("kiosk", "royalties")
KEYS = ("key-a", "key-b")
CONSISTENCIES = {
    "till": cat.Consistency.PRIMARY,
    "board": cat.Consistency.BOUNDED,
    "alloc": cat.Consistency.OWN_WRITES,
}
STALENESS_S = 1.5
TIMEOUT_S = 6.0
CONNECTIONS = 5
BEGINS = (StatementKind.BEGIN, StatementKind.BEGIN_READ)
# Effects that send messages on a connection.
AT_CONNECTIONS = (RunStatement, SetUpConnection)
ENDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)
KINDS = (StatementKind.READ, StatementKind.WRITE, *BEGINS, *ENDS)
SESSION_KINDS = (
    StatementKind.SET_VARIABLE,
    StatementKind.PREPARE,
    StatementKind.PREPARE,
    StatementKind.EXECUTE,
    StatementKind.EXECUTE,
    StatementKind.EXECUTE,
    StatementKind.DEALLOCATE,
)
# Names that callers give to variables and prepared statements.
NAMES = ("n1", "n2")
DRAIN_LIMITS = DrainLimits(operations_s=2.0, transactions_s=3.5, answers_s=5.0)
# By this time after its limit, a sweep has enforced a deadline.
SWEEP_SLACK_S = 0.05
# An endpoint drops a connection whose other end is unreachable for this time.
UNREACHABLE_S = 3.0
NEVER = 1e9


@dataclass
class Instance:
    """One instance, with a log of (term, request)."""

    name: str
    group: str
    log: list = field(default_factory=list)
    is_up: bool = True

    def position(self):
        term = self.log[-1][0] if self.log else 0
        return Position(term, len(self.log))

    def holds(self, position):
        index = position.index
        if not index:
            return True
        return len(self.log) >= index and self.log[index - 1][0] == position.term

    def requests(self):
        return {req for _, req in self.log}


@dataclass
class Transaction:
    """An open transaction at an endpoint."""

    caller: int
    number: int
    is_read_only: bool
    writes: list = field(default_factory=list)


@dataclass
class Connection:
    """An open connection to an instance."""

    instance: Instance
    customer: str
    transaction: Transaction | None = None
    variables: dict = field(default_factory=dict)
    prepared: set = field(default_factory=set)


@dataclass(frozen=True)
class ReadTransactionEnd:
    """The end of the transaction of a read that proved its primary."""

    conn: int


@dataclass
class Caller:
    """What a caller knows of its session."""

    key: str
    route: str
    in_transaction: bool = False
    failed: bool = False
    transaction_number: int = 0
    writes: list = field(default_factory=list)
    busy: bool = False
    variables: dict = field(default_factory=dict)
    prepared: dict = field(default_factory=dict)


@dataclass
class Sent:
    """A statement that a caller has sent."""

    caller: int
    kind: StatementKind
    sent_at: float
    transaction_number: int
    key: str
    group: str = ""
    variables: dict = field(default_factory=dict)
    session_statement: SetVariable | PrepareStatement | NamedStatement | None = None


class World:
    """A daemon, two groups of three instances, callers and an operator."""

    def __init__(self, seed=0, paced=False):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.numbers = 0
        self.revision = self.version = 0
        self.sequence = 1
        self.pending = []
        self.deferred = None
        self.control = ControlModel(self, CUSTOMERS)
        self.conns = {}
        self.callers = {}
        self.sent = {}
        self.answered = {}
        self.denied = set()
        self.acked = {}
        self.rolled_back = set()
        self.sessions_writes = {}
        self.instances = {
            f"{group}-{n}": Instance(f"{group}-{n}", group)
            for group in GROUPS
            for n in range(3)
        }
        self.leaders = {group: f"{group}-0" for group in GROUPS}
        self.terms = dict.fromkeys(GROUPS, 1)
        self.route_groups = dict.fromkeys(CONSISTENCIES, GROUPS[0])
        self.consistencies = dict(CONSISTENCIES)
        self.holders = dict(zip(KEYS, CUSTOMERS, strict=True))
        self.state = _start_daemon(paced)
        self.configure()
        for name in self.instances:
            self.announce(name)
        for group in GROUPS:
            self.install(group)

    # The operator, control and the platform.

    def change(self, command):
        self.revision += 1
        proposal = cat.Proposal("", "test", 0.0, command)
        applied = cat.apply_proposal(self.state.catalogue, self.revision, proposal)
        assert applied.result.refusal is None, applied.result
        self.apply(install_catalogue(self.state, applied.catalogue, self.now))

    def configure(self):
        self.version += 1
        routes = tuple(
            cat.RouteEntry(
                name,
                "op",
                self.route_groups[name],
                consistency=self.consistencies[name],
                max_staleness_s=STALENESS_S,
                statement_timeout_s=TIMEOUT_S,
                objective_s=2 * TIMEOUT_S,
                priority=index,
            )
            for index, name in enumerate(CONSISTENCIES)
        )
        self.change(
            cat.ReplaceConfiguration(
                self.version,
                routes,
                tuple(cat.CustomerEntry(c, "op", 1e6, 1e6) for c in CUSTOMERS),
                tuple(cat.KeyEntry(k, c, "") for k, c in self.holders.items()),
                tuple(cat.GroupLimits(group, CONNECTIONS) for group in GROUPS),
                idle_transaction_s=3.0,
            )
        )

    def announce(self, name, leaving=False):
        self.sequence += 1
        group = self.instances[name].group
        port = 1000 + list(self.instances).index(name)
        endpoint = cat.Endpoint(
            name,
            group,
            "host",
            port,
            self.get_zone(name),
            "west",
            0,
            leaving,
            self.sequence,
            77,
        )
        self.change(cat.AnnounceEndpoint(endpoint))

    def get_zone(self, name):
        return "zone-a"

    def install(self, group):
        """Let the daemon learn who leads a group."""
        term = self.terms[group]
        if self.state.catalogue.group(group).term < term:
            start = cat.TermStart(term, 0)
            leader = self.leaders[group]
            self.change(cat.InstallTerm(group, term, leader, (), start))

    def promote(self, name):
        """Let an instance lead with what it has; the others lose what goes beyond."""
        leader = self.instances[name]
        group = leader.group
        if name == self.leaders[group] or not leader.is_up:
            return
        self.leaders[group] = name
        self.terms[group] += 1
        for other in self.instances.values():
            if other.group != group or other is leader:
                continue
            common = _common_length(other.log, leader.log)
            self.rolled_back |= {req for _, req in other.log[common:]}
            del other.log[common:]
        self.rolled_back -= leader.requests()

    def replicate(self, name, count):
        """Let a replica receive some commits of its primary."""
        replica = self.instances[name]
        leader = self.instances[self.leaders[replica.group]]
        if replica is not leader and replica.is_up and leader.is_up:
            end = len(replica.log) + count
            replica.log = leader.log[: max(end, len(replica.log))]

    def move_route(self, name, group):
        self.route_groups[name] = group
        self.configure()

    def change_kind(self, name, consistency):
        self.consistencies[name] = consistency
        self.configure()

    def move_key(self, key, customer):
        """Give a key to a customer, or take it away."""
        if customer:
            self.holders[key] = customer
        else:
            self.holders.pop(key, None)
        self.configure()

    def tick(self, elapsed_s):
        self.now += elapsed_s
        if self.control.is_active:
            self.feed(ControlTick(self.now))
        self.feed(SweepTick(self.now))
        if self.state.draining:
            self._end_drain()

    def drain(self):
        """Stop the daemon as planned; it starts again after the last limit."""
        if not self.state.draining:
            self.feed(DrainRequested(self.now))

    def _end_drain(self):
        stopped_s = self.now - self.state.draining_since
        if stopped_s >= DRAIN_LIMITS.answers_s + SWEEP_SLACK_S:
            assert not self.state.requests, "unanswered at the end of a planned stop"
            self.restart()

    def restart(self):
        """End the daemon's process, and start it with the catalogue alone.

        Endpoints may have run what it had sent.
        """
        for number in list(self.conns):
            self._close(number)
        self.pending.clear()
        self.callers.clear()
        catalogue = self.state.catalogue
        self.state = _start_daemon(self.state.identity.paces_endpoints)
        self.control.restart_daemon()
        self.apply(install_catalogue(self.state, catalogue, self.now))

    def suspend(self, seconds, deliveries, ticks_first):
        """Suspend the daemon's VM; what arrives meanwhile is handled afterwards.

        Control does not hear from it, so its lease may end.
        """
        self.state = replace(self.state, fresh_until=self.now + LEASE_S)
        self.deferred = []
        for number in range(deliveries):
            self.deliver(7 * number, "ok")
        if seconds >= UNREACHABLE_S:
            for number, conn in list(self.conns.items()):
                self._break(number, conn.instance)
        self.now += seconds
        events, self.deferred = self.deferred, None
        if ticks_first:
            self.tick(0.0)
        for event in events:
            self.feed(replace(event, at=self.now))
        self.tick(0.0)
        self.state = replace(self.state, fresh_until=NEVER)

    # Callers.

    def connect(self, key, route):
        self.numbers += 1
        caller = self.numbers
        self.callers[caller] = Caller(key, route)
        self.feed(CallerConnected(self.now, caller, key, route))
        return caller

    def disconnect(self, caller):
        if self.callers.pop(caller, None) is not None:
            self.feed(CallerDisconnected(self.now, caller))

    def idle_callers(self):
        return [
            number
            for number, caller in self.callers.items()
            if not caller.busy and number in self.state.sessions
        ]

    def send(self, number, kind):
        """Send a statement that fits the state of the caller's session."""
        caller = self.callers[number]
        if caller.failed:
            kind = StatementKind.ROLLBACK
        if caller.in_transaction == (kind in BEGINS):
            kind = StatementKind.READ
        if not caller.in_transaction and kind in ENDS and not caller.failed:
            kind = StatementKind.WRITE
        if kind in BEGINS:
            caller.transaction_number += 1
            caller.writes = []
        self._submit(number, caller, kind, kind)

    def send_session_statement(self, number, kind, index):
        """Send a statement on the variables or prepared statements of a session."""
        caller = self.callers[number]
        if caller.failed:
            self.send(number, StatementKind.ROLLBACK)
            return
        name = NAMES[index % 2]
        if caller.prepared and index % 8:
            name = min(caller.prepared)
        statement = NamedStatement(name)
        effective_kind = kind
        if kind is StatementKind.SET_VARIABLE:
            statement = SetVariable(name, str(index % 3))
        elif kind is StatementKind.PREPARE:
            shape = PreparedShape(index % 4 == 3, f"content {index % 5}")
            statement = PrepareStatement(name, shape)
        elif kind is StatementKind.EXECUTE and name in caller.prepared:
            writes = caller.prepared[name].writes
            effective_kind = StatementKind.WRITE if writes else StatementKind.READ
        self._submit(number, caller, kind, effective_kind, statement)

    def _submit(self, number, caller, kind, effective_kind, session_statement=None):
        self.numbers += 1
        req = self.numbers
        self.sent[req] = Sent(
            number,
            effective_kind,
            self.now,
            caller.transaction_number if caller.in_transaction else 0,
            caller.key,
            variables=dict(caller.variables),
            session_statement=session_statement,
        )
        caller.busy = True
        marks = Marks(request_id=f"r{req}")
        event = StatementArrived(
            self.now, req, number, kind, "x", marks, session_statement
        )
        self.feed(event)

    # The daemon.

    def feed(self, event):
        if self.deferred is not None:
            self.deferred.append(event)
            return
        self.apply(reduce(self.state, event))
        while own_messages := [e for e in self.pending if is_own_message(e)]:
            self.pending.remove(own_messages[0])
            self.control.deliver(own_messages[0], "ok")

    def apply(self, step):
        self.state = step.state
        for effect in step.effects:
            if isinstance(effect, AnswerCaller):
                self._check_answer(effect)
            elif isinstance(effect, CloseCaller):
                self.pending.append(effect)
            elif isinstance(effect, CloseConnection):
                self._close(effect.conn)
            elif isinstance(effect, OpenConnection | SendToPeer):
                self.pending.append(effect)
            elif isinstance(effect, AT_CONNECTIONS):
                self._check_sent(effect)
                self.pending.append(effect)

    def _check_sent(self, run):
        sent = self.sent[run.req]
        request = self.state.requests.get(run.req)
        assert request is not None, "sent after its answer"
        runs = [e.req for e in self.pending if isinstance(e, AT_CONNECTIONS)]
        assert run.req not in runs, "sent while it runs"
        holder = self.holders.get(sent.key)
        conn = self.conns[run.conn]
        assert conn.customer == holder, "runs for another customer"
        assert self.now < self.state.fresh_until, "runs after the lease"
        sent.group = conn.instance.group

    def _close(self, number):
        """Close a connection; what was sent on it may run all the same."""
        conn = self.conns.pop(number, None)
        runs = [e for e in self.pending if getattr(e, "conn", None) == number]
        for run in runs:
            self.pending.remove(run)
            is_statement = isinstance(run, RunStatement) and conn is not None
            if is_statement and self.rng.random() < 0.5:
                self._execute(run, conn)

    def _check_answer(self, effect):
        req = effect.req
        sent = self.sent[req]
        assert req not in self.answered, "answered twice"
        self.answered[req] = effect.refusal
        caller = self.callers.get(sent.caller)
        if caller is None:
            return
        caller.busy = False
        caller.in_transaction = effect.in_transaction
        caller.failed = effect.failed_transaction
        if effect.refusal is None:
            self._record_success(req, sent, caller)
        else:
            self._record_refusal(req, sent, caller, effect.refusal)
        if not caller.in_transaction and sent.kind is not StatementKind.COMMIT:
            self._deny(caller.writes)
            caller.writes = []

    def _record_success(self, req, sent, caller):
        if sent.kind is StatementKind.WRITE and sent.transaction_number:
            caller.writes.append(req)
        elif sent.kind is StatementKind.WRITE:
            self._acknowledge(sent.caller, [req])
        elif sent.kind is StatementKind.COMMIT:
            self._acknowledge(sent.caller, caller.writes)
            caller.writes = []
        elif sent.kind is StatementKind.SET_VARIABLE:
            variable = sent.session_statement
            caller.variables[variable.name] = variable.value
        elif sent.kind is StatementKind.PREPARE:
            statement = sent.session_statement
            caller.prepared[statement.name] = statement.shape
        elif sent.kind is StatementKind.DEALLOCATE:
            del caller.prepared[sent.session_statement.name]
        else:
            assert sent.kind is not StatementKind.EXECUTE, "executes an unknown name"

    def _record_refusal(self, req, sent, caller, refusal):
        is_promise = refusal.code.outcome is Outcome.NOT_RUN
        is_promise = is_promise or refusal.code is Code.TRANSACTION_LOST
        if sent.kind is StatementKind.WRITE and is_promise:
            self._deny([req])
        if sent.kind is StatementKind.COMMIT and not caller.in_transaction:
            if is_promise:
                self._deny(caller.writes)
            caller.writes = []

    def _deny(self, reqs):
        """Record writes that are known to have no effect."""
        for req in reqs:
            for instance in self.instances.values():
                assert req not in instance.requests(), "ran, but was refused"
            self.denied.add(req)

    def _acknowledge(self, caller, reqs):
        for req in reqs:
            kept = any(req in i.requests() for i in self.instances.values())
            assert kept or req in self.rolled_back, "acknowledged, but did not run"
            self.acked[req] = self.now
            self.sessions_writes.setdefault(caller, set()).add(req)

    # Endpoints.

    def deliver(self, index, outcome):
        """Perform one pending effect with an outcome: ok, busy, lost or error."""
        if not self.pending:
            return
        effect = self.pending.pop(index % len(self.pending))
        if isinstance(effect, CloseCaller):
            self.disconnect(effect.caller)
        elif isinstance(effect, OpenConnection):
            self._open(effect, outcome)
        elif isinstance(effect, SendToPeer):
            self.control.deliver(effect, outcome)
        elif isinstance(effect, SetUpConnection):
            self._set_up(effect, outcome)
        elif isinstance(effect, ReadTransactionEnd):
            self._end_read_transaction(effect, outcome)
        else:
            self._run(effect, outcome)

    def _open(self, effect, outcome):
        instance = self.instances[effect.endpoint]
        if instance.is_up and outcome == "ok":
            self.conns[effect.conn] = Connection(instance, effect.customer)
            event = ConnectionOpened(self.now, effect.conn, effect.endpoint, "77")
        else:
            reason = OpenFailure.TOO_MANY if instance.is_up else OpenFailure.UNREACHABLE
            event = ConnectionRefused(self.now, effect.conn, effect.endpoint, reason)
        self.feed(event)

    def _run(self, run, outcome):
        conn = self.conns.get(run.conn)
        if conn is None:
            return
        owed = run.require_proof
        if outcome == "busy":
            opened = conn.transaction is not None
            if owed:
                self.pending.append(ReadTransactionEnd(run.conn))
            self._fail(
                run,
                Failure.BUSY,
                usable=True,
                in_transaction=opened,
                answers_owed=owed,
            )
            return
        failure = self._execute(run, conn)
        if owed and outcome != "lost":
            self._open_read_transaction(run, conn, failure)
        if outcome == "lost":
            self.conns.pop(run.conn)
            self._fail(run, Failure.LOST)
            endpoint = conn.instance.name
            self.feed(ConnectionBroken(self.now, run.conn, endpoint))
        elif failure is Failure.READ_ONLY and conn.transaction is not None:
            conn.transaction = None
            self._fail(run, failure)
        elif failure is not None:
            self._fail(run, failure, usable=True, answers_owed=owed)
        else:
            position = conn.instance.position()
            self.feed(
                StatementDone(
                    self.now,
                    run.req,
                    run.conn,
                    position,
                    in_transaction=conn.transaction is not None and not owed,
                    answers_owed=owed,
                )
            )

    def _open_read_transaction(self, run, conn, failure):
        """Open the transaction of a read that proves its primary."""
        self.pending.append(ReadTransactionEnd(run.conn))
        if failure is None:
            conn.transaction = Transaction(self.sent[run.req].caller, 0, False)

    def _end_read_transaction(self, end, outcome):
        conn = self.conns.get(end.conn)
        if conn is None or outcome == "lost":
            return
        if outcome == "ok":
            conn.transaction = None
        usable = conn.transaction is None
        self.feed(ConnectionSettled(self.now, end.conn, usable))

    def _set_up(self, setup, outcome):
        """Let an endpoint accept or refuse each step that sets up a connection."""
        conn = self.conns.get(setup.conn)
        if conn is None:
            return
        if outcome == "lost" or not conn.instance.is_up:
            self.conns.pop(setup.conn)
            self._lose_setup(setup)
            self.feed(ConnectionBroken(self.now, setup.conn, conn.instance.name))
            return
        applied, failures = (), []
        refused = self.rng.randrange(len(setup.steps)) if outcome == "busy" else -1
        for index, step in enumerate(setup.steps):
            failure = Failure.BUSY
            if index != refused:
                failure = self._apply_step(setup, conn, step)
            if failure is None:
                applied += (step,)
            else:
                failures.append(failure)
        self.feed(
            SetupAnswered(
                self.now,
                setup.req,
                setup.conn,
                applied,
                failure=failures[0] if failures else None,
                usable=True,
                in_transaction=conn.transaction is not None,
            )
        )

    def _lose_setup(self, setup):
        failure = Failure.LOST
        self.feed(SetupAnswered(self.now, setup.req, setup.conn, failure=failure))

    def _apply_step(self, setup, conn, step):
        """Perform one step at an endpoint, and return how it failed, or None."""
        if isinstance(step, DiscardSettings):
            conn.variables, conn.prepared = {}, set()
        elif isinstance(step, SetVariable):
            conn.variables[step.name] = step.value
        elif isinstance(step, PrepareShape):
            conn.prepared.add(step.shape.name)
        else:
            return self._begin(setup, conn, step)
        return None

    def _begin(self, effect, conn, step):
        sent, instance = self.sent[effect.req], conn.instance
        if step.min_position is not None and not instance.holds(step.min_position):
            return Failure.BEHIND
        if not step.read_only and self.leaders[instance.group] != instance.name:
            return Failure.READ_ONLY
        assert conn.transaction is None, "begins inside a transaction"
        conn.transaction = Transaction(
            sent.caller, sent.transaction_number, step.read_only
        )
        return None

    def _fail(self, run, failure, **fields):
        self.feed(StatementFailed(self.now, run.req, run.conn, failure, **fields))

    def _execute(self, run, conn):
        """Run a statement and return how it failed, or None."""
        sent = self.sent[run.req]
        instance = conn.instance
        leads = self.leaders[instance.group] == instance.name
        if not instance.is_up:
            return Failure.LOST
        assert conn.variables == sent.variables, "runs with values of another session"
        if run.prepared is not None and run.prepared.name not in conn.prepared:
            return Failure.UNKNOWN_NAME
        if run.min_position is not None and not instance.holds(run.min_position):
            return Failure.BEHIND
        if run.require_proof and not leads:
            return Failure.READ_ONLY
        if run.begin:
            failure = self._begin(run, conn, BeginTransaction(run.read_only))
            if failure is not None:
                return failure
        self._check_transaction(sent, conn)
        if conn.transaction is not None and not conn.transaction.is_read_only:
            writes_nothing = not conn.transaction.writes
            is_empty_commit = sent.kind is StatementKind.COMMIT and writes_nothing
            if not leads and not is_empty_commit:
                return Failure.READ_ONLY
        return self._execute_kind(run, sent, conn, leads)

    def _execute_kind(self, run, sent, conn, leads):
        instance = conn.instance
        if sent.kind is StatementKind.READ:
            self._check_read(run, sent, instance)
        elif sent.kind is StatementKind.WRITE:
            if not leads:
                return Failure.READ_ONLY
            if conn.transaction is None:
                self._commit(instance, [run.req])
            else:
                conn.transaction.writes.append(run.req)
        else:
            if sent.kind is StatementKind.COMMIT:
                self._commit(instance, conn.transaction.writes)
            conn.transaction = None
        return None

    def _check_transaction(self, sent, conn):
        if not sent.transaction_number:
            assert conn.transaction is None, "a single statement in a transaction"
            return
        assert conn.transaction is not None, "a statement outside its transaction"
        found = (conn.transaction.caller, conn.transaction.number)
        assert found == (sent.caller, sent.transaction_number), "mixed transactions"

    def _commit(self, instance, reqs):
        for req in reqs:
            assert req not in self.denied, "runs although it was refused"
            ran = any(req in i.requests() for i in self.instances.values())
            assert not ran and req not in self.rolled_back, "runs twice"
            instance.log.append((self.terms[instance.group], req))

    def _check_read(self, run, sent, instance):
        """Check that a read sees what its route and its session require."""
        request = self.state.requests.get(run.req)
        if request is None or sent.transaction_number:
            return
        present = instance.requests()
        consistency = request.route.consistency
        slack_s = 0.0 if consistency is cat.Consistency.PRIMARY else STALENESS_S
        needed = {
            req
            for req, at in self.acked.items()
            if at < sent.sent_at - slack_s and self._ran_in(req, instance.group)
        }
        if consistency is cat.Consistency.OWN_WRITES:
            own = self.sessions_writes.get(sent.caller, set())
            needed |= {req for req in own if self._ran_in(req, instance.group)}
        assert needed - self.rolled_back <= present, "a stale read"

    def _ran_in(self, req, group):
        return any(
            req in i.requests() for i in self.instances.values() if i.group == group
        )

    def break_connection(self, index):
        """Break a connection that runs no statement; its transaction is rolled back."""
        busy = {e.conn for e in self.pending if isinstance(e, AT_CONNECTIONS)}
        quiet = sorted(set(self.conns) - busy)
        if quiet:
            number = quiet[index % len(quiet)]
            conn = self.conns.pop(number)
            self.feed(ConnectionBroken(self.now, number, conn.instance.name))

    def stop_or_start(self, name):
        instance = self.instances[name]
        instance.is_up = not instance.is_up
        if not instance.is_up:
            for number, conn in list(self.conns.items()):
                if conn.instance is instance and number in self.conns:
                    self._break(number, instance)

    def _break(self, number, instance):
        del self.conns[number]
        for run in [e for e in self.pending if getattr(e, "conn", None) == number]:
            self.pending.remove(run)
            if isinstance(run, RunStatement):
                self._fail(run, Failure.LOST)
            elif isinstance(run, SetUpConnection):
                self._lose_setup(run)
        self.feed(ConnectionBroken(self.now, number, instance.name))

    def heal(self):
        """Repair all faults; every request is then answered."""
        for instance in self.instances.values():
            instance.is_up = True
        for group in GROUPS:
            self.install(group)
        self.control.lend_amply()
        for _ in range(200):
            self.tick(0.05)
            for name in self.instances:
                self.replicate(name, 1000)
            for _ in range(200):
                if not self.pending:
                    break
                self.deliver(0, "ok")
        assert not self.state.requests, "a request without an answer"
        unanswered = {r for r, s in self.sent.items() if s.caller in self.callers}
        assert unanswered <= set(self.answered), "a statement without an answer"


def _start_daemon(paced):
    """Return the state of a daemon that knows no catalogue yet."""
    identity = Identity(
        DAEMON,
        "zone-a",
        "west",
        b"secret",
        drain_limits=DRAIN_LIMITS,
        paces_endpoints=paced,
    )
    state = NodeState(
        identity,
        fresh_until=NEVER,
        # Many daemons make each one's part of an endpoint less than one statement.
        entry_daemons=60 if paced else 1,
    )
    for customer in CUSTOMERS:
        share = Share(customer, 1e6, 1e6, 1e6, 0.0, NEVER)
        state = replace(state, shares=state.shares.set(customer, share))
    return state


def _common_length(first, second):
    length = 0
    while length < min(len(first), len(second)) and first[length] == second[length]:
        length += 1
    return length
