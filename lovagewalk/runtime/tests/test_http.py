"""Answers of the HTTP server to requests whose handler fails."""

import asyncio

from lovagewalk.runtime import HttpResponse, HttpServer


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


async def test_a_request_in_progress_is_answered_when_the_server_stops():
    """Guards against an operator's order that is cut off by a planned stop."""
    asked, decided = asyncio.Event(), asyncio.Event()

    async def handle(request):
        asked.set()
        await decided.wait()
        return HttpResponse(200)

    server = HttpServer(handle)
    port = await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"PUT / HTTP/1.1\r\nHost: vm\r\nContent-Length: 0\r\n\r\n")
    await asked.wait()
    stop = asyncio.ensure_future(server.finish(5.0))
    await asyncio.sleep(0)
    decided.set()
    await stop
    server.close()
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()
