"""The server side of an HTTP connection, over aiohttp's parser.

One task serves a connection, request after request.  aiohttp's own server
creates a task for every request, has no timeout for a head that arrives
slowly, and lets the reader of a malformed body wait for ever.
"""

import asyncio
import collections
import socket
import typing

from aiohttp import http
from aiohttp import streams

from carawaystair.load import input_slices
from carawaystair import logs
from carawaystair.request import errors
from carawaystair.request import protocol
from carawaystair.request import turns

# Bounds of a request head, which bound the memory of a connection whatever a
# caller sends.
MAX_LINE_BYTES = 8 * 1024
MAX_HEADERS = 100
MAX_HEAD_BYTES = 64 * 1024
# Bytes of blank lines that are skipped before a request.
MAX_BLANK_BYTES = 64
# Reading pauses when twice this much of a body is buffered.
READ_BUFFER_BYTES = 64 * 1024
# Requests that a caller may send before earlier ones are answered; reading
# pauses at this number.
MAX_PIPELINED = 8
# Memory on one connection for answers that wait for earlier ones.  While it is
# full, no further pipelined request is started.
MAX_BUFFERED_BYTES = 256 * 1024
# Texts of refusals.
ENDED = 'The connection has ended.'
LONG_HEAD = 'The head goes on beyond its bound.'
MANY_LINES = 'Too many blank lines before a request.'
# Time after which an idle connection is closed.
IDLE_TIMEOUT_S = 75.0
# A body of which nothing has arrived for this time is not on its way, seconds.
STALLED_S = 1.0
# Time in which a request head must arrive after its first byte.
HEAD_TIMEOUT_S = 10.0
MS = 1000
HEAD_END = b'\r\n\r\n'
# Blank lines before a request; between nodes, heartbeats of a reader.
BLANK_LINE = b'\r\n'
# How much of the rest of an unused body is read, and for how long, before the
# connection is closed, so that the caller can read its answer.
LINGER_BYTES = 4 * 1024 * 1024
LINGER_TIMEOUT_S = 2.0

MESSAGE = http.RawRequestMessage

LOG = logs.get('request')


class Bounds(typing.NamedTuple):
    """Bounds on what a caller may send, and how long it may take.

    :param line_bytes: bytes of one header line, or of the request line.
    :param head_s: time in which a head must arrive after its first byte,
        seconds.
    :param idle_s: time after which an idle connection is closed, seconds.
    :param ack_timeout_s: time after which a connection whose sent data is
        not acknowledged counts as lost, seconds; 0 leaves that to the
        system.
    :param head_bytes: bytes of a whole head.
    """

    line_bytes: int = MAX_LINE_BYTES
    head_s: float = HEAD_TIMEOUT_S
    idle_s: float = IDLE_TIMEOUT_S
    ack_timeout_s: float = 0.0
    head_bytes: int = MAX_HEAD_BYTES


DEFAULT_BOUNDS = Bounds()


class Place(typing.NamedTuple):
    """Where a request stands among those on its connection.

    :param number: counts the requests that were started, from 1.
    :param ahead: earlier requests that had no answer when it was started.
    :param pipelined: whether its answer waits for those of earlier requests.
    """

    number: int
    ahead: int
    pipelined: bool


