"""Ways to addresses: loopback proxies that delay, cut, silence and reset.

One way stands before each address that other processes use.  A cut holds
bytes back, as a network does that loses packets of a connection: when it
heals they arrive late, unless their sender has reset the connection since.
Datagrams are lost for good.
"""

import asyncio
import contextlib
import math
import random
import socket
import struct
import typing

from carawaystair import clock

PIECE = 64 * 1024
# What passes a thin link at once takes so long, seconds.
PIECE_S = 0.01
# A link holds datagrams back for so long, seconds, and then loses them.
QUEUE_S = 1.0
# Closing with this sends a reset.
RESET = struct.pack('ii', 1, 0)
INWARD, OUTWARD = 'inward', 'outward'


class Spoil(typing.NamedTuple):
    """What is wrong with a way.

    :param delay_s: time for which bytes and datagrams are held back, s.
    :param loss: share of datagrams that is lost.
    :param cut: directions in which nothing passes: towards the address,
        away from it, or both.
    """

    delay_s: float = 0.0
    loss: float = 0.0
    cut: frozenset = frozenset()


SOUND = Spoil()


class Lane:
    """One direction of the link of a host, which its ways share.

    :param bytes_per_s: what passes; each byte waits for those before it.
    """

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0
        self.piece = int(min(bytes_per_s * PIECE_S, PIECE))

    def wait_s(self) -> float:
        """Return how long bytes wait that come now."""
        return max(self.free_at - clock.now(), 0.0)

    def take(self, size: int) -> float:
        """Return how long bytes need that come now."""
        need_s = self.wait_s() + size / self.bytes_per_s
        self.free_at = clock.now() + need_s
        return need_s

    def fill(self, for_s: float) -> None:
        """Let what comes wait for other traffic of the host, too."""
        self.free_at = clock.now() + self.wait_s() + for_s


class Lanes(typing.NamedTuple):
    """Both directions of the link of a host."""

    inward: Lane
    outward: Lane


def open_lanes(bytes_per_s: float = math.inf) -> Lanes:
    """Make the link of a host."""
    return Lanes(Lane(bytes_per_s), Lane(bytes_per_s))


class Link:
    """One connection through a way."""

    def __init__(self, ends: tuple) -> None:
        self.ends = ends
        self.silent = False

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.ends:
            raw = writer.transport.get_extra_info('socket')
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


class Way:
    """The way to one address.

    :param address: where it listens, ``ip:port``.
    :param target: where it leads.
    :param rng: draws which datagrams are lost.
    :param lanes: the link of its host; one that carries all by default.
    """

    def __init__(
        self,
        address: str,
        target: str,
        rng: random.Random,
        lanes: Lanes | None = None,
    ) -> None:
        self.address = address
        self.target = target
        self.rng = rng
        self.lanes = lanes or open_lanes()
        self.spoil = SOUND
        self.links: set[Link] = set()
        self.tasks: set[asyncio.Task] = set()
        self.healed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.endpoint: asyncio.DatagramTransport | None = None

    async def open(self, datagrams: bool = False) -> None:
        """Start to pass on what comes."""
        ip, port = _pair(self.address)
        self.server = await asyncio.start_server(self._accept, ip, port)
        if datagrams:
            loop = asyncio.get_running_loop()
            self.endpoint, _protocol = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self), local_addr=(ip, port)
            )

    async def close(self) -> None:
        """Stop, and reset what is open."""
        self.server.close()
        if self.endpoint is not None:
            self.endpoint.close()
        self.reset()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # Faults

    def set(self, spoil: Spoil) -> None:
        """Put a fault in force, or :data:`SOUND`."""
        self.spoil = spoil
        self.healed.set()
        self.healed = asyncio.Event()

    def reset(self) -> None:
        """Reset all connections that are open now."""
        for link in list(self.links):
            link.reset()

    def silence(self) -> None:
        """Let nothing more pass on the connections that are open now."""
        for link in self.links:
            link.silent = True

    def fill(self, for_s: float) -> None:
        """Fill the link of its host, in both directions."""
        for lane in self.lanes:
            lane.fill(for_s)

    # Connections

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)

    async def _connect(self, reader, writer) -> None:
        try:
            onward = await asyncio.open_connection(*_pair(self.target))
        except OSError:
            # Nobody listens there: the caller is to see just that.
            Link((writer,)).reset()
            return
        link = Link((writer, onward[1]))
        self.links.add(link)
        pumps = [
            asyncio.ensure_future(self._pump(link, reader, onward[1], INWARD)),
            asyncio.ensure_future(
                self._pump(link, onward[0], writer, OUTWARD)
            ),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            if any(pump.done() and pump.exception() for pump in pumps):
                link.reset()
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            for end in link.ends:
                end.close()
            self.links.discard(link)

    async def _pump(self, link, reader, writer, direction: str) -> None:
        """Pass bytes on until one end closes; a reset is raised."""
        lane = getattr(self.lanes, direction)
        while True:
            data = await reader.read(lane.piece)
            await asyncio.sleep(self.spoil.delay_s + lane.take(len(data)))
            while direction in self.spoil.cut:
                await self.healed.wait()
            if link.silent:
                await asyncio.Event().wait()
            if not data:
                return
            writer.write(data)
            await writer.drain()

    # Datagrams

    def datagram(self, data: bytes) -> None:
        """Pass one datagram on, unless it is lost."""
        spoil = self.spoil
        lane = self.lanes.inward
        lost = self.rng.random() < spoil.loss or lane.wait_s() > QUEUE_S
        if INWARD in spoil.cut or lost:
            return
        loop = asyncio.get_running_loop()
        wait_s = spoil.delay_s + lane.take(len(data))
        loop.call_later(wait_s, self._send, data)

    def _send(self, data: bytes) -> None:
        if not self.endpoint.is_closing():
            self.endpoint.sendto(data, _pair(self.target))


class _Datagrams(asyncio.DatagramProtocol):
    """Takes the datagrams of one way."""

    def __init__(self, way: Way) -> None:
        self.way = way

    def datagram_received(self, data: bytes, _sender) -> None:
        self.way.datagram(data)

    def error_received(self, _error) -> None:
        """Nobody listens there now; a datagram is lost."""


@contextlib.asynccontextmanager
async def opened(*ways: Way):
    """Run ways for as long as the block lasts."""
    for way in ways:
        await way.open()
    try:
        yield ways
    finally:
        for way in ways:
            await way.close()


def _pair(address: str) -> tuple[str, int]:
    ip, _colon, port = address.rpartition(':')
    return ip, int(port)
