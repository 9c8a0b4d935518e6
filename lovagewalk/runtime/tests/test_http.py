"""Answers of the HTTP server to requests whose handler fails."""

import asyncio

from lovagewalk.clients import (
    ClientKind,
    LimitSettings,
    create_budget,
    derive_limits,
)
from lovagewalk.core import Shell, TimerService
from lovagewalk.daemon import SweepTick
from lovagewalk.node import Identity, NodeState
from lovagewalk.runtime import ClientPort, HttpResponse, HttpServer, Ports


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


async def _answer_ok(request):
    return HttpResponse(200, request.body)


def _limited_server(limits):
    assert SweepTick is not None, "the daemon registers the reducers"
    ports = Ports(TimerService())
    identity = Identity("vm1", "z", "r", b"fleet-secret")
    budget = create_budget(derive_limits(limits))
    ports.shell = Shell(NodeState(identity, client_budget=budget), ports, ports.timer)
    kind = ClientKind.OPERATOR
    server = HttpServer(
        _answer_ok, open_client=lambda conn: ClientPort(ports, kind, conn)
    )
    return ports, server


async def _connect(port):
    return await asyncio.open_connection("127.0.0.1", port)


async def _wait_until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_connection_beyond_the_limit_is_answered_with_503():
    """Guards against connections that use up the descriptors, and silent refusals."""
    ports, server = _limited_server(LimitSettings(operators=1))
    port = await server.listen("127.0.0.1", 0)
    _, first = await _connect(port)
    await _wait_until(lambda: len(ports.clients) == 1)
    reader, second = await _connect(port)
    assert (await reader.readline()).startswith(b"HTTP/1.1 503")
    assert b"LW1105 [not run]" in await reader.read(-1)
    for writer in (first, second):
        writer.close()
    await _wait_until(lambda: not ports.clients)
    assert ports.state.client_budget.connections[ClientKind.OPERATOR] == 0
    server.close()


async def test_requests_on_one_connection_are_answered_within_the_budget():
    """Guards against a budget that counts what was answered long ago."""
    ports, server = _limited_server(LimitSettings(operators=1))
    port = await server.listen("127.0.0.1", 0)
    reader, writer = await _connect(port)
    body = b"x" * 200_000
    head = f"PUT / HTTP/1.1\r\nHost: vm\r\nContent-Length: {len(body)}\r\n\r\n"
    for _ in range(3):
        writer.write(head.encode() + body)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(len(body)) == body
        await _wait_until(lambda: not ports.state.client_budget.held_bytes)
    assert len(ports.state.client_budget.waiting) == 1
    writer.close()
    await _wait_until(lambda: not ports.clients)
    server.close()


async def test_an_incomplete_body_is_counted():
    """Guards against bodies that fill the memory of a control VM."""
    ports, server = _limited_server(LimitSettings(client_bytes=1024 * 1024))
    port = await server.listen("127.0.0.1", 0)
    writers = []
    for _ in range(4):
        _, writer = await _connect(port)
        writers.append(writer)
        writer.write(b"PUT / HTTP/1.1\r\nHost: vm\r\nContent-Length: 600000\r\n\r\n")
        writer.write(b"x" * 500_000)
    await _wait_until(lambda: ports.state.client_budget.paused)
    await asyncio.sleep(0.1)
    budget = ports.state.client_budget
    assert 0 < budget.held_bytes <= budget.limits.close_bytes
    for writer in writers:
        writer.close()
    server.close()
    await _wait_until(lambda: not ports.clients)
    assert ports.state.client_budget.held_bytes == 0
