"""An HTTP/1.1 server and client on the event loop, with the h11 library."""

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import h11

from lovagewalk.core import Code, LovageError, Refusal
from lovagewalk.settings import Address

from ._clients import (
    Client,
    CountedReader,
    StreamConnection,
    UncountedClient,
    find_source,
    start_counted_server,
)
from ._sockets import set_tcp_options

# Larger than the longest configuration, which is limited to 256 KiB.
MAX_BODY_BYTES = 1024 * 1024
# Size of one read from the socket.
READ_BYTES = 64 * 1024
# Clients may keep a connection open between requests; an idle one is closed.
IDLE_TIMEOUT_S = 30.0
# Longest time without an acknowledgement. The load balancer and the operators send
# each request on a new connection.
TCP_TIMEOUT_S = 5.0
# Longest time for sending the last response before the connection is aborted.
CLOSE_TIMEOUT_S = 5.0
JSON_CONTENT_TYPE = "application/json"
# Codes of a change that was not decided, or not yet; the client sends it again.
UNDECIDED_CHANGE_CODES = frozenset((Code.NOT_LEADER, Code.CHANGE_UNKNOWN))
_STATUSES = {
    **dict.fromkeys(UNDECIDED_CHANGE_CODES, 503),
    Code.CONFIG_STALE: 503,
    Code.CLIENT_LIMIT: 503,
    Code.STATEMENT_LARGE: 413,
}

