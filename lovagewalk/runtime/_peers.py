"""Links between daemons: length-prefixed msgpack frames over TCP.

Both ends prove that they know the fleet secret before either reads a message. A
frame that is malformed or too long, or another codec version, ends the connection.
"""

import asyncio
import hmac
import logging
import secrets
import struct
from collections.abc import Callable, Sequence
from hashlib import sha256
from typing import Any

import msgpack

from lovagewalk.clients import ClientKind
from lovagewalk.codec import (
    CODEC_VERSION,
    MAX_FRAME_BYTES,
    decode,
    encode,
    is_compact,
)
from lovagewalk.consensus import SendToPeer, is_consensus_message
from lovagewalk.control import PeerLost, PeerMessage
from lovagewalk.core import Code, LovageError, performs
from lovagewalk.settings import Address

from ._clients import (
    ClientPort,
    CountedReader,
    StreamConnection,
    find_source,
    start_counted_server,
)
from ._network import Network
from ._ports import Ports
from ._sockets import set_tcp_options

# Many times the three round trips of a handshake with a remote region.
HANDSHAKE_TIMEOUT_S = 3.0
# Several round trips between regions. The kernel retransmits a lost SYN only after
# 1 s; a new connection attempt beside the first one is sooner.
CONNECT_ATTEMPT_DELAY_S = 0.3
# A reply over a congested network path takes about this long.
CONNECT_TIMEOUT_S = 1.0
# The longest handshake message holds a version, a name, a nonce and a digest.
MAX_HANDSHAKE_BYTES = 1024
MAX_NAME_LENGTH = 64
# Half of the largest frame. Beyond it, messages to the peer are dropped.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# Limit for all links together, within the memory that control may use on a VM. Beyond
# it, messages to peers that have not read for a while are dropped.
MAX_TOTAL_BUFFERED_BYTES = 32 * 1024 * 1024
SLOW_LINK_BYTES = 64 * 1024
# Room for the heartbeats and reports of ten seconds.
MAX_QUEUED_MESSAGES = 256
# Two heartbeat intervals.
REDIAL_DELAY_S = 0.1
# Shorter than the catalogue's lease, so that a new link replaces an unresponsive one
# before the lease expires.
PEER_TCP_TIMEOUT_S = 1.0
# Errors of a peer that is down, unreachable or not of this fleet.
DIAL_ERRORS = (OSError, TimeoutError, EOFError, LovageError, ValueError)
_LENGTH_PREFIX = struct.Struct("<I")

log = logging.getLogger("lovagewalk.peers")


