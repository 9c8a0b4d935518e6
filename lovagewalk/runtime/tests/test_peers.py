"""Links between daemons while VMs stop and start again."""

import asyncio
from types import SimpleNamespace

import pytest

from lovagewalk.buckets import TokenAdmission, TokenAnswer, TokenAsk, TokenNeed
from lovagewalk.codec import encode
from lovagewalk.control import PeerLost, PeerMessage
from lovagewalk.control._messages import SuspectNotice
from lovagewalk.core import TimerService
from lovagewalk.runtime import Peers, Ports
from lovagewalk.runtime._peers import CONNECT_ATTEMPT_DELAY_S, REDIAL_DELAY_S, Link
from lovagewalk.settings import Address

HOST = "127.0.0.1"


class RecordingShell:
    """A fake shell that records its events."""

    def __init__(self):
        self.events = []

    def feed(self, event):
        self.events.append(event)

    def count(self, event_type):
        return sum(isinstance(event, event_type) for event in self.events)


class PeerPair:
    """A daemon that opens the link, and a control VM that accepts it."""

    def __init__(self, compact=False):
        self.port = 0
        self.dialler = self._build_peers("e", compact)
        self.listener = self._build_peers("c")

    def _build_peers(self, name, compact=False):
        ports = Ports(TimerService())
        ports.shell = RecordingShell()
        return Peers(
            ports, name, b"secret", lambda peer: Address(HOST, self.port), None, compact
        )

    async def __aenter__(self):
        self.port = await self.listener.listen(HOST, 0)
        return self

    async def __aexit__(self, *exc_info):
        for peers in (self.dialler, self.listener):
            peers.close()
            peers._ports.close()
        await asyncio.sleep(0)


async def _wait_until(condition):
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def hanging_dials(monkeypatch):
    """Make the first two connection attempts hang, as to a VM that is still off."""
    real_open_connection = asyncio.open_connection
    hung_ports = []

    async def open_connection(host, port):
        if len(hung_ports) < 2:
            hung_ports.append(port)
            await asyncio.Event().wait()
        return await real_open_connection(host, port)

    monkeypatch.setattr(asyncio, "open_connection", open_connection)
    return hung_ports


async def test_a_hanging_dial_times_out_and_is_reported(hanging_dials):
    async with PeerPair() as pair:
        pair.dialler.send("c", SuspectNotice(()))
        await _wait_until(lambda: pair.dialler._ports.shell.count(PeerLost) == 1)
        while not pair.listener._ports.shell.count(PeerMessage):
            pair.dialler.send("c", SuspectNotice(()))
            await asyncio.sleep(0.02)
        assert len(hanging_dials) == 2
        assert not pair.dialler._dial_queues


@pytest.fixture
def partition(monkeypatch):
    """Let connection attempts hang that start while the network is partitioned."""
    real_open_connection = asyncio.open_connection
    network = SimpleNamespace(is_cut=True)

    async def open_connection(host, port):
        if network.is_cut:
            await asyncio.Event().wait()
        return await real_open_connection(host, port)

    monkeypatch.setattr(asyncio, "open_connection", open_connection)
    return network


@pytest.mark.parametrize("cut_s", [1.2, 2.0, 2.35, 2.7])
async def test_a_peer_is_reached_soon_after_a_partition_has_healed(partition, cut_s):
    """An attempt of the partition's last second waits for the kernel's next SYN."""
    async with PeerPair() as pair:
        started_at = asyncio.get_running_loop().time()
        healed_at = 0.0
        while not pair.listener._ports.shell.count(PeerMessage):
            pair.dialler.send("c", SuspectNotice(()))
            await asyncio.sleep(0.02)
            now = asyncio.get_running_loop().time()
            if partition.is_cut and now - started_at >= cut_s:
                partition.is_cut = False
                healed_at = now
        waited_s = asyncio.get_running_loop().time() - healed_at
        assert waited_s <= CONNECT_ATTEMPT_DELAY_S + REDIAL_DELAY_S + 0.2


async def test_a_closed_link_is_reported_at_both_ends():
    async with PeerPair() as pair:
        pair.dialler.send("c", SuspectNotice(()))
        await _wait_until(lambda: pair.listener._ports.shell.count(PeerMessage) == 1)
        pair.listener._links["e"].close()
        await _wait_until(lambda: pair.dialler._ports.shell.count(PeerLost) == 1)
        await _wait_until(lambda: pair.listener._ports.shell.count(PeerLost) == 1)


@pytest.mark.parametrize("compact", [True, False])
async def test_a_peer_receives_the_form_that_it_sends(compact):
    """Guards against long answers over the narrow link of a peer."""
    ask = TokenAsk((TokenNeed(7, "kiosk", 0.5, 0.0, 1),))
    answer = TokenAnswer(admitted=(TokenAdmission(7, "kiosk", 1.0),))
    async with PeerPair(compact) as pair:
        pair.dialler.send("c", ask)
        await _wait_until(lambda: pair.listener._ports.shell.count(PeerMessage) == 1)
        pair.listener.send("e", answer)
        await _wait_until(lambda: pair.dialler._ports.shell.count(PeerMessage) == 1)
        assert pair.dialler._ports.shell.events[-1].message == answer
        assert pair.listener.sent_bytes == len(encode(answer, compact=compact))


@pytest.mark.parametrize("owner", [Peers, Link])
async def test_a_peer_is_dialled_again_after_an_unexpected_error(monkeypatch, owner):
    """Guards against a daemon that never reaches a peer again.

    A connection that was reset as soon as it was open raised RuntimeError on the first
    write. The dial ended without removing its queue, so that no other one was started;
    an error while the queue was sent left a link that nobody reads.
    """
    name = "_client_handshake" if owner is Peers else "send"
    original = getattr(owner, name)
    failures = []

    def fail_once(self, *args):
        if not failures:
            failures.append(name)
            raise RuntimeError("the handler is closed")
        return original(self, *args)

    monkeypatch.setattr(owner, name, fail_once)
    async with PeerPair() as pair:
        async with asyncio.timeout(5.0):
            while not pair.listener._ports.shell.count(PeerMessage):
                pair.dialler.send("c", SuspectNotice(()))
                await asyncio.sleep(0.02)
        assert failures and pair.dialler._ports.shell.count(PeerLost)
