"""What callers of the line protocol get when their connection is closed."""

from types import SimpleNamespace

from lovagewalk.core import Code, Refusal, TimerService
from lovagewalk.node import Identity, NodeState
from lovagewalk.platform._callers import CallerSession
from lovagewalk.runtime import CallerServer, Ports, _line_client

IDENTITY = Identity("vm1", "z", "r", b"fleet-secret")


class Transport:
    """A transport that keeps what is written to it."""

    def __init__(self):
        self.written = b""
        self.closed = False

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return 0


def _connect(ports, monkeypatch):
    monkeypatch.setattr(_line_client, "set_tcp_options", lambda *_: None)
    session = CallerSession(ports)
    transport = Transport()
    session.connection_made(transport)
    session._accepted = True
    session._awaiting_answer = True
    return session, transport


def _ports():
    ports = Ports(TimerService())
    ports.callers = CallerServer(ports, lambda: CallerSession(ports))
    ports.shell = SimpleNamespace(state=NodeState(IDENTITY), feed=lambda event: None)
    return ports


async def test_statements_sent_ahead_are_refused_before_the_connection_closes(
    monkeypatch,
):
    """Guards against a statement that was read and gets no answer.

    It waited behind another one when the daemon closed the session.
    """
    session, transport = _connect(_ports(), monkeypatch)
    session.data_received(b"QUERY a1 READ x\r\nQUERY a2 READ y\r\n")
    session.close(Refusal(Code.DRAINING))
    assert transport.closed
    assert transport.written.count(b"ERROR ") == 2
    assert transport.written.count(b"READY E -") == 2


async def test_a_stop_waits_until_answers_are_sent(monkeypatch):
    """Guards against answers that are in the buffer when the process ends."""
    ports = _ports()
    session, transport = _connect(ports, monkeypatch)
    ports.timer.call_later(0.05, lambda: ports.callers.open_connections.clear())
    started_at = ports.timer.now()
    await ports.callers.finish(5.0)
    assert transport.closed
    assert 0.04 <= ports.timer.now() - started_at < 4.0
