"""Connections to upstreams, one request at a time on each.

A connection is reused only after its last answer was read to the exact end.
What arrives on an idle connection, or after an answer, belongs to nobody:
such a connection is closed, so that a late answer can't reach another caller.
"""

import asyncio
import functools
import typing

from carawaystair import interfaces
from carawaystair.request import http_client
from carawaystair.request import target as targets

# Opening a connection takes about a network round trip; a host that does not
# answer by then is treated as down.
CONNECT_TIMEOUT_S = 0.25
# Idle connections are closed after so long: what stands between the two
# ends forgets connections, too.
MAX_IDLE_S = 30.0
# A request that may not run twice uses only connections that carried an
# answer within this time, or new ones.
RECENT_USE_S = 1.0
MAX_IDLE_CONNECTIONS = 16
SWEEP_INTERVAL_S = 1.0


class Connection:
    """One connection to an upstream.

    :param proto: its parser and transport.
    :param target: the upstream.
    :param now: monotonic time.
    """

    __slots__ = ('opened_at', 'owner', 'proto', 'target', 'last_used', 'uses')

    def __init__(
        self,
        proto: http_client.ClientProtocol,
        target: targets.Target,
        now: float,
    ) -> None:
        self.proto = proto
        self.target = target
        self.opened_at = now
        self.last_used = now
        self.uses = 0
        # The attempt whose answer comes next, None while idle.
        self.owner: typing.Any = None


def acquire(
    target: targets.Target, max_idle_s: float, now: float
) -> Connection | None:
    """Take an idle connection that was last_used within ``max_idle_s``.

    None is taken while one of them is doubted to be lost: the others may
    have been lost with it.
    """
    idle = target.idle_connections
    if target.suspected is not None:
        return None
    while idle and now - idle[-1].last_used <= max_idle_s:
        connection = idle.pop()
        if (
            connection.proto.reusable
            and connection.opened_at >= target.lost_before
        ):
            return connection
        connection.proto.abort()
    return None


async def connect(
    target: targets.Target, until: float, patience_s: float = CONNECT_TIMEOUT_S
) -> Connection:
    """Open a new connection.

    :param until: monotonic time at which to give up.
    :param patience_s: how long it may take, seconds.
    :raises OSError: when it cannot be opened_at.
    :raises TimeoutError: when nobody answers.
    """
    loop = asyncio.get_running_loop()
    ip, _colon, port = target.upstream.address.rpartition(':')
    factory = functools.partial(http_client.ClientProtocol, loop)
    async with asyncio.timeout_at(min(until, loop.time() + patience_s)):
        _transport, proto = await loop.create_connection(
            factory, ip.strip('[]'), int(port)
        )
    return Connection(proto, target, loop.time())


def release(connection: Connection, now: float) -> None:
    """Keep a connection for the next request, or close it."""
    target = connection.target
    connection.owner = None
    connection.last_used = now
    connection.uses += 1
    proto = connection.proto
    proto.awaiting_answer = False
    keep = proto.reusable and connection.opened_at >= target.lost_before
    keep = keep and target.upstream.state == interfaces.UP
    if keep and len(target.idle_connections) < MAX_IDLE_CONNECTIONS:
        target.idle_connections.append(connection)
    else:
        proto.abort()


def close_stale(target: targets.Target, now: float) -> None:
    """Close connections that have been idle too long or have ended."""
    kept = [
        connection
        for connection in target.idle_connections
        if now - connection.last_used < MAX_IDLE_S
        and connection.opened_at >= target.lost_before
        and connection.proto.reusable
    ]
    for connection in set(target.idle_connections).difference(kept):
        connection.proto.abort()
    target.idle_connections[:] = kept


def close_idle(target: targets.Target) -> None:
    """Close all idle connections of an upstream."""
    for connection in target.idle_connections:
        connection.proto.abort()
    target.idle_connections.clear()


class _Discard(asyncio.Protocol):
    """Reads to the end of a connection and throws all of it away."""

    def __init__(self, ended: asyncio.Future) -> None:
        self.ended = ended

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the other side has let go."""
        if not self.ended.done():
            self.ended.set_result(None)


def half_close(connection: Connection) -> asyncio.Future | None:
    """Shut our end of a connection in use, and read the rest unseen.

    A plain close would not do: with bytes unread, the system makes a reset
    of it, which looks like an accident and not like somebody's leaving.

    :return: done once the other end is shut; None when that is so already.
        Whoever does not wait for it for ever aborts the transport.
    """
    transport = connection.proto.transport
    if transport is None or transport.is_closing():
        return None
    ended = asyncio.get_running_loop().create_future()
    transport.set_protocol(_Discard(ended))
    try:
        transport.resume_reading()
        transport.write_eof()
    except (OSError, RuntimeError):
        # The connection ended meanwhile.
        transport.abort()
    return ended


async def cancel(connection: Connection, until: float) -> None:
    """Cancel what runs on a connection and wait until that is known.

    Our end is shut for sending, which the upstream reads as the caller's
    leaving.  Its own end comes when it has stopped working for us, be it by
    cancellation or by finishing; only then is its slot free again.

    :param until: monotonic time at which the upstream's slot counts as free
        whatever happens, such as the deadline it was told.
    """
    transport = connection.proto.transport
    ended = half_close(connection)
    if ended is None:
        return
    try:
        async with asyncio.timeout_at(until):
            await ended
    except TimeoutError:
        pass
    finally:
        transport.abort()
