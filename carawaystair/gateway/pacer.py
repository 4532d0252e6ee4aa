"""Lets long bodies go as fast as the link of this host carries them."""

import asyncio
import typing

from carawaystair import clock
from carawaystair.load import pacing
from carawaystair.request import body as bodies


class Throttle(typing.Protocol):
    """The way of one body to another node."""

    # What the link was asked for before this body; None where it did not
    # wait.
    ahead_s: float | None

    async def begin(self, size: int) -> None:
        """Wait until the first bytes may go.

        :param size: bytes at least.
        """

    def pieces(self, data: bytes) -> typing.AsyncIterator[bytes]:
        """Yield the pieces of some bytes, each when it may go."""

    def end(self) -> None:
        """Let go of what was not used."""


class Unthrottled:
    """A way that nothing binds."""

    ahead_s: float | None = None

    async def begin(self, size: int) -> None:
        """Return at once."""

    async def pieces(self, data: bytes) -> typing.AsyncIterator[bytes]:
        """Yield all bytes."""
        yield data

    def end(self) -> None:
        """Hold nothing."""


UNTHROTTLED = Unthrottled()


class LinkThrottle:
    """A way over the link.

    :param pacer: shares the link.
    """

    def __init__(self, pacer: 'Pacer') -> None:
        self.pacer = pacer
        # That of the body, once it has begun.
        self.place: pacing.QueuePosition | None = None
        # Bytes that may go now.
        self.room = 0
        self.ahead_s: float | None = None

    async def begin(self, size: int) -> None:
        """Wait until the first bytes may go."""
        if size > pacing.SHORT_BYTES:
            now = clock.now()
            self.ahead_s = self.pacer.link.backlog_s(now)
            self.place = self.pacer.link.queue_position(size, now)
            self.room = await self.pacer.turn(self.place, size)

    async def pieces(self, data: bytes) -> typing.AsyncIterator[bytes]:
        """Yield the pieces of some bytes, each when it may go."""
        place, self.place = self.place, None
        if place is None and len(data) <= pacing.SHORT_BYTES:
            yield data
            return
        if place is None:
            place = self.pacer.link.queue_position(len(data), clock.now())
        start = 0
        while start < len(data):
            if not self.room:
                self.room = await self.pacer.turn(place, len(data) - start)
            piece = data[start : start + self.room]
            start += len(piece)
            self.room -= len(piece)
            yield piece

    def end(self) -> None:
        """Give back what was not used."""
        self.pacer.link.refund(self.room)
        self.room = 0


class Pacer:
    """Shares the link of this host; one for each process.

    :param host: this host.
    :param mbps: what its link carries, Mbit/s; 0 where nothing is known.
    """

    def __init__(self, host: str, mbps: float) -> None:
        self.host = host
        self.link = pacing.PacedLink(mbps) if mbps else None
        self.futures: dict[int, asyncio.Future] = {}
        self.timer: asyncio.TimerHandle | None = None

    def way(self, host: str) -> Throttle:
        """Return the way of one body to a host."""
        if self.link is None or host == self.host:
            # What stays on this host does not cross its link.
            return UNTHROTTLED
        return LinkThrottle(self)

    async def turn(self, place: pacing.QueuePosition, size: int) -> int:
        """Wait for a turn; return how many bytes may go.

        :param place: that of the body.
        :param size: bytes that it has to send.
        """
        turn = self.link.enqueue(place, size)
        future = asyncio.get_running_loop().create_future()
        self.futures[turn.position.number] = future
        self._grant()
        try:
            return await future
        except asyncio.CancelledError:
            if future.cancelled():
                turn.cancelled = True
            else:
                self.link.refund(future.result())
                self._grant()
            raise
        finally:
            self.futures.pop(turn.position.number, None)

    def _grant(self) -> None:
        """Give turns as far as there is room; be back when there is more."""
        now = clock.now()
        while (turn := self.link.pop_due(now)) is not None:
            future = self.futures[turn.position.number]
            # One that was cancelled in this turn of the loop has not said
            # yet that it leaves.
            if not future.done():
                future.set_result(self.link.take_chunk(turn.size, now))
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.link.waiting:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.link.wait_s(now), self._grant)


class Pump(bodies.Pump):
    """Passes a body on to another node.

    :param source: the body.
    :param proto: the connection to that node.
    :param way: the way there.
    """

    def __init__(self, source: bodies.Source, proto, way: Throttle) -> None:
        super().__init__(source, proto)
        self.way = way

    async def run(self) -> None:
        """Pass the body on."""
        try:
            await super().run()
        finally:
            self.way.end()

    async def send(self, data: bytes) -> None:
        """Pass some bytes on, in pieces."""
        async for piece in self.way.pieces(data):
            await self.writer.write(piece)
            await self.writer.drain()
