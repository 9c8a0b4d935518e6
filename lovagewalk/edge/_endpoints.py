"""Performs effects on endpoints: opens connections, runs statements, polls."""

import asyncio
import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import asyncmy
from asyncmy.cursors import Cursor, SSCursor

from lovagewalk.groups import (
    AwaitPosition,
    InstanceFailed,
    InstanceSeen,
    InstanceStatus,
    PollInstance,
    Position,
)
from lovagewalk.pools import (
    ConnectionOpened,
    ConnectionRefused,
    OpenConnection,
)
from lovagewalk.routing import (
    Failure,
    RunStatement,
    StatementDone,
    StatementFailed,
    StreamEnded,
    may_send,
)
from lovagewalk.runtime import Network, Ports

from ._group_client import (
    CLIENT_ERRORS,
    POLL_TIMEOUT_S,
    READ_ONLY_ERRNO,
    STATUS_QUERY,
    WAIT_MARGIN_S,
    Credentials,
    StatusChannel,
    connect,
    parse_position,
    query_status,
    wait_query,
)

# Rows per fetch of a streamed result. A result with fewer rows is returned whole.
FETCH_BATCH_ROWS = 200
POSITION_QUERY = "SELECT @@group_term, @@group_position"
# Table in which an endpoint stores the request ids of statements marked `once`.
REQUEST_TABLE = "lovagewalk_requests"
ROLLED_BACK_ERRNOS = frozenset((1213,))
DUPLICATE_KEY_ERRNO = 1062
# Stand-ins report a missing table as a syntax error, 1064.
MISSING_TABLE_ERRNOS = frozenset((1146, 1064))
CONNECTION_LOST_ERRNOS = frozenset((2006, 2013, 2014, 2003, 2055))
CREATE_REQUEST_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {REQUEST_TABLE} "
    "(customer VARCHAR(64), request VARCHAR(64), PRIMARY KEY (customer, request))"
)

