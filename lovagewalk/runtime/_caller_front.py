"""The listener for callers of one daemon, whatever protocol they speak."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from lovagewalk.core import Refusal
from lovagewalk.routing import AnswerCaller, CloseCaller

from ._metrics import class_of
from ._ports import Ports


class CallerConnection(Protocol):
    """What effects on a caller act on."""

    def accept(self) -> None:
        """Tell the caller that its session is open."""

    def answer(self, effect: AnswerCaller, result: Any) -> None:
        """Send a statement's answer."""

    def close(self, refusal: Refusal) -> None:
        """End the connection; a caller that was never let in is told why."""

    def abort(self) -> None:
        """End the connection at once."""


class CallerFront:
    """Accepts callers and hands them the decisions' answers.

    Parameters
    ----------
    build : callable
        Returns the protocol of a new connection. It adds itself to
        `open_connections`, and to `sessions` once it has a number.
    """

    def __init__(self, ports: Ports, build: Callable[[], asyncio.Protocol]) -> None:
        self._ports = ports
        self._build = build
        self.sessions: dict[int, CallerConnection] = {}
        self.open_connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accept callers, and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._build, host, port, backlog=1024)
        return self._server.sockets[0].getsockname()[1]

    def accept(self, caller: int) -> None:
        """Let a caller in."""
        connection = self.sessions.get(caller)
        if connection is not None:
            connection.accept()

    def answer(self, effect: AnswerCaller) -> None:
        """Answer a caller's statement, and note what decided the answer."""
        ports = self._ports
        result = ports.results.pop(effect.req, None)
        elapsed_s = ports.now() - effect.trace.arrived_at
        customer_class = class_of(ports.state, effect.customer)
        ports.metrics.note_answer(effect, elapsed_s, customer_class)
        ports.decisions.note_answer(effect, elapsed_s)
        connection = self.sessions.get(effect.caller)
        if connection is not None:
            connection.answer(effect, result)

    def close(self, effect: CloseCaller) -> None:
        """Turn a caller away, or end its connection."""
        self._ports.decisions.note_close(effect)
        connection = self.sessions.get(effect.caller)
        if connection is not None:
            connection.close(effect.refusal)

    def stop(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.open_connections):
            connection.abort()
