"""Answers of the HTTP server to requests whose handler fails."""

import asyncio

from lovagewalk.runtime import HttpServer


async def test_a_failed_handler_is_answered_with_an_error():
    """The connection was closed without an answer, and without a line in the log."""

    async def fail(request):
        raise OverflowError

    server = HttpServer(fail)
    port = await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: vm\r\n\r\n")
    assert (await reader.readline()).startswith(b"HTTP/1.1 500")
    writer.close()
    server.close()
