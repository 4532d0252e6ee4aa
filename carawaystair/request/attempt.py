"""One attempt at one upstream."""

import asyncio

import aiohttp
from aiohttp import http_exceptions

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import invariants
from carawaystair.request import answer as answers
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import connections
from carawaystair.request import headers
from carawaystair.request import target as targets

# Bodies up to this length are held until whole, so that another attempt
# can take the place of one that breaks; longer ones are streamed.
HOLD_BYTES = 128 * 1024
BROKEN = (aiohttp.ClientError, ConnectionError, OSError)


class Attempt:
    """One attempt; its answer is read by :meth:`answer`, once or again.

    :param call: the request.
    :param target: the upstream.
    :param extra: header lines of this attempt alone, such as a range.
    :param fresh: whether it must have a new connection; once it has one,
        whether that is new or was used a moment ago.
    """

    __slots__ = (
        'suspicion_timer',
        'call',
        'chunks',
        'connect_timeout_s',
        'connection',
        'recorded',
        'extra',
        'fresh',
        'message',
        'payload',
        'pump',
        'sent',
        'size',
        'started',
        'target',
    )

    def __init__(
        self,
        call: calls.Call,
        target: targets.Target,
        extra: bytes = b'',
        fresh: bool = False,
    ) -> None:
        self.call = call
        self.target = target
        self.extra = extra
        self.fresh = fresh
        self.connection: connections.Connection | None = None
        # Rings when the connection is to be doubted; set once the answer
        # is late.
        self.suspicion_timer: asyncio.TimerHandle | None = None
        self.message = None
        self.payload = None
        self.pump: bodies.Pump | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        # True from the moment before the first byte goes out.
        self.sent = False
        # True once its end was recorded as evidence.
        self.recorded = False
        self.started = clock.now()
        # How long opening a connection may take, seconds.
        self.connect_timeout_s = connections.CONNECT_TIMEOUT_S

    # Sending

    async def connect(self) -> None:
        """Get a connection; raises :class:`answers.Failed`."""
        now = self.started
        if not self.fresh:
            self.connection = connections.acquire(
                self.target, self.max_idle_s(), now
            )
        if self.connection is not None:
            self.fresh = (
                now - self.connection.last_used <= connections.RECENT_USE_S
            )
        else:
            self.fresh = True
            try:
                self.connection = await connections.connect(
                    self.target, self.call.deadline, self.connect_timeout_s
                )
            except OSError as error:
                # TimeoutError is one, too.
                raise answers.Failed(
                    interfaces.REFUSED,
                    codes.CONNECT_FAILED,
                    False,
                    str(error),
                ) from None
        self.connection.owner = self

    def max_idle_s(self) -> float:
        """Return how long the connection may have been idle, in seconds."""
        again = self.call.idempotent
        return connections.MAX_IDLE_S if again else connections.RECENT_USE_S

    def send(self) -> None:
        """Send the request; raises :class:`answers.Failed`."""
        call = self.call
        left_ms = int((call.deadline - clock.now()) * 1000)
        if left_ms <= 0:
            raise answers.Failed(
                interfaces.CANCELLED, codes.DEADLINE_EXPIRED, False
            )
        if self.is_leaving():
            # It began to leave while the connection was made.
            raise answers.Failed(
                interfaces.CANCELLED, codes.UPSTREAM_REFUSED, False, 'leaving'
            )
        proto = self.connection.proto
        proto.expect(call.method == 'HEAD')
        head = b'%b%b%b' % (
            call.head,
            self.extra,
            self.attempt_headers(left_ms),
        )
        if not proto.open:
            raise answers.Failed(
                interfaces.CANCELLED, codes.CONNECT_FAILED, False, 'recorded'
            )
        self.sent = True
        self.write(head)

    def write(self, head: bytes) -> None:
        """Write the request: its head, and its body or where that begins.

        :param head: all but the header that tells the length of the body.
        """
        call, transport = self.call, self.connection.proto.transport
        if call.body is None:
            self.pump = bodies.Pump(
                self.streamed_body(), self.connection.proto
            )
            transport.write(head + self.pump.framing())
            self.pump.start()
        elif call.body or call.method not in bodies.BODILESS_METHODS:
            transport.write(head + bodies.framing(len(call.body)) + call.body)
        else:
            transport.write(head + b'\r\n')

    def is_leaving(self) -> bool:
        """Tell whether the upstream takes no new work any more."""
        return self.target.upstream.state != interfaces.UP

    def attempt_headers(self, left_ms: int) -> bytes:
        """Return the header lines that change with every attempt.

        :param left_ms: time that is left for the request, ms.
        """
        return b'Caraway-Request-Id: %b\r\nCaraway-Deadline-Ms: %d\r\n' % (
            self.call.id.encode(),
            left_ms,
        )

    def streamed_body(self) -> bodies.Source:
        """Return the body, where it is not held here."""
        return bodies.source(self.call)

    # The end

    def release_connection(self, now: float) -> None:
        """Let the connection of an answer that was read whole go on."""
        if self.pump is not None and not self.pump.finished:
            # The answer came before the body was taken: what is left of the
            # body must not be read as another request.
            self.pump.task.cancel()
            self.connection.proto.abort()
        else:
            connections.release(self.connection, now)

    def abort(self) -> None:
        """Close the connection, doubtful or not."""
        if self.pump is not None and self.pump.task is not None:
            self.pump.task.cancel()
        if self.connection is not None:
            self.connection.proto.abort()

    # The answer

    async def answer(self, until: float) -> answers.Answer:
        """Return the answer, whole or, when it is long, its beginning.

        May be cancelled and called again: it goes on where it was.

        :param until: monotonic time at which to stop waiting.
        :raises answers.Failed: when there is none.
        :raises TimeoutError: when it is not here by then.
        """
        try:
            if self.message is None:
                await self._head(until)
            if self.payload.is_eof():
                return await self._body()
            async with asyncio.timeout_at(until):
                return await self._body()
        except TimeoutError:
            raise
        except http_exceptions.HttpProcessingError as error:
            raise self._failure(codes.ANSWER_MALFORMED, error) from None
        except BROKEN as error:
            raise self._failure(codes.ANSWER_LOST, error) from None

    def _failure(self, code: codes.Code, error: object) -> answers.Failed:
        refused = self.pump.refusal if self.pump is not None else None
        if refused is not None:
            # The caller's own body was at fault, and we cut the connection.
            return answers.Failed(
                interfaces.CANCELLED, refused.code, True, refused.detail
            )
        return answers.Failed(interfaces.BROKEN, code, True, str(error))

    async def _head(self, until: float) -> None:
        proto = self.connection.proto
        message, payload = await proto.head(until)
        while message.code < 200:
            self.check_interim(message)
            message, payload = await proto.head(until)
        self.check_request_id(message)
        self.message = message
        self.payload = payload

    def check_interim(self, message) -> None:
        """Take note of an answer that only precedes the real one."""
        if message.code == 101:
            # Nobody asked for another protocol.
            raise self._failure(codes.ANSWER_MALFORMED, 'unasked 101')

    def check_request_id(self, message) -> None:
        """Make sure that an answer belongs to this request.

        The upstream may have mixed up its answers, or answers late to a
        request that was given up: passed on, it would show one caller what
        belongs to another.
        """
        named = message.headers.get(headers.REQUEST_ID)
        if named is not None and named != self.call.id:
            raise self._failure(codes.ANSWER_FOREIGN, named)

    async def _body(self) -> answers.Answer:
        message = self.message
        if answers.has_no_body(message, self.call.method):
            return self._made(b'')
        length = self.length(message)
        if length is not None and length > HOLD_BYTES:
            return self._made(b'', self)
        payload = self.payload
        while not payload.at_eof():
            chunk = await payload.readany()
            self.chunks.append(chunk)
            self.size += len(chunk)
            if self.size > HOLD_BYTES:
                return self._made(b''.join(self.chunks), self)
        return self._made(b''.join(self.chunks))

    def length(self, message) -> int | None:
        """Return the declared length of an answer, None where it has none."""
        try:
            return answers.declared_length(message)
        except ValueError as error:
            both = message.chunked
            code = codes.ANSWER_MALFORMED if both else codes.ANSWER_UNBOUNDED
            raise self._failure(code, error) from None

    def _made(self, body: bytes, rest=None) -> answers.Answer:
        message = self.message
        owner = self.connection.owner
        invariants.check(
            invariants.OWN_ANSWER, owner is self, 'connection shared'
        )
        return answers.Answer(
            message.code,
            message.reason,
            message.raw_headers,
            headers.connection_value(message.headers),
            body,
            rest,
        )

    @property
    def silent(self) -> bool:
        """Tell whether it was sent and nothing at all has come back."""
        return self.sent and self.message is None

    @property
    def reused(self) -> bool:
        """Tell whether its connection has carried an answer before."""
        return self.connection is not None and self.connection.uses > 0
