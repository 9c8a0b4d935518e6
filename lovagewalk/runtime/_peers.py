"""Streams between daemons: length-prefixed msgpack frames over TCP.

Both ends prove that they know the fleet secret before any message is read.
Whatever is malformed, too long or of another version ends the connection.
"""

import asyncio
import hmac
import logging
import secrets
import struct
from collections.abc import Callable
from hashlib import sha256
from typing import Any

import msgpack

from lovagewalk.codec import CODEC_VERSION, MAX_FRAME_BYTES, decode, encode
from lovagewalk.consensus import SendPeer, is_consensus_message
from lovagewalk.control import PeerLost, PeerMessage
from lovagewalk.core import Code, LovageError, performs
from lovagewalk.settings import Address

from ._network import Network
from ._ports import Ports
from ._sockets import limit_silence

# Three round trips to the other region, many times over.
HANDSHAKE_LIMIT_S = 3.0
# Several round trips between regions. The kernel's own second try of a lost opening
# packet comes after 1 s only.
CONNECT_LIMIT_S = 0.3
# Answers over a full link take about so long.
MAX_CONNECT_LIMIT_S = 1.0
# A name, a nonce and a digest.
MAX_HELLO_BYTES = 1024
MAX_NAME_LENGTH = 64
# Half of the largest frame; a slower peer is dialled anew.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# Ten seconds of heartbeats and reports.
MAX_QUEUED_MESSAGES = 256
# Two heartbeats.
REDIAL_DELAY_S = 0.1
# Shorter than the lease, so that a link that went dark is replaced within it.
PEER_SILENT_S = 1.0
_LENGTH = struct.Struct("<I")

log = logging.getLogger("lovagewalk.peers")


