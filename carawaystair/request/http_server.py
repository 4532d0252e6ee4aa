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
READ_BUFFER_BYTES = 64 * 1024
# Requests that a caller may send pipelined of their answers; reading stops there.
MAX_PIPELINED = 8
# Answers that wait for those before them may take this much memory, bytes of
# a connection; no further request runs pipelined then.
MAX_BUFFERED_BYTES = 256 * 1024
# An idle connection is closed after so long, seconds.
IDLE_TIMEOUT_S = 75.0
# A head that has begun must be here after so long; seconds.
HEAD_TIMEOUT_S = 10.0
# Ends a head.
HEAD_END = b'\r\n\r\n'
# What is left of a body that nobody wants is read for so long, so that the
# caller gets to read its answer; seconds.
LINGER_TIMEOUT_S = 2.0

MESSAGE = http.RawRequestMessage


class Bounds(typing.NamedTuple):
    """What a caller may send, and how long it may take.

    :param line_bytes: bytes of one header line, or of the first line.
    :param head_s: time for a head that has begun, seconds.
    :param idle_s: time after which an idle connection is closed, seconds.
    :param ack_timeout_s: time after which a connection whose sent data is
        not acknowledged counts as lost, seconds; 0 leaves that to the
        system.
    """

    line_bytes: int = MAX_LINE_BYTES
    head_s: float = HEAD_TIMEOUT_S
    idle_s: float = IDLE_TIMEOUT_S
    ack_timeout_s: float = 0.0


DEFAULT_BOUNDS = Bounds()


class Request:
    """One request as it was read.

    :param message: its head.
    :param content: its body.
    :param connection: the connection that it came on.
    :param arrived: monotonic time at which its head was read.
    """

    __slots__ = (
        'arrived_at',
        'connection',
        'content',
        'headers',
        'unsent',
        'keep_alive',
        'stream_writer',
        'method',
        'raw_headers',
        'raw_path',
        'turn_waiter',
        'version',
    )

    def __init__(
        self,
        message: http.RawRequestMessage,
        content: streams.StreamReader,
        connection: 'Connection',
        arrived: float,
    ) -> None:
        self.method = message.method
        self.raw_path = message.path
        self.version = message.version
        self.headers = message.headers
        self.raw_headers = message.raw_headers
        self.keep_alive = not (message.should_close or message.upgrade)
        self.content = content
        self.connection = connection
        self.arrived_at = arrived
        self.stream_writer: http.StreamWriter | None = None
        # Bytes of its answer that wait for the answers before it; None once
        # they may go out.
        self.unsent: list[bytes] | None = None
        # Set while somebody waits for that.
        self.turn_waiter: asyncio.Future | None = None

    def write(self, data: bytes) -> None:
        """Write to the caller, or keep it until the answers before this one
        have gone out.

        :raises ConnectionResetError: when the caller has gone.
        """
        if self.unsent is None:
            self.connection.write(data)
        else:
            self.unsent.append(data)

    def release(self) -> None:
        """Let the answer go out: those before it have."""
        held, self.unsent = self.unsent, None
        if held:
            self.connection.write(b''.join(held))
        if self.turn_waiter is not None:
            self.turn_waiter.set_result(None)

    async def wait_turn(self) -> None:
        """Wait until the answers before this one have gone out."""
        if self.unsent is not None:
            self.turn_waiter = asyncio.get_running_loop().create_future()
            await self.turn_waiter

    @property
    def writer(self) -> http.StreamWriter:
        """Return what writes a long answer."""
        if self.stream_writer is None:
            connection = self.connection
            self.stream_writer = http.StreamWriter(connection, connection.loop)
        return self.stream_writer


def set_user_timeout(
    transport: asyncio.BaseTransport, ack_timeout_s: float
) -> None:
    """Let a connection break when what was sent is not acknowledged.

    Symptom without it: the other end has gone and its close was lost; what
    was asked for on the connection is done minutes later for nobody.
    """
    raw = transport.get_extra_info('socket')
    if raw is not None:
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(ack_timeout_s * 1000),
        )


Handle = typing.Callable[[Request], typing.Awaitable[bool]]
RequestPredicate = typing.Callable[[Request], bool]


