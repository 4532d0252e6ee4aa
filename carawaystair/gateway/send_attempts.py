"""Attempts to send a request to an upstream or to another node's gateway."""

import asyncio
import math
import socket
import struct
import typing

import aiohttp
from aiohttp import http_exceptions
from aiohttp import streams

from carawaystair import clock
from carawaystair import codes
from carawaystair.gateway import hops
from carawaystair.gateway import pacer as pacers
from carawaystair.gateway import transit
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import attempt as attempts
from carawaystair.request import body as bodies
from carawaystair.request import call as calls
from carawaystair.request import connections
from carawaystair.request import http_server
from carawaystair.request import target as targets
from carawaystair import settings

# Data between two nodes must be acknowledged within this time, or the
# connection counts as lost, seconds.  A gateway sends interim answers every
# 0.3 s, so that it notices within 1.3 s that a sender has gone even if no end
# of the connection arrives; the operating system's default is minutes.
UNACKNOWLEDGED_TIMEOUT_S = 1.0
# Header of an answer whose gateway takes heartbeats, see ``back_pressure``,
# the heartbeat, and the interval in which a reader sends them, seconds.
HEARTBEATS = b'Caraway-Heartbeats'
HEARTBEAT = http_server.BLANK_LINE
HEARTBEAT_INTERVAL_S = 0.3
# The timeout for unacknowledged data while a long body is sent, seconds.  A
# gateway whose upstream reads slowly does not read, but sends interim answers.
BODY_TIMEOUT_S = 60.0
# Time in which a gateway must show a first sign of life; otherwise the request
# is resumed, seconds.  The sign takes hop_handler.FIRST_INTERIM_S and a round
# trip between data centres; resuming too early does no harm.
FIRST_SIGN_TIMEOUT_S = 0.15
MS = 1000
CONTINUE = 100
# Exceptions that mean that a connection broke.
CONNECTION_ERRORS = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
    OSError,
)
# Answers to other requests that are skipped on one connection.  An upstream
# that sends more has lost track of the connection.
MAX_FOREIGN_ANSWERS = 3
# Upstreams close idle connections after some seconds, and possibly earlier
# than they declare; one that was used this recently is usually still open.
MAX_IDLE_S = 4.0
# A gateway closes its side at once when the caller has left; if it does not
# do so within this time, the connection is aborted, seconds.
CLOSE_TIMEOUT_S = 1.0
# Value of SO_LINGER with which closing sends a reset and discards data that
# is not sent yet.
LINGER_RESET = struct.pack('ii', 1, 0)


class UpstreamAttempt(attempts.Attempt):
    """An attempt of the gateway to send a request to its upstream.

    :param call: the request; its head has the caller's headers only.
    :param target: the upstream.
    :param header_names: names of the fleet's headers.
    :param caller_service: the service on the host where the request began.
    :param customer: the customer whose key it brought, or ''.
    :param source: the source of the body if it is not buffered here.
    :param work_until: monotonic time until which an answer of the upstream
        can be passed on; infinite if no process on its way stops.
    """

    __slots__ = (
        'body_source',
        'caller_service',
        'customer',
        'foreign_count',
        'header_names',
        'release_slot',
        'work_until',
    )

    def __init__(
        self,
        call: calls.Call,
        target: targets.Target,
        header_names: settings.Headers,
        caller_service: str,
        customer: str = '',
        source: bodies.Source | None = None,
        work_until: float = math.inf,
    ) -> None:
        super().__init__(call, target)
        self.work_until = work_until
        self.header_names = header_names
        self.caller_service = caller_service
        self.customer = customer
        self.body_source = source
        self.foreign_count = 0
        # Releases the slot at the end of a long answer.
        self.release_slot: typing.Callable[[], None] | None = None

    def max_idle_s(self) -> float:
        """Return how long the connection may have been idle, seconds."""
        return min(super().max_idle_s(), MAX_IDLE_S)

    def attempt_headers(self, left_ms: int) -> bytes:
        """Return the fleet's headers for the upstream."""
        names = self.header_names
        work_ms = (self.work_until - clock.now()) * MS
        left_ms = int(max(min(left_ms, work_ms), 1))
        lines = '%s: %s\r\n%s: %d\r\n%s: %s\r\n%s: %s\r\n' % (
            names.request_id,
            self.call.id,
            names.deadline_ms,
            left_ms,
            names.upstream,
            self.target.upstream.id,
            names.caller_service,
            self.caller_service,
        )
        if self.customer:
            lines += '%s: %s\r\n' % (names.customer, self.customer)
        return lines.encode()

    def streamed_body(self) -> bodies.Source:
        """Return the source of a body that is not buffered here."""
        return self.body_source

    async def _head(self, until: float) -> None:
        """Wait for the head of the answer; skip answers to other requests.

        An upstream may answer the same request twice.  The second answer
        arrives where the next one is expected, and differs only in its id.
        """
        while True:
            proto = self.connection.proto
            message, payload = await proto.head(until)
            if message.code < 200:
                self.check_interim(message)
                continue
            named = message.headers.get(self.header_names.request_id)
            if named in (None, self.call.id):
                self.message, self.payload = message, payload
                return
            self.foreign_count += 1
            if self.foreign_count > MAX_FOREIGN_ANSWERS:
                raise self._failure(codes.ANSWER_FOREIGN, named)
            while not payload.at_eof():
                await payload.readany()

    def length(self, message) -> int | None:
        """Return the declared length of an answer.

        None also for an answer that ends with its connection.
        """
        if message.chunked or 'Content-Length' in message.headers:
            return super().length(message)
        return None


