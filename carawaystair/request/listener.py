"""Accepts callers' connections."""

import asyncio
import collections
import math
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair.load import eviction
from carawaystair import logs
from carawaystair import metrics
from carawaystair import read_buffer
from carawaystair.request import errors
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server
from carawaystair.request import turns

MAX_CONNECTIONS = 20_000
BACKLOG = 1024
# Interval of log lines about bytes that are no valid request, seconds.
LOG_INTERVAL_S = 1.0

LOG = logs.get('request')


class Listener:
    """Accepts connections and keeps a set of the open ones.

    :param handle: answers requests.
    :param bounds: returns the bounds for a new connection.
    :param may_pipeline: returns whether a request may run before earlier
        ones on its connection are answered; None if none may.
    :param max_connections: most open connections; at this number, the least
        useful one is closed for a new one.
    :param system_bytes: what the system is asked to hold of a connection;
        see ``read_buffer``.
    :param refuser: makes the protocol of a connection that is refused;
        :class:`ConnectionRefuser` by default.
    """

    def __init__(
        self,
        handle: http_server.Handle,
        bounds: typing.Callable[[], http_server.Bounds] = http_server.Bounds,
        may_pipeline: http_server.RequestPredicate | None = None,
        max_connections: int | None = None,
        system_bytes: int = read_buffer.NEAR_BYTES,
        refuser: typing.Callable[[], asyncio.Protocol] | None = None,
    ) -> None:
        self.handle = handle
        self.bounds = bounds
        self.may_pipeline = may_pipeline
        if max_connections is None:
            max_connections = MAX_CONNECTIONS
        self.max_connections = max_connections
        self.system_bytes = system_bytes
        self.refuser = refuser or ConnectionRefuser
        self.refused = 0
        self.evicted = 0
        # Bytes that were no valid request, by result code.
        self.malformed: collections.Counter[str] = collections.Counter()
        self.logged_at = -math.inf
        self.connections: set[http_server.Connection] = set()
        self.server: asyncio.Server | None = None
        self.turns = turns.Turns()

    async def listen(self, address: str) -> None:
        """Listen for callers.

        :param address: ``ip:port``.
        :raises OSError: when it can't be bound.
        """
        self.server = await read_buffer.listen(
            self.create_connection, address, self.system_bytes, BACKLOG
        )

    def create_connection(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        if len(self.connections) >= self.max_connections:
            victim = eviction.least_useful(self.connections, clock.now())
            if victim is None or victim.transport is None:
                self.refused += 1
                return self.refuser()
            self.evicted += 1
            self.connections.discard(victim)
            victim.transport.abort()
        loop = asyncio.get_running_loop()
        return http_server.Connection(
            loop,
            self.handle,
            self._refuse,
            self.connections,
            self.bounds(),
            self.may_pipeline,
            self.turns,
        )

    def _refuse(
        self, connection: http_server.Connection, error: errors.Malformed
    ) -> None:
        """Refuse bytes that are not a valid request, and count them."""
        self.malformed[error.code.label] += 1
        now = clock.now()
        if now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now
            LOG.warning(
                'Refused what is no valid request.',
                code=error.code.label,
                why=error.text,
                totals=dict(self.malformed),
            )
        refuse(connection, error)

    def samples(self, name: str) -> typing.Iterator[metrics.Sample]:
        """Yield the metrics.

        :param name: of the listener.
        """
        labels = (('listener', name),)
        open_ones = len(self.connections)
        yield metrics.Sample('listener_connections', open_ones, labels)
        yield metrics.Sample(
            'listener_connections_refused_total', self.refused, labels
        )
        yield metrics.Sample(
            'listener_connections_evicted_total', self.evicted, labels
        )
        for code, number in self.malformed.items():
            yield metrics.Sample(
                'malformed_total', number, (*labels, ('code', code))
            )

    @property
    def listening(self) -> bool:
        """Return whether it has begun to listen."""
        return self.server is not None

    def close(self) -> None:
        """Take no new connections."""
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if connection.idle and connection.transport is not None:
                connection.transport.close()

    @property
    def has_unsent_data(self) -> bool:
        """Return whether written data is still in buffers of this process."""
        return any(
            connection.transport is not None
            and connection.transport.get_write_buffer_size()
            for connection in self.connections
        )

    async def abort(self) -> None:
        """Abort all open connections."""
        left = list(self.connections)
        for connection in left:
            if connection.transport is not None:
                connection.transport.abort()
        tasks = [connection.task for connection in left if connection.task]
        await asyncio.gather(*tasks, return_exceptions=True)


class ConnectionRefuser(asyncio.Protocol):
    """Refuses a connection beyond the most that are taken."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the error answer and close."""
        code = codes.TOO_MANY_CONNECTIONS
        transport.write(exchanges.encode_error(code, codes.NOT_RUN, '', '-'))
        transport.close()


class ConnectionAborter(asyncio.Protocol):
    """Aborts a connection without an answer.

    A node may have sent its request before, on another connection; an answer
    could not tell whether that has run.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Abort the connection."""
        transport.abort()


def refuse(
    connection: http_server.Connection, error: errors.Malformed
) -> None:
    """Write an error answer to bytes that are not a valid request."""
    if connection.transport is not None:
        data = exchanges.encode_error(
            error.code, codes.NOT_RUN, error.text, '-'
        )
        connection.transport.write(data)
