"""The server's side of one HTTP connection, over aiohttp's parser.

One task serves one connection, request after request.  aiohttp's own server
makes a task for every request, has no bound for a head that trickles in, and
lets a reader of a malformed body wait for ever.
"""

import asyncio
import collections
import socket
import typing

from aiohttp import http
from aiohttp import streams

from carawaystair.request import errors
from carawaystair.request import protocol

# Bounds of a request head.  Within them the memory of a connection is
# bounded, however slowly or oddly a caller sends.
MAX_LINE_BYTES = 8 * 1024
MAX_HEADERS = 100
# A body that nobody reads makes the connection stop at twice as much.
READ_BYTES = 64 * 1024
# Requests that a caller may send ahead of their answers.
MAX_AHEAD = 8
# An idle connection is closed after so long, seconds.
IDLE_S = 75.0
# A head that has begun must be here after so long; seconds.
HEAD_S = 10.0
# What is left of a body that nobody wants is read for so long, so that the
# caller gets to read its answer; seconds.
LINGER_S = 2.0

MESSAGE = http.RawRequestMessage


class Bounds(typing.NamedTuple):
    """What a caller may send, and how long it may take.

    :param line_bytes: bytes of one header line, or of the first line.
    :param head_s: time for a head that has begun, seconds.
    :param idle_s: an idle connection stays open so long, seconds.
    :param silence_s: a connection on which what was sent is not acknowledged
        for so long has been lost, seconds; 0 leaves that to the system.
    """

    line_bytes: int = MAX_LINE_BYTES
    head_s: float = HEAD_S
    idle_s: float = IDLE_S
    silence_s: float = 0.0


DEFAULT_BOUNDS = Bounds()


class Request:
    """One request as it was read.

    :param message: its head.
    :param content: its body.
    :param connection: the connection that it came on.
    """

    __slots__ = (
        'connection',
        'content',
        'headers',
        'keep_alive',
        'made',
        'method',
        'raw_headers',
        'raw_path',
        'version',
    )

    def __init__(
        self,
        message: http.RawRequestMessage,
        content: streams.StreamReader,
        connection: 'Connection',
    ) -> None:
        self.method = message.method
        self.raw_path = message.path
        self.version = message.version
        self.headers = message.headers
        self.raw_headers = message.raw_headers
        self.keep_alive = not (message.should_close or message.upgrade)
        self.content = content
        self.connection = connection
        self.made: http.StreamWriter | None = None

    @property
    def writer(self) -> http.StreamWriter:
        """Return what writes a long answer."""
        if self.made is None:
            connection = self.connection
            self.made = http.StreamWriter(connection, connection.loop)
        return self.made


def notice_silence(transport: asyncio.BaseTransport, silence_s: float) -> None:
    """Let a connection break when what was sent is not acknowledged.

    Symptom without it: the other end has gone and its close was lost; what
    was asked for on the connection is done minutes later for nobody.
    """
    raw = transport.get_extra_info('socket')
    if raw is not None:
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(silence_s * 1000),
        )


Handle = typing.Callable[[Request], typing.Awaitable[bool]]


