"""Pool connections of one daemon, whatever protocol they speak."""

import asyncio
from typing import Any, Protocol

from lovagewalk.pools import (
    ConnectionBroken,
    ConnectionOpened,
    ConnectionRefused,
    OpenConnection,
    OpenFailure,
)
from lovagewalk.routing import Failure, RunStatement, StatementFailed

from ._ports import Ports


class OpenRefusedError(Exception):
    """An endpoint answered, but took no connection."""

    def __init__(self, reason: OpenFailure, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


class Running(Protocol):
    """A statement under way on a connection."""

    def lose(self) -> None:
        """Note that the connection is gone."""


class PoolClient:
    """Opens, keeps and closes pool connections, and says what becomes of them.

    Subclasses know the protocol: `connect` and `start`.

    Parameters
    ----------
    connect_limit_s : float
        Longest time for opening a connection, in seconds.
    """

    def __init__(self, ports: Ports, connect_limit_s: float) -> None:
        self._ports = ports
        self._connect_limit_s = connect_limit_s
        self._conns: dict[int, Any] = {}
        self._runs: dict[int, Running] = {}

    async def connect(self, effect: OpenConnection) -> Any:
        """Return an open connection; `lost` is to be called when it ends.

        Raises
        ------
        OpenRefusedError, OSError
        """
        raise NotImplementedError

    def start(self, conn: Any, effect: RunStatement) -> Running:
        """Start a statement on a connection."""
        raise NotImplementedError

    async def open(self, effect: OpenConnection) -> None:
        """Open a pool connection."""
        catalogue = self._ports.state.catalogue
        incarnation = catalogue.get_incarnation(effect.endpoint)
        reason, detail = OpenFailure.UNREACHABLE, ""
        try:
            async with asyncio.timeout(self._connect_limit_s):
                conn = await self.connect(effect)
        except OpenRefusedError as exc:
            reason, detail = exc.reason, str(exc)
        except (OSError, TimeoutError) as exc:
            detail = repr(exc)
        else:
            self._opened(effect, conn, incarnation)
            return
        self._ports.decisions.note_refused_connection(effect, reason, detail)
        now = self._ports.now()
        self._ports.feed(ConnectionRefused(now, effect.conn, effect.endpoint, reason))

    def _opened(self, effect: OpenConnection, conn: Any, incarnation: str) -> None:
        self._conns[effect.conn] = conn
        now = self._ports.now()
        self._ports.feed(
            ConnectionOpened(now, effect.conn, effect.endpoint, incarnation)
        )

    def lost(self, effect: OpenConnection) -> None:
        """Note that a connection has ended by itself."""
        if self._conns.pop(effect.conn, None) is None:
            return
        run = self._runs.pop(effect.conn, None)
        if run is not None:
            run.lose()
        now = self._ports.now()
        self._ports.feed(ConnectionBroken(now, effect.conn, effect.endpoint))

    def run(self, effect: RunStatement) -> None:
        """Start a statement on its connection."""
        conn = self._conns.get(effect.conn)
        if conn is not None:
            self._runs[effect.conn] = self.start(conn, effect)
            return
        now = self._ports.now()
        self._ports.feed(
            StatementFailed(now, effect.req, effect.conn, Failure.NOT_SENT)
        )

    def close(self, conn_id: int) -> None:
        """Close a pool connection and drop what runs on it."""
        self._runs.pop(conn_id, None)
        conn = self._conns.pop(conn_id, None)
        if conn is not None:
            conn.close()

    def close_all(self) -> None:
        """Close every pool connection."""
        for conn_id in list(self._conns):
            self.close(conn_id)
