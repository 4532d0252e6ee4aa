"""Listeners of aiohttp and strangers that would hold them."""

import asyncio
import contextlib

from aiohttp import web
import pytest

from carawaystair import guarded_listener
from carawaystair.load import eviction
from carawaystair import localapi

MOST = 3
MAX_BODY = 1000
PUT = b'PUT /x HTTP/1.1\r\nHost: x\r\n'


async def echo(request: web.Request) -> web.Response:
    """Answer with the length of the body."""
    return web.Response(text='%d' % len(await request.read()))


@contextlib.asynccontextmanager
async def listening():
    """Run a listener; yields its port."""
    routes = [web.put('/x', echo)]
    api = localapi.LocalApi('127.0.0.1:0', routes, MAX_BODY, MOST)
    await api.on_start()
    try:
        yield api.listener.server.sockets[0].getsockname()[1]
    finally:
        await api.on_stop()


async def ask(port: int, data: bytes) -> bytes:
    """Send some bytes; return what comes until the end, or 10 s."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(data)
    got = b''
    with contextlib.suppress(OSError):
        async with asyncio.timeout(10.0):
            while piece := await reader.read(1000):
                got += piece
    writer.close()
    return got


def closing(*lines: bytes) -> bytes:
    """Return the head of a request after which the connection closes."""
    return PUT + b'\r\n'.join((*lines, b'Connection: close', b'', b''))


def test_request_is_answered():
    """Guards against a guard that gets in the way."""

    async def scenario():
        async with listening() as port:
            return await ask(port, closing(b'Content-Length: 3') + b'abc')

    assert asyncio.run(scenario()).endswith(b'3')


def test_body_over_the_bound_is_refused_and_read_no_further():
    """Guards against a stranger whose body is read without end."""

    async def scenario():
        async with listening() as port:
            data = closing(b'Content-Length: 9000000') + bytes(9_000_000)
            return await ask(port, data)

    before = guarded_listener.COUNTS.too_long
    assert asyncio.run(scenario()).startswith(b'HTTP/1.1 413')
    assert guarded_listener.COUNTS.too_long == before + 1


@pytest.mark.parametrize(
    'data', [PUT, closing(b'Content-Length: 9') + b'x'], ids=['head', 'body']
)
def test_request_that_does_not_arrive_is_given_up(data, monkeypatch):
    """Guards against strangers that begin a request and stay."""
    monkeypatch.setattr(guarded_listener, 'REQUEST_TIMEOUT_S', 0.05)

    async def scenario():
        async with listening() as port:
            return await ask(port, data)

    assert asyncio.run(scenario()) == b''


def test_bodies_that_arrive_have_a_bound_together(monkeypatch):
    """Guards against strangers that hold a long body each."""
    monkeypatch.setattr(guarded_listener, 'HELD_BODIES', 1)
    monkeypatch.setattr(guarded_listener, 'HELD_BYTES', 0)
    part = closing(b'Content-Length: 900') + bytes(500)

    async def scenario():
        async with listening() as port:
            stranger = asyncio.create_task(ask(port, part + bytes(100)))
            await asyncio.sleep(0.1)
            other = asyncio.create_task(ask(port, part))
            dropped = await stranger
            other.cancel()
            answer = await ask(port, closing(b'Content-Length: 3') + b'abc')
            return dropped, answer

    dropped, answer = asyncio.run(scenario())
    assert dropped == b''
    assert answer.endswith(b'3')


def test_refused_requests_keep_their_connection(monkeypatch):
    """Guards against closing the connection of an upstream that has to come
    again.
    """
    monkeypatch.setattr(guarded_listener, 'REQUEST_TIMEOUT_S', 0.05)
    monkeypatch.setattr(guarded_listener, 'MARGIN_BYTES', 0)
    request = PUT.replace(b'/x', b'/none') + b'Content-Length: 300\r\n\r\n'

    async def scenario():
        async with listening() as port:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            statuses = []
            for _turn in range(6):
                writer.write(request + bytes(300))
                head = await reader.readuntil(b'\r\n\r\n')
                statuses.append(head.split()[1])
                await reader.readexactly(len('404: Not Found'))
                await asyncio.sleep(0.1)
            writer.close()
            return statuses

    assert asyncio.run(scenario()) == [b'404'] * 6


def test_lost_connection_leaves_no_task():
    """Guards against tasks that read a refused body whose sender is gone."""

    async def scenario():
        async with listening() as port:
            before = len(asyncio.all_tasks())
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(closing(b'Content-Length: 5000') + bytes(2000))
            await reader.readuntil(b'413')
            writer.transport.abort()
            await asyncio.sleep(0.1)
            return len(asyncio.all_tasks()) - before

    assert asyncio.run(scenario()) == 0


def test_connection_without_a_request_makes_room(monkeypatch):
    """Guards against strangers that take all connections."""
    monkeypatch.setattr(eviction, 'OPENED_S', 0.0)

    async def scenario():
        async with listening() as port:
            opened = [
                await asyncio.open_connection('127.0.0.1', port)
                for _one in range(3 * MOST)
            ]
            answer = await ask(port, closing(b'Content-Length: 3') + b'abc')
            ended = 0
            for reader, writer in opened:
                with contextlib.suppress(TimeoutError, OSError):
                    async with asyncio.timeout(0.1):
                        await reader.read(1)
                ended += reader.at_eof() or reader.exception() is not None
                writer.close()
            return answer, ended

    answer, ended = asyncio.run(scenario())
    assert answer.endswith(b'3')
    assert ended == 2 * MOST + 1
