"""Client of the statements by which a database group is watched and steered.

Each instance has one connection for polls, one for waits, and one for orders,
so that a long wait never delays a poll.
"""

import asyncio
from dataclasses import dataclass

import asyncmy

from lovagewalk.core import TimerService
from lovagewalk.groups import InstanceStatus, Position, Role

# Below the silence that suspects a primary, 0.4 s.
POLL_TIMEOUT_S = 0.35
# Two round trips to the other region and a handshake, several times over.
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
)


@dataclass(frozen=True, slots=True)
class Credentials:
    """How this fleet logs in to endpoints; never a caller's key.

    Attributes
    ----------
    monitor : str
        User of the group's own statements, whose connections an instance does
        not count against its limit.
    """

    user: str
    password: str
    monitor: str = MONITOR_USER


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """An instance's answer.

    Attributes
    ----------
    accepted : bool
        False where the instance has seen a later term.
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
    """Run one of the group's statements that answers with a status."""
    async with conn.cursor() as cursor:
        await cursor.execute(query)
        row = await cursor.fetchone()
    incarnation, role, term, index, last_term, linked = row
    return InstanceStatus(
        incarnation,
        Role(role),
        int(term),
        int(index),
        int(last_term),
        bool(int(linked)),
    )


def promote_query(term: int) -> str:
    """Return the statement that makes an instance primary in `term`."""
    return f"CALL group_promote({term})"


def fence_query(term: int) -> str:
    """Return the statement that fences an instance to `term`."""
    return f"CALL group_fence({term})"


def follow_query(host: str, port: int, term: int) -> str:
    """Return the statement that makes an instance follow another."""
    return f"CALL group_follow('{host}', {port}, {term})"


def wait_query(position: Position, wait_s: float) -> str:
    """Return the statement that answers once a position is applied."""
    return f"CALL group_wait({position.term}, {position.index}, {int(wait_s * 1000)})"


class StatusChannel:
    """One connection for the group's statements, opened again when it breaks."""

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
        """Run a statement.

        Raises
        ------
        Error, OSError, TimeoutError
            If the instance did not answer; the connection is closed then.
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
