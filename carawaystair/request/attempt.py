"""One attempt to get an answer from one upstream."""

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
from carawaystair.request import errors
from carawaystair.request import headers
from carawaystair.request import target as targets

# Bodies up to this length are buffered whole, so that a request can be retried
# when its answer breaks off; longer ones are streamed to the caller.
MAX_BUFFERED_BYTES = 128 * 1024
# Interim answers before the final one; a slow upstream may send some each
# second for minutes.
MAX_INTERIM_ANSWERS = 1000
CONNECTION_ERRORS = (aiohttp.ClientError, ConnectionError, OSError)


class Attempt:
    """One attempt; :meth:`answer` reads its answer and may be repeated.

    :param call: the request.
    :param target: the upstream.
    :param extra: header lines for this attempt only, such as a range.
    :param fresh: whether to open a new connection; after :meth:`connect`,
        whether the connection is new or was used within ``RECENT_USE_S``.
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
        'interim_count',
        'message',
        'payload',
        'pump',
        'sent',
        'size',
        'started',
        'target',
    )

    max_interim_answers: float = MAX_INTERIM_ANSWERS

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
        # Fires when the connection becomes suspect; set once the answer is
        # late.
        self.suspicion_timer: asyncio.TimerHandle | None = None
        self.message = None
        self.payload = None
        self.pump: bodies.Pump | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.interim_count = 0
        # True from just before the first byte is sent.
        self.sent = False
        # True once its outcome was reported as evidence.
        self.recorded = False
        self.started = clock.now()
        # Timeout for opening a connection, seconds.
        self.connect_timeout_s = connections.CONNECT_TIMEOUT_S

    # Sending

    async def connect(self) -> None:
        """Get a pooled or new connection.

        :raises answers.Failed: when none can be opened.
        """
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
                # Includes TimeoutError.
                raise answers.Failed(
                    interfaces.REFUSED,
                    codes.CONNECT_FAILED,
                    False,
                    str(error),
                ) from None
        self.connection.owner = self

    def max_idle_s(self) -> float:
        """Return how long a pooled connection may be idle, in seconds."""
        idempotent = self.call.idempotent
        return (
            connections.MAX_IDLE_S if idempotent else connections.RECENT_USE_S
        )

    def send(self) -> None:
        """Send the request.

        :raises answers.Failed: when it was not sent.
        """
        call = self.call
        left_ms = int((call.deadline - clock.now()) * 1000)
        if left_ms <= 0:
            raise answers.Failed(
                interfaces.CANCELLED, codes.DEADLINE_EXPIRED, False
            )
        if self.is_leaving():
            # It began to leave while the connection was opened.
            raise answers.Failed(
                interfaces.CANCELLED,
                codes.UPSTREAM_REFUSED,
                False,
                'leaving',
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
                interfaces.CANCELLED,
                codes.CONNECT_FAILED,
                False,
                'ended',
            )
        self.sent = True
        self.write(head)

    def write(self, head: bytes) -> None:
        """Write the request head and the body, or start to stream it.

        :param head: the head without the header that declares the body.
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
        """Return whether the upstream no longer accepts new requests."""
        return self.target.upstream.state != interfaces.UP

    def attempt_headers(self, left_ms: int) -> bytes:
        """Return the header lines that differ between attempts.

        :param left_ms: time until the deadline of the request, ms.
        """
        return b'Caraway-Request-Id: %b\r\nCaraway-Deadline-Ms: %d\r\n' % (
            self.call.id.encode(),
            left_ms,
        )

    def streamed_body(self) -> bodies.Source:
        """Return the body of a request that is streamed."""
        return bodies.source(self.call)

    # End

    def release_connection(self, now: float) -> None:
        """Return the connection to the pool after a complete answer."""
        if self.pump is not None and not self.pump.finished:
            # The answer arrived before the whole body was sent.  The rest of
            # the body must not be read as another request.
            self.pump.task.cancel()
            self.connection.proto.abort()
        else:
            connections.release(self.connection, now)

    def abort(self) -> None:
        """Abort the connection."""
        if self.pump is not None and self.pump.task is not None:
            self.pump.task.cancel()
        if self.connection is not None:
            self.connection.owner = None
            self.connection.proto.discard()

    # Answer

    async def answer(self, until: float) -> answers.Answer:
        """Return the complete answer, or the beginning of a long one.

        It may be cancelled and called again, and then continues to read.

        :param until: monotonic time at which to stop waiting.
        :raises answers.Failed: when the attempt failed.
        :raises TimeoutError: when the answer has not arrived by then.
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
            text = errors.describe(error)
            raise self._failure(codes.ANSWER_MALFORMED, text) from None
        except CONNECTION_ERRORS as error:
            text = errors.describe(error)
            raise self._failure(codes.ANSWER_LOST, text) from None

    def _failure(self, code: codes.Code, error: object) -> answers.Failed:
        refused = self.pump.refusal if self.pump is not None else None
        if refused is not None:
            # The caller's body was at fault, and this node aborted the
            # connection.
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
        """Check an interim answer (1xx), which precedes the final one."""
        if message.code == 101:
            # The request did not ask for an upgrade.
            raise self._failure(codes.ANSWER_MALFORMED, 'unasked 101')
        self.interim_count += 1
        if self.interim_count > self.max_interim_answers:
            detail = '%d interim answers' % self.interim_count
            raise self._failure(codes.ANSWER_MALFORMED, detail)

    def check_request_id(self, message) -> None:
        """Check that an answer belongs to this request.

        An upstream may mix up answers, or answer late a request that was
        given up.  Forwarding such an answer would disclose it to another
        caller.
        """
        named = message.headers.get(headers.REQUEST_ID)
        if named is not None and named != self.call.id:
            raise self._failure(codes.ANSWER_FOREIGN, named)

    async def _body(self) -> answers.Answer:
        message = self.message
        if answers.has_no_body(message, self.call.method):
            return self._build_answer(b'')
        length = self.length(message)
        if length is not None and length > MAX_BUFFERED_BYTES:
            return self._build_answer(b'', self)
        payload = self.payload
        while not payload.at_eof():
            chunk = await payload.readany()
            self.chunks.append(chunk)
            self.size += len(chunk)
            if self.size > MAX_BUFFERED_BYTES:
                start = b''.join(self.chunks)
                self.chunks.clear()
                return self._build_answer(start, self)
        return self._build_answer(b''.join(self.chunks))

    def length(self, message) -> int | None:
        """Return the declared length of an answer, None when chunked."""
        try:
            return answers.declared_length(message)
        except ValueError as error:
            chunked = message.chunked
            code = (
                codes.ANSWER_MALFORMED if chunked else codes.ANSWER_UNBOUNDED
            )
            raise self._failure(code, error) from None

    def _build_answer(self, body: bytes, rest=None) -> answers.Answer:
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
        """Return whether it was sent and no answer has begun to arrive."""
        return self.sent and self.message is None

    @property
    def reused(self) -> bool:
        """Return whether its connection has carried an answer before."""
        return self.connection is not None and self.connection.uses > 0
