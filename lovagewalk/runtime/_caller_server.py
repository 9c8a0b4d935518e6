"""The server for the callers of one daemon, independent of their protocol."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from lovagewalk.core import Code, Refusal
from lovagewalk.routing import AnswerCaller, CloseCaller

from ._metrics import customer_class_label
from ._ports import Ports

FINISH_CHECK_S = 0.02


class CallerConnection(Protocol):
    """The connection of a caller, on which performers act."""

    def accept(self) -> None:
        """Report to the caller that its session is open."""

    def answer(self, effect: AnswerCaller, result: Any) -> None:
        """Send the answer to a statement."""

    def close(self, refusal: Refusal) -> None:
        """Close the connection; a caller that was not accepted gets the refusal."""

    def abort(self) -> None:
        """Close the connection at once."""


class CallerServer:
    """Accepts the connections of callers and performs effects on them.

    Parameters
    ----------
    protocol_factory : callable
        Returns the protocol of a new connection. The protocol adds itself to
        `open_connections`, and to `sessions` once it has a caller number.
    """

    def __init__(
        self, ports: Ports, protocol_factory: Callable[[], asyncio.Protocol]
    ) -> None:
        self._ports = ports
        self._protocol_factory = protocol_factory
        self.sessions: dict[int, CallerConnection] = {}
        self.open_connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start to accept callers, and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol_factory, host, port, backlog=1024
        )
        return self._server.sockets[0].getsockname()[1]

    def accept(self, caller: int) -> None:
        """Report to a caller that its session is open."""
        connection = self.sessions.get(caller)
        if connection is not None:
            connection.accept()

    def answer(self, effect: AnswerCaller) -> None:
        """Answer a caller's statement, and log and count the answer."""
        ports = self._ports
        result = ports.results.pop(effect.req, None)
        elapsed_s = ports.now() - effect.trace.arrived_at
        customer_class = customer_class_label(ports.state, effect.customer)
        ports.metrics.count_answer(effect, elapsed_s, customer_class)
        ports.decision_log.log_answer(effect, elapsed_s)
        connection = self.sessions.get(effect.caller)
        if connection is not None:
            connection.answer(effect, result)

    def close(self, effect: CloseCaller) -> None:
        """Refuse a caller or close its connection, and log the reason."""
        self._ports.decision_log.log_close(effect)
        connection = self.sessions.get(effect.caller)
        if connection is not None:
            connection.close(effect.refusal)

    async def finish(self, limit_s: float) -> None:
        """Stop listening, and close every connection once its answers are sent."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.open_connections):
            connection.close(Refusal(Code.DRAINING))
        timer = self._ports.timer
        end = timer.now() + limit_s
        while self.open_connections and timer.now() < end:
            await timer.sleep(FINISH_CHECK_S)

    def stop(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.open_connections):
            connection.abort()
