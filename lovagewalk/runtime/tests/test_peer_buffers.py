"""Messages that daemons do not read are bounded for all links together."""

from types import SimpleNamespace

from lovagewalk.runtime import Peers, _peers

PEERS = 195
MESSAGE = b"x" * 256 * 1024


class Transport:
    """A transport of which nothing is read."""

    def __init__(self):
        self.buffered = 0

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return self.buffered


class Writer:
    def __init__(self):
        self.transport = Transport()

    def write(self, data):
        self.transport.buffered += len(data)


def _open_links(count):
    peers = Peers(SimpleNamespace(), "vm1", b"secret", lambda peer: None)
    for number in range(count):
        name = f"peer{number}"
        peers._links[name] = _peers.Link(name, Writer())
    return peers


def test_links_are_bounded_together():
    """Guards against 8 MiB for each of many daemons that all stop reading."""
    peers = _open_links(PEERS)
    for _ in range(40):
        for name in peers._links:
            peers._send_now(name, MESSAGE)
    total = sum(link.buffered_bytes for link in peers._links.values())
    # Each link may hold one message before it counts as slow.
    assert total <= _peers.MAX_TOTAL_BUFFERED_BYTES + (PEERS + 1) * (len(MESSAGE) + 4)


def test_a_daemon_that_reads_gets_its_messages_while_others_are_slow():
    """Guards against slow peers that cut off the well-behaved ones."""
    peers = _open_links(PEERS)
    for _ in range(40):
        for name in list(peers._links)[1:]:
            peers._send_now(name, MESSAGE)
    peers._send_now("peer0", MESSAGE)
    assert peers._links["peer0"].buffered_bytes == len(MESSAGE) + 4
