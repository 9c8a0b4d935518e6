"""The proxy injects faults into open connections."""

import asyncio

import pytest

from soak._faults import LinkMode
from soak._proxy import HOST, Proxy


@pytest.fixture
async def echo():
    """A proxy in front of an echo server."""

    async def answer(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(answer, HOST, 0)
    proxy = Proxy(server.sockets[0].getsockname()[1])
    await proxy.listen()
    yield proxy
    proxy.close()
    server.close()


async def _echoes(reader, writer, limit_s=5.0):
    writer.write(b"x")
    async with asyncio.timeout(limit_s):
        return await reader.read(1) == b"x"


async def test_it_forwards(echo):
    assert await _echoes(*await asyncio.open_connection(HOST, echo.port))


@pytest.mark.parametrize("mode", [LinkMode.SILENCE, LinkMode.CUT_ONE_WAY])
async def test_a_silent_link_answers_nothing_and_new_ones_work_once_healed(echo, mode):
    streams = await asyncio.open_connection(HOST, echo.port)
    assert await _echoes(*streams)
    echo.harm(mode)
    with pytest.raises(TimeoutError):
        await _echoes(*streams, limit_s=0.3)
    echo.heal()
    assert await _echoes(*await asyncio.open_connection(HOST, echo.port))


async def test_a_reset_link_breaks(echo):
    streams = await asyncio.open_connection(HOST, echo.port)
    assert await _echoes(*streams)
    echo.harm(LinkMode.RESET)
    with pytest.raises(OSError):
        await _echoes(*streams)


async def test_a_slow_link_delivers(echo):
    streams = await asyncio.open_connection(HOST, echo.port)
    echo.harm(LinkMode.DELAY)
    assert await _echoes(*streams)