log = logging.getLogger("lovagewalk.endpoints")


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Result of a statement, kept until it is sent to the caller.

    Attributes
    ----------
    rows : tuple of tuple
        The first rows; all rows if `remaining_rows` is None.
    remaining_rows : AsyncIterator or None
        Yields the rows that have not been read from the endpoint yet.
    """

    column_names: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    remaining_rows: AsyncIterator | None = None
    affected_rows: int = 0
    insert_id: int = 0


async def _query_first_status(conn: Any) -> InstanceStatus:
    """Return the status of an instance over a new connection, or close it.

    Raises
    ------
    Error, OSError, TimeoutError
        If the instance did not answer with its status.
    """
    try:
        async with asyncio.timeout(POLL_TIMEOUT_S):
            return await query_status(conn)
    except BaseException:
        conn.close()
        raise


class DuplicateRequestError(Exception):
    """The endpoint has already recorded the request id of a statement."""


class PositionUnknownError(OSError):
    """A statement ran, but whether its effect will last cannot be known."""


class NotSentError(Exception):
    """A statement may not be sent any more."""


class EndpointClient:
    """Connections of a daemon to endpoints."""

    def __init__(
        self, ports: Ports, credentials: Credentials, network: Network | None = None
    ) -> None:
        self._ports = ports
        self._credentials = credentials
        self._network = network or Network()
        self._conns: dict[int, Any] = {}
        self._tasks: dict[int, asyncio.Task] = {}
        self._channels: dict[tuple[str, bool], StatusChannel] = {}

    async def open(self, effect: OpenConnection) -> None:
        """Open a pool connection and feed the outcome to the reducer."""
        try:
            await self._emulate_round_trip(effect.endpoint)
            conn = await connect(effect.host, effect.port, self._credentials)
            status = await _query_first_status(conn)
        except CLIENT_ERRORS as exc:
            log.debug(
                "endpoints: opening a connection to %s failed: %r", effect.endpoint, exc
            )
            event = ConnectionRefused(self._ports.now(), effect.conn, effect.endpoint)
            self._ports.feed(event)
            return
        self._conns[effect.conn] = conn
        self._ports.feed(
            ConnectionOpened(
                self._ports.now(), effect.conn, effect.endpoint, status.incarnation
            )
        )

    async def _emulate_round_trip(self, endpoint: str) -> None:
        """Wait for the emulated round-trip time.

        Raises
        ------
        TimeoutError
            If the endpoint is unreachable in the emulated network.
        """
        if self._network.is_unreachable(endpoint):
            raise TimeoutError
        delay = self._network.delay_s(endpoint)
        if delay:
            await self._ports.timer.sleep(2 * delay)

    def close(self, conn_id: int) -> None:
        """Close a pool connection and cancel the statement that runs on it."""
        task = self._tasks.pop(conn_id, None)
        if task is not None and task is not asyncio.current_task():
            task.cancel()
        conn = self._conns.pop(conn_id, None)
        if conn is not None:
            conn.close()

    def run(self, effect: RunStatement) -> None:
        """Start a statement on its pool connection."""
        task = self._ports.spawn(
            self._run(effect),
            lambda now: StatementFailed(now, effect.req, effect.conn, Failure.LOST),
        )
        self._tasks[effect.conn] = task

    async def _run(self, effect: RunStatement) -> None:
        conn = self._conns.get(effect.conn)
        if conn is None or not conn.connected:
            self._report_failure(effect, Failure.NOT_SENT)
            return
        endpoint = self._ports.state.conn_endpoints.get(effect.conn, "")
        try:
            await self._emulate_round_trip(endpoint)
            event = await self._execute_once(conn, effect)
        except NotSentError:
            self._report_failure(effect, Failure.NOT_SENT)
            return
        except asyncmy.errors.Error as exc:
            await self._report_error(conn, effect, exc)
            return
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._report_failure(effect, Failure.LOST, detail="connection lost")
            return
        self._ports.feed(event)

    async def _execute_once(
        self, conn: Any, effect: RunStatement
    ) -> StatementDone | StatementFailed:
        """Run a statement unless its request id is recorded already."""
        try:
            return await self._execute(conn, effect)
        except DuplicateRequestError:
            position = await self._read_position(conn)
        return StatementFailed(
            self._ports.now(),
            effect.req,
            effect.conn,
            Failure.DUPLICATE_ID,
            usable=True,
            position=position,
        )

    async def _execute(self, conn: Any, effect: RunStatement) -> StatementDone:
        if effect.once is not None:
            await self._record_request_id(conn, effect)
        elif effect.begin:
            await _execute_text(conn, "BEGIN")
        if not may_send(self._ports.state, effect, self._ports.now()):
            raise NotSentError
        result = await self._fetch(conn, effect)
        self._count_inter_region_bytes(effect, result.rows)
        if effect.once is not None:
            await _execute_text(conn, "COMMIT")
        position = await self._read_position(conn) if effect.query_position else None
        self._ports.results[effect.req] = result
        return StatementDone(
            self._ports.now(),
            effect.req,
            effect.conn,
            position=position,
            insert_id=result.insert_id,
            streaming=result.remaining_rows is not None,
            in_transaction=bool(conn.get_transaction_status()),
        )

    async def _record_request_id(self, conn: Any, effect: RunStatement) -> None:
        literals = ", ".join(
            conn.literal(value)
            for value in (effect.once.customer, effect.once.request_id)
        )
        insert = f"INSERT INTO {REQUEST_TABLE} VALUES ({literals})"
        await _execute_text(conn, "BEGIN")
        try:
            await _execute_text(conn, insert)
        except asyncmy.errors.Error as exc:
            errno = _mysql_errno(exc)
            if errno == DUPLICATE_KEY_ERRNO:
                await _execute_text(conn, "ROLLBACK")
                raise DuplicateRequestError from exc
            if errno not in MISSING_TABLE_ERRNOS:
                raise
            await _execute_text(conn, "ROLLBACK")
            await _execute_text(conn, CREATE_REQUEST_TABLE)
            await self._record_request_id(conn, effect)

    async def _fetch(self, conn: Any, effect: RunStatement) -> StatementResult:
        cursor = conn.cursor(SSCursor if effect.stream else Cursor)
        await cursor.execute(effect.text)
        if cursor.description is None:
            affected_rows = max(cursor.rowcount, 0)
            insert_id = cursor.lastrowid or 0
            await cursor.close()
            return StatementResult(affected_rows=affected_rows, insert_id=insert_id)
        column_names = tuple(column[0] for column in cursor.description)
        if not effect.stream:
            rows = tuple(await cursor.fetchall())
            await cursor.close()
            return StatementResult(column_names, rows)
        rows = tuple(await cursor.fetchmany(FETCH_BATCH_ROWS))
        if len(rows) < FETCH_BATCH_ROWS or effect.query_position:
            rows += tuple(await cursor.fetchall())
            await cursor.close()
            return StatementResult(column_names, rows)
        return StatementResult(
            column_names,
            rows,
            remaining_rows=self._stream_remaining_rows(cursor, effect),
        )

    def _count_inter_region_bytes(self, effect: RunStatement, rows: tuple) -> None:
        """Count the size of a statement's text and rows if they cross regions."""
        state = self._ports.state
        endpoint_name = state.conn_endpoints.get(effect.conn, "")
        endpoint = state.catalogue.endpoints.get(endpoint_name)
        request = state.requests.get(effect.req)
        session = state.sessions.get(request.caller) if request else None
        if (
            endpoint is None
            or session is None
            or endpoint.region == state.identity.region
        ):
            return
        byte_count = len(effect.text) + sum(len(str(v)) for row in rows for v in row)
        self._ports.metrics.count_region_bytes(session.route, byte_count)

    async def _stream_remaining_rows(
        self, cursor: Any, effect: RunStatement
    ) -> AsyncIterator:
        complete = False
        try:
            while True:
                rows = await cursor.fetchmany(FETCH_BATCH_ROWS)
                if not rows:
                    break
                self._count_inter_region_bytes(effect, tuple(rows))
                for row in rows:
                    yield row
            await cursor.close()
            complete = True
        finally:
            now = self._ports.now()
            self._ports.feed(StreamEnded(now, effect.req, effect.conn, complete))

    async def _read_position(self, conn: Any) -> Position:
        """Return the instance's position after a statement that has run.

        Raises
        ------
        PositionUnknownError
            If the endpoint refuses to state it.
        """
        try:
            async with conn.cursor() as cursor:
                await cursor.execute(POSITION_QUERY)
                return parse_position(await cursor.fetchone())
        except asyncmy.errors.Error as exc:
            raise PositionUnknownError from exc

    async def _report_error(
        self, conn: Any, effect: RunStatement, exc: Exception
    ) -> None:
        errno = _mysql_errno(exc)
        if errno in CONNECTION_LOST_ERRNOS or errno == 0 or not conn.connected:
            self._report_failure(effect, Failure.LOST, detail="connection lost")
            return
        failure = Failure.ERROR
        if errno == READ_ONLY_ERRNO:
            failure = Failure.READ_ONLY
        elif errno in ROLLED_BACK_ERRNOS:
            failure = Failure.ROLLED_BACK
        # An error states no transaction state; that of the last result still holds.
        in_transaction = bool(conn.get_transaction_status())
        detail = str(exc.args[1]) if len(exc.args) > 1 else ""
        self._report_failure(
            effect,
            failure,
            errno=errno,
            detail=detail,
            usable=effect.once is None,
            in_transaction=in_transaction,
        )

    def _report_failure(
        self, effect: RunStatement, failure: Failure, **fields: Any
    ) -> None:
        now = self._ports.now()
        self._ports.feed(
            StatementFailed(now, effect.req, effect.conn, failure, **fields)
        )

    async def poll(self, effect: PollInstance) -> None:
        """Query the status of an instance."""
        await self._query_instance(effect, False, STATUS_QUERY, POLL_TIMEOUT_S)

    async def wait(self, effect: AwaitPosition) -> None:
        """Query the status that an instance reports once it has applied a position."""
        query = wait_query(effect.position, effect.wait_s)
        await self._query_instance(effect, True, query, effect.wait_s + WAIT_MARGIN_S)

    async def _query_instance(
        self,
        effect: PollInstance | AwaitPosition,
        awaited: bool,
        query: str,
        timeout_s: float,
    ) -> None:
        channel_key = (effect.endpoint, awaited)
        channel = self._channels.get(channel_key)
        if channel is None:
            channel = StatusChannel(
                effect.host, effect.port, self._credentials, self._ports.timer
            )
            self._channels[channel_key] = channel
        try:
            await self._emulate_round_trip(effect.endpoint)
            answer = await channel.query(query, timeout_s)
        except CLIENT_ERRORS as exc:
            broken = not isinstance(exc, TimeoutError)
            self._ports.feed(
                InstanceFailed(self._ports.now(), effect.endpoint, awaited, broken)
            )
            return
        if answer.status is None:
            self._ports.feed(
                InstanceFailed(self._ports.now(), effect.endpoint, awaited, False)
            )
            return
        self._ports.feed(
            InstanceSeen(
                self._ports.now(),
                effect.endpoint,
                answer.status,
                channel.sent_at,
                awaited,
            )
        )

    def close_status_connections(self, endpoint: str) -> None:
        """Close the status channels to an instance."""
        for awaited in (False, True):
            channel = self._channels.pop((endpoint, awaited), None)
            if channel is not None:
                channel.close()

    def close_all(self) -> None:
        """Close all pool connections and status channels."""
        for conn_id in list(self._conns):
            self.close(conn_id)
        for channel in self._channels.values():
            channel.close()


async def _execute_text(conn: Any, text: str) -> None:
    async with conn.cursor() as cursor:
        await cursor.execute(text)


def _mysql_errno(exc: Exception) -> int:
    if exc.args and isinstance(exc.args[0], int):
        return exc.args[0]
    return 0
