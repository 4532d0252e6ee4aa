"""TCP in memory, for tests of HTTP in the virtual time of ``fakes``.

``PipeLoop`` makes connections between listeners and clients of one process
without sockets, so that aiohttp runs on both sides, hours of timeouts pass in
no time, and every run is the same.  Hosts can refuse, swallow connections
and lose track of those that are open.  The link of a host can have a rate:
what is written then waits for all that was written before it.
"""

import asyncio
import typing

from test import fakes

DELAY_S = 0.0002
# A timer may ring so much early.
TICK_S = 1e-6
HIGH_BYTES = 64 * 1024
LOW_BYTES = 16 * 1024
PIECE_BYTES = 64 * 1024


class Link:
    """The way out of one host, which all of its connections share.

    :param bytes_s: bytes a second.
    """

    def __init__(self, bytes_s: float) -> None:
        self.bytes_s = bytes_s
        self.free_at = 0.0

    def carry(self, size: int, now: float) -> float:
        """Return when bytes that are written now have left."""
        self.free_at = max(self.free_at, now) + size / self.bytes_s
        return self.free_at


class Pipe(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop, protocol, names: dict) -> None:
        super().__init__(names)
        self.loop = loop
        self.protocol = protocol
        self.peer: 'Pipe | None' = None
        self.queue: list = []
        self.queued = 0
        self.reading = True
        self.pumping = False
        self.closing = False
        self.lost = False
        self.ended = False
        self.full = False
        # Whether what is written here is lost for good.
        self.silent = False
        # How long what is written here is on its way, a reset too.
        self.delay_s = DELAY_S
        self.written = 0
        self.link: Link | None = None

    # What protocols call

    def write(self, data) -> None:
        if self.closing or self.lost or not data:
            return
        self.written += len(data)
        for start in range(0, len(data), PIECE_BYTES):
            self._queue(bytes(data[start : start + PIECE_BYTES]))

    def writelines(self, list_of_data) -> None:
        self.write(b''.join(list_of_data))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self.ended:
            self.ended = True
            self._queue(None)

    def close(self) -> None:
        if self.closing:
            return
        self.closing = True
        self.write_eof()
        self.loop.call_soon(self._lose_if_flushed)

    @property
    def held(self) -> bool:
        """Tell whether something stands here that the system did not take.

        It takes all that its other end reads, however long the way is.
        """
        return not self.peer.reading and any(self.queue)

    def _lose_if_flushed(self) -> None:
        # A closed transport goes on sending what is in its buffer.
        if self.closing and not self.held:
            self._lose(None)

    def abort(self) -> None:
        if self.lost:
            return
        self.closing = True
        if self.held:
            # What the system has not taken yet is thrown away.
            self.queue.clear()
        peer = self.peer
        if not self.silent:
            self.loop.call_later(
                self.delay_s, peer._lose, ConnectionResetError()
            )
        self.loop.call_soon(self._lose, None)

    def is_closing(self) -> bool:
        return self.closing

    def set_protocol(self, protocol) -> None:
        self.protocol = protocol

    def get_protocol(self):
        return self.protocol

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True
        self.peer._pump_soon()

    def is_reading(self) -> bool:
        return self.reading

    def get_write_buffer_size(self) -> int:
        return self.queued if self.held else 0

    # How bytes move

    def _queue(self, item) -> None:
        size, now = len(item or b''), self.loop.time()
        left_at = self.link.carry(size, now) if self.link else now
        self.queue.append((left_at, item))
        self.queued += size
        if self.queued > HIGH_BYTES and not self.full:
            self.full = True
            self.protocol.pause_writing()
        self._pump_soon()

    def _pump_soon(self) -> None:
        if not self.pumping:
            self.pumping = True
            self.loop.call_later(self.delay_s, self._pump)

    def _pump(self) -> None:
        self.pumping = False
        peer = self.peer
        taken = False
        while self.queue and (peer.reading or self.silent):
            left_at, item = self.queue[0]
            if left_at > self.loop.time() + TICK_S:
                self.pumping = True
                self.loop.call_at(left_at, self._pump)
                break
            if taken and item is None:
                # A real transport reads the end one turn after the bytes.
                self.pumping = True
                self.loop.call_soon(self._pump)
                break
            taken = True
            self.queue.pop(0)
            self.queued -= len(item or b'')
            if not self.silent and not peer.lost:
                peer._take(item)
        if self.full and self.queued <= LOW_BYTES and not self.lost:
            self.full = False
            self.protocol.resume_writing()
        self._lose_if_flushed()

    def _take(self, item) -> None:
        if item is not None:
            self.protocol.data_received(item)
        elif not self.protocol.eof_received():
            self.close()

    def _lose(self, error) -> None:
        if self.lost:
            return
        self.lost = True
        self.closing = True
        self.protocol.connection_lost(error)
        # As asyncio does, which keeps nothing of an ended connection.
        self.protocol = None


