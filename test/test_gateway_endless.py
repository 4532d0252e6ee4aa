"""Upstreams that send bytes without end, or never the end of an answer."""

import asyncio
import typing

import pytest

from carawaystair import manifest
from test import gateway_setup as fleets
from test import pipes

PIECE_BYTES = 16 * 1024
PAUSE_S = 0.01
TIMEOUT_S = 2.0
# How long after its route's timeout a request may be without an end, seconds.
LATE_S = 0.5
# Far more than a node may keep of what nobody asked for.
MOST_BYTES = 64 * 1024 * 1024
ROUTES = tuple(
    manifest.Route(
        '/%s/' % name,
        'portal',
        idempotent=name == 'read',
        timeout_ms=int(1000 * TIMEOUT_S),
    )
    for name in ('read', 'pay')
)
HEAD = b'HTTP/1.1 200 OK\r\nX-Receipt: r\r\n'
STARTS = {
    'no-protocol': (b'', b'z' * PIECE_BYTES),
    'blank-lines': (b'', b'\r\n' * (PIECE_BYTES // 2)),
    'status-line': (b'HTTP/1.1 200 ', b'O' * PIECE_BYTES),
    'header-lines': (HEAD, b'X-A: b\r\n' * (PIECE_BYTES // 8)),
    'long-header': (HEAD + b'X-A: ', b'b' * PIECE_BYTES),
    'interim-answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 600),
    'early-hints': (b'', b'HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n' * 500),
    'body-without-length': (HEAD + b'\r\n', b'y' * PIECE_BYTES),
    'slow-body-without-length': (HEAD + b'\r\n', b'y' * 8),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'4000\r\n%b\r\n' % (b'y' * PIECE_BYTES),
    ),
    'chunk-extension': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n4000;',
        b'e' * PIECE_BYTES,
    ),
    'chunk-size': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'0' * PIECE_BYTES,
    ),
    'trailers': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-A: b\r\n' * (PIECE_BYTES // 8),
    ),
    'silent-body': (
        HEAD + b'Content-Length: 300000\r\n\r\n' + b'y' * 200_000,
        b'',
    ),
    'behind-an-answer': (
        HEAD + b'Content-Length: 2\r\n\r\nok',
        b'z' * PIECE_BYTES,
    ),
}


class Endless:
    """Script that answers with bytes until its connection is closed.

    :param kind: which bytes, see ``STARTS``.
    """

    def __init__(self, kind: str) -> None:
        self.start, self.piece = STARTS[kind]
        self.sent_bytes = 0
        # Connections on which it still sends.
        self.open = 0

    async def __call__(self, upstream, seen, writer) -> None:
        """Answer one request."""
        if '/warm' in seen.line:
            writer.write(fleets.good())
            return
        self.open += 1
        try:
            writer.write(self.start)
            while not writer.transport.is_closing():
                writer.write(self.piece)
                self.sent_bytes += len(self.piece)
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
        except ConnectionError:
            pass
        finally:
            self.open -= 1


class Seen(typing.NamedTuple):
    """What became of a request to such an upstream.

    :param status: of its answer; 0 if that did not come whole.
    :param took_s: until its end, seconds.
    :param open: connections on which the upstream still sends.
    :param running: slots that are still taken.
    :param sent_bytes: bytes that the upstream could send.
    """

    status: int
    took_s: float
    open: int
    running: int
    sent_bytes: int


async def ask(kind: str, method: str) -> Seen:
    """Send one request to a host whose upstream sends without end."""
    script = Endless(kind)
    path = '/read/x' if method == 'GET' else '/pay/x'
    body = b'x' if method == 'POST' else b''
    async with fleets.running(None, script, routes=ROUTES) as fleet:
        await fleet.ask('/read/warm')
        loop = asyncio.get_running_loop()
        began = loop.time()
        status = 0
        try:
            async with asyncio.timeout(TIMEOUT_S + 2 * LATE_S):
                answer = await fleet.ask(path, method, body=body)
            status = answer.status if answer.ended else 0
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            pass
        took_s = loop.time() - began
        await asyncio.sleep(LATE_S)
        queue = fleet.nodes[1].service.executor.slots['u9001'].queue
        return Seen(
            status, took_s, script.open, queue.running, script.sent_bytes
        )


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('kind', STARTS)
def test_bytes_without_end_are_ended_at_the_routes_timeout(kind, method):
    """Guards against a request and a slot that an upstream never ends."""
    seen = pipes.run(ask(kind, method))
    assert seen.took_s < TIMEOUT_S + LATE_S
    assert seen.status in (
        (200,) if kind == 'behind-an-answer' else (0, 502, 504)
    )
    assert (seen.open, seen.running) == (0, 0)
    assert seen.sent_bytes < MOST_BYTES


# Bytes that never become an answer.
NO_PROGRESS = (
    'blank-lines',
    'interim-answers',
    'early-hints',
    'chunk-extension',
    'chunk-size',
)


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('kind', NO_PROGRESS)
def test_bytes_of_which_nothing_comes_are_ended_early(kind, method):
    """Guards against a node that reads them until the request's deadline."""
    seen = pipes.run(ask(kind, method))
    assert seen.status == 502
    assert seen.took_s < TIMEOUT_S
    assert (seen.open, seen.running) == (0, 0)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_upstream_may_say_often_that_it_still_works(method):
    """Guards against a bound that ends sound answers."""

    async def work(upstream, seen, writer):
        for _turn in range(300):
            writer.write(b'HTTP/1.1 102 Processing\r\n\r\n')
            await asyncio.sleep(0.1)
        writer.write(fleets.good())

    async def scenario():
        route = manifest.Route(
            '/work/', 'portal', idempotent=method == 'GET', timeout_ms=60_000
        )
        async with fleets.running(None, work, routes=(route,)) as fleet:
            body = b'x' if method == 'POST' else b''
            patient = {'Caraway_Deadline_Ms': '60000'}
            return await fleet.ask('/work/x', method, body=body, **patient)

    assert pipes.run(scenario()).status == 200
