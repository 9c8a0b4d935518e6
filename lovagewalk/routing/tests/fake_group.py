"""Harness: an in-memory database group behind one daemon's reducer.

Effects stay pending until a test delivers them, in any order.
"""

from dataclasses import dataclass, field, replace

from lovagewalk import catalogue as cat
from lovagewalk.core import Code, Outcome, reduce
from lovagewalk.daemon import SweepTick, install_catalogue
from lovagewalk.groups import (
    AwaitPosition,
    InstanceFailed,
    InstanceSeen,
    InstanceStatus,
    PollInstance,
    PollTick,
    Position,
    Role,
)
from lovagewalk.node import Identity, NodeState
from lovagewalk.pools import (
    CloseConnection,
    ConnectionOpened,
    ConnectionRefused,
    OpenConnection,
)
from lovagewalk.routing import (
    NO_MARKS,
    AnswerCaller,
    CallerConnected,
    CloseCaller,
    Failure,
    Marks,
    RunStatement,
    StatementArrived,
    StatementDone,
    StatementFailed,
    StatementKind,
)
from lovagewalk.shares import Share

GROUP = "g"
NEVER_EXPIRES = 1e18
NAMES = ("db0", "db1", "db2")
COMMIT, ROLLBACK = "COMMIT", "ROLLBACK"


@dataclass
class Instance:
    """One database instance, with a log of (term, write)."""

    name: str
    term: int = 0
    promoted_term: int = 0
    role: Role = Role.FENCED
    log: list = field(default_factory=list)
    incarnation: int = 1
    log_length_at_promotion: int = 0
    is_up: bool = True

    def status(self):
        last = self.log[-1][0] if self.log else 0
        return InstanceStatus(
            str(self.incarnation), self.role, self.term, len(self.log), last
        )

    def fence(self, term):
        if term > self.term:
            self.term, self.role = term, Role.FENCED


