"""Client for the SQL statements that query and control the instances of a group.

Each instance has one connection for polls, one for waits and one for orders, so
that a long wait does not delay a poll.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import asyncmy

from lovagewalk.core import TimerService, parse_count
from lovagewalk.groups import InstanceStatus, Position, Role

# Shorter than the 0.4 s without an answer after which a primary is suspected.
POLL_TIMEOUT_S = 0.35
# Several times the duration of two round trips to a remote region and a handshake.
CONNECT_TIMEOUT_S = 0.5
# Two round trips between regions.
WAIT_MARGIN_S = 0.2
MONITOR_USER = "group"
STATUS_QUERY = "SHOW GROUP STATUS"
READ_ONLY_ERRNO = 1290
CLIENT_ERRORS = (
    asyncmy.errors.Error,
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
    # A port or host that no address can have.
    OverflowError,
    ValueError,
)


@dataclass(frozen=True, slots=True)
class Credentials:
    """Credentials with which daemons log in to endpoints; never a caller's key.

    Attributes
    ----------
    monitor : str
        User for the statements of the group protocol. An instance does not count
        the connections of this user against its connection limit.
    """

    user: str
    password: str
    monitor: str = MONITOR_USER


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """Answer of an instance to a statement of the group protocol.

    Attributes
    ----------
    status : InstanceStatus or None
        None if the instance refused the statement.
    accepted : bool
        False if the instance refused the statement because it has seen a later
        term.
    """

    status: InstanceStatus | None
    accepted: bool = True


async def connect(
    host: str, port: int, credentials: Credentials, monitor: bool = False
) -> asyncmy.Connection:
    """Open a connection to an endpoint, for statements or for monitoring."""
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        return await asyncmy.connect(
            host=host,
            port=port,
            user=credentials.monitor if monitor else credentials.user,
            password=credentials.password,
            autocommit=None,
        )


async def query_status(conn, query: str = STATUS_QUERY) -> InstanceStatus:
    """Run a statement of the group protocol that returns a status.

    Raises
    ------
    Error, OSError
        If the statement fails, or its row is not a status.
    """
    async with conn.cursor() as cursor:
        await cursor.execute(query)
        row = await cursor.fetchone()
    return parse_status(row)


def parse_status(row: Sequence[Any]) -> InstanceStatus:
    """Return the status in a row of the group protocol.

    Raises
    ------
    ConnectionError
        If the row is malformed.
    """
    try:
        incarnation, role, *numbers, linked = row
        term, index, last_term = (parse_count(str(number)) for number in numbers)
        return InstanceStatus(
            str(incarnation), Role(role), term, index, last_term, linked in (1, "1")
        )
    except (ValueError, TypeError) as exc:
        raise ConnectionError("malformed status") from exc


def parse_position(row: Sequence[Any]) -> Position:
    """Return the position in a row of a term and an index.

    Raises
    ------
    ConnectionError
        If the row is malformed.
    """
    try:
        term, index = row
        return Position(parse_count(str(term)), parse_count(str(index)))
    except (ValueError, TypeError) as exc:
        raise ConnectionError("malformed position") from exc


def promote_query(term: int) -> str:
    """Return the statement that makes an instance primary in `term`."""
    return f"CALL group_promote({term})"


def fence_query(term: int) -> str:
    """Return the statement that fences an instance against terms below `term`."""
    return f"CALL group_fence({term})"


def follow_query(host: str, port: int, term: int) -> str:
    """Return the statement that makes an instance replicate from an address."""
    return f"CALL group_follow('{host}', {port}, {term})"


def wait_query(position: Position, wait_s: float) -> str:
    """Return the statement that completes once an instance has applied a position."""
    return f"CALL group_wait({position.term}, {position.index}, {int(wait_s * 1000)})"


class StatusChannel:
    """Connection for statements of the group protocol, reopened after an error."""

    def __init__(
        self, host: str, port: int, credentials: Credentials, timer: TimerService
    ) -> None:
        self._host = host
        self._port = port
        self._credentials = credentials
        self._timer = timer
        self._conn = None
        self.sent_at = 0.0

    async def query(self, query: str, timeout_s: float) -> StatusAnswer:
        """Run a statement of the group protocol, opening the connection if needed.

        Raises
        ------
        Error, OSError, TimeoutError
            If the statement fails or times out; the connection is then closed.
        """
        try:
            async with asyncio.timeout(timeout_s):
                if self._conn is None:
                    self._conn = await connect(
                        self._host, self._port, self._credentials, monitor=True
                    )
                self.sent_at = self._timer.now()
                return StatusAnswer(await query_status(self._conn, query))
        except asyncmy.errors.OperationalError as exc:
            if exc.args and exc.args[0] == READ_ONLY_ERRNO:
                return StatusAnswer(None, accepted=False)
            self.close()
            raise
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection."""
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()
