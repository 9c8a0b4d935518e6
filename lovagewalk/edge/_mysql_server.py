"""Server side of the MySQL protocol, built on mysql-mimic.

This module adds three features that the library lacks and a proxy needs: affected
rows and insert ids of writes, a limit on the packet size, and the closing of
connections that fail to authenticate.
"""

import asyncio
import logging
import struct
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from typing import Any

from mysql_mimic import context, packets
from mysql_mimic.auth import IdentityProvider
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import MysqlError
from mysql_mimic.results import ResultColumn, infer_type
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ColumnType, ServerStatus, uint_len
from mysql_mimic.variables import GlobalVariables, SessionVariables

from lovagewalk.clients import HOLDING_STEP_BYTES, STATEMENT_COPIES
from lovagewalk.core import Code, LovageError, Refusal
from lovagewalk.runtime import (
    Client,
    CountedReader,
    StreamConnection,
    UncountedClient,
    find_source,
    start_counted_server,
)

# Limits the size of a statement, and so the memory that a connection uses.
MAX_PACKET_BYTES = 4 * 1024 * 1024
# A packet of the login holds a few names and attributes.
MAX_LOGIN_PACKET_BYTES = 64 * 1024
# Rows written before the server waits for the write buffer to drain.
STREAM_BATCH_ROWS = 500
# The usual handshake timeout of MySQL servers.
HANDSHAKE_TIMEOUT_S = 10.0
SERVER_VERSION = "8.0.36-lovagewalk"

logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
log = logging.getLogger("lovagewalk.mysql")


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to one statement.

    Attributes
    ----------
    columns : tuple of ResultColumn
        Empty for a statement without a result set.
    rows : sequence or async iterator
        Rows as sequences of Python values.
    """

    columns: tuple[ResultColumn, ...] = ()
    rows: Sequence[Sequence[Any]] | AsyncIterator[Sequence[Any]] = ()
    affected_rows: int = 0
    insert_id: int = 0
    in_transaction: bool = False
    autocommit: bool = True


class SqlError(MysqlError):
    """An error to send to the client, with any MySQL error number."""

    def __init__(self, errno: int, msg: str) -> None:
        super().__init__(msg, errno)


def refusal_error(refusal: Refusal) -> SqlError:
    """Return the MySQL error that reports a refusal to the client."""
    return SqlError(refusal.errno or refusal.code.errno, str(refusal))


def build_columns(
    names: Sequence[str], rows: Sequence[Sequence[Any]]
) -> tuple[ResultColumn, ...]:
    """Return column definitions with types inferred from the values of the rows."""
    return tuple(
        ResultColumn(name=name, type=_infer_column_type(rows, i))
        for i, name in enumerate(names)
    )


def _infer_column_type(rows: Sequence[Sequence[Any]], column: int) -> ColumnType:
    for row in rows:
        if row[column] is not None:
            return infer_type(row[column])
    return ColumnType.VARCHAR


class PacketReader:
    """Reader that refuses oversized packets and detects a closed connection.

    It wraps the stream reader, since the library's `MysqlStream` is compiled and
    cannot be extended. It reports what an incomplete packet holds.
    """

    def __init__(self, connection: "MysqlConnection") -> None:
        self._connection = connection

    async def read(self, count: int) -> bytes:
        """Read a whole packet header; return no bytes at the end of the stream."""
        # The previous packet has been processed.
        self._connection.ahead_bytes = 0
        self._connection.report()
        return await self._read_all(count) or b""

    async def readexactly(self, count: int) -> bytes:
        """Read a packet body of `count` bytes.

        Raises
        ------
        LovageError
            ``STATEMENT_LARGE`` if `count` exceeds `MAX_PACKET_BYTES`, or before the end
            of the login `MAX_LOGIN_PACKET_BYTES`.
        """
        is_open = self._connection.is_logged_in
        if count > (MAX_PACKET_BYTES if is_open else MAX_LOGIN_PACKET_BYTES):
            raise LovageError(Code.STATEMENT_LARGE)
        data = await self._read_all(count)
        if data is None:
            raise ConnectionClosed()
        if count >= HOLDING_STEP_BYTES:
            self._connection.ahead_bytes = count * STATEMENT_COPIES
            self._connection.report()
        return data

    async def _read_all(self, count: int) -> bytes | None:
        """Return the next bytes; None if the stream ends before."""
        connection = self._connection
        if not count:
            return b""
        data = await connection.read(count)
        if len(data) == count:
            return data
        packet = bytearray(data)
        while data and len(packet) < count:
            connection.message_bytes = len(packet)
            connection.report()
            data = await connection.read(count - len(packet))
            packet += data
        connection.message_bytes = 0
        return bytes(packet) if len(packet) == count else None


class ServerSession(BaseSession):
    """Base class of sessions, which answer the statements of one connection."""

    def __init__(self) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.variables.set("version", SERVER_VERSION, force=True)
        self.username: str | None = None
        self.database: str | None = None
        self.connection: "ServerConnection | None" = None

    async def init(self, connection: Connection) -> None:
        """Handle the start of the session, which follows authentication."""

    async def run(self, sql: str, attrs: dict[str, str]) -> Reply:
        """Run one statement and return its result.

        Raises
        ------
        SqlError
            If the statement is refused or fails.
        """
        raise NotImplementedError

    async def use(self, database: str) -> None:
        """Refuse to change the default database; selecting the same one is allowed."""
        if database != self.database:
            refusal = Refusal(Code.STATEMENT_BAD, "connect again to change the route")
            raise refusal_error(refusal)

    def report_answer(self) -> None:
        """Handle rows that were written and may not be read yet."""

    def connection_lost(self) -> None:
        """Handle the end of the connection."""


class ServerConnection(Connection):
    """Connection of one client.

    Attributes
    ----------
    counted : MysqlConnection
        Its connection in the client budget.
    """

    counted: "MysqlConnection"

    async def _start(self) -> None:
        context.connection_id.set(self.connection_id)
        self.session.connection = self
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await self.connection_phase()
            if self.session.username is None:
                return
            self.counted.is_logged_in = True
            await self.session.init(self)
            await self.command_phase()
        except (ConnectionClosed, ConnectionError, TimeoutError):
            return
        except LovageError as exc:
            await self._write_error(refusal_error(exc.refusal))
        except MysqlError as exc:
            await self._write_error(exc)
        except (ValueError, KeyError, IndexError, struct.error, AssertionError):
            await self._write_error(refusal_error(Refusal(Code.PACKET_BAD)))
        finally:
            self.session.connection_lost()

    async def _write_error(self, exc: MysqlError) -> None:
        try:
            await self.stream.write(self.error(msg=exc.msg, code=exc.code))
        except ConnectionError:
            log.debug("mysql: client disconnected before the error was sent")

    async def handle_query(self, data: bytes) -> None:
        """Answer COM_QUERY."""
        com_query = self._parse(
            packets.parse_com_query,
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        reply = await self.session.run(com_query.sql, com_query.query_attrs)
        self._set_status_flags(reply)
        if not reply.columns:
            await self._write_ok(reply)
            return
        await self._write_rows(reply, text_protocol=True)

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Answer COM_STMT_EXECUTE; parameters are inserted into the SQL as literals."""
        execute = self._parse(
            packets.parse_com_stmt_execute,
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
            get_stmt=self.get_stmt,
        )
        execute.stmt.param_buffers = None
        reply = await self.session.run(execute.sql, execute.query_attrs)
        self._set_status_flags(reply)
        if not reply.columns:
            await self._write_ok(reply)
            return
        await self._write_rows(reply, text_protocol=False)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Answer COM_RESET_CONNECTION."""
        await self.session.reset()
        await self.stream.write(self.ok())

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Answer COM_STMT_RESET, which does not change the session."""
        reset = packets.parse_com_stmt_reset(data)
        self.get_stmt(reset.stmt_id).param_buffers = None
        await self.stream.write(self.ok())

    async def handle_change_user(self, data: bytes) -> None:
        """Refuse COM_CHANGE_USER, since a connection belongs to one key."""
        raise refusal_error(Refusal(Code.STATEMENT_BAD, "connect again instead"))

    def _parse(self, parser: Callable[..., Any], **kwargs: Any) -> Any:
        try:
            return parser(**kwargs)
        except MysqlError:
            raise
        except Exception as exc:
            raise refusal_error(Refusal(Code.PACKET_BAD)) from exc

    def _set_status_flags(self, reply: Reply) -> None:
        flags = ServerStatus(0)
        # Includes the autocommit flag, since clients ignore a status without any
        # flag and keep the previous one.
        if reply.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if reply.in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = flags

    async def _write_ok(self, reply: Reply) -> None:
        packet = self.ok(
            affected_rows=reply.affected_rows, last_insert_id=reply.insert_id
        )
        await self.stream.write(packet)

    async def _write_rows(self, reply: Reply, text_protocol: bool) -> None:
        columns = reply.columns
        header = [uint_len(len(columns))]
        for column in columns:
            header.append(
                packets.make_column_definition_41(
                    server_charset=self.server_charset,
                    name=column.name,
                    column_type=column.type,
                    character_set=column.character_set,
                )
            )
        if not self.deprecate_eof():
            header.append(self.eof())
        self.stream.write_many(header)
        encode = packets.make_text_resultset_row
        if not text_protocol:
            encode = packets.make_binary_resultrow
        if isinstance(reply.rows, (list, tuple)):
            self.stream.write_many([encode(row, columns) for row in reply.rows])
            self.session.report_answer()
        else:
            await self._write_row_stream(reply, encode)
        await self.stream.write(self.ok_or_eof())

    async def _write_row_stream(
        self, reply: Reply, encode: Callable[..., bytes]
    ) -> None:
        batch = []
        try:
            async for row in reply.rows:
                batch.append(encode(row, reply.columns))
                if len(batch) >= STREAM_BATCH_ROWS:
                    self.stream.write_many(batch)
                    self.session.report_answer()
                    await self.stream.drain()
                    batch = []
            self.stream.write_many(batch)
        except ConnectionError as exc:
            raise ConnectionClosed() from exc
        finally:
            await reply.rows.aclose()