class Listener:
    """What ``create_server`` returns."""

    def __init__(self, network: 'PipeLoop', address: str) -> None:
        self.network = network
        self.address = address
        self.sockets = ()

    def close(self) -> None:
        """Stop listening."""
        self.network.listeners.pop(self.address, None)

    async def wait_closed(self) -> None:
        """Return at once."""


class PipeLoop(fakes.VirtualLoop):
    """A virtual loop with TCP in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[str, typing.Callable] = {}
        # Addresses that swallow connections without a word.
        self.swallowing: set[str] = set()
        # How long what a listener sends is on its way, by its address.
        self.queues: dict[str, float] = {}
        # The client's end of every connection that was ever made.
        self.made: list[Pipe] = []
        # Links by the port of a listener: that of its host, and that of the
        # hosts that connect to it.
        self.links: dict[int, Link] = {}
        self.callers_links: dict[int, Link] = {}

    async def create_server(
        self, protocol_factory, host=None, port=None, **options
    ):
        """Listen."""
        address = '%s:%d' % (host, port)
        self.listeners[address] = protocol_factory
        return Listener(self, address)

    async def create_connection(
        self, protocol_factory, host=None, port=None, **options
    ):
        """Connect to a listener."""
        address = '%s:%d' % (host, port)
        await asyncio.sleep(DELAY_S)
        if address in self.swallowing:
            await asyncio.Event().wait()
        if address not in self.listeners:
            raise ConnectionRefusedError(address)
        here = Pipe(self, protocol_factory(), {'peername': (host, port)})
        name = ('127.0.0.1', 50_000 + len(self.made))
        there = Pipe(self, self.listeners[address](), {'peername': name})
        here.peer, there.peer = there, here
        there.link = self.links.get(port)
        here.link = self.callers_links.get(port)
        self.made.append(here)
        there.delay_s = self.queues.get(address, DELAY_S)
        there.protocol.connection_made(there)
        if address in self.queues:
            # The answer to the handshake stands in the queue, too.
            await asyncio.sleep(there.delay_s)
        here.protocol.connection_made(here)
        return here, here.protocol

    def silence(self, port: int) -> int:
        """Let what is open to a port be lost, both ways; new ones work.

        :return: how many connections that were.
        """
        hit = self._open(port)
        for pipe in hit:
            pipe.silent = pipe.peer.silent = True
        return len(hit)

    def slow(self, port: int, delay_s: float) -> int:
        """Let what is sent to a port on open connections take long.

        :return: how many connections that were.
        """
        hit = self._open(port)
        for pipe in hit:
            pipe.delay_s = delay_s
        return len(hit)

    def queue(self, port: int, delay_s: float) -> None:
        """Let all that a port sends stand in a queue, also on new ones."""
        self.queues['127.0.0.1:%d' % port] = delay_s
        for pipe in self._open(port):
            pipe.peer.delay_s = delay_s

    def reset(self, port: int) -> int:
        """Reset what is open to a port, as both ends see it.

        :return: how many connections that were.
        """
        hit = self._open(port)
        for pipe in hit:
            pipe._lose(ConnectionResetError())
            pipe.peer._lose(ConnectionResetError())
        return len(hit)

    def _open(self, port: int) -> list[Pipe]:
        return [
            pipe
            for pipe in self.made
            if pipe.get_extra_info('peername')[1] == port and not pipe.lost
        ]


def run(coroutine: typing.Coroutine):
    """Run a coroutine to its end in virtual time, with TCP in memory."""
    with asyncio.Runner(loop_factory=PipeLoop) as runner:
        return runner.run(coroutine)
