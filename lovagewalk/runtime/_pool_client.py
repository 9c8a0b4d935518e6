"""The pool connections of one daemon, independent of their protocol."""

import asyncio
from typing import Any, Protocol

from lovagewalk.pools import (
    ConnectionBroken,
    ConnectionOpened,
    ConnectionRefused,
    OpenConnection,
    OpenFailure,
)
from lovagewalk.routing import (
    Failure,
    RunStatement,
    SetupAnswered,
    SetUpConnection,
    StatementFailed,
)

from ._ports import Ports

# A port or host that no address can have raises the last two; an older build may have
# recorded such an endpoint.
UNREACHABLE_ERRORS = (OSError, TimeoutError, OverflowError, ValueError)


class OpenRefusedError(Exception):
    """An endpoint answered, but refused the connection."""

    def __init__(self, reason: OpenFailure, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


class RunningStatement(Protocol):
    """A statement that runs on a connection."""

    def connection_lost(self) -> None:
        """Fail the statement, since its connection was lost."""


class PoolClient:
    """Opens and closes pool connections, and feeds an event for each change.

    Subclasses implement the protocol in `connect` and `start`.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time for opening a connection, in seconds.
    """

    def __init__(self, ports: Ports, connect_timeout_s: float) -> None:
        self._ports = ports
        self._connect_timeout_s = connect_timeout_s
        self._conns: dict[int, Any] = {}
        self._running: dict[int, RunningStatement] = {}

    async def connect(self, effect: OpenConnection) -> Any:
        """Return an open connection that calls `connection_lost` when it ends.

        Raises
        ------
        OpenRefusedError, OSError
        """
        raise NotImplementedError

    def start(self, conn: Any, effect: RunStatement) -> RunningStatement:
        """Start a statement on a connection."""
        raise NotImplementedError

    def start_setup(self, conn: Any, effect: SetUpConnection) -> RunningStatement:
        """Start the steps that set up a connection."""
        raise NotImplementedError

    async def open(self, effect: OpenConnection) -> None:
        """Open a pool connection."""
        catalogue = self._ports.state.catalogue
        incarnation = catalogue.get_incarnation(effect.endpoint)
        reason, detail = OpenFailure.UNREACHABLE, ""
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                conn = await self.connect(effect)
        except OpenRefusedError as exc:
            reason, detail = exc.reason, str(exc)
        except UNREACHABLE_ERRORS as exc:
            detail = repr(exc)
        else:
            self._add_connection(effect, conn, incarnation)
            return
        self._ports.decision_log.log_refused_connection(effect, reason, detail)
        now = self._ports.now()
        self._ports.feed(ConnectionRefused(now, effect.conn, effect.endpoint, reason))

    def _add_connection(
        self, effect: OpenConnection, conn: Any, incarnation: str
    ) -> None:
        self._conns[effect.conn] = conn
        now = self._ports.now()
        self._ports.feed(
            ConnectionOpened(now, effect.conn, effect.endpoint, incarnation)
        )

    def connection_lost(self, effect: OpenConnection) -> None:
        """Remove a connection that this daemon did not close, and report its loss."""
        if self._conns.pop(effect.conn, None) is None:
            return
        statement = self._running.pop(effect.conn, None)
        if statement is not None:
            statement.connection_lost()
        now = self._ports.now()
        self._ports.feed(ConnectionBroken(now, effect.conn, effect.endpoint))

    def run(self, effect: RunStatement) -> None:
        """Start a statement on its connection."""
        conn = self._conns.get(effect.conn)
        if conn is not None:
            self._running[effect.conn] = self.start(conn, effect)
            return
        now = self._ports.now()
        self._ports.feed(
            StatementFailed(now, effect.req, effect.conn, Failure.NOT_SENT)
        )

    def set_up(self, effect: SetUpConnection) -> None:
        """Start the steps that set up a connection."""
        conn = self._conns.get(effect.conn)
        if conn is not None:
            self._running[effect.conn] = self.start_setup(conn, effect)
            return
        now = self._ports.now()
        self._ports.feed(
            SetupAnswered(now, effect.req, effect.conn, failure=Failure.NOT_SENT)
        )

    def close(self, conn_id: int) -> None:
        """Close a pool connection and discard the statement that runs on it."""
        self._running.pop(conn_id, None)
        conn = self._conns.pop(conn_id, None)
        if conn is not None:
            conn.close()

    def close_all(self) -> None:
        """Close every pool connection."""
        for conn_id in list(self._conns):
            self.close(conn_id)
