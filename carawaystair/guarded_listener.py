"""Bounds what strangers can make a listener of aiohttp hold.

aiohttp bounds the body that a handler reads.  It has no bound for the number
of connections, nor for the time and the bytes of a head or of the rest of a
refused body.
"""

import asyncio
import ssl
import typing

from aiohttp import streams
from aiohttp import web

from carawaystair import clock
from carawaystair.load import eviction
from carawaystair import metrics
from carawaystair import read_buffer

# Bytes of a head and of the beginning of a refused body, which are read beside
# the longest body.
MARGIN_BYTES = 128 * 1024
# What all requests that have not arrived may hold, in multiples of the longest
# body, and beside that.
HELD_BODIES = 2
HELD_BYTES = 1024 * 1024
# Time in which a request must arrive.
REQUEST_TIMEOUT_S = 10.0
# Time for a caller to read its answer after it sent too much.
LINGER_S = 1.0
# Statuses from here on are refusals, and failures of this process.
CLIENT_ERROR = 400
SERVER_ERROR = 500


class Bounds(typing.NamedTuple):
    """Bounds of a listener.

    :param connections: most open connections.
    :param body_bytes: most bytes of a request's body.
    """

    connections: int
    body_bytes: int

    @property
    def held_bytes(self) -> int:
        """Return what all requests that arrive may hold."""
        return HELD_BODIES * self.body_bytes + HELD_BYTES


class Counts:
    """What the guarded listeners of a process have closed."""

    def __init__(self) -> None:
        self.evicted = 0
        self.too_long = 0
        self.too_late = 0

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the metrics."""
        for cause, count in vars(self).items():
            yield metrics.Sample(
                'local_connections_closed_total', count, (('cause', cause),)
            )


COUNTS = Counts()


class GuardedConnection(read_buffer.SharedBuffer):
    """One connection, handed on to a protocol of aiohttp.

    :param inner: that protocol.
    :param listener: the listener.
    """

    def __init__(
        self, inner: asyncio.Protocol, listener: 'GuardedListener'
    ) -> None:
        self.inner: asyncio.Protocol | None = inner
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        # Bytes since the last request was answered.
        self.received = 0
        self.timer: asyncio.TimerHandle | None = None
        # The body of the last request, and whether that is being handled.
        self.body: streams.StreamReader | None = None
        self.handling = False
        self.served = False
        self.waiting_since = clock.now()

    @property
    def busy(self) -> bool:
        """Return whether a whole request is being answered."""
        return self.handling and self.body.is_eof()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; the connection counts until it is lost."""
        self.transport = transport
        self.listener.add(self)
        self.inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Hand on received data, up to the bound of a request."""
        if not self.received:
            self._set_timer(REQUEST_TIMEOUT_S)
        self.received += len(data)
        self.listener.held += len(data)
        if self.received <= self.listener.bounds.body_bytes + MARGIN_BYTES:
            self.inner.data_received(data)
            self.listener.bound_held()
            return
        COUNTS.too_long += 1
        self.transport.pause_reading()
        self._set_timer(LINGER_S)

    def begin(self, body: streams.StreamReader) -> None:
        """Note that a request is being handled.

        :param body: its body, which may still arrive.
        """
        self.body = body
        self.handling = True

    def end(self, served: bool) -> None:
        """Note that a request was handled.

        :param served: whether its caller was served.
        """
        arrived = self.busy
        self.handling = False
        self.served = self.served or served
        self.waiting_since = clock.now()
        if arrived:
            self._forget_received()
            self._cancel_timer()

    def _forget_received(self) -> None:
        self.listener.held -= self.received
        self.received = 0

    def _set_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self._expire)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _expire(self) -> None:
        """Abort a connection whose request did not arrive in time."""
        self.timer = None
        if self.transport is not None and not self.busy:
            COUNTS.too_late += 1
            self.transport.abort()

    def pause_writing(self) -> None:
        """Hand on that the peer does not read."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Hand on that the peer reads again."""
        self.inner.resume_writing()

    def eof_received(self) -> None:
        """Hand on the end of what the peer sends."""
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Hand on the end of the connection."""
        self._cancel_timer()
        self._forget_received()
        self.listener.connections.discard(self)
        self.inner.connection_lost(exc)
        if self.body is not None and not (self.handling or self.body.is_eof()):
            # aiohttp reads the rest of a refused body, for ten seconds even
            # after the connection was lost.
            self.body.feed_eof()
        self.inner = self.transport = self.body = None


class GuardedListener:
    """Listens for an application.

    :param address: ``ip:port``.
    :param bounds: its bounds.
    """

    def __init__(self, address: str, bounds: Bounds) -> None:
        self.address = address
        self.bounds = bounds
        self.connections: set[GuardedConnection] = set()
        # What their requests have received.
        self.held = 0
        self.server: asyncio.Server | None = None

    async def start(
        self, runner: web.AppRunner, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen.

        :param runner: runs the application.
        :param tls: for connections with TLS.
        :raises OSError: when the address can't be bound.
        """
        self.server = await read_buffer.listen(
            lambda: GuardedConnection(runner.server(), self),
            self.address,
            read_buffer.NEAR_BYTES,
            tls=tls,
        )

    def close(self) -> None:
        """Take no new connections."""
        if self.server is not None:
            self.server.close()

    def add(self, connection: GuardedConnection) -> None:
        """Count a new connection; at the bound, one of them is closed."""
        self.connections.add(connection)
        if len(self.connections) <= self.bounds.connections:
            return
        victim = eviction.least_useful(self.connections, clock.now())
        victim = victim or connection
        COUNTS.evicted += 1
        self.connections.discard(victim)
        victim.transport.abort()

    def bound_held(self) -> None:
        """Close the connection that holds most, beyond the bound of all."""
        if self.held <= self.bounds.held_bytes:
            return
        waiting = (one for one in self.connections if not one.busy)
        victim = max(waiting, key=lambda one: one.received, default=None)
        if victim is not None:
            COUNTS.evicted += 1
            victim.transport.abort()


@web.middleware
async def note_requests(
    request: web.Request, handler: typing.Callable
) -> web.StreamResponse:
    """Tell the connection of a request that it is being handled."""
    transport = request.transport
    connection = transport and transport.get_protocol()
    if not isinstance(connection, GuardedConnection):
        return await handler(request)
    connection.begin(request.content)
    status = SERVER_ERROR
    try:
        response = await handler(request)
        status = response.status
        return response
    finally:
        connection.end(status < CLIENT_ERROR)