class Request:
    """One request on a connection.

    :param message: its head.
    :param content: the reader of its body.
    :param connection: the connection that it arrived on.
    :param arrived: monotonic time at which its head was read.
    :param place: where it stands among the requests on its connection.
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
        'place',
        'raw_headers',
        'raw_path',
        'turn_waiter',
        'version',
        'whole_at',
    )

    def __init__(
        self,
        message: http.RawRequestMessage,
        content: streams.StreamReader,
        connection: 'Connection',
        arrived: float,
        place: Place,
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
        self.place = place
        # Monotonic time at which its last byte was read, None before that.
        self.whole_at: float | None = arrived
        if not content.is_eof():
            self.whole_at = None
            content.on_eof(self._end)
        self.stream_writer: http.StreamWriter | None = None
        # Buffered parts of the answer while earlier requests on the
        # connection are not answered; None once they may be written.
        self.unsent: list[bytes] | None = None
        # Set while a task waits for the earlier answers.
        self.turn_waiter: asyncio.Future | None = None

    def _end(self) -> None:
        """Note that its last byte was read."""
        self.whole_at = self.connection.loop.time()

    @property
    def whole_ms(self) -> int:
        """Return the time from its head to its last byte, ms.

        It is -1 while a part of its body is missing.
        """
        if self.whole_at is None:
            return -1
        return int((self.whole_at - self.arrived_at) * MS)

    def write(self, data: bytes) -> None:
        """Write to the caller, or buffer until earlier answers are written.

        :raises ConnectionResetError: when the caller has left.
        """
        if self.unsent is None:
            self.connection.write(data)
        else:
            self.unsent.append(data)

    def release(self) -> None:
        """Write the buffered answer, after all earlier ones."""
        buffered, self.unsent = self.unsent, None
        if buffered:
            self.connection.write(b''.join(buffered))
        if self.turn_waiter is not None:
            self.turn_waiter.set_result(None)

    async def wait_turn(self) -> None:
        """Wait until the earlier answers were written."""
        if self.unsent is not None:
            self.turn_waiter = asyncio.get_running_loop().create_future()
            await self.turn_waiter

    @property
    def writer(self) -> http.StreamWriter:
        """Return the writer for an answer whose body is streamed."""
        if self.stream_writer is None:
            connection = self.connection
            self.stream_writer = http.StreamWriter(connection, connection.loop)
        return self.stream_writer


def set_user_timeout(
    transport: asyncio.BaseTransport, ack_timeout_s: float
) -> None:
    """Abort a connection when sent data is not acknowledged in time.

    Without it, when the peer has left and its close was lost, a request on
    the connection may run minutes later although nobody waits for it.
    """
    raw = transport.get_extra_info('socket')
    if raw is not None:
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(ack_timeout_s * MS),
        )


class PeerWatch(typing.Protocol):
    """Watches a node that reads a long answer."""

    def heard(self) -> None:
        """Note a heartbeat."""

    def close(self) -> None:
        """Stop watching."""


Handle = typing.Callable[[Request], typing.Awaitable[bool]]
RequestPredicate = typing.Callable[[Request], bool]


class PipelinedRequest(typing.NamedTuple):
    """A request that runs before earlier ones are answered.

    :param request: the request.
    :param task: answers it; returns whether another one may follow.
    """

    request: Request
    task: asyncio.Task


class Connection(protocol.Protocol):
    """One caller's connection.

    :param loop: the event loop.
    :param handle: answers a request; returns whether another may follow.
    :param refuse: answers bytes that are not a valid request.
    :param connections: all connections of the listener.
    :param bounds: bounds on what the caller may send.
    :param may_pipeline: returns whether a request may run before earlier
        ones on the connection are answered; None if none may.
    :param input_turns: gives turns to parse what takes long, to all
        connections of a listener.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: Handle,
        refuse: typing.Callable[['Connection', errors.Malformed], None],
        connections: set['Connection'],
        bounds: Bounds = DEFAULT_BOUNDS,
        may_pipeline: RequestPredicate | None = None,
        input_turns: turns.Turns | None = None,
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
        self.turns = input_turns or turns.Turns()
        # What was received and not given to the parser yet, whether it waits
        # for a turn, and the end of what was given.
        self.unparsed = b''
        self.turn_awaited = False
        self.last_bytes = b''
        # Bytes of the head that is not complete, and of blank lines before.
        self.head_bytes = self.blank_bytes = 0
        # Whether the connection broke instead of being closed.
        self.broken = False
        # Whether the caller closed or broke the connection.
        self.closed_by_caller = False
        # Gets the heartbeats of a node that reads a long answer.
        self.peer_watch: PeerWatch | None = None
        # Requests that were read but not started, with their arrival times.
        self.queue: collections.deque = collections.deque()
        # Whether a request is being answered, and the later ones that run
        # at the same time.
        self.answering = False
        self.pipelined: collections.deque[PipelinedRequest] = (
            collections.deque()
        )
        # Requests that were started, and those that were answered.
        self.started = 0
        self.answered = 0
        self.content = streams.EMPTY_PAYLOAD
        # Since when it has been open or idle, and when it last sent anything.
        self.waiting_since = self.received_at = loop.time()
        # The error after which no further request can be read.
        self.error: errors.Malformed | None = None
        # Set while the task waits for a request.
        self.waiter: asyncio.Future | None = None
        self.head_started = False
        # The request that was read last, and whether a part of the next
        # head was received.
        self.last: tuple[MESSAGE, streams.StreamReader] | None = None
        self.next_begun = False
        self.task: asyncio.Task | None = None

    # Tasks: one for the connection, and one for each pipelined request

    async def serve(self) -> None:
        """Answer the requests of this connection, one after another."""
        try:
            while self.pipelined or await self._wait_request():
                self.answering = True
                if not await self._answer_next():
                    break
                self.answered += 1
                self.answering = False
            else:
                if self.error is not None:
                    self.refuse(self, self.error)
            await self._drain_body()
        except ConnectionError:
            # The caller has left.
            pass
        except Exception as error:
            LOG.error(
                'A connection was closed without an answer.',
                started=self.started,
                answered=self.answered,
                queued=len(self.queue),
                error=repr(error),
            )
        finally:
            if self.transport is not None:
                self.transport.close()
            # Requests after the last answered one count as not read.
            for pipelined in self.pipelined:
                pipelined.task.cancel()
            self._drop_input()

    async def _answer_next(self) -> bool:
        """Answer the first request; return whether another may follow."""
        if self.pipelined:
            first = self.pipelined[0]
            first.request.release()
            keep_alive = await first.task
            self.pipelined.popleft()
            self._start_pipelined()
            return keep_alive
        # Requests that arrive from now on are started as later ones, so this
        # one must not be in the queue any more.
        request = self._take_request()
        self._start_pipelined()
        # A request that arrived together with the caller's close must not
        # run.  The end of a stream is read one iteration of the event loop
        # after the bytes before it.
        await asyncio.sleep(0)
        return self.open and await self.handle(request)

    def is_last(self, request: Request) -> bool:
        """Return whether no later request of this connection was read."""
        if self.queue:
            return False
        return not self.pipelined or self.pipelined[-1].request is request

    def _take_request(self) -> Request:
        """Remove the next request from the queue and return it."""
        message, self.content, arrived = self.queue.popleft()
        place = self._place(False)
        self.started += 1
        self._resume_parser()
        return Request(message, self.content, self, arrived, place)

    def _place(self, pipelined: bool) -> Place:
        """Return the place of the first request in the queue."""
        ahead = self.started - self.answered
        return Place(self.started + 1, ahead, pipelined)

    def _start_pipelined(self) -> None:
        """Start the queued requests that may run concurrently.

        Otherwise, the last of several requests that a caller sends at once
        would wait until all others are answered.
        """
        if self.may_pipeline is None:
            return
        while self.queue and len(self.pipelined) < MAX_PIPELINED:
            message, content, arrived = self.queue[0]
            place = self._place(True)
            request = Request(message, content, self, arrived, place)
            if not self.may_pipeline(request) or self._buffer_full():
                return
            self.queue.popleft()
            self.started += 1
            request.unsent = []
            task = self.loop.create_task(self._handle_pipelined(request))
            self.pipelined.append(PipelinedRequest(request, task))
            self._resume_parser()

    async def _handle_pipelined(self, request: Request) -> bool:
        # As above, a caller's close is seen one iteration of the event loop
        # later than its requests.
        await asyncio.sleep(0)
        return self.open and await self.handle(request)

    def _buffer_full(self) -> bool:
        """Return whether waiting answers use up ``MAX_BUFFERED_BYTES``."""
        buffered = sum(
            len(data)
            for pipelined in self.pipelined
            for data in pipelined.request.unsent or ()
        )
        return buffered >= MAX_BUFFERED_BYTES

    async def _wait_request(self) -> bool:
        """Wait for a request; return whether there is one."""
        if not self.queue and self.error is None:
            self.head_started = False
            self.waiting_since = self.loop.time()
            self._set_timer(self.waiting_since + self.bounds.idle_s)
            self.waiter = self.loop.create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        return bool(self.queue)

    def _resume_parser(self) -> None:
        """Resume the parser if it paused at ``MAX_PIPELINED`` requests."""
        if self._parser is None:
            return
        self._parser.message_consumed()
        if self.queue:
            return
        # It may have paused while reading was not paused: after a long body,
        # the queue then has one request less than the maximum.
        self.data_received(b'')

    async def _drain_body(self) -> None:
        """Read the rest of a body before closing.

        Closing with unread bytes makes the kernel reset the connection, and
        the caller may lose the answer that explains the close.
        """
        transport = self.transport
        if transport is None or self.content.is_eof():
            return
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                read = 0
                while not self.content.at_eof() and read < LINGER_BYTES:
                    read += len(await self.content.readany())
                if not self.content.at_eof():
                    # What is not read stops a caller that sends on, and it
                    # can read its answer.
                    await self.loop.create_future()
        except (TimeoutError, errors.BodyError):
            pass
        except RuntimeError:
            # The task that sends the body on still reads it.
            await asyncio.sleep(LINGER_TIMEOUT_S)

    @property
    def idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._awaiting_request() and not self.head_started

    @property
    def served(self) -> bool:
        """Return whether a request was answered on it."""
        return self.answered > 0

    @property
    def busy(self) -> bool:
        """Return whether a request is being answered.

        One whose body does not arrive is not.
        """
        if not (self.answering or self.pipelined):
            return False
        if self.content.is_eof() or self._reading_paused:
            return True
        return self.loop.time() - self.received_at < STALLED_S

    def write(self, data: bytes) -> None:
        """Write to the caller.

        :raises ConnectionResetError: when the connection is closed.
        """
        if not self.open:
            raise ConnectionResetError('connection is closed')
        self.transport.write(data)

    # Callbacks from asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection."""
        super().connection_made(transport)
        if self.bounds.ack_timeout_s:
            set_user_timeout(transport, self.bounds.ack_timeout_s)
        self.connections.add(self)
        self.task = self.loop.create_task(self.serve())

    def data_received(self, data: bytes) -> None:
        """Parse received data and queue the requests in it.

        :param data: without any, what was received before is parsed on.
        """
        if self.error is not None or self._parser is None:
            return
        if self.peer_watch is not None and data[:2] == BLANK_LINE:
            data = self._take_heartbeats(data)
            if not data:
                return
        if not data:
            # The parser may have paused within what it was given.
            self._queue_messages(self._parse_piece(b''))
            if not (self.unparsed or self._buffer_paused):
                return
        else:
            self.received_at = self.loop.time()
        self.unparsed += data
        if not self.turn_awaited:
            self._parse_or_wait()

    def take_turn(self) -> None:
        """Parse a slice of what was received."""
        self.turn_awaited = False
        if self._parser is None or self.error is not None:
            self.unparsed = b''
            return
        size = input_slices.end(self.unparsed)
        rest, self.unparsed = self.unparsed[size:], self.unparsed[:size]
        self._parse_unparsed()
        self.unparsed += rest
        self._parse_or_wait()

    def _parse_or_wait(self) -> None:
        """Parse what was received, or wait for a turn if that takes long."""
        if input_slices.is_cheap(self.unparsed):
            self._parse_unparsed()
        elif not self._input_held():
            self.turn_awaited = True
            self.turns.wait(self)
        self._update_reading()

    def _update_reading(self) -> None:
        """Read no more while requests or received data wait."""
        hold = bool(self.unparsed) or len(self.queue) >= MAX_PIPELINED
        if hold and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif self._buffer_paused and not hold:
            self._resume_reading_for_buffer()

    def _input_held(self) -> bool:
        """Return whether received data has to wait for earlier requests."""
        full = len(self.queue) >= MAX_PIPELINED
        return full or self._reading_paused or self.error is not None

    def _queue_messages(self, messages: list) -> None:
        """Queue requests, and start those that may run now."""
        if messages:
            now = self.loop.time()
            self.queue.extend((*message, now) for message in messages)
            if self.answering:
                self._start_pipelined()
            self._wake()

    def _note_begun(self) -> None:
        """Note that a part of a head has arrived, if nothing else has."""
        if self.idle:
            self.head_started = True
            self._set_timer(self.loop.time() + self.bounds.head_s)

    def _take_heartbeats(self, data: bytes) -> bytes:
        """Take the heartbeats from the beginning of received data.

        Nodes send none before the end of a body, nor within a head.
        """
        if self.queue or self.unparsed or not self._between_requests:
            return data
        self.peer_watch.heard()
        return data.lstrip(BLANK_LINE)

    @property
    def _between_requests(self) -> bool:
        """Return whether no part of a head was parsed after the last body."""
        in_body = self.last is not None and not self.last[1].is_eof()
        return not (self.next_begun or in_body)

    def _feed(self, piece: bytes) -> list:
        """Return the requests whose heads are completed by some data."""
        in_body = self.last is not None and not self.last[1].is_eof()
        found, _upgraded, _tail = self._parser.feed_data(piece)
        if found:
            self.last, self.next_begun = found[-1], False
            self.head_bytes = self.blank_bytes = 0
        elif not in_body:
            # Blank lines before a head don't belong to it.
            self.next_begun = self.next_begun or bool(piece.strip(BLANK_LINE))
            self.head_bytes += len(piece)
            if self.head_bytes > self.bounds.head_bytes:
                raise errors.HeadTooLong(LONG_HEAD)
        return found

    def _piece_size(self, data: bytes) -> int:
        """Return how much of some data belongs to one head or body.

        A chunked body may end, like a head, wherever there is an empty line,
        which may have begun in what was parsed before.
        """
        if self.last is not None and not self.last[1].is_eof():
            message, body = self.last
            length = message.headers.get('Content-Length')
            if length is not None and not message.chunked:
                return max(int(length) - body.total_bytes, 1)
        before = self.last_bytes
        end = (before + data[: len(HEAD_END) - 1]).find(HEAD_END)
        if end >= 0:
            return end + len(HEAD_END) - len(before)
        end = data.find(HEAD_END)
        return len(data) if end < 0 else end + len(HEAD_END)

    def _parse_piece(self, piece: bytes) -> list:
        """Return the requests whose heads are completed by a piece.

        The parser gets one head at a time: at an error it discards all
        requests in the same piece of data, so that valid requests before
        the error would not be answered.
        """
        try:
            return self._feed(piece)
        except Exception as error:
            if self.queue and not self.queue[-1][1].is_eof():
                # The error is in the body of that request, which is invalid,
                # too.
                self.queue.pop()
            self._reject_input(errors.Malformed(error))
            return []

    def _skip_blank_lines(self, data: bytes) -> bytes:
        """Return some data without the blank lines before a request."""
        rest = data.lstrip(BLANK_LINE)
        self.blank_bytes += len(data) - len(rest)
        if self.blank_bytes > MAX_BLANK_BYTES:
            self._reject_input(errors.Malformed(errors.BlankLines(MANY_LINES)))
            return b''
        return rest

    def _parse_unparsed(self) -> None:
        """Parse what was received, as far as requests can be queued."""
        data, self.unparsed = self.unparsed, b''
        if not data:
            return
        while data and not self._input_held():
            if data[0] in BLANK_LINE and self._between_requests:
                data = self._skip_blank_lines(data)
                if not data:
                    break
            piece = data[: self._piece_size(data)]
            data = data[len(piece) :]
            self.last_bytes = piece[1 - len(HEAD_END) :]
            self._queue_messages(self._parse_piece(piece))
        if self.error is None:
            self.unparsed = data
            self._note_begun()

    def eof_received(self) -> None:
        """Note that the caller closed; asyncio then closes our side."""
        self.closed_by_caller = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests in progress on the connection."""
        super().connection_lost(exc)
        # It refers to this connection, which would keep what it holds until
        # the next collection of garbage.
        self._parser = None
        self.broken = exc is not None
        self.closed_by_caller = self.closed_by_caller or self.broken
        self.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        self._end_bodies(errors.BodyError('connection was closed'))
        if self.task is not None:
            self.task.cancel()

    # Errors

    def _reject_input(self, error: errors.Malformed) -> None:
        """Stop reading: no further request can be recognised."""
        self.error = error
        self._end_bodies(errors.BodyError(str(error)))
        self._wake()

    def _end_bodies(self, error: errors.BodyError) -> None:
        """Raise an error in the readers of incomplete bodies."""
        contents = [content for _message, content, _at in self.queue]
        for content in (self.content, *contents):
            if not content.is_eof():
                content.set_exception(error)

    def _drop_input(self) -> None:
        """Drop what was received and not used.

        Readers of bodies and a cancelled task refer to their connection,
        which would keep them until the next collection of garbage.
        """
        self.task = None
        self._end_bodies(errors.BodyError(ENDED))
        self.queue.clear()
        self.pipelined.clear()
        self.unparsed = self.last_bytes = b''
        self.content, self.last = streams.EMPTY_PAYLOAD, None
        self.error = self.error or errors.Malformed(errors.BodyError(ENDED))

    def _awaiting_request(self) -> bool:
        # After a request was read, the task is still waiting for one more
        # iteration of the event loop.  If the connection counted as idle
        # then, it could be closed without an answer.
        return self.waiter is not None and not self.waiter.done()

    def _wake(self) -> None:
        if self._awaiting_request():
            self.waiter.set_result(None)

    # Timer

    def _on_timer(self) -> None:
        self.timer = None
        if self.loop.time() < self.timer_until:
            self._set_timer(self.timer_until)
        elif self._awaiting_request() and self.transport is not None:
            self.transport.close()
