"""Answers that are still being sent when a node stops."""

import asyncio

import pytest

from test import gateway_setup as fleets
from test import pipes

BODY = b'x' * 48_000
# How long a caller reads nothing, seconds.
HELD_S = 1.0


async def big(upstream, seen, writer) -> None:
    """Answer with more than a connection buffers."""
    writer.write(fleets.good(BODY))


async def read_slowly(port: int) -> bytes:
    """Send a request, pause, then read the whole answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.transport.pause_reading()
    writer.write(b'GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n')
    await asyncio.sleep(HELD_S)
    writer.transport.resume_reading()
    try:
        return await reader.read()
    finally:
        writer.close()


def test_stop_waits_until_callers_have_their_answers():
    """Guards against an answer that a stop cuts off."""

    async def scenario():
        async with fleets.running(big, lame_duck_s=0.1) as fleet:
            asking = asyncio.ensure_future(read_slowly(8000))
            await asyncio.sleep(0.2)
            await fleet.nodes[0].service.stop()
            return await asking

    assert pipes.run(scenario()).endswith(BODY)


@pytest.mark.parametrize('drain_s', [2.0, 6.0])
def test_stop_ends_although_a_caller_does_not_read(drain_s):
    """Guards against a stop that one caller delays beyond its drain time."""

    async def scenario():
        async with fleets.running(
            big, lame_duck_s=0.1, drain_s=drain_s
        ) as fleet:
            _reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.transport.pause_reading()
            writer.write(b'GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n')
            await asyncio.sleep(0.2)
            loop = asyncio.get_running_loop()
            began = loop.time()
            await fleet.nodes[0].service.stop()
            return loop.time() - began

    assert pipes.run(scenario()) <= drain_s