log = logging.getLogger("lovagewalk.http")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request."""

    method: str
    path: str
    body: bytes = field(default=b"", repr=False)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes = field(default=b"", repr=False)
    content_type: str = JSON_CONTENT_TYPE


def json_response(status: int, content: Mapping[str, Any]) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, json.dumps(content).encode())


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]
RefusalLogger = Callable[[HttpRequest, LovageError], None]


class HttpConnection(StreamConnection):
    """One connection to the server."""

    def __init__(self, reader: CountedReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(reader, writer)
        self.conn = h11.Connection(h11.SERVER)

    def shut(self, refusal: Refusal) -> None:
        """Close the connection, with a response if none has begun."""
        is_unanswered = self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE)
        if self.ahead_bytes or not is_unanswered:
            super().shut(refusal)
            return
        # Further data and a request that is read meanwhile are ignored.
        error = LovageError(refusal.code, refusal.detail)
        _write_response(self.conn, self.writer, _error_response(error))
        self.resume()
        self.writer.close()


ClientOpener = Callable[[HttpConnection], Client]


class HttpServer:
    """An HTTP server on one address.

    Parameters
    ----------
    handler : coroutine function
        Answers requests; a `LovageError` that it raises becomes an error response.
    log_refusal : callable, optional
        Called with each request that is answered with an error.
    open_client : callable, optional
        Returns the client of a new connection for the client budget; connections are
        not limited by default.
    """

    def __init__(
        self,
        handler: HttpHandler,
        log_refusal: RefusalLogger | None = None,
        open_client: ClientOpener | None = None,
    ) -> None:
        self._handler = handler
        self._log_refusal = log_refusal
        self._open_client = open_client or (lambda connection: UncountedClient())
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._in_progress = 0
        self._finished = asyncio.Event()
        self._finished.set()

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections, and return the port."""
        self._server = await start_counted_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: CountedReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        set_tcp_options(writer.get_extra_info("socket"), TCP_TIMEOUT_S)
        connection = HttpConnection(reader, writer)
        connection.client = client = self._open_client(connection)
        conn = connection.conn
        try:
            is_open = client.open(find_source(writer.transport))
            while is_open and conn.our_state is h11.IDLE:
                request = await _read_request(connection)
                if request is None or client.is_shut:
                    break
                client.set_waiting(False)
                connection.ahead_bytes = len(request.body)
                connection.report()
                self._begin_request()
                try:
                    response = await self._handle(request)
                    _write_response(conn, writer, response)
                    connection.ahead_bytes = 0
                    connection.report()
                    await writer.drain()
                finally:
                    self._end_request()
                if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
                    conn.start_next_cycle()
                connection.report()
                client.set_waiting(True)
        except (OSError, TimeoutError, h11.ProtocolError) as exc:
            log.debug("http: connection ended: %r", exc)
        except LovageError as exc:
            if not client.is_shut:
                _write_response(conn, writer, _error_response(exc))
        finally:
            self._writers.discard(writer)
            writer.close()
            await _wait_closed(writer)
            client.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except LovageError as exc:
            if self._log_refusal is not None:
                self._log_refusal(request, exc)
            return _error_response(exc)
        except Exception:
            log.exception("http: handling %s failed", request.method)
            return json_response(500, {"error": "internal error"})

    def _begin_request(self) -> None:
        self._in_progress += 1
        self._finished.clear()

    def _end_request(self) -> None:
        self._in_progress -= 1
        if not self._in_progress:
            self._finished.set()

    async def finish(self, limit_s: float) -> None:
        """Stop listening, and wait for the responses to requests in progress."""
        if self._server is not None:
            self._server.close()
        try:
            async with asyncio.timeout(limit_s):
                await self._finished.wait()
        except TimeoutError:
            log.warning("http: %d requests were cut by a stop", self._in_progress)

    def close(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


def _error_response(exc: LovageError) -> HttpResponse:
    """Return the response to a refused request; on a 503 the client sends it again."""
    return json_response(_STATUSES.get(exc.code, 400), {"error": str(exc)})


async def _wait_closed(writer: asyncio.StreamWriter) -> None:
    """Wait until what was written is sent, or cannot be sent."""
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await writer.wait_closed()
    except (OSError, TimeoutError):
        writer.transport.abort()


async def _read_request(connection: HttpConnection) -> HttpRequest | None:
    """Return the next request, or None at the end of the connection."""
    conn = connection.conn
    head: h11.Request | None = None
    body = bytearray()
    connection.message_bytes = 0
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                connection.report()
                data = await connection.read(READ_BYTES)
            connection.message_bytes += len(data)
            conn.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise LovageError(Code.STATEMENT_LARGE, "body")
        elif isinstance(event, h11.EndOfMessage):
            connection.message_bytes = 0
            target = head.target.decode("ascii", "replace")
            path = target.partition("?")[0]
            return HttpRequest(head.method.decode(), path, bytes(body))
        else:
            return None


def _write_response(
    conn: h11.Connection, writer: asyncio.StreamWriter, response: HttpResponse
) -> None:
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
    ]
    reason = b""
    head = h11.Response(status_code=response.status, headers=headers, reason=reason)
    writer.write(conn.send(head))
    writer.write(conn.send(h11.Data(data=response.body)))
    writer.write(conn.send(h11.EndOfMessage()))


async def send_request(
    address: Address,
    method: str,
    path: str,
    headers: Mapping[str, str],
    content: Mapping[str, Any],
    timeout_s: float,
) -> int:
    """Send a request with a JSON body and return the status of its response.

    Raises
    ------
    OSError, TimeoutError
        If no response arrived; the server may have handled the request all the same.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            return await _exchange(
                reader, writer, address, method, path, headers, content
            )
        except h11.ProtocolError as exc:
            raise ConnectionError(f"malformed response: {exc}") from exc
        finally:
            writer.close()


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    address: Address,
    method: str,
    path: str,
    headers: Mapping[str, str],
    content: Mapping[str, Any],
) -> int:
    conn = h11.Connection(h11.CLIENT)
    body = json.dumps(content).encode()
    all_headers = [
        ("Host", f"{address.host}:{address.port}"),
        ("Content-Type", JSON_CONTENT_TYPE),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        *headers.items(),
    ]
    writer.write(
        conn.send(h11.Request(method=method, target=path, headers=all_headers))
    )
    writer.write(conn.send(h11.Data(data=body)))
    writer.write(conn.send(h11.EndOfMessage()))
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            return event.status_code
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("connection closed before a response")