class GatewayAttempt(attempts.Attempt):
    """An attempt to send a request to another node's gateway.

    :param call: the request.
    :param target: the upstream, with the address of its gateway.
    :param hop: the hop header for the gateway.
    :param via_detour: whether the gateway is to forward it to another one.
    :param clock_offset: offset of the gateway's clock; None when the hop is
        that of another node, which has set the time of sending already.
    """

    __slots__ = (
        'accepted',
        'sent_at_ms',
        'clock_offset',
        'via_detour',
        'hop',
        'body_released',
        'first_sign_timeout_s',
        'head_bytes',
        'heartbeat_timer',
        'hop_bytes',
        'sign_count',
        'silences',
    )

    # They are its signs of life, for as long as a request takes.
    max_interim_answers = math.inf

    def __init__(
        self,
        call: calls.Call,
        target: targets.Target,
        hop: hops.Hop,
        fresh: bool = False,
        via_detour: bool = False,
        clock_offset: transit.ClockOffset | None = None,
    ) -> None:
        super().__init__(call, target, fresh=fresh)
        self.hop = hop
        self.via_detour = via_detour
        self.clock_offset = clock_offset
        # When it was sent, in this node's time, ms.
        self.sent_at_ms = 0
        # Whether the gateway has acknowledged the request, and whether the
        # body may be sent.
        self.accepted = False
        self.body_released = not hop.expects_continue
        self.sign_count = 0
        # Timeouts in a row without a sign of life.
        self.silences = 0
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        # Bytes of its head with the hop header, and of that header.
        self.head_bytes = 0
        self.hop_bytes = 0
        # How long to wait for the first sign of life, seconds.
        self.first_sign_timeout_s = FIRST_SIGN_TIMEOUT_S

    async def connect(self) -> None:
        """Get a connection.

        :raises answers.Failed: when none can be made.
        """
        self.connect_timeout_s = max(
            self.connect_timeout_s, self.first_sign_timeout_s
        )
        await super().connect()
        if not self.connection.uses:
            transport = self.connection.proto.transport
            _set_timeout(transport, UNACKNOWLEDGED_TIMEOUT_S)

    def attempt_headers(self, left_ms: int) -> bytes:
        """Return the hop header as of now."""
        hop = self.hop
        if self.clock_offset is not None:
            self.sent_at_ms = clock.uptime_ms()
            sent_ms = self.clock_offset.to_remote(self.sent_at_ms)
            hop = hop._replace(remaining_ms=left_ms, sent_ms=sent_ms)
        line = hops.header_line(hop)
        self.hop_bytes = len(line)
        return line

    def write(self, head: bytes) -> None:
        """Write the request; leave out a body that must be asked for."""
        self.head_bytes = len(head)
        if self.body_released:
            super().write(head)
            return
        call = self.call
        length = call.length if call.body is None else len(call.body)
        self.connection.proto.transport.write(head + bodies.framing(length))

    def send_body(self) -> None:
        """Send the body if it was not sent yet."""
        if self.body_released:
            return
        self.body_released = True
        body, proto = self.call.body, self.connection.proto
        throttle = self._throttle()
        if self.is_long:
            _set_timeout(proto.transport, BODY_TIMEOUT_S)
        if body is None:
            self.pump = pacers.Pump(self.streamed_body(), proto, throttle)
        elif throttle is pacers.UNTHROTTLED:
            proto.transport.write(body)
            return
        else:
            held = bodies.Source(
                streams.EMPTY_PAYLOAD, len(body), body, len(body)
            )
            self.pump = pacers.Pump(held, proto, throttle)
        self.pump.start()

    def drop_body(self) -> None:
        """Drop the bytes of a long body, unless they are being sent."""
        self.call = self.call._replace(body=None)
        if self.pump is not None and self.pump.finished:
            self.pump = None

    @property
    def is_long(self) -> bool:
        """Return whether the gateway may leave a part of the body unread."""
        body = self.call.body
        return body is None or len(body) > bodies.MAX_BUFFERED_BYTES

    def _throttle(self) -> pacers.Throttle:
        """Return the throttle for the body."""
        pacer = self.target.pacer
        if pacer is None:
            return pacers.UNTHROTTLED
        return pacer.throttle(self.target.upstream.host)

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have received the request.

        A request whose body was not sent does not reach it.
        """
        return self.sent and self.body_released

    @property
    def broken(self) -> bool:
        """Return whether the connection has failed."""
        return self.connection.proto.error is not None

    def release_connection(self, now: float) -> None:
        """Return the connection for reuse if the request was sent whole."""
        self._stop_heartbeats()
        transport = self.connection.proto.transport
        if not self.body_released:
            self.connection.proto.abort()
            return
        if self.is_long:
            _set_timeout(transport, UNACKNOWLEDGED_TIMEOUT_S)
        super().release_connection(now)

    def is_leaving(self) -> bool:
        """Return whether the gateway takes no more requests.

        A host whose own upstream is leaving can still forward requests, and
        a resumed request is not a new one.
        """
        if self.via_detour or self.hop.resumed:
            return False
        return super().is_leaving()

    async def wait_sign(self, until: float) -> bool:
        """Wait for a sign of life; return whether it is the final answer.

        :raises TimeoutError: when none arrives in time.
        """
        proto = self.connection.proto
        message, payload = await proto.head(until)
        if message.code < 200:
            self.check_interim(message)
            if message.code == CONTINUE:
                self.send_body()
            self.accepted = True
            self.sign_count += 1
            self.silences = 0
            return False
        self.message, self.payload = message, payload
        return True

    def length(self, message) -> int | None:
        """Return the declared length of an answer; None if it is chunked."""
        if message.chunked:
            return None
        return super().length(message)

    def start_heartbeats(self) -> None:
        """Send heartbeats until a long answer has arrived whole.

        A gateway that offers nothing is of an earlier version.  Before the
        end of the request's body, heartbeats would become a part of it.  Where
        the connection closes after the answer, one that comes late would make
        the gateway's system reset it.
        """
        if not self.body_released or self.message.should_close:
            return
        sent = self.pump is None or self.pump.finished
        if sent and HEARTBEATS.decode() in self.message.headers:
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        self.heartbeat_timer = None
        proto = self.connection.proto
        if self.payload.is_eof() or not proto.open:
            return
        proto.transport.write(HEARTBEAT)
        loop = asyncio.get_running_loop()
        self.heartbeat_timer = loop.call_later(
            HEARTBEAT_INTERVAL_S, self._send_heartbeat
        )

    def _stop_heartbeats(self) -> None:
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()

    def abort(self) -> None:
        """Abort the connection."""
        self._stop_heartbeats()
        super().abort()

    def abandon(self) -> None:
        """Close the connection, as nobody waits for the answer any more.

        The gateway distinguishes this from a connection that broke.
        """
        self._stop_heartbeats()
        if self.pump is not None and self.pump.task is not None:
            self.pump.task.cancel()
        if self.connection is None:
            return
        transport = self.connection.proto.transport
        if connections.half_close(self.connection) is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_TIMEOUT_S, transport.abort)

    def reset(self) -> None:
        """Reset the connection so that data in flight is discarded.

        During a network partition the request may not have arrived yet.  If
        the connection were closed in the usual way, it would arrive after the
        partition, long after its caller was given another outcome.
        """
        connection = self.connection
        transport = connection.proto.transport if connection else None
        if transport is not None:
            raw = transport.get_extra_info('socket')
            if raw is not None:
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
        self.abort()


def _set_timeout(transport, timeout_s: float) -> None:
    """Set the timeout for unacknowledged data, if the connection is open."""
    if transport is not None:
        http_server.set_user_timeout(transport, timeout_s)


async def send_for_answer(
    attempt: attempts.Attempt, until: float
) -> answers.Answer:
    """Connect, send and return the answer, or its beginning if it is long.

    :raises answers.Failed: when there is no answer in time.
    """
    try:
        await attempt.connect()
        attempt.send()
        answer = await attempt.answer(until)
    except TimeoutError:
        attempt.abort()
        raise answers.Failed(
            interfaces.TIMEOUT, codes.ANSWER_LATE, attempt.sent
        ) from None
    except BaseException:
        attempt.abort()
        raise
    if answer.rest is None:
        attempt.release_connection(clock.now())
    return answer
