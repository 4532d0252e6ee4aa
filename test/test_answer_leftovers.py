"""What is left in memory of answers that were no answers."""

import asyncio
import gc
import tracemalloc

import pytest

from test import gateway_setup as fleets
from test import pipes
from test import test_gateway_endless as endless

PIECE_BYTES = 64 * 1024
HEAD = endless.HEAD
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
ANSWERS = {
    'zeros': b'\0' * PIECE_BYTES,
    'letters': b'z' * PIECE_BYTES,
    'all-bytes': bytes(range(256)) * 256,
    'status-line': b'HTTP/1.1 200 ' + b'O' * PIECE_BYTES,
    'status-code': b'HTTP/1.1 ' + b'9' * PIECE_BYTES,
    'header': HEAD + b'X-\0A: ' + b'\1' * PIECE_BYTES,
    'long-header': HEAD + b'X-A: ' + b'b' * PIECE_BYTES,
    'many-headers': HEAD + b'X-A: b\r\n' * 8000,
    'chunk-size': CHUNKED + b'\xff' * PIECE_BYTES,
    'chunk': CHUNKED + b'4000\r\n%b' % (b'y' * PIECE_BYTES),
    'trailer': CHUNKED + b'0\r\n' + b'\0' * PIECE_BYTES,
    'length': HEAD + b'Content-Length: ' + b'x' * 1000 + b'\r\n\r\n',
    'other-protocol': b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n'
    b'Connection: upgrade\r\n\r\n' + b'z' * PIECE_BYTES,
    'foreign': b''.join(
        fleets.good(b'y' * 10_000, Caraway_Request_Id='other')
        for _answer in range(8)
    ),
    'broken-off': HEAD + b'Content-Length: 100000\r\n\r\n' + b'y' * 60_000,
    'long-broken-off': HEAD
    + b'Content-Length: 400000\r\n\r\n'
    + b'y' * 300_000,
    'long-chunk': CHUNKED + b'493e0\r\n%b\r\n\xff' % (b'y' * 300_000),
    'behind-an-answer': fleets.good() + b'\0' * PIECE_BYTES,
    'nothing': b'',
}
REQUESTS = 20
# What may stay of each, with the records of the test itself.
KEPT_BYTES = PIECE_BYTES // 4
# Longer than answers to requests that may run again are kept, seconds.
WAIT_S = 3.0
# For so long a gateway keeps answers to orders, seconds.
KEEP_S = 25.0
BODY = b'x' * 30_000
# The listener of the first node for callers, and of the second for nodes.
CALLERS, NODES = 8000, 7001


def script(answer: bytes):
    """Return a script that sends some bytes and closes."""

    async def run(upstream, seen, writer):
        writer.write(answer)
        await writer.drain()
        writer.close()

    return run


async def send(port: int, data: bytes) -> None:
    """Send bytes on a connection of their own; drop what comes back."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(data)
    try:
        while await reader.read(PIECE_BYTES):
            pass
    except ConnectionError:
        pass
    writer.close()


def request(method: str) -> bytes:
    """Return the bytes of a request."""
    path, body = ('/read/x', b'') if method == 'GET' else ('/pay/x', BODY)
    head = '%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return (head % (method, path)).encode() + length + body


def traced_bytes() -> int:
    """Return the bytes that were allocated and not freed.

    What the clients and upstreams of the test have read does not count.
    """
    own = tracemalloc.Filter(False, asyncio.streams.__file__)
    snapshot = tracemalloc.take_snapshot().filter_traces([own])
    return sum(trace.size for trace in snapshot.traces)


def forget(fleet) -> None:
    """Drop what the test itself keeps."""
    for node in fleet.nodes:
        node.lines.lines.clear()
        if node.upstream is not None:
            node.upstream.runs.clear()
    asyncio.get_running_loop().made.clear()


async def left_by(upstream, port: int, data: bytes, keep_s: float) -> float:
    """Send bytes to a listener again and again, with an upstream behind it.

    :param upstream: the script of the upstream.
    :param keep_s: how long to wait after the last time, seconds.
    :return: bytes that stay in memory of each time, without any collection.
    """
    async with fleets.running(None, upstream) as fleet:
        for _turn in range(REQUESTS):
            await send(port, data)
        await asyncio.sleep(KEEP_S)
        forget(fleet)
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            for _turn in range(REQUESTS):
                await send(port, data)
            await asyncio.sleep(keep_s)
            forget(fleet)
            return traced_bytes() / REQUESTS
        finally:
            tracemalloc.stop()
            gc.enable()


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('kind', ANSWERS)
def test_answers_that_are_none_leave_nothing_behind(kind, method):
    """Guards against memory that grows with each faulty answer."""
    upstream = script(ANSWERS[kind])
    left = pipes.run(left_by(upstream, CALLERS, request(method), WAIT_S))
    assert left < KEPT_BYTES


@pytest.mark.parametrize('size', [PIECE_BYTES, 300_000])
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_sound_answers_leave_nothing_behind(method, size):
    """Guards against memory that grows with the answers that are kept."""
    upstream = script(fleets.good(b'y' * size))
    left = pipes.run(left_by(upstream, CALLERS, request(method), KEEP_S))
    assert left < KEPT_BYTES


@pytest.mark.parametrize('port', [CALLERS, NODES], ids=['callers', 'nodes'])
@pytest.mark.parametrize('kind', ['zeros', 'letters', 'all-bytes'])
def test_requests_that_are_none_leave_nothing_behind(kind, port):
    """Guards against memory that grows with each malformed head."""
    left = pipes.run(left_by(fleets.serve, port, ANSWERS[kind], KEEP_S))
    assert left < KEPT_BYTES
