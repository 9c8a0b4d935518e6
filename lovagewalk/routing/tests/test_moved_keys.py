"""Sessions whose key moves to another customer while they are open."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from lovagewalk.core import Code
from lovagewalk.routing import CallerDisconnected, StatementKind

from .key_site import OTHER, OTHER_KEY, KeySite
from .provider_site import CUSTOMER, KEY


def test_a_session_does_not_run_for_the_customer_that_lost_its_key():
    """Guards against requests of a connected caller that run for another customer.

    A session kept the customer that its key had when it connected; a change only asked
    whether the key still exists.
    """
    site = KeySite()
    caller = site.connect("till")
    site.assign({KEY: OTHER})
    assert site.closed[caller].code is Code.KEY_WITHDRAWN
    req = site.write(caller)
    assert site.refusal_code(req) is Code.KEY_WITHDRAWN and not site.runs
    again = site.connect("till")
    site.write(again)
    assert site.state.sessions[again].customer == OTHER and site.runs


def test_a_transaction_ends_when_its_key_moves():
    site = KeySite()
    caller = site.begin("till")
    site.complete(site.pop_run(), open_transaction=True)
    conn = site.state.sessions[caller].conn
    site.assign({KEY: OTHER})
    assert caller in site.closed and conn not in site.state.conn_endpoints


def test_a_statement_that_waits_does_not_run_for_the_former_customer():
    """The key moves while the statement waits for the answer to a saturated primary."""
    site = KeySite()
    site.unresponsive.add("i-primary")
    caller = site.connect("till")
    req = site.write(caller)
    assert not site.runs
    site.assign({KEY: OTHER})
    assert site.refusal_code(req) is Code.KEY_WITHDRAWN


def test_a_change_that_leaves_the_key_leaves_the_session():
    site = KeySite()
    caller = site.connect("till")
    site.assign({KEY: CUSTOMER})
    req = site.write(caller)
    site.complete(site.pop_run())
    assert caller not in site.closed and site.answers[req].refusal is None


class KeyMachine(RuleBasedStateMachine):
    """Keys that move, go and return while callers are connected."""

    def __init__(self):
        super().__init__()
        self.site = KeySite()
        self.callers = []

    @rule(
        first=st.sampled_from((CUSTOMER, OTHER, CUSTOMER, OTHER, "")),
        second=st.sampled_from((OTHER, CUSTOMER, "")),
    )
    def assign(self, first, second):
        holders = {KEY: first, OTHER_KEY: second}
        self.site.assign({key: who for key, who in holders.items() if who})
        for caller in list(self.site.closed):
            if caller in self.site.state.sessions:
                self.site.feed(CallerDisconnected(self.site.now, caller))

    @rule(
        name=st.sampled_from(("till", "board", "alloc", "open")),
        key=st.sampled_from((KEY, OTHER_KEY)),
    )
    def connect(self, name, key):
        self._open(name, key)

    def _open(self, name, key):
        caller = self.site.connect(name, key)
        self.callers.append(caller)
        return caller

    @rule(
        index=st.integers(0, 9),
        kind=st.sampled_from(
            (
                StatementKind.READ,
                StatementKind.WRITE,
                StatementKind.BEGIN,
                StatementKind.COMMIT,
            )
        ),
    )
    def send(self, index, kind):
        sessions = self.site.state.sessions
        idle = [c for c in self.callers if c in sessions and not sessions[c].req]
        caller = idle[index % len(idle)] if idle else self._open("till", KEY)
        self.site.send(caller, kind)

    @rule(index=st.integers(0, 9))
    def complete(self, index):
        if not self.site.runs:
            return
        run = self.site.runs.pop(index % len(self.site.runs))
        request = self.site.state.requests.get(run.req)
        session = request and self.site.state.sessions.get(request.caller)
        pinned = bool(session and session.conn == run.conn)
        ends = bool(request) and request.kind is StatementKind.COMMIT
        self.site.complete(run, open_transaction=pinned and not ends)

    @rule()
    def wait(self):
        self.site.sweep()


TestKeyMachine = KeyMachine.TestCase
TestKeyMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
