"""Connections of clients by lines, within the client budget, without a network."""

import asyncio

import pytest

from lovagewalk.clients import ClientKind, LimitSettings, create_budget, derive_limits
from lovagewalk.core import Code, LovageError, Shell, TimerService
from lovagewalk.daemon import SweepTick
from lovagewalk.node import Identity, NodeState
from lovagewalk.runtime import LineClient, Ports, _line_client

KIB = 1024
MIB = 1024 * KIB
MAX_LINE_BYTES = MIB


class Transport:
    """A transport that keeps what is written to it, as if nothing were read."""

    def __init__(self, source="10.0.0.1"):
        self.source = source
        self.written = b""
        self.unread = 0
        self.reading = True
        self.closed = False
        self.aborted = False

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return self.unread

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = self.aborted = True

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def get_extra_info(self, name):
        return (self.source, 1) if name == "peername" else None


class Echo(LineClient):
    """A client whose statements wait until a test answers them."""

    def __init__(self, ports):
        super().__init__(ports, ClientKind.CALLER, MAX_LINE_BYTES, 3.0)
        self.lines = []

    def handle_line(self, line):
        if line == "bad":
            raise LovageError(Code.PACKET_BAD)
        self.lines.append(line)
        if not self._accepted:
            self._client.set_waiting(False)
        self._accepted = True
        self._awaiting_answer = True
        self._statement_bytes = len(line)

    def send_refusal(self, refusal):
        self._transport.write(f"ERROR {refusal}".encode())

    def finish(self):
        self._awaiting_answer = False
        self._statement_bytes = 0
        self._schedule_pending()
        self._report()


@pytest.fixture
def ports(monkeypatch):
    assert SweepTick is not None, "the daemon registers the reducers"
    monkeypatch.setattr(_line_client, "set_tcp_options", lambda *_: None)
    ports = Ports(TimerService())
    settings = LimitSettings(client_bytes=4 * MIB, callers=4, callers_per_source=3)
    budget = create_budget(derive_limits(settings))
    identity = Identity("vm1", "z", "r", b"fleet-secret")
    ports.shell = Shell(NodeState(identity, client_budget=budget), ports, ports.timer)
    return ports


def _connect(ports, source="10.0.0.1"):
    client = Echo(ports)
    client.connection_made(Transport(source))
    return client


def _budget(ports):
    return ports.state.client_budget


async def test_an_ordinary_statement_feeds_no_event(ports):
    """Guards against accounting that makes each statement slower."""
    client = _connect(ports)
    client.data_received(b"first\r\n")
    client.finish()
    events = []
    ports.shell.feed = events.append
    for _ in range(3):
        client.data_received(b"statement\r\n")
        client.finish()
    assert len(client.lines) == 4 and events == []


async def test_what_is_sent_ahead_stops_the_reading(ports):
    """Guards against a client that sends messages without reading the answers."""
    client = _connect(ports)
    client.data_received(b"one\r\n")
    client.data_received(b"two\r\n")
    assert client._transport.reading, "a few messages ahead are legal"
    client.data_received(b"x" * 100 * KIB + b"\r\n")
    assert not client._transport.reading
    client.finish()
    await asyncio.sleep(0)
    client.finish()
    await asyncio.sleep(0)
    assert client._transport.reading
    assert [len(line) for line in client.lines] == [3, 3, 100 * KIB]


async def test_no_statement_is_processed_while_answers_are_unread(ports):
    """Guards against answers that pile up for a client that does not read them."""
    client = _connect(ports)
    client.data_received(b"one\r\ntwo\r\n")
    client._transport.unread = 100 * KIB
    client.pause_writing()
    client.finish()
    await asyncio.sleep(0)
    assert client.lines == ["one"]
    assert _budget(ports).held_bytes == 100 * KIB
    client._transport.unread = 0
    client.resume_writing()
    await asyncio.sleep(0)
    assert client.lines == ["one", "two"]
    assert _budget(ports).held_bytes == 0


async def test_a_message_in_pieces_is_counted_until_it_is_answered(ports):
    """Guards against bytes that are held but not counted, or counted for ever."""
    client = _connect(ports)
    for _ in range(4):
        client.data_received(b"x" * 64 * KIB)
    assert _budget(ports).held_bytes == 256 * KIB
    client.data_received(b"\r\n")
    assert _budget(ports).held_bytes == 3 * 256 * KIB
    client.finish()
    assert _budget(ports).held_bytes == 0
    assert len(_budget(ports).holdings) == 0


async def test_a_closed_client_releases_what_it_holds(ports):
    """Guards against closures that free no memory."""
    clients = [_connect(ports, f"10.0.0.{n}") for n in range(4)]
    for client in clients:
        client.data_received(b"x" * 900 * KIB)
    last = next(client for client in clients if client._transport.reading)
    last.data_received(b"\r\n")
    closed = [client for client in clients if client._transport.closed]
    assert closed and last not in closed
    assert all(client._splitter.held_bytes == 0 for client in closed)
    assert _budget(ports).held_bytes <= _budget(ports).limits.close_bytes


async def test_a_statement_in_progress_gets_no_false_refusal(ports):
    """Guards against "not run" for a statement that may have run."""
    client = _connect(ports)
    client.data_received(b"write\r\n")
    client.shut(LovageError(Code.CLIENT_LIMIT).refusal)
    assert client._transport.aborted and client._transport.written == b""


async def test_an_incomplete_message_is_refused_with_a_code(ports):
    """Guards against a closure that the client cannot explain."""
    client = _connect(ports)
    client.data_received(b"wri")
    client.shut(LovageError(Code.CLIENT_LIMIT).refusal)
    assert client._transport.closed and not client._transport.aborted
    assert b"LW1105 [not run]" in client._transport.written


async def test_a_connection_beyond_the_limit_is_refused(ports):
    """Guards against connections beyond the descriptors of the VM."""
    clients = [_connect(ports) for _ in range(4)]
    assert [c._transport.closed for c in clients] == [False, False, False, True]
    assert b"too many connections from one address" in clients[3]._transport.written
    clients[3].connection_lost(None)
    clients[0].connection_lost(None)
    assert not _connect(ports)._transport.closed


async def test_a_lost_connection_is_forgotten(ports):
    """Guards against counters that never return to zero."""
    client = _connect(ports)
    client.data_received(b"x" * 100 * KIB)
    client.connection_lost(None)
    budget = _budget(ports)
    assert (budget.held_bytes, len(budget.holdings), len(budget.waiting)) == (0, 0, 0)
    assert ports.clients == {}


async def test_reports_after_the_end_of_a_connection_are_ignored(ports):
    """Guards against bytes that stay in the budget for ever.

    Processing that was scheduled before the end of a connection runs after it.
    """
    client = _connect(ports)
    client.data_received(b"x" * 100 * KIB + b"\r\n" + b"y" * 100 * KIB)
    client.connection_lost(None)
    client.data_received(b"")
    client.measure()
    assert _budget(ports).held_bytes == 0
    assert len(_budget(ports).holdings) == 0


async def test_paused_clients_are_read_again_after_the_pressure(ports):
    """Guards against a well-behaved client that stays paused for ever."""
    clients = [_connect(ports, f"10.0.0.{n}") for n in range(3)]
    for client in clients:
        client.data_received(b"x" * 900 * KIB)
    paused = [c for c in clients if not c._transport.reading]
    assert len(paused) == 1
    for client in clients:
        if client not in paused:
            client.connection_lost(None)
    assert paused[0]._transport.reading
    paused[0].data_received(b"\r\n")
    assert [len(line) for line in paused[0].lines] == [900 * KIB]
