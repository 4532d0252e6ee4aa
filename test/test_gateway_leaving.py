"""Connections to gateways when a caller leaves."""

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
    """Yield an attempt that was sent, and the gateway's socket."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        attempt = _attempt('127.0.0.1:%d' % server.getsockname()[1])
        await attempt.connect()
        attempt.send()
        gateway, _address = server.accept()
        with gateway:
            yield attempt, gateway


def test_abandoned_attempt_is_closed_even_with_unread_interim_answers():
    """Guards against runs for callers that left, which take slots of others.

    A request waits at its gateway, which sends interim answers, and the
    caller leaves while one is unread.  The operating system answers a close
    with unread data by a reset, which the gateway would take for a broken
    connection after which the request is resumed.
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


def test_abandoned_connection_ends_even_if_the_gateway_keeps_it_open(
    monkeypatch,
):
    """Guards against open connections that add up when gateways never close
    them.
    """
    monkeypatch.setattr(send_attempts, 'CLOSE_TIMEOUT_S', 0.05)

    async def scenario():
        async with _sent() as (attempt, _gateway):
            attempt.abandon()
            transport = attempt.connection.proto.transport
            await asyncio.sleep(0.15)
            assert transport is None or transport.is_closing()

    asyncio.run(scenario())
