"""One send of a request: to another node's gateway, or to an upstream."""

import asyncio
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

# Between two nodes, what was sent is acknowledged within this time, or the
# connection is lost, seconds.  A gateway sends a sign every 0.3 s, so that a
# sender that has gone without its close arriving shows within 1.3 s; the
# system's own patience is minutes.
SILENCE_S = 1.0
# A gateway that has not shown within this time that it has a request is
# asked again, seconds.  It shows it after FIRST_SIGN_S and a round trip
# between data centres; asking it twice does no harm.
SIGN_S = 0.15
CONTINUE = 100
# What breaks a connection.
BROKEN = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
    OSError,
)
# Foreign answers that are passed over on one connection.  An upstream that
# sends more has lost track of its connection.
MOST_FOREIGN = 3
# Upstreams close connections that were idle for some seconds, and may do so
# sooner than they say; one that was used so lately is sound as a rule.
IDLE_S = 4.0
# A gateway closes its end at once when it hears that a caller has left; one
# that has not after so long is cut off, seconds.
PART_S = 1.0
# Closing with this sends a reset, which also takes back the bytes that are
# still on their way.
RESET = struct.pack('ii', 1, 0)


class UpstreamAttempt(attempts.Attempt):
    """A request on its way from the gateway to its upstream.

    :param call: the request, whose head has the callers' headers only.
    :param target: the upstream.
    :param names: names of headers.
    :param caller_service: the service on the host where it began.
    :param source: its body where that is not held here.
    """

    __slots__ = (
        'body_source',
        'caller_service',
        'claimed',
        'foreign',
        'names',
        'release',
    )

    def __init__(
        self,
        call: calls.Call,
        target: targets.Target,
        names: settings.Headers,
        caller_service: str,
        source: bodies.Source | None = None,
    ) -> None:
        super().__init__(call, target)
        self.names = names
        self.caller_service = caller_service
        self.body_source = source
        self.foreign = 0
        # Whether somebody passes its long answer on.
        self.claimed = False
        # Gives the slot back once a long answer has passed.
        self.release: typing.Callable[[], None] | None = None

    def max_idle_s(self) -> float:
        """Return how long the connection may have been idle, in seconds."""
        return min(super().max_idle_s(), IDLE_S)

    def attempt_headers(self, left_ms: int) -> bytes:
        """Return what the upstream is told beside the caller's headers."""
        names = self.names
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
        return lines.encode()

    def streamed_body(self) -> bodies.Source:
        """Return the body that is not held here."""
        return self.body_source

    async def _head(self, until: float) -> None:
        """Wait for the answer; pass over those to earlier requests.

        An upstream may send a second answer to a request that it has
        answered.  It arrives where the next answer is expected, and only its
        id tells.
        """
        while True:
            proto = self.connection.proto
            message, payload = await proto.head(until)
            if message.code < 200:
                self.check_interim(message)
                continue
            named = message.headers.get(self.names.request_id)
            if named in (None, self.call.id):
                self.message, self.payload = message, payload
                return
            self.foreign += 1
            if self.foreign > MOST_FOREIGN:
                raise self._failure(codes.ANSWER_FOREIGN, named)
            while not payload.at_eof():
                await payload.readany()

    def length(self, message) -> int | None:
        """Return the declared length; None for an answer that ends with its
        connection, too.
        """
        if message.chunked or 'Content-Length' in message.headers:
            return super().length(message)
        return None