class MysqlConnection(StreamConnection):
    """The connection of one client, on which the budget's effects are performed.

    Attributes
    ----------
    has_begun, is_logged_in : bool
        Whether the server has sent its greeting, and the login is complete.
    """

    has_begun = False
    is_logged_in = False

    def shut(self, refusal: Refusal) -> None:
        """Close the connection; a new client gets the reason."""
        if self.message_bytes or self.ahead_bytes or self.has_begun:
            super().shut(refusal)
            return
        text = str(refusal).encode()
        payload = b"\xff" + struct.pack("<H", refusal.code.errno) + b"#HY000" + text
        self.writer.write(len(payload).to_bytes(3, "little") + b"\x00" + payload)
        self.resume()
        self.writer.close()


class MysqlListener:
    """Accepts client connections on one address.

    Parameters
    ----------
    session_factory : callable
        Returns the session for a new connection.
    provider_factory : callable
        Returns the identity provider for a session.
    open_client : callable, optional
        Returns the client of a session's connection for the client budget; connections
        are not limited by default.
    """

    def __init__(
        self,
        session_factory: Callable[[], ServerSession],
        provider_factory: Callable[[ServerSession], IdentityProvider],
        open_client: Callable[[ServerSession, StreamConnection], Client] | None = None,
    ) -> None:
        self._open_client = open_client or (lambda session, conn: UncountedClient())
        self._session_factory = session_factory
        self._provider_factory = provider_factory
        self._control = LocalControl(server_id=1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address and return the port."""
        self._server = await start_counted_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: CountedReader, writer: asyncio.StreamWriter) -> None:
        session = self._session_factory()
        counted = MysqlConnection(reader, writer)
        counted.client = client = self._open_client(session, counted)
        try:
            if client.open(find_source(writer.transport)):
                counted.has_begun = True
                await self._serve_session(session, counted, writer)
        finally:
            client.close()

    async def _serve_session(
        self,
        session: ServerSession,
        counted: MysqlConnection,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        connection = ServerConnection(
            stream=MysqlStream(PacketReader(counted), writer),
            session=session,
            control=self._control,
            server_capabilities=packets.DEFAULT_SERVER_CAPABILITIES,
            identity_provider=self._provider_factory(session),
        )
        connection.counted = counted
        connection.connection_id = await self._control.add(connection)
        try:
            await connection.start()
        except (asyncio.CancelledError, ConnectionError):
            log.debug("mysql: connection closed")
        finally:
            self._writers.discard(writer)
            writer.close()
            await self._control.remove(connection.connection_id)

    def stop_accepting(self) -> None:
        """Close the listening socket, but no connection."""
        if self._server is not None:
            self._server.close()

    async def finish(self, limit_s: float) -> None:
        """Stop listening, and close every connection once its answers are sent."""
        self.stop_accepting()
        writers = list(self._writers)
        for writer in writers:
            writer.close()
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.gather(
                    *(writer.wait_closed() for writer in writers),
                    return_exceptions=True,
                )
        except TimeoutError:
            log.warning("mysql: %d connections were cut by a stop", len(self._writers))

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_accepting()
        for writer in list(self._writers):
            writer.transport.abort()
