"""How a node tells a gateway that a caller has left."""

import asyncio
import contextlib
import socket

from carawaystair import clock
from carawaystair.gateway import hops
from carawaystair.gateway import send_attempts
from carawaystair import interfaces
from carawaystair.request import call as calls
from carawaystair.request import target as targets


def _attempt(address: str) -> send_attempts.GatewayAttempt:
    now = clock.now()
    head = b'GET / HTTP/1.1\r\n'
    call = calls.Call(
        'a', None, '', '', now + 5.0, True, '', 'GET', '/', head, b''
    )
    upstream = interfaces.Upstream('u', 's', address, '', '', 0)
    hop = hops.Hop(
        'a', 'h', 'u', 's', 'c', 'r', 5000, 5000, 0, True, False, False,
        False, False, 1, 'p',
    )  # fmt: skip
    return send_attempts.GatewayAttempt(
        call, targets.Target(upstream, now), hop
    )


@contextlib.asynccontextmanager
async def _sent():
    """Yield a send, and the socket of the gateway that it reached."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        attempt = _attempt('127.0.0.1:%d' % server.getsockname()[1])
        await attempt.connect()
        attempt.send()
        gateway, _address = server.accept()
        with gateway:
            yield attempt, gateway


def test_leave_is_a_close_also_when_signs_were_not_read():
    """A caller leaves; its gateway must take it for that.

    Symptom: requests of callers that left are run, up to seconds later, and
    their slots are taken from others.  Sequence: a request waits at its
    gateway, which sends signs; the caller leaves while a sign lies unread.
    Cause: the system answers a close with unread bytes by a reset, which the
    gateway takes for an accident after which it is asked again.
    """

    async def scenario():
        async with _sent() as (attempt, gateway):
            assert gateway.recv(4096)
            gateway.sendall(hops.INTERIM)
            attempt.abandon()
            await asyncio.sleep(0.05)
            gateway.settimeout(1.0)
            return gateway.recv(4096)

    assert asyncio.run(scenario()) == b''


def test_left_connection_ends_although_the_gateway_keeps_it_open(monkeypatch):
    """Symptom: open connections add up.  Sequence: a caller leaves, and the
    gateway never closes.  Cause: an end that is waited for without limit.
    """
    monkeypatch.setattr(send_attempts, 'CLOSE_TIMEOUT_S', 0.05)

    async def scenario():
        async with _sent() as (attempt, _gateway):
            attempt.abandon()
            transport = attempt.connection.proto.transport
            await asyncio.sleep(0.15)
            assert transport is None or transport.is_closing()

    asyncio.run(scenario())
