"""Harness: a daemon's reducer in front of a provider-managed group, without a network.

Connections open at once; statements stay pending until a test ends them.
"""

from dataclasses import replace

from lovagewalk import catalogue as cat
from lovagewalk.core import reduce
from lovagewalk.daemon import SweepTick, install_catalogue
from lovagewalk.groups import Position, record_primary_proof
from lovagewalk.node import DrainLimits, Identity, NodeState
from lovagewalk.pools import ConnectionOpened, ConnectionRefused, OpenConnection
from lovagewalk.routing import (
    AnswerCaller,
    BeginTransaction,
    CallerConnected,
    CloseCaller,
    Failure,
    Marks,
    NamedStatement,
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
from lovagewalk.shares import Share

GROUP = "ledger"
CUSTOMER, KEY = "kiosk", "key-digest"
PRIMARY, NEAR, FAR = "i-primary", "i-near", "i-far"
REGION, OTHER_REGION = "west", "east"
TIMEOUT_S = 1.0
DRAIN_LIMITS = DrainLimits(operations_s=2.0, transactions_s=3.5, answers_s=5.0)
STALENESS_S = 1.5


def route(name, consistency, **fields):
    return cat.RouteEntry(
        name,
        "op",
        GROUP,
        consistency=consistency,
        max_staleness_s=STALENESS_S,
        statement_timeout_s=TIMEOUT_S,
        objective_s=0.6,
        **fields,
    )


ROUTES = (
    route("till", cat.Consistency.PRIMARY),
    route("board", cat.Consistency.BOUNDED),
    route("alloc", cat.Consistency.OWN_WRITES),
)


class Site:
    """A daemon with the primary and one replica in its region, one in another.

    Parameters
    ----------
    paced : bool
        Whether it sends at a pace that the endpoints' answers determine.
    """

    def __init__(self, connections=46, paced=False, name="edge"):
        self.now = 100.0
        self.last_number = 0
        self.revision = 0
        self.runs = []
        self.setups = []
        self.opened = []
        self.answers = {}
        self.closed = {}
        self.refusal_reasons = {}
        self.unresponsive = set()
        self.state = NodeState(
            Identity(
                name,
                "zone-a",
                REGION,
                b"secret",
                drain_limits=DRAIN_LIMITS,
                paces_endpoints=paced,
            ),
            fresh_until=1e9,
            entry_daemons=1,
        )
        share = Share(CUSTOMER, 1e6, 1e6, 1e6, 0.0, 1e9)
        self.state = replace(self.state, shares=self.state.shares.set(CUSTOMER, share))
        self.configure(1, connections=connections)
        for name, zone, region in (
            (PRIMARY, "zone-b", REGION),
            (NEAR, "zone-a", REGION),
            (FAR, "zone-c", OTHER_REGION),
        ):
            self.announce(name, zone, region)
        self.install(1, PRIMARY)
        self.record_proof(Position(1, 10))

    def configure(self, version, routes=ROUTES, keys=(KEY,), connections=46):
        self.change(
            cat.ReplaceConfiguration(
                version,
                routes,
                (cat.CustomerEntry(CUSTOMER, "op", 1e6, 1e6),),
                tuple(cat.KeyEntry(key, CUSTOMER, "") for key in keys),
                (cat.GroupLimits(GROUP, connections),),
                idle_transaction_s=3.0,
            )
        )

    def announce(
        self,
        name,
        zone="zone-a",
        region=REGION,
        sequence=1,
        leaving=False,
        born=77,
        **reported,
    ):
        port = 1000 + sum(name.encode())
        endpoint = cat.Endpoint(
            name,
            GROUP,
            "host",
            port,
            zone,
            region,
            0,
            leaving,
            sequence,
            born,
            **reported,
        )
        self.change(cat.AnnounceEndpoint(endpoint))

    def install(self, term, primary):
        start = cat.TermStart(term, 0)
        self.change(cat.InstallTerm(GROUP, term, primary, (), start))

    def begin_promotion(self):
        """Allocate a fence, as control does when a promotion begins."""
        self.change(cat.AllocateFence(GROUP))

    def change(self, command):
        self.revision += 1
        proposal = cat.Proposal("", "test", 0.0, command)
        applied = cat.apply_proposal(self.state.catalogue, self.revision, proposal)
        assert applied.result.refusal is None, applied.result
        self.receive(applied.catalogue)

    def receive(self, catalogue):
        """Install a catalogue, as when it arrives at the daemon."""
        self.apply_step(install_catalogue(self.state, catalogue, self.now))

    def record_proof(self, position, age_s=0.0):
        """Record a position that the primary held `age_s` ago."""
        term = self.state.catalogue.group(GROUP).term
        sent_at = self.now - age_s
        self.state = record_primary_proof(self.state, GROUP, term, sent_at, position)

    def feed(self, event):
        self.apply_step(reduce(self.state, event))

    def apply_step(self, step):
        self.state = step.state
        for effect in step.effects:
            if isinstance(effect, AnswerCaller):
                assert effect.req not in self.answers, "answered twice"
                self.answers[effect.req] = effect
            elif isinstance(effect, CloseCaller):
                self.closed[effect.caller] = effect.refusal
            elif isinstance(effect, RunStatement):
                self.runs.append(effect)
            elif isinstance(effect, SetUpConnection):
                self.setups.append(effect)
            elif isinstance(effect, OpenConnection):
                self.open(effect)

    def open(self, effect):
        self.opened.append(effect)
        if effect.endpoint in self.unresponsive:
            return
        reason = self.refusal_reasons.get(effect.endpoint)
        if reason is not None:
            self.feed(ConnectionRefused(self.now, effect.conn, effect.endpoint, reason))
        else:
            born = str(self.state.catalogue.endpoints[effect.endpoint].born)
            self.feed(ConnectionOpened(self.now, effect.conn, effect.endpoint, born))

    def connect(self, route_name, key=KEY):
        self.last_number += 1
        self.feed(CallerConnected(self.now, self.last_number, key, route_name))
        return self.last_number

    def send(self, caller, kind, text="x", session_statement=None):
        self.last_number += 1
        marks = Marks(request_id=f"r{self.last_number}")
        self.feed(
            StatementArrived(
                self.now, self.last_number, caller, kind, text, marks, session_statement
            )
        )
        return self.last_number

    def begin(self, route_name, kind=StatementKind.WRITE):
        """Connect a caller that begins a transaction with one statement."""
        caller = self.connect(route_name)
        self.send(caller, StatementKind.BEGIN)
        self.send(caller, kind)
        return caller

    def read(self, caller):
        return self.send(caller, StatementKind.READ)

    def write(self, caller):
        return self.send(caller, StatementKind.WRITE)

    def set_variable(self, caller, name, value):
        return self.send(
            caller,
            StatementKind.SET_VARIABLE,
            session_statement=SetVariable(name, value),
        )

    def prepare(self, caller, name, shape):
        session_statement = PrepareStatement(name, shape)
        return self.send(
            caller, StatementKind.PREPARE, session_statement=session_statement
        )

    def execute(self, caller, name, text="item"):
        session_statement = NamedStatement(name)
        return self.send(caller, StatementKind.EXECUTE, text, session_statement)

    def get_endpoint(self, run):
        """Return the endpoint that a statement was sent to."""
        return self.state.conn_endpoints[run.conn]

    def pop_run(self):
        """Remove and return the statement that was sent last."""
        return self.runs.pop()

    def accept_setup(self):
        """Accept the steps that were sent last, and return them."""
        setup = self.setups.pop()
        opens = any(isinstance(step, BeginTransaction) for step in setup.steps)
        session = self.state.sessions[self.state.requests[setup.req].caller]
        self.feed(
            SetupAnswered(
                self.now,
                setup.req,
                setup.conn,
                setup.steps,
                usable=True,
                in_transaction=opens or session.conn == setup.conn,
            )
        )
        return setup.steps

    def complete(self, run, position=None, open_transaction=False):
        self.feed(
            StatementDone(
                self.now,
                run.req,
                run.conn,
                position,
                in_transaction=open_transaction,
            )
        )

    def fail(self, run, failure, usable=True, open_transaction=False):
        self.feed(
            StatementFailed(
                self.now,
                run.req,
                run.conn,
                failure,
                usable=usable,
                in_transaction=open_transaction,
            )
        )

    def lose_answer(self, run):
        self.fail(run, Failure.LOST, usable=False)

    def sweep(self, elapsed_s=0.02):
        self.now += elapsed_s
        self.feed(SweepTick(self.now))

    def refusal_code(self, req):
        return self.answers[req].refusal.code
