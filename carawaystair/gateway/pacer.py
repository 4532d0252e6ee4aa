"""Paces long bodies to the bandwidth of this host's link."""

import asyncio
import typing

from carawaystair import clock
from carawaystair.load import pacing
from carawaystair.request import body as bodies


class Throttle(typing.Protocol):
    """Limits the rate at which one body is sent to another node."""

    # Backlog of the link before this body, seconds; None if the body was not
    # throttled.
    backlog_s: float | None

    async def wait_first(self, size: int) -> None:
        """Wait until the first bytes may be sent.

        :param size: minimum size of the body, bytes.
        """

    def chunks(self, data: bytes) -> typing.AsyncIterator[bytes]:
        """Yield data in chunks, each as soon as it may be sent."""

    def close(self) -> None:
        """Return unused bandwidth."""


class Unthrottled:
    """Sends at once, without a limit."""

    backlog_s: float | None = None

    async def wait_first(self, size: int) -> None:
        """Return at once."""

    async def chunks(self, data: bytes) -> typing.AsyncIterator[bytes]:
        """Yield all bytes."""
        yield data

    def close(self) -> None:
        """Do nothing."""


UNTHROTTLED = Unthrottled()


class LinkThrottle:
    """Sends when the link of this host has room.

    :param pacer: paces sending over the link.
    """

    def __init__(self, pacer: 'Pacer') -> None:
        self.pacer = pacer
        # Position of the body among those that share the link.
        self.position: pacing.QueuePosition | None = None
        # Bytes that may be sent now.
        self.granted_bytes = 0
        self.backlog_s: float | None = None

    async def wait_first(self, size: int) -> None:
        """Wait until the first bytes may be sent."""
        if size > pacing.SHORT_BYTES:
            now = clock.now()
            self.backlog_s = self.pacer.link.backlog_s(now)
            self.position = self.pacer.link.queue_position(size, now)
            self.granted_bytes = await self.pacer.wait_turn(
                self.position, size
            )

    async def chunks(self, data: bytes) -> typing.AsyncIterator[bytes]:
        """Yield data in chunks, each as soon as it may be sent."""
        position, self.position = self.position, None
        if position is None and len(data) <= pacing.SHORT_BYTES:
            yield data
            return
        if position is None:
            position = self.pacer.link.queue_position(len(data), clock.now())
        start = 0
        while start < len(data):
            if not self.granted_bytes:
                self.granted_bytes = await self.pacer.wait_turn(
                    position, len(data) - start
                )
            chunk = data[start : start + self.granted_bytes]
            start += len(chunk)
            self.granted_bytes -= len(chunk)
            yield chunk

    def close(self) -> None:
        """Return unused bandwidth."""
        self.pacer.link.refund(self.granted_bytes)
        self.granted_bytes = 0


class Pacer:
    """Shares the link of this host among bodies; one for each process.

    :param host: this host.
    :param mbps: bandwidth of its link, Mbit/s; 0 if unknown.
    """

    def __init__(self, host: str, mbps: float) -> None:
        self.host = host
        self.link = pacing.PacedLink(mbps) if mbps else None
        self.futures: dict[int, asyncio.Future] = {}
        self.timer: asyncio.TimerHandle | None = None

    def throttle(self, host: str) -> Throttle:
        """Return the throttle for one body that is sent to a host."""
        if self.link is None or host == self.host:
            # Traffic within this host does not use its link.
            return UNTHROTTLED
        return LinkThrottle(self)

    async def wait_turn(
        self, position: pacing.QueuePosition, size: int
    ) -> int:
        """Wait for a turn; return how many bytes may be sent.

        :param position: position of the body among those that share the link.
        :param size: bytes that are left to send.
        """
        queued = self.link.enqueue(position, size)
        future = asyncio.get_running_loop().create_future()
        self.futures[queued.position.number] = future
        self._grant_turns()
        try:
            return await future
        except asyncio.CancelledError:
            if future.cancelled():
                queued.cancelled = True
            else:
                self.link.refund(future.result())
                self._grant_turns()
            raise
        finally:
            self.futures.pop(queued.position.number, None)

    def _grant_turns(self) -> None:
        """Grant turns while the link has room, and schedule the next check."""
        now = clock.now()
        while (queued := self.link.pop_due(now)) is not None:
            future = self.futures[queued.position.number]
            # A waiter that was cancelled in this iteration of the event loop
            # has not marked its turn as left yet.
            if not future.done():
                future.set_result(self.link.take_chunk(queued.size, now))
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.link.waiting:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(
                self.link.wait_s(now), self._grant_turns
            )


class Pump(bodies.Pump):
    """Forwards a body to another node at the rate of the link.

    :param source: the body.
    :param proto: the connection to that node.
    :param throttle: limits the rate.
    """

    def __init__(
        self, source: bodies.Source, proto, throttle: Throttle
    ) -> None:
        super().__init__(source, proto)
        self.throttle = throttle

    async def run(self) -> None:
        """Forward the body."""
        try:
            await super().run()
        finally:
            self.throttle.close()

    async def send(self, data: bytes) -> None:
        """Forward some bytes, in chunks."""
        async for chunk in self.throttle.chunks(data):
            await self.writer.write(chunk)
            await self.writer.drain()
