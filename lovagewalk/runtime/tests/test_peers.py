"""Links between daemons while VMs stop and start again."""

import asyncio

import pytest

from lovagewalk.control import PeerLost, PeerMessage
from lovagewalk.control._messages import SuspectNotice
from lovagewalk.core import TimerService
from lovagewalk.runtime import Peers, Ports
from lovagewalk.settings import Address

HOST = "127.0.0.1"


class Recorder:
    """A fake shell that records its events."""

    def __init__(self):
        self.events = []

    def feed(self, event):
        self.events.append(event)

    def count(self, kind):
        return sum(isinstance(event, kind) for event in self.events)


class Pair:
    """A daemon that opens the link, and a control VM that accepts it."""

    def __init__(self):
        self.port = 0
        self.dialler, self.listener = (self._peers(name) for name in ("e", "c"))

    def _peers(self, name):
        ports = Ports(TimerService())
        ports.shell = Recorder()
        return Peers(ports, name, b"secret", lambda peer: Address(HOST, self.port))

    async def __aenter__(self):
        self.port = await self.listener.listen(HOST, 0)
        return self

    async def __aexit__(self, *exc_info):
        for peers in (self.dialler, self.listener):
            peers.close()
            peers._ports.close()
        await asyncio.sleep(0)


async def _until(condition):
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def deaf_at_first(monkeypatch):
    """Make the first two connection attempts hang, as to a VM that is still off."""
    opened = asyncio.open_connection
    lost = []

    async def open_connection(host, port):
        if len(lost) < 2:
            lost.append(port)
            await asyncio.Event().wait()
        return await opened(host, port)

    monkeypatch.setattr(asyncio, "open_connection", open_connection)
    return lost


async def test_a_dial_that_hangs_is_given_up_and_said_so(deaf_at_first):
    async with Pair() as pair:
        pair.dialler.send("c", SuspectNotice(()))
        await _until(lambda: pair.dialler._ports.shell.count(PeerLost) == 1)
        while not pair.listener._ports.shell.count(PeerMessage):
            pair.dialler.send("c", SuspectNotice(()))
            await asyncio.sleep(0.02)
        assert len(deaf_at_first) == 2
        assert not pair.dialler._connect_limits


async def test_a_link_that_ends_is_said_at_both_ends():
    async with Pair() as pair:
        pair.dialler.send("c", SuspectNotice(()))
        await _until(lambda: pair.listener._ports.shell.count(PeerMessage) == 1)
        pair.listener._links["e"].close()
        await _until(lambda: pair.dialler._ports.shell.count(PeerLost) == 1)
        await _until(lambda: pair.listener._ports.shell.count(PeerLost) == 1)
