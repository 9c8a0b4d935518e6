"""A loopback TCP proxy that injects link faults into open connections."""

import asyncio

from lovagewalk.demo import HOST

from ._faults import LinkMode

CHUNK_BYTES = 65536
# Approximates a congested link between regions.
DELAY_S = 0.25


class LinkProxy:
    """Forwards connections to a port, without faults until one is injected.

    Parameters
    ----------
    target_port : int
        Port to which connections are forwarded.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._mode: LinkMode | None = None
        self._healed = asyncio.Event()
        self._healed.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> int:
        """Start to accept connections, and return the port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    def inject(self, mode: LinkMode) -> None:
        """Inject a fault into open and new connections."""
        if mode is LinkMode.RESET:
            self._reset()
            return
        self._mode = mode
        if mode is not LinkMode.DELAY:
            self._healed.clear()

    def heal(self) -> None:
        """Forward again; connections of a blocked link are reset and lose data."""
        if self._mode in (LinkMode.SILENCE, LinkMode.CUT_ONE_WAY):
            self._reset()
        self._mode = None
        self._healed.set()

    def close(self) -> None:
        """Stop listening and reset every connection."""
        self._server.close()
        self._reset()
        for task in self._tasks:
            task.cancel()

    def _reset(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._mode is LinkMode.SILENCE:
                await self._healed.wait()
            upstream = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            # The target is down; the client sees a reset, as it would without a proxy.
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(upstream[1])
        for source, destination, is_reply in (
            (reader, upstream[1], False),
            (upstream[0], writer, True),
        ):
            task = asyncio.create_task(self._forward(source, destination, is_reply))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_reply: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._mode is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                is_blocked = self._mode is LinkMode.SILENCE
                if is_blocked or (is_reply and self._mode is LinkMode.CUT_ONE_WAY):
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            # A reset of one connection resets the other one too.
            writer.transport.abort()
        finally:
            writer.close()
            self._writers.discard(writer)
