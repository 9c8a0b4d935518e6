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

from lovagewalk.core import Code, LovageError, Refusal

# Limits the size of a statement, and so the memory that a connection uses.
MAX_PACKET_BYTES = 4 * 1024 * 1024
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
    cannot be extended.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader

    async def read(self, count: int) -> bytes:
        """Read a whole packet header; return no bytes at the end of the stream."""
        try:
            return await self._reader.readexactly(count)
        except asyncio.IncompleteReadError:
            return b""

    async def readexactly(self, count: int) -> bytes:
        """Read a packet body of `count` bytes.

        Raises
        ------
        LovageError
            ``STATEMENT_LARGE`` if `count` exceeds `MAX_PACKET_BYTES`.
        """
        if count > MAX_PACKET_BYTES:
            raise LovageError(Code.STATEMENT_LARGE)
        try:
            return await self._reader.readexactly(count)
        except asyncio.IncompleteReadError as exc:
            raise ConnectionClosed() from exc


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

    def connection_lost(self) -> None:
        """Handle the end of the connection."""


class ServerConnection(Connection):
    """Connection of one client."""

    async def _start(self) -> None:
        context.connection_id.set(self.connection_id)
        self.session.connection = self
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await self.connection_phase()
            if self.session.username is None:
                return
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
                    await self.stream.drain()
                    batch = []
            self.stream.write_many(batch)
        except ConnectionError as exc:
            raise ConnectionClosed() from exc
        finally:
            await reply.rows.aclose()


class MysqlListener:
    """Accepts client connections on one address.

    Parameters
    ----------
    session_factory : callable
        Returns the session for a new connection.
    provider_factory : callable
        Returns the identity provider for a session.
    """

    def __init__(
        self,
        session_factory: Callable[[], ServerSession],
        provider_factory: Callable[[ServerSession], IdentityProvider],
    ) -> None:
        self._session_factory = session_factory
        self._provider_factory = provider_factory
        self._control = LocalControl(server_id=1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address and return the port."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=1024)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        session = self._session_factory()
        connection = ServerConnection(
            stream=MysqlStream(PacketReader(reader), writer),
            session=session,
            control=self._control,
            server_capabilities=packets.DEFAULT_SERVER_CAPABILITIES,
            identity_provider=self._provider_factory(session),
        )
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