async def read_frame(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """Read one frame.

    Raises
    ------
    LovageError
        ``FRAME_BAD`` if it is longer than `max_bytes` bytes.
    """
    (length,) = _LENGTH_PREFIX.unpack(await reader.readexactly(_LENGTH_PREFIX.size))
    if length > max_bytes:
        raise LovageError(Code.FRAME_BAD, "longer than the limit")
    return await reader.readexactly(length)


def write_frame(writer: asyncio.StreamWriter, payload: bytes) -> None:
    """Write one frame."""
    writer.write(_LENGTH_PREFIX.pack(len(payload)) + payload)


def compute_proof(
    secret: bytes, role: str, checker_nonce: bytes, prover_nonce: bytes
) -> bytes:
    """Return the proof that a peer in a role knows the fleet secret.

    Parameters
    ----------
    role : str
        ``server`` or ``client``, then the name of the daemon that sends the proof.
    checker_nonce, prover_nonce : bytes
        Nonces of the peer that checks the proof and of the one that sends it.
    """
    return hmac.new(
        secret, role.encode() + b"|" + checker_nonce + prover_nonce, sha256
    ).digest()


class ConnectTimeout(TimeoutError):
    """No attempt to connect to a peer was answered in time."""


class Link:
    """An authenticated connection to one daemon."""

    def __init__(self, name: str, writer: asyncio.StreamWriter) -> None:
        self.name = name
        self._writer = writer

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that the peer has not read."""
        return self._writer.transport.get_write_buffer_size()

    def send(self, payload: bytes) -> None:
        """Send a frame; it is dropped if the peer reads too slowly."""
        if self._writer.transport.is_closing():
            return
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            log.warning("peers: %s reads too slowly; dropped a message", self.name)
            return
        write_frame(self._writer, payload)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Peers:
    """All links of one daemon.

    Parameters
    ----------
    resolve : callable
        Returns the address of a control VM, to which a link is opened when needed,
        or None for any other daemon, which opens its links itself.
    compact : bool
        Whether messages are sent in their compact form. Peers that send it receive it
        too.
    """

    def __init__(
        self,
        ports: Ports,
        name: str,
        secret: bytes,
        resolve: Callable[[str], Address | None],
        network: Network | None = None,
        compact: bool = False,
    ) -> None:
        self._ports = ports
        self._name = name
        self._secret = secret
        self._resolve = resolve
        self._network = network or Network()
        self._links: dict[str, Link] = {}
        self._dial_queues: dict[str, list[bytes]] = {}
        self._server: asyncio.Server | None = None
        self.consensus_disabled = False
        self._compact = compact
        self._compact_peers: set[str] = set()
        self._last_message: Any = None
        self._last_payload = b""
        self._last_compact = False
        self.sent_bytes = 0
        self.sent_messages = 0

    async def listen(self, host: str, port: int) -> int:
        """Start to accept links, and return the port."""
        self._server = await start_counted_server(self._on_connection, host, port)
        return self._server.sockets[0].getsockname()[1]

    def send(self, peer: str, message: Any) -> None:
        """Send a message; it is lost if the peer cannot be reached."""
        if self.consensus_disabled and is_consensus_message(message):
            return
        if peer == self._name:
            self._ports.feed(PeerMessage(self._ports.now(), peer, message))
            return
        payload = self._encode(message, self._compact or peer in self._compact_peers)
        self.sent_bytes += len(payload)
        self.sent_messages += 1
        if self._network.is_unreachable(peer):
            return
        delay_s = self._network.delay_s(peer)
        if delay_s:
            self._ports.timer.call_later(delay_s, lambda: self._send_now(peer, payload))
        else:
            self._send_now(peer, payload)

    def _encode(self, message: Any, compact: bool) -> bytes:
        """Encode a message, only once if it is sent to several peers in a row."""
        if message is not self._last_message or compact != self._last_compact:
            self._last_message, self._last_compact = message, compact
            self._last_payload = encode(message, compact=compact)
        return self._last_payload

    def _send_now(self, peer: str, payload: bytes) -> None:
        link = self._links.get(peer)
        if link is not None:
            if self._may_buffer(link):
                link.send(payload)
            return
        queue = self._dial_queues.get(peer)
        if queue is None and self._resolve(peer) is not None:
            queue = self._dial_queues[peer] = []
            self._ports.spawn(self._dial(peer))
        if queue is not None and len(queue) < MAX_QUEUED_MESSAGES:
            queue.append(payload)

    def _may_buffer(self, link: Link) -> bool:
        """Whether a message may be added to what all peers have not read.

        The sum is computed only for a peer that is slow itself.
        """
        if link.buffered_bytes <= SLOW_LINK_BYTES:
            return True
        total = sum(other.buffered_bytes for other in self._links.values())
        if total <= MAX_TOTAL_BUFFERED_BYTES:
            return True
        log.warning("peers: dropped a message to %s; links are slow", link.name)
        return False

    async def _dial(self, peer: str) -> None:
        """Open a link to a peer; whatever happens, a later message may dial again."""
        try:
            reader, writer = await self._open_link(peer)
        except Exception as exc:
            if isinstance(exc, DIAL_ERRORS):
                log.debug("peers: cannot reach %s: %r", peer, exc)
            else:
                log.exception("peers: dialling %s failed", peer)
            if not isinstance(exc, ConnectTimeout):
                self._ports.feed(PeerLost(self._ports.now(), peer))
            await self._ports.timer.sleep(REDIAL_DELAY_S)
            self._dial_queues.pop(peer, None)
            return
        queue = self._dial_queues.pop(peer, [])
        await self._read_messages(self._add_link(peer, writer), reader, queue)

    async def _open_link(
        self, peer: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open an authenticated connection to a peer.

        Raises
        ------
        OSError, TimeoutError, EOFError, LovageError, ValueError
            If the peer cannot be reached, or is not the one expected.
        """
        reader, writer = await self._connect(peer, self._resolve(peer))
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                name = await self._client_handshake(reader, writer)
            if name != peer:
                raise LovageError(Code.FRAME_BAD, "the peer states another name")
            set_tcp_options(writer.get_extra_info("socket"), PEER_TCP_TIMEOUT_S)
        except BaseException:
            writer.close()
            raise
        return reader, writer

    async def _connect(
        self, peer: str, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection; as long as none opens, start another attempt beside it.

        The first attempt that stays without an answer reports the peer as lost.

        Raises
        ------
        ConnectTimeout
            If no attempt has opened within `CONNECT_TIMEOUT_S`.
        """
        attempts: set[asyncio.Task] = set()
        try:
            for number in range(round(CONNECT_TIMEOUT_S / CONNECT_ATTEMPT_DELAY_S)):
                if number == 1:
                    self._ports.feed(PeerLost(self._ports.now(), peer))
                attempts.add(
                    asyncio.create_task(
                        asyncio.open_connection(address.host, address.port)
                    )
                )
                done, attempts = await asyncio.wait(
                    attempts,
                    timeout=CONNECT_ATTEMPT_DELAY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    opened = done.pop()
                    attempts |= done
                    return opened.result()
            raise ConnectTimeout
        finally:
            for attempt in attempts:
                attempt.cancel()
                attempt.add_done_callback(_close_unused)

    async def _client_handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        local_nonce = secrets.token_bytes(16)
        write_frame(writer, msgpack.packb((CODEC_VERSION, self._name, local_nonce)))
        version, name, peer_nonce, proof = _unpack_handshake(
            await read_frame(reader, MAX_HANDSHAKE_BYTES), 4
        )
        expected = compute_proof(
            self._secret, f"server {name}", local_nonce, peer_nonce
        )
        if version != CODEC_VERSION or not hmac.compare_digest(proof, expected):
            raise LovageError(
                Code.UNAUTHORISED, "codec version or proof of the peer not accepted"
            )
        client_proof = compute_proof(
            self._secret, f"client {self._name}", peer_nonce, local_nonce
        )
        write_frame(writer, client_proof)
        return name

    def _on_connection(
        self, reader: CountedReader, writer: asyncio.StreamWriter
    ) -> None:
        self._ports.spawn(self._accept(reader, writer))

    async def _accept(
        self, reader: CountedReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = StreamConnection(reader, writer)
        client = ClientPort(self._ports, ClientKind.PEER, connection)
        connection.client = client
        try:
            if client.open(find_source(writer.transport)):
                name = await self._prove(reader, writer)
            else:
                return
        finally:
            # The connection has ended, or is a link, which the budget does not count.
            reader.on_buffered = None
            client.close()
        if name:
            await self._read_messages(self._add_link(name, writer), reader)

    async def _prove(self, reader: CountedReader, writer: asyncio.StreamWriter) -> str:
        """Return the name of the daemon that has connected; empty if it is none."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                name = await self._server_handshake(reader, writer)
            set_tcp_options(writer.get_extra_info("socket"), PEER_TCP_TIMEOUT_S)
        except Exception as exc:
            if isinstance(exc, DIAL_ERRORS):
                log.warning("peers: refused an incoming connection: %r", exc)
            else:
                log.exception("peers: accepting a connection failed")
            writer.close()
            return ""
        return name

    async def _server_handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        version, name, peer_nonce = _unpack_handshake(
            await read_frame(reader, MAX_HANDSHAKE_BYTES), 3
        )
        if version != CODEC_VERSION:
            raise LovageError(Code.FRAME_BAD, "unsupported codec version")
        local_nonce = secrets.token_bytes(16)
        proof = compute_proof(
            self._secret, f"server {self._name}", peer_nonce, local_nonce
        )
        write_frame(
            writer, msgpack.packb((CODEC_VERSION, self._name, local_nonce, proof))
        )
        client_proof = await read_frame(reader, MAX_HANDSHAKE_BYTES)
        expected = compute_proof(
            self._secret, f"client {name}", local_nonce, peer_nonce
        )
        if not hmac.compare_digest(client_proof, expected):
            raise LovageError(Code.UNAUTHORISED, "proof of the peer not accepted")
        return name

    def _add_link(self, name: str, writer: asyncio.StreamWriter) -> Link:
        link = Link(name, writer)
        self._links[name] = link
        return link

    async def _read_messages(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        queue: Sequence[bytes] = (),
    ) -> None:
        """Send the queued messages, then read from a link until it ends."""
        try:
            for payload in queue:
                link.send(payload)
            while True:
                payload = await read_frame(reader, MAX_FRAME_BYTES)
                self._deliver(link.name, payload)
        except (OSError, EOFError):
            log.debug("peers: link to %s ended", link.name)
        except LovageError as exc:
            log.warning("peers: link to %s ended: %s", link.name, exc)
        finally:
            link.close()
            if self._links.get(link.name) is link:
                del self._links[link.name]
                self._compact_peers.discard(link.name)
                self._ports.feed(PeerLost(self._ports.now(), link.name))

    def _deliver(self, name: str, payload: bytes) -> None:
        message = decode(payload)
        if is_compact(payload):
            self._compact_peers.add(name)
        if not self._network.is_unreachable(name):
            self._ports.feed(PeerMessage(self._ports.now(), name, message))

    def close(self) -> None:
        """Stop listening and close every link."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links.values()):
            link.close()


def _close_unused(attempt: asyncio.Task) -> None:
    """Close a connection that opened beside the one in use."""
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result()[1].close()


def _unpack_handshake(payload: bytes, field_count: int) -> tuple[Any, ...]:
    try:
        fields = msgpack.unpackb(payload)
    except Exception as exc:
        raise LovageError(Code.FRAME_BAD, "malformed handshake message") from exc
    if not isinstance(fields, list) or len(fields) != field_count:
        raise LovageError(Code.FRAME_BAD, "malformed handshake message")
    version, name, *rest = fields
    is_name_valid = isinstance(name, str) and 0 < len(name) <= MAX_NAME_LENGTH
    if not is_name_valid or not all(isinstance(field, bytes) for field in rest):
        raise LovageError(Code.FRAME_BAD, "malformed handshake message")
    return (version, name, *rest)


@performs(SendToPeer)
def _send_peer(ports: Ports, effect: SendToPeer) -> None:
    ports.peers.send(effect.peer, effect.message)