class Site:
    """A daemon, its database group, and the effects not yet performed."""

    def __init__(self):
        self.now = 1.0
        self.uncommitted_by_caller = {}
        self.reported_not_run = set()
        self.acknowledged = set()
        self.pending_install = None
        self.instances = {name: Instance(name) for name in NAMES}
        self.pending_effects = []
        self.conns = {}
        self.open_transactions = {}
        self.owners = {}
        self.acknowledged_by_caller = {}
        self.answers = {}
        self.results = {}
        self.requests = {}
        self.closed_callers = set()
        self.last_number = 0
        self.revision = 0
        self.term = 0
        self.state = NodeState(
            Identity("e", "z", "r", b"secret"), fresh_until=NEVER_EXPIRES
        )
        share = Share("c", 1e6, 1e6, 1e6, 0.0, NEVER_EXPIRES)
        self.state = replace(self.state, shares=self.state.shares.set("c", share))
        commands = [
            cat.PutCustomer(cat.CustomerEntry("c", "o", 1e6, 1e6), 0),
            cat.IssueKey("k", "c", ""),
            cat.PutRoute(cat.RouteEntry("r", "o", GROUP), 0),
        ]
        for name in NAMES:
            commands.append(
                cat.AnnounceEndpoint(
                    cat.Endpoint(name, GROUP, name, 1, "z", "r", 2, sequence=1)
                )
            )
        self.change(*commands)
        self.promote("db0", NAMES)
        self.feed(PollTick(self.now))
        self.deliver_all()

    def change(self, *commands):
        catalogue = self.state.catalogue
        for command in commands:
            self.revision += 1
            proposal = cat.Proposal("", "t", 0.0, command)
            applied = cat.apply_proposal(catalogue, self.revision, proposal)
            assert applied.result.refusal is None, applied.result
            catalogue = applied.catalogue
        self.apply_step(install_catalogue(self.state, catalogue, self.now))

    def promote(self, preferred, fenced_names, install=True):
        """Fence a quorum, promote its most advanced instance and install the term."""
        self.term += 1
        for name in fenced_names:
            self.instances[name].fence(self.term)
        voters = [self.instances[name] for name in fenced_names]
        most_advanced = max(
            voters,
            key=lambda instance: (
                instance.status().last_term,
                len(instance.log),
                instance.name == preferred,
            ),
        )
        start = cat.TermStart(
            self.term, len(most_advanced.log), most_advanced.status().last_term
        )
        most_advanced.role, most_advanced.promoted_term = Role.PRIMARY, self.term
        most_advanced.log_length_at_promotion = len(most_advanced.log)
        all_voters = tuple(
            cat.Voter(instance.name, str(instance.incarnation))
            for instance in self.instances.values()
        )
        self.pending_install = (
            cat.AllocateTerm(GROUP, self.term),
            cat.InstallTerm(GROUP, self.term, most_advanced.name, all_voters, start),
        )
        if install:
            self.install()

    def install(self):
        if self.pending_install:
            commands, self.pending_install = self.pending_install, None
            self.change(*commands)

    @property
    def primary(self):
        """The instance that was promoted in the highest term."""
        return max(self.instances.values(), key=lambda instance: instance.promoted_term)

    def replicate(self, name):
        """Replicate one entry of the newest primary's log to an instance."""
        source, target = self.primary, self.instances[name]
        if (
            target is source
            or not (target.is_up and source.is_up)
            or target.term > source.term
        ):
            return
        if source.role is not Role.PRIMARY:
            return
        target.term, target.role = source.term, Role.REPLICA
        common = 0
        while common < min(len(source.log), len(target.log)):
            if source.log[common] != target.log[common]:
                break
            common += 1
        del target.log[common:]
        target.log.extend(source.log[common : common + 1])
        if len(target.log) < source.log_length_at_promotion:
            target.log.extend(
                source.log[len(target.log) : source.log_length_at_promotion]
            )

    def feed(self, event):
        self.apply_step(reduce(self.state, event))

    def apply_step(self, step):
        self.state = step.state
        for effect in step.effects:
            if isinstance(effect, AnswerCaller):
                self._check_answer(effect)
            elif isinstance(effect, CloseCaller):
                self.closed_callers.add(effect.caller)
            elif isinstance(effect, CloseConnection):
                self._close(effect.conn)
            else:
                self.pending_effects.append(effect)

    def _close(self, conn):
        self.conns.pop(conn, None)
        self.open_transactions.pop(conn, None)

    def deliver(self, index, lost=False):
        """Perform one pending effect; `lost` loses its answer and its connection."""
        if not self.pending_effects:
            return
        effect = self.pending_effects.pop(index % len(self.pending_effects))
        handler = {
            OpenConnection: self._open_connection,
            RunStatement: self._run_statement,
            PollInstance: self._poll_instance,
            AwaitPosition: self._poll_instance,
        }.get(type(effect))
        if handler is not None:
            handler(effect, lost)

    def deliver_all(self, rounds=400):
        """Deliver all pending effects without advancing the clock."""
        while self.pending_effects and rounds:
            rounds -= 1
            self.deliver(0)

    def _open_connection(self, effect, lost):
        instance = self.instances[effect.endpoint]
        if lost or not instance.is_up:
            self.feed(ConnectionRefused(self.now, effect.conn, effect.endpoint))
            return
        self.conns[effect.conn] = (effect.endpoint, instance.incarnation)
        self.feed(
            ConnectionOpened(
                self.now, effect.conn, effect.endpoint, str(instance.incarnation)
            )
        )

    def _poll_instance(self, effect, lost):
        awaited = isinstance(effect, AwaitPosition)
        instance = self.instances[effect.endpoint]
        if lost or not instance.is_up:
            self.feed(
                InstanceFailed(self.now, effect.endpoint, awaited, not instance.is_up)
            )
            return
        self.feed(
            InstanceSeen(
                self.now, effect.endpoint, instance.status(), self.now, awaited
            )
        )

    def _run_statement(self, effect, lost):
        if effect.conn not in self.conns:
            return
        name, incarnation = self.conns[effect.conn]
        instance = self.instances[name]
        if not instance.is_up or incarnation != instance.incarnation:
            self._fail(effect, Failure.NOT_SENT)
            return
        failure = self._execute(effect, instance)
        if lost:
            self._fail(effect, Failure.LOST)
        elif failure is not None:
            position = None
            if failure is Failure.DUPLICATE_ID:
                position = Position(instance.promoted_term, len(instance.log))
            self._fail(effect, failure, usable=True, position=position)
        else:
            position = None
            if effect.query_position:
                position = Position(instance.promoted_term, len(instance.log))
            in_transaction = effect.conn in self.open_transactions
            self.feed(
                StatementDone(
                    self.now,
                    effect.req,
                    effect.conn,
                    position,
                    in_transaction=in_transaction,
                )
            )

    def _fail(self, effect, failure, usable=False, position=None):
        if failure in (Failure.LOST, Failure.NOT_SENT):
            self._close(effect.conn)
        self.feed(
            StatementFailed(
                self.now,
                effect.req,
                effect.conn,
                failure,
                usable=usable,
                position=position,
            )
        )

    def _execute(self, effect, instance):
        caller = self.requests[effect.req][0]
        if effect.begin:
            assert effect.conn not in self.open_transactions
            self.open_transactions[effect.conn] = (caller, [])
        transaction = self.open_transactions.get(effect.conn)
        if transaction is not None:
            assert transaction[0] == caller, "two callers share a transaction"
        if effect.text in (COMMIT, ROLLBACK):
            return self._end_transaction(effect, instance)
        if effect.text.startswith("write"):
            return self._write(effect, instance, transaction)
        self.results[effect.req] = [entry[1] for entry in instance.log]
        if transaction is not None:
            self.results[effect.req] = self.results[effect.req] + transaction[1]
        return None

    def _end_transaction(self, effect, instance):
        caller, writes = self.open_transactions.pop(effect.conn)
        if effect.text == COMMIT and writes:
            if instance.role is not Role.PRIMARY:
                return Failure.READ_ONLY
            instance.log.extend((instance.promoted_term, write) for write in writes)
        return None

    def _write(self, effect, instance, transaction):
        if instance.role is not Role.PRIMARY:
            return Failure.READ_ONLY
        write = effect.text
        if effect.once is not None:
            write = f"once {effect.once.request_id}"
            if any(entry[1] == write for entry in instance.log):
                return Failure.DUPLICATE_ID
        if transaction is not None:
            transaction[1].append(write)
        else:
            instance.log.append((instance.promoted_term, write))
        return None

    def connect(self):
        self.last_number += 1
        caller = self.last_number
        self.acknowledged_by_caller[caller] = set()
        self.feed(CallerConnected(self.now, caller, "k", "r"))
        return caller

    def is_idle(self, caller):
        session = self.state.sessions.get(caller)
        return session is not None and not session.req

    def send(self, caller, kind, text="", marks=NO_MARKS):
        self.last_number += 1
        req = self.last_number
        write = text
        if kind is StatementKind.WRITE and not marks.once:
            text = write = f"write {req}"
        if marks.once:
            write = f"once {marks.request_id}"
        self.requests[req] = (caller, kind, write)
        self.feed(StatementArrived(self.now, req, caller, kind, text or "read", marks))
        return req

    def _check_answer(self, effect):
        caller, kind, write = self.requests[effect.req]
        assert effect.req not in self.answers, "answered twice"
        assert effect.caller == caller, "answer for another caller"
        self.answers[effect.req] = effect.refusal
        transaction = self.uncommitted_by_caller.setdefault(caller, [])
        if effect.refusal is not None:
            self._record_refusal(effect.refusal, kind, write, caller)
        elif kind is StatementKind.READ:
            rows = self.results[effect.req]
            missing = self.acknowledged_by_caller[caller] - set(rows)
            assert not missing, f"own writes missing: {missing}"
        elif kind is StatementKind.WRITE:
            if effect.in_transaction:
                transaction.append(write)
            else:
                self._acknowledge(caller, [write])
        elif kind is StatementKind.COMMIT:
            self._acknowledge(caller, transaction)
            self.uncommitted_by_caller[caller] = []
        elif kind is StatementKind.ROLLBACK:
            self.reported_not_run.update(transaction)
            self.uncommitted_by_caller[caller] = []

    def _record_refusal(self, refusal, kind, write, caller):
        outcome = refusal.code.outcome
        if kind is StatementKind.WRITE and outcome is Outcome.NOT_RUN:
            if not write.startswith("once"):
                self.reported_not_run.add(write)
        if kind is StatementKind.COMMIT:
            writes, self.uncommitted_by_caller[caller] = (
                self.uncommitted_by_caller[caller],
                [],
            )
            if outcome is not Outcome.UNKNOWN:
                self.reported_not_run.update(writes)
        if refusal.code is Code.ALREADY_RUN:
            self.acknowledged.add(write)

    def _acknowledge(self, caller, writes):
        self.acknowledged.update(writes)
        self.acknowledged_by_caller[caller].update(writes)


def once(request_id):
    """Return the marks of a request that must run at most once."""
    return Marks(request_id=request_id, once=True)


def tick(site, elapsed_s):
    """Advance the clock and run the daemon's periodic events."""
    site.now += elapsed_s
    site.feed(PollTick(site.now))
    site.feed(SweepTick(site.now))
