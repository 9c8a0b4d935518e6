"""What the line protocol sends after the answer to BEGIN, without a network."""

import pytest

from lovagewalk.core import Code, replace
from lovagewalk.platform._endpoints import EndpointConnection, StatementRun
from lovagewalk.pools import CloseConnection
from lovagewalk.routing import RunStatement, StatementKind
from lovagewalk.routing.tests.key_site import OTHER, KeySite
from lovagewalk.routing.tests.provider_site import KEY, TIMEOUT_S

from .line_site import LinePorts, RecordingTransport

BEGUN = b"COMPLETE -\r\nREADY T -\r\n"
WRITTEN = b"COMPLETE 7.1f3\r\nREADY T 1.11\r\n"


class LineSite(KeySite):
    """A site whose statements are sent over the line protocol."""

    def __init__(self):
        self.line_ports = LinePorts(self)
        self.lines = {}
        super().__init__()

    def apply_step(self, step):
        super().apply_step(step)
        for effect in step.effects:
            if isinstance(effect, RunStatement):
                conn = self.lines.setdefault(effect.conn, _connect())
                StatementRun(self.line_ports, conn, effect).start()
            elif isinstance(effect, CloseConnection) and effect.conn in self.lines:
                self.lines[effect.conn].close()


def _connect():
    conn = EndpointConnection(lambda: None)
    conn._transport = RecordingTransport()
    return conn


@pytest.fixture
def site():
    return LineSite()


def _begin(site):
    """Begin a transaction whose BEGIN is not answered yet, and return its request."""
    site.begin("till")
    run = site.pop_run()
    conn = site.lines[run.conn]
    assert conn._transport.lines == ["QUERY - BEGIN"]
    return run.req, conn


def test_a_statement_follows_the_answer_to_begin(site):
    req, conn = _begin(site)
    conn.data_received(BEGUN)
    assert conn._transport.lines[1:] == [f"QUERY r{req} x"]


def test_a_statement_is_not_sent_if_its_key_moves_before_begin_is_answered(site):
    """Guards against a statement that runs for the customer that has lost its key.

    BEGIN waits for a slot of the endpoint. Only the lease was checked when its answer
    came, and the statement of the former customer was sent after the change.
    """
    req, conn = _begin(site)
    site.assign({KEY: OTHER})
    conn.data_received(BEGUN)
    assert conn._transport.lines == ["QUERY - BEGIN"] and conn._transport.aborted
    assert site.refusal_code(req) is Code.KEY_WITHDRAWN
    assert not site.state.requests


def test_a_statement_is_not_sent_if_the_lease_ends_before_begin_is_answered(site):
    site.state = replace(site.state, fresh_until=site.now + TIMEOUT_S / 4)
    req, conn = _begin(site)
    site.now += TIMEOUT_S / 2
    conn.data_received(BEGUN)
    assert conn._transport.lines == ["QUERY - BEGIN"] and conn._transport.aborted
    assert site.refusal_code(req) is Code.CONFIG_STALE


def test_a_statement_is_sent_if_the_lease_is_renewed_before_begin_is_answered(site):
    """The lease of the moment in which BEGIN was sent may have ended meanwhile."""
    site.state = replace(site.state, fresh_until=site.now + TIMEOUT_S / 4)
    req, conn = _begin(site)
    site.now += TIMEOUT_S / 2
    site.state = replace(site.state, fresh_until=site.now + TIMEOUT_S)
    conn.data_received(BEGUN)
    assert conn._transport.lines[1:] == [f"QUERY r{req} x"]


def test_nothing_is_sent_by_a_daemon_that_was_suspended_before_it_sent(site):
    """The lease ends between the decision to send and the adapter's turn."""
    site.state = replace(site.state, fresh_until=site.now + TIMEOUT_S / 4)
    site.write(site.connect("till"))
    run = site.pop_run()
    site.now += TIMEOUT_S / 2
    conn = _connect()
    StatementRun(site.line_ports, conn, run).start()
    assert not conn._transport.lines
    assert site.refusal_code(run.req) is Code.CONFIG_STALE


def test_the_end_of_a_transaction_is_sent_as_the_caller_sent_it(site):
    req, conn = _begin(site)
    conn.data_received(BEGUN)
    conn.data_received(WRITTEN)
    caller = next(iter(site.state.sessions))
    end = site.send(caller, StatementKind.ROLLBACK, "ROLLBACK")
    assert conn._transport.lines[2:] == [f"QUERY r{end} ROLLBACK"]