async def read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    """Read one frame.

    Raises
    ------
    LovageError
        ``FRAME_BAD`` if it is longer than `limit` bytes.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > limit:
        raise LovageError(Code.FRAME_BAD, "too long")
    return await reader.readexactly(length)


def write_frame(writer: asyncio.StreamWriter, payload: bytes) -> None:
    """Write one frame."""
    writer.write(_LENGTH.pack(len(payload)) + payload)


def prove(secret: bytes, role: str, first: bytes, second: bytes) -> bytes:
    """Return the proof that a peer of a role knows the fleet secret."""
    return hmac.new(secret, role.encode() + b"|" + first + second, sha256).digest()


class Link:
    """An authenticated connection to one daemon."""

    def __init__(self, name: str, writer: asyncio.StreamWriter) -> None:
        self.name = name
        self._writer = writer

    def send(self, payload: bytes) -> None:
        """Send a frame; it is dropped if the peer takes in too little."""
        transport = self._writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            log.warning("peers: %s is too slow, a message was dropped", self.name)
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
        Returns the address of a control VM, which is dialled when needed, or
        None for other daemons, which dial themselves.
    """

    def __init__(
        self,
        ports: Ports,
        name: str,
        secret: bytes,
        resolve: Callable[[str], Address | None],
        network: Network | None = None,
    ) -> None:
        self._ports = ports
        self._name = name
        self._secret = secret
        self._resolve = resolve
        self._network = network or Network()
        self._links: dict[str, Link] = {}
        self._dialling: dict[str, list[bytes]] = {}
        self._connect_limits: dict[str, float] = {}
        self._server: asyncio.Server | None = None
        self.muted = False
        self._last_message: Any = None
        self._last_payload = b""
        self.sent_bytes = 0
        self.sent_messages = 0

    async def listen(self, host: str, port: int) -> int:
        """Accept links, and return the port."""
        self._server = await asyncio.start_server(self._on_connection, host, port)
        return self._server.sockets[0].getsockname()[1]

    def send(self, peer: str, message: Any) -> None:
        """Send a message; it is lost if the peer cannot be reached."""
        if self.muted and is_consensus_message(message):
            return
        if peer == self._name:
            self._ports.feed(PeerMessage(self._ports.now(), peer, message))
            return
        payload = self._encode(message)
        self.sent_bytes += len(payload)
        self.sent_messages += 1
        if self._network.is_cut(peer):
            return
        delay = self._network.delay_s(peer)
        if delay:
            self._ports.timer.call_later(delay, lambda: self._send_now(peer, payload))
        else:
            self._send_now(peer, payload)

    def _encode(self, message: Any) -> bytes:
        """Encode a message; one that goes to many peers in a row only once."""
        if message is not self._last_message:
            self._last_message = message
            self._last_payload = encode(message)
        return self._last_payload

    def _send_now(self, peer: str, payload: bytes) -> None:
        link = self._links.get(peer)
        if link is not None:
            link.send(payload)
            return
        queue = self._dialling.get(peer)
        if queue is None and self._resolve(peer) is not None:
            queue = self._dialling[peer] = []
            self._ports.spawn(self._dial(peer))
        if queue is not None and len(queue) < MAX_QUEUED_MESSAGES:
            queue.append(payload)

    async def _dial(self, peer: str) -> None:
        address = self._resolve(peer)
        try:
            reader, writer = await self._connect(peer, address)
            async with asyncio.timeout(HANDSHAKE_LIMIT_S):
                name = await self._greet(reader, writer)
            if name != peer:
                writer.close()
                raise LovageError(Code.FRAME_BAD, "peer has another name")
        except (OSError, TimeoutError, EOFError, LovageError, ValueError) as exc:
            log.debug("peers: cannot reach %s: %r", peer, exc)
            self._ports.feed(PeerLost(self._ports.now(), peer))
            await self._ports.timer.sleep(REDIAL_DELAY_S)
            self._dialling.pop(peer, None)
            return
        queue = self._dialling.pop(peer, [])
        link = self._adopt(peer, writer)
        for payload in queue:
            link.send(payload)
        await self._read(link, reader)

    async def _connect(
        self, peer: str, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection; each one that fails gives the next more time."""
        limit_s = self._connect_limits.get(peer, CONNECT_LIMIT_S)
        self._connect_limits[peer] = min(limit_s * 2, MAX_CONNECT_LIMIT_S)
        async with asyncio.timeout(limit_s):
            streams = await asyncio.open_connection(address.host, address.port)
        del self._connect_limits[peer]
        return streams

    async def _greet(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        mine = secrets.token_bytes(16)
        write_frame(writer, msgpack.packb((CODEC_VERSION, self._name, mine)))
        version, name, theirs, proof = _unpack(
            await read_frame(reader, MAX_HELLO_BYTES), 4
        )
        expected = prove(self._secret, f"server {name}", mine, theirs)
        if version != CODEC_VERSION or not hmac.compare_digest(proof, expected):
            writer.close()
            raise LovageError(Code.UNAUTHORISED, "peer")
        answer = prove(self._secret, f"client {self._name}", theirs, mine)
        write_frame(writer, answer)
        return name

    def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._ports.spawn(self._accept(reader, writer))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_LIMIT_S):
                name = await self._welcome(reader, writer)
        except (OSError, TimeoutError, EOFError, LovageError, ValueError) as exc:
            log.warning("peers: a connection was refused: %r", exc)
            writer.close()
            return
        await self._read(self._adopt(name, writer), reader)

    async def _welcome(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        version, name, theirs = _unpack(await read_frame(reader, MAX_HELLO_BYTES), 3)
        if version != CODEC_VERSION:
            raise LovageError(Code.FRAME_BAD, "version")
        mine = secrets.token_bytes(16)
        proof = prove(self._secret, f"server {self._name}", theirs, mine)
        write_frame(writer, msgpack.packb((CODEC_VERSION, self._name, mine, proof)))
        answer = await read_frame(reader, MAX_HELLO_BYTES)
        expected = prove(self._secret, f"client {name}", mine, theirs)
        if not hmac.compare_digest(answer, expected):
            raise LovageError(Code.UNAUTHORISED, "peer")
        return name

    def _adopt(self, name: str, writer: asyncio.StreamWriter) -> Link:
        limit_silence(writer.get_extra_info("socket"), PEER_SILENT_S)
        link = Link(name, writer)
        self._links[name] = link
        return link

    async def _read(self, link: Link, reader: asyncio.StreamReader) -> None:
        try:
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
                self._ports.feed(PeerLost(self._ports.now(), link.name))

    def _deliver(self, name: str, payload: bytes) -> None:
        message = decode(payload)
        if not self._network.is_cut(name):
            self._ports.feed(PeerMessage(self._ports.now(), name, message))

    def close(self) -> None:
        """Stop listening and close every link."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links.values()):
            link.close()


def _unpack(payload: bytes, count: int) -> tuple[Any, ...]:
    try:
        fields = msgpack.unpackb(payload)
    except Exception as exc:
        raise LovageError(Code.FRAME_BAD, "hello") from exc
    if not isinstance(fields, list) or len(fields) != count:
        raise LovageError(Code.FRAME_BAD, "hello")
    version, name, *rest = fields
    named = isinstance(name, str) and 0 < len(name) <= MAX_NAME_LENGTH
    if not named or not all(isinstance(field, bytes) for field in rest):
        raise LovageError(Code.FRAME_BAD, "hello")
    return (version, name, *rest)


@performs(SendPeer)
def _send_peer(ports: Ports, effect: SendPeer) -> None:
    ports.peers.send(effect.peer, effect.message)