class PipelinedRequest(typing.NamedTuple):
    """A request that runs before the answers in front of it are out.

    :param request: the request.
    :param task: answers it; returns whether another one may follow.
    """

    request: Request
    task: asyncio.Task


class Connection(protocol.Protocol):
    """One caller's connection.

    :param loop: the event loop.
    :param handle: answers a request; returns whether another may follow.
    :param refuse: answers what is no request, see ``errors.Malformed``.
    :param connections: all connections of the listener.
    :param bounds: what the caller may send.
    :param may_pipeline: tells whether a request may run before those in
        front of it are answered; None where none may.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: Handle,
        refuse: typing.Callable[['Connection', errors.Malformed], None],
        connections: set['Connection'],
        bounds: Bounds = DEFAULT_BOUNDS,
        may_pipeline: RequestPredicate | None = None,
    ) -> None:
        parser = http.HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=bounds.line_bytes,
            max_headers=MAX_HEADERS,
            max_field_size=bounds.line_bytes,
            auto_decompress=False,
            max_msg_queue_size=MAX_PIPELINED,
        )
        super().__init__(loop, parser)
        self.handle = handle
        self.refuse = refuse
        self.connections = connections
        self.bounds = bounds
        self.may_pipeline = may_pipeline
        # Whether the connection broke, rather than being closed.
        self.broken = False
        # Whether the caller ended it, in whichever way.
        self.closed_by_caller = False
        # Requests that were read and not begun, and when that was.
        self.queue: collections.deque = collections.deque()
        # Whether one is being answered now, and those that run pipelined of it.
        self.answering = False
        self.pipelined: collections.deque[PipelinedRequest] = (
            collections.deque()
        )
        self.content = streams.EMPTY_PAYLOAD
        # Why no further request can be read.
        self.error: errors.Malformed | None = None
        # Set while the task waits for a request.
        self.waiter: asyncio.Future | None = None
        self.head_started = False
        self.task: asyncio.Task | None = None

    # One task a connection, and one for each request that runs pipelined

    async def serve(self) -> None:
        """Answer the requests of this connection, one after another."""
        try:
            while self.pipelined or await self._wait_request():
                self.answering = True
                if not await self._answer_next():
                    break
                self.answering = False
            else:
                if self.error is not None:
                    self.refuse(self, self.error)
            await self._drain_body()
        except ConnectionError:
            # The caller has gone.
            pass
        finally:
            if self.transport is not None:
                self.transport.close()
            # What stands behind the last answer counts as not read.
            for pipelined in self.pipelined:
                pipelined.task.cancel()

    async def _answer_next(self) -> bool:
        """Answer the first request; return whether another may follow."""
        if self.pipelined:
            first = self.pipelined[0]
            first.request.release()
            keep_alive = await first.task
            self.pipelined.popleft()
            self._start_pipelined()
            return keep_alive
        # What came with the caller's close would run for nobody. The end of
        # a stream is read one turn after the bytes before it.
        await asyncio.sleep(0)
        if not self.open:
            return False
        request = self._take_request()
        self._start_pipelined()
        return await self.handle(request)

    def _take_request(self) -> Request:
        """Take the next request from the queue."""
        message, self.content, arrived = self.queue.popleft()
        self._resume_parser()
        return Request(message, self.content, self, arrived)

    def _start_pipelined(self) -> None:
        """Begin what may run before the requests in front are answered.

        One after the other, the last of a few requests that a caller sends
        at once would wait for the work of all others.
        """
        if self.may_pipeline is None:
            return
        while self.queue and len(self.pipelined) < MAX_PIPELINED:
            message, content, arrived = self.queue[0]
            request = Request(message, content, self, arrived)
            if not self.may_pipeline(request) or self._buffer_full():
                return
            self.queue.popleft()
            request.unsent = []
            task = self.loop.create_task(self._handle_pipelined(request))
            self.pipelined.append(PipelinedRequest(request, task))
            self._resume_parser()

    async def _handle_pipelined(self, request: Request) -> bool:
        # As above, a caller's close is seen a turn later than its requests.
        await asyncio.sleep(0)
        return self.open and await self.handle(request)

    def _buffer_full(self) -> bool:
        """Tell whether answers that wait take all the memory they may."""
        held = sum(
            len(data)
            for pipelined in self.pipelined
            for data in pipelined.request.unsent or ()
        )
        return held >= MAX_BUFFERED_BYTES

    async def _wait_request(self) -> bool:
        """Wait for a request; tell whether there is one."""
        if not self.queue and self.error is None:
            self.head_started = False
            self._set_timer(self.loop.time() + self.bounds.idle_s)
            self.waiter = self.loop.create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        return bool(self.queue)

    def _resume_parser(self) -> None:
        """Let the parser go on when it stopped at too many requests."""
        self._parser.message_consumed()
        if self.queue:
            return
        # It may have stopped without reading being paused: behind a long
        # body, one request less than the most stands in the queue then.
        self.data_received(b'')
        if self._buffer_paused and len(self.queue) < MAX_PIPELINED:
            self._resume_reading_for_buffer()

    async def _drain_body(self) -> None:
        """Read what is left of a body before closing.

        Closing with bytes unread makes the kernel reset the connection, and
        the caller may lose the answer that tells it why.
        """
        transport = self.transport
        if transport is None or self.content.is_eof():
            return
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                while not self.content.at_eof():
                    await self.content.readany()
        except (TimeoutError, errors.BodyError):
            pass

    @property
    def idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return self._awaiting_request() and not self.head_started

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
        if self.bounds.ack_timeout_s:
            set_user_timeout(transport, self.bounds.ack_timeout_s)
        self.connections.add(self)
        self.task = self.loop.create_task(self.serve())

    def data_received(self, data: bytes) -> None:
        """Take bytes of requests."""
        if self.error is not None:
            return
        messages = self._parse(data)
        if messages:
            now = self.loop.time()
            self.queue.extend((*message, now) for message in messages)
            if self.answering:
                self._start_pipelined()
            self._wake()
            if len(self.queue) >= MAX_PIPELINED and not self._buffer_paused:
                self._pause_reading_for_buffer()
        elif self.idle and data:
            self.head_started = True
            self._set_timer(self.loop.time() + self.bounds.head_s)

    def _parse(self, data: bytes) -> list:
        """Return the requests that bytes bring.

        The parser gets a head at a time: it drops all that it found in a
        piece when it meets an error there, and callers of good requests
        would hear nothing but that of what stands behind them.
        """
        messages: list = []
        try:
            while True:
                end = data.find(HEAD_END) + len(HEAD_END)
                if end < len(HEAD_END):
                    end = len(data)
                found, _upgraded, _tail = self._parser.feed_data(data[:end])
                messages.extend(found)
                data = data[end:]
                if not data:
                    break
        except Exception as error:
            if messages and not messages[-1][1].is_eof():
                # The error is in its body: it is no request, either.
                messages.pop()
            self._reject_input(errors.Malformed(error))
        return messages

    def eof_received(self) -> None:
        """Take note of the caller's close; ours follows."""
        self.closed_by_caller = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel what is being done for the caller."""
        super().connection_lost(exc)
        self.broken = exc is not None
        self.closed_by_caller = self.closed_by_caller or self.broken
        self.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        self._end_bodies(errors.BodyError('the caller has gone'))
        if self.task is not None:
            self.task.cancel()

    # What goes wrong

    def _reject_input(self, error: errors.Malformed) -> None:
        """Read no more: what follows can't be told apart."""
        self.error = error
        self._end_bodies(errors.BodyError(str(error)))
        self._wake()

    def _end_bodies(self, error: errors.BodyError) -> None:
        """End whoever reads a body of which no more will come."""
        contents = [content for _message, content, _at in self.queue]
        for content in (self.content, *contents):
            if not content.is_eof():
                content.set_exception(error)

    def _awaiting_request(self) -> bool:
        # The task stands at its wait for one more turn of the loop after a
        # request was read; closed in that turn, its caller hears nothing.
        return self.waiter is not None and not self.waiter.done()

    def _wake(self) -> None:
        if self._awaiting_request():
            self.waiter.set_result(None)

    # Time

    def _on_timer(self) -> None:
        self.timer = None
        if self.loop.time() < self.timer_until:
            self._set_timer(self.timer_until)
        elif self._awaiting_request() and self.transport is not None:
            self.transport.close()
