"""Connections of clients, as the client budget sees them."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from lovagewalk.clients import (
    HOLDING_STEP_BYTES,
    ClientConnected,
    ClientGone,
    ClientHeld,
    ClientKind,
    ClientWaiting,
    CloseClient,
    MeasureClients,
    PauseClient,
    ResumeClient,
)
from lovagewalk.core import Refusal, performs

if TYPE_CHECKING:
    from ._ports import Ports

# Bytes that a stream reader buffers before it stops reading. One read from a socket
# may exceed it.
STREAM_LIMIT_BYTES = 16 * 1024
NOTHING = (0, 0, 0)


class ClientConnection(Protocol):
    """A connection on which the effects of the budget are performed."""

    def pause(self) -> None:
        """Read nothing, and process no further message."""

    def resume(self) -> None:
        """Read again."""

    def shut(self, refusal: Refusal) -> None:
        """Close the connection and release what it holds."""

    def measure(self) -> None:
        """Report what it holds now."""


class UncountedClient:
    """A connection that no budget counts."""

    is_shut = False

    def open(self, source: str) -> bool:
        """Admit the connection."""
        return True

    def set_waiting(self, waiting: bool) -> None:
        """Ignore the state of the connection."""

    def report(
        self, message: int = 0, ahead: int = 0, unread: int = 0, exact: bool = False
    ) -> None:
        """Ignore what the connection holds."""

    def close(self) -> None:
        """Ignore the end of the connection."""


class ClientPort:
    """Reports one connection to the client budget.

    Parameters
    ----------
    connection : ClientConnection
    number : int
        Number of the connection; 0 to draw one.

    Attributes
    ----------
    is_shut : bool
        Whether the budget has closed the connection.
    """

    def __init__(
        self,
        ports: "Ports",
        kind: ClientKind,
        connection: ClientConnection,
        number: int = 0,
    ) -> None:
        self._ports = ports
        self._kind = kind
        self._source = ""
        self._reported = NOTHING
        self.connection = connection
        self.number = number or next(ports.id_sequence)
        self.is_shut = False
        self._is_open = False

    def open(self, source: str) -> bool:
        """Report a new connection; return whether it is admitted."""
        self._source = source
        self._is_open = True
        self._ports.clients[self.number] = self
        now = self._ports.now()
        self._ports.feed(ClientConnected(now, self.number, self._kind, source))
        return not self.is_shut

    def set_waiting(self, waiting: bool) -> None:
        """Report whether the connection waits for its session or next request."""
        if self._is_open:
            now = self._ports.now()
            self._ports.feed(ClientWaiting(now, self.number, self._kind, waiting))

    def report(
        self, message: int = 0, ahead: int = 0, unread: int = 0, exact: bool = False
    ) -> None:
        """Report what the connection holds, if it has changed by a step.

        An ordinary statement, which arrives whole, holds nothing that is reported. Any
        incomplete message is, since its time is limited.

        Parameters
        ----------
        exact : bool
            Whether a smaller change is reported too.
        """
        if ahead < HOLDING_STEP_BYTES:
            ahead = 0
        if unread < HOLDING_STEP_BYTES:
            unread = 0
        held = (message, ahead, unread)
        if held == self._reported or not self._is_open:
            return
        if not exact and not _differ(held, self._reported):
            return
        self._reported = held
        now = self._ports.now()
        self._ports.feed(ClientHeld(now, self.number, self._kind, *held))

    def close(self) -> None:
        """Report that the connection has ended; later reports are ignored."""
        self._is_open = False
        if self._ports.clients.pop(self.number, None) is not None:
            now = self._ports.now()
            self._ports.feed(ClientGone(now, self.number, self._kind, self._source))

    def shut(self, refusal: Refusal) -> None:
        """Close the connection for the budget."""
        if not self.is_shut:
            self.is_shut = True
            self._is_open = False
            self.connection.shut(refusal)


def _differ(held: tuple[int, ...], before: tuple[int, ...]) -> bool:
    return any(
        bool(new) != bool(old) or new < old or new - old >= HOLDING_STEP_BYTES
        for new, old in zip(held, before, strict=True)
    )


Client = ClientPort | UncountedClient


def find_source(transport: asyncio.BaseTransport) -> str:
    """Return the address of a connection's other end."""
    peer = transport.get_extra_info("peername")
    return peer[0] if isinstance(peer, tuple) else ""


