"""The proxy injects faults into open connections."""

import asyncio

import pytest

from soak._faults import LinkMode
from soak._proxy import HOST, LinkProxy


@pytest.fixture
async def proxy():
    """A proxy in front of an echo server."""

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, HOST, 0)
    proxy = LinkProxy(server.sockets[0].getsockname()[1])
    await proxy.listen()
    yield proxy
    proxy.close()
    server.close()


async def _echoes(reader, writer, limit_s=5.0):
    writer.write(b"x")
    async with asyncio.timeout(limit_s):
        return await reader.read(1) == b"x"


async def test_data_is_forwarded(proxy):
    assert await _echoes(*await asyncio.open_connection(HOST, proxy.port))


@pytest.mark.parametrize("mode", [LinkMode.SILENCE, LinkMode.CUT_ONE_WAY])
async def test_blocked_link_returns_no_reply_and_new_connections_work_once_healed(
    proxy, mode
):
    streams = await asyncio.open_connection(HOST, proxy.port)
    assert await _echoes(*streams)
    proxy.inject(mode)
    with pytest.raises(TimeoutError):
        await _echoes(*streams, limit_s=0.3)
    proxy.heal()
    assert await _echoes(*await asyncio.open_connection(HOST, proxy.port))


async def test_a_reset_link_breaks_open_connections(proxy):
    streams = await asyncio.open_connection(HOST, proxy.port)
    assert await _echoes(*streams)
    proxy.inject(LinkMode.RESET)
    with pytest.raises(OSError):
        await _echoes(*streams)


async def test_a_delayed_link_delivers(proxy):
    streams = await asyncio.open_connection(HOST, proxy.port)
    proxy.inject(LinkMode.DELAY)
    assert await _echoes(*streams)