class GatewayAttempt(attempts.Attempt):
    """A request on its way to another node's gateway.

    :param call: the request.
    :param target: the upstream, whose address is that of its gateway.
    :param hop: what the gateway is told.
    :param helper: whether that gateway only passes it on to another one.
    :param gateway_clock: that of the gateway; None when the hop is another
        node's, and says already when it was sent.
    """

    __slots__ = (
        'accepted',
        'asked_ms',
        'gateway_clock',
        'helper',
        'hop',
        'proceeds',
        'sign_s',
        'signs',
    )

    def __init__(
        self,
        call: calls.Call,
        target: targets.Target,
        hop: hops.Hop,
        fresh: bool = False,
        helper: bool = False,
        gateway_clock: transit.ClockOffset | None = None,
    ) -> None:
        super().__init__(call, target, fresh=fresh)
        self.hop = hop
        self.helper = helper
        self.gateway_clock = gateway_clock
        # When it was sent, in this node's time.
        self.asked_ms = 0
        # Whether the gateway has said that it has the request, and whether
        # its body may go out.
        self.accepted = False
        self.proceeds = not hop.asks
        self.signs = 0
        # How long it waits for the first one, seconds.
        self.sign_s = SIGN_S

    async def connect(self) -> None:
        """Get a connection; raises :class:`answers.Failed`."""
        self.connect_timeout_s = max(self.connect_timeout_s, self.sign_s)
        await super().connect()
        transport = self.connection.proto.transport
        if transport is not None and not self.connection.uses:
            http_server.set_user_timeout(transport, SILENCE_S)

    def attempt_headers(self, left_ms: int) -> bytes:
        """Return the hop as it is in this moment."""
        if self.gateway_clock is None:
            return hops.line(self.hop)
        self.asked_ms = clock.uptime_ms()
        sent_ms = self.gateway_clock.to_remote(self.asked_ms)
        return hops.line(self.hop._replace(left_ms=left_ms, sent_ms=sent_ms))

    def write(self, head: bytes) -> None:
        """Write the request, but for a body that waits to be asked for."""
        if self.proceeds:
            super().write(head)
            return
        call = self.call
        length = call.length if call.body is None else len(call.body)
        self.connection.proto.transport.write(head + bodies.framing(length))

    def proceed(self) -> None:
        """Send the body, if it has not gone out."""
        if self.proceeds:
            return
        self.proceeds = True
        body, proto = self.call.body, self.connection.proto
        way = self._way()
        if body is None:
            self.pump = pacers.Pump(self.streamed_body(), proto, way)
        elif way is pacers.UNTHROTTLED:
            proto.transport.write(body)
            return
        else:
            held = bodies.Source(
                streams.EMPTY_PAYLOAD, len(body), body, len(body)
            )
            self.pump = pacers.Pump(held, proto, way)
        self.pump.start()

    def _way(self) -> pacers.Throttle:
        """Return the way of its body."""
        pacer = self.target.pacer
        if pacer is None:
            return pacers.UNTHROTTLED
        return pacer.way(self.target.upstream.host)

    @property
    def may_run(self) -> bool:
        """Tell whether the upstream may have got the request.

        It gets none whose body has not begun to come.
        """
        return self.sent and self.proceeds

    @property
    def broken(self) -> bool:
        """Tell whether nothing more can come on its connection."""
        return self.connection.proto.error is not None

    def release_connection(self, now: float) -> None:
        """Let the connection go on, if all that its head says was sent."""
        if self.proceeds:
            super().release_connection(now)
        else:
            self.connection.proto.abort()

    def is_leaving(self) -> bool:
        """Tell whether the upstream takes no new work any more.

        A host whose own upstream leaves can still pass requests on, and what
        is asked for again is no new work.
        """
        if self.helper or self.hop.again:
            return False
        return super().is_leaving()

    async def sign(self, until: float) -> bool:
        """Wait for the next sign of life; tell whether it is the answer.

        :raises TimeoutError: when none comes.
        """
        proto = self.connection.proto
        message, payload = await proto.head(until)
        if message.code < 200:
            self.check_interim(message)
            if message.code == CONTINUE:
                self.proceed()
            self.accepted = True
            self.signs += 1
            return False
        self.message, self.payload = message, payload
        return True

    def length(self, message) -> int | None:
        """Return the declared length, None for chunks."""
        if message.chunked:
            return None
        return super().length(message)

    def leave(self) -> None:
        """Tell the gateway that nobody waits any more.

        It takes a closed connection for that, a broken one for an accident.
        """
        if self.pump is not None and self.pump.task is not None:
            self.pump.task.cancel()
        if self.connection is None:
            return
        transport = self.connection.proto.transport
        if connections.half_close(self.connection) is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(PART_S, transport.abort)

    def take_back(self) -> None:
        """Break the connection so that what was sent on it is lost.

        Behind a cut, the request may not have arrived yet.  Were the
        connection closed in the normal way, it would arrive when the cut
        heals, long after its caller was told something else.
        """
        connection = self.connection
        transport = connection.proto.transport if connection else None
        if transport is not None:
            raw = transport.get_extra_info('socket')
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.abort()


async def answer_of(attempt: attempts.Attempt, until: float) -> answers.Answer:
    """Connect, send and return the answer, whole or its beginning.

    :raises answers.Failed: when there is none; a late one, too.
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
