"""Pools of connections to upstreams, with one request at a time on each.

A connection is reused only after its last answer was read to its exact end.
Bytes that arrive on an idle connection, or after an answer, belong to no
request: such a connection is closed, so that a late answer can't reach
another caller.
"""

import asyncio
import functools
import typing

from carawaystair import interfaces
from carawaystair.request import http_client
from carawaystair.request import target as targets

# A host that has not accepted a connection by then counts as down; it takes
# about one network round trip.
CONNECT_TIMEOUT_S = 0.25
# Idle connections are closed after this time, since middleboxes drop the
# state of idle connections.
MAX_IDLE_S = 30.0
# A request that may not run twice uses only new connections, or those that
# carried an answer within this time.
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
        # The attempt that waits for an answer, None while idle.
        self.owner: typing.Any = None


def acquire(
    target: targets.Target, max_idle_s: float, now: float
) -> Connection | None:
    """Return an idle connection that was used within ``max_idle_s``, if any.

    While a connection to the upstream is suspected to be lost, none is
    returned: the others may have been lost with it.
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
    target: targets.Target, until: float, timeout_s: float = CONNECT_TIMEOUT_S
) -> Connection:
    """Open a new connection.

    :param until: monotonic time at which to give up.
    :param timeout_s: how long it may take, seconds.
    :raises OSError: when it cannot be opened_at.
    :raises TimeoutError: when the upstream does not answer in time.
    """
    loop = asyncio.get_running_loop()
    ip, _colon, port = target.upstream.address.rpartition(':')
    factory = functools.partial(http_client.ClientProtocol, loop)
    async with asyncio.timeout_at(min(until, loop.time() + timeout_s)):
        _transport, proto = await loop.create_connection(
            factory, ip.strip('[]'), int(port)
        )
    return Connection(proto, target, loop.time())


def release(connection: Connection, now: float) -> None:
    """Return a connection to the pool, or close it if it can't be reused."""
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
    """Close idle connections that are too old or can't be reused."""
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
    """Discards everything that arrives, until the connection ends."""

    def __init__(self, ended: asyncio.Future) -> None:
        self.ended = ended

    def connection_lost(self, exc: Exception | None) -> None:
        """Signal the end of the connection."""
        if not self.ended.done():
            self.ended.set_result(None)


def half_close(connection: Connection) -> asyncio.Future | None:
    """Close our side of a connection in use, and discard what still arrives.

    Closing both sides with unread bytes would make the system send a reset,
    which looks like a failure and not like a caller that leaves.

    :return: a future that is done once the other side is closed, too; None
        when the connection is closed already.  A caller that stops waiting
        for the future must abort the transport.
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
        # The connection has ended in the meantime.
        transport.abort()
    return ended


async def cancel(connection: Connection, until: float) -> None:
    """Cancel the request on a connection and wait until it has stopped.

    Our side is closed for sending, by which the upstream sees that the
    caller has left.  The upstream closes its side when it has stopped, by
    cancelling or by finishing; only then is its slot free again.

    :param until: monotonic time at which the slot counts as free in any
        case, such as the deadline that was sent to the upstream.
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