class Connection(protocol.Protocol):
    """One caller's connection.

    :param loop: the event loop.
    :param handle: answers a request; returns whether another may follow.
    :param refuse: answers what is no request, see ``errors.Malformed``.
    :param connections: all connections of the listener.
    :param bounds: what the caller may send.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: Handle,
        refuse: typing.Callable[['Connection', errors.Malformed], None],
        connections: set['Connection'],
        bounds: Bounds = DEFAULT_BOUNDS,
    ) -> None:
        parser = http.HttpRequestParser(
            self,
            loop,
            READ_BYTES,
            max_line_size=bounds.line_bytes,
            max_headers=MAX_HEADERS,
            max_field_size=bounds.line_bytes,
            auto_decompress=False,
            max_msg_queue_size=MAX_AHEAD,
        )
        super().__init__(loop, parser)
        self.handle = handle
        self.refuse = refuse
        self.connections = connections
        self.bounds = bounds
        # Whether the connection broke, rather than being closed.
        self.broken = False
        # Whether the caller ended it, in whichever way.
        self.left = False
        self.queue: collections.deque = collections.deque()
        self.content = streams.EMPTY_PAYLOAD
        # Why no further request can be read.
        self.error: errors.Malformed | None = None
        # Set while the task waits for a request.
        self.waiter: asyncio.Future | None = None
        self.begun = False
        self.task: asyncio.Task | None = None

    # One task a connection

    async def serve(self) -> None:
        """Answer the requests of this connection, one after another."""
        try:
            while await self._arrived():
                # What came with the caller's close would run for nobody. The
                # end of a stream is read one turn after the bytes before it.
                await asyncio.sleep(0)
                if not self.open:
                    break
                message, self.content = self.queue.popleft()
                request = Request(message, self.content, self)
                self._read_on()
                if not await self.handle(request):
                    break
            else:
                if self.error is not None:
                    self.refuse(self, self.error)
            await self._linger()
        except ConnectionError:
            # The caller has gone.
            pass
        finally:
            if self.transport is not None:
                self.transport.close()

    async def _arrived(self) -> bool:
        """Wait for a request; tell whether there is one."""
        if not self.queue and self.error is None:
            self.begun = False
            self._arm(self.loop.time() + self.bounds.idle_s)
            self.waiter = self.loop.create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        return bool(self.queue)

    def _read_on(self) -> None:
        """Let the parser go on when it stopped at too many requests."""
        self._parser.message_consumed()
        if self.queue:
            return
        # It may have stopped without reading being paused: behind a long
        # body, one request less than the most stands in the queue then.
        self.data_received(b'')
        if self._buffer_paused and len(self.queue) < MAX_AHEAD:
            self._resume_reading_for_buffer()

    async def _linger(self) -> None:
        """Read what is left of a body before closing.

        Closing with bytes unread makes the kernel reset the connection, and
        the caller may lose the answer that tells it why.
        """
        transport = self.transport
        if transport is None or self.content.is_eof():
            return
        try:
            async with asyncio.timeout(LINGER_S):
                while not self.content.at_eof():
                    await self.content.readany()
        except (TimeoutError, errors.BodyError):
            pass

    @property
    def idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return self._waiting() and not self.begun

    def write(self, data: bytes) -> None:
        """Write to whoever sent the request.

        :raises ConnectionResetError: when it has gone.
        """
        if not self.open:
            raise ConnectionResetError('the other side has gone')
        self.transport.write(data)

    # What asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve."""
        super().connection_made(transport)
        if self.bounds.silence_s:
            notice_silence(transport, self.bounds.silence_s)
        self.connections.add(self)
        self.task = self.loop.create_task(self.serve())

    def data_received(self, data: bytes) -> None:
        """Take bytes of requests."""
        if self.error is not None:
            return
        try:
            messages, _upgraded, _tail = self._parser.feed_data(data)
        except Exception as error:
            self._spoil(errors.Malformed(error))
            return
        self.queue.extend(messages)
        if messages:
            self._wake()
            if len(self.queue) >= MAX_AHEAD and not self._buffer_paused:
                self._pause_reading_for_buffer()
        elif self.idle and data:
            self.begun = True
            self._arm(self.loop.time() + self.bounds.head_s)

    def eof_received(self) -> None:
        """Take note of the caller's close; ours follows."""
        self.left = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel what is being done for the caller."""
        super().connection_lost(exc)
        self.broken = exc is not None
        self.left = self.left or self.broken
        self.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        self._end_bodies(errors.BodyError('the caller has gone'))
        if self.task is not None:
            self.task.cancel()

    # What goes wrong

    def _spoil(self, error: errors.Malformed) -> None:
        """Read no more: what follows can't be told apart."""
        self.error = error
        self._end_bodies(errors.BodyError(str(error)))
        self._wake()

    def _end_bodies(self, error: errors.BodyError) -> None:
        """End whoever reads a body of which no more will come."""
        contents = [content for _message, content in self.queue]
        for content in (self.content, *contents):
            if not content.is_eof():
                content.set_exception(error)

    def _waiting(self) -> bool:
        # The task stands at its wait for one more turn of the loop after a
        # request was read; closed in that turn, its caller hears nothing.
        return self.waiter is not None and not self.waiter.done()

    def _wake(self) -> None:
        if self._waiting():
            self.waiter.set_result(None)

    # Time

    def _ring(self) -> None:
        self.timer = None
        if self.loop.time() < self.until:
            self._arm(self.until)
        elif self._waiting() and self.transport is not None:
            self.transport.close()