class CountedReader(asyncio.StreamReader):
    """A stream reader that reports when much has arrived that nobody has read.

    Attributes
    ----------
    on_buffered : callable or None
        Called with the number of buffered bytes once they exceed the threshold.
    on_end : callable or None
        Called when the stream has ended.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(limit=STREAM_LIMIT_BYTES, loop=loop)
        self.on_buffered: Callable[[int], None] | None = None
        self.on_end: Callable[[], None] | None = None

    def feed_data(self, data: bytes) -> None:
        """Add received bytes."""
        super().feed_data(data)
        if self.on_buffered is not None and len(self._buffer) >= HOLDING_STEP_BYTES:
            self.on_buffered(len(self._buffer))

    def feed_eof(self) -> None:
        """End the stream."""
        super().feed_eof()
        if self.on_end is not None:
            self.on_end()

    def set_exception(self, exc: Exception) -> None:
        """End the stream because the connection was lost."""
        super().set_exception(exc)
        if self.on_end is not None:
            self.on_end()


async def start_counted_server(
    serve: Callable, host: str, port: int, backlog: int = 1024
) -> asyncio.Server:
    """Start a server whose stream readers are `CountedReader`."""
    loop = asyncio.get_running_loop()

    def build_protocol() -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(CountedReader(), serve, loop=loop)

    return await loop.create_server(build_protocol, host, port, backlog=backlog)


class StreamConnection:
    """A connection over streams, on which the budget's effects are performed.

    Attributes
    ----------
    client : Client
        Set once it exists.
    message_bytes : int
        Bytes of the incomplete message that were taken from the reader.
    ahead_bytes : int
        Bytes of the message that is processed, with its copies.
    """

    def __init__(self, reader: CountedReader, writer: asyncio.StreamWriter) -> None:
        self._may_read = asyncio.Event()
        self._may_read.set()
        self.reader = reader
        self.writer = writer
        self.client: Client = UncountedClient()
        self.message_bytes = 0
        self.ahead_bytes = 0
        reader.on_buffered = self._on_buffered
        # Whoever waits for the pause to end has to notice the end of the stream.
        reader.on_end = self._may_read.set

    async def read(self, max_bytes: int) -> bytes:
        """Read what has arrived, once reading is not paused."""
        await self._may_read.wait()
        return await self.reader.read(max_bytes)

    def _on_buffered(self, buffered: int) -> None:
        self.report(buffered)

    def report(self, buffered: int = 0, exact: bool = False) -> None:
        """Report what the connection holds."""
        message, ahead = self.message_bytes + buffered, self.ahead_bytes
        if ahead:
            message, ahead = 0, ahead + buffered
        unread = self.writer.transport.get_write_buffer_size()
        self.client.report(message, ahead, unread, exact)

    def pause(self) -> None:
        """Read nothing until `resume`; the reader then stops at its own limit."""
        self._may_read.clear()

    def resume(self) -> None:
        """Read again."""
        self._may_read.set()

    def measure(self) -> None:
        """Report what it holds now."""
        self.report(exact=True)

    def shut(self, refusal: Refusal) -> None:
        """Abort the connection."""
        self._may_read.set()
        self.writer.transport.abort()


@performs(PauseClient)
def _pause_client(ports: "Ports", effect: PauseClient) -> None:
    client = ports.clients.get(effect.client)
    if client is not None:
        client.connection.pause()


@performs(ResumeClient)
def _resume_client(ports: "Ports", effect: ResumeClient) -> None:
    client = ports.clients.get(effect.client)
    if client is not None:
        client.connection.resume()


@performs(CloseClient)
def _close_client(ports: "Ports", effect: CloseClient) -> None:
    ports.metrics.count_closed_client(effect.kind, effect.reason)
    client = ports.clients.get(effect.client)
    if client is not None:
        client.shut(effect.refusal)


@performs(MeasureClients)
def _measure_clients(ports: "Ports", effect: MeasureClients) -> None:
    for number in effect.clients:
        client = ports.clients.get(number)
        if client is not None:
            client.connection.measure()
