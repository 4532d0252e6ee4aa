"""Messages between processes over pyzmq.

Each process binds a ROUTER socket, one for each key that it accepts, and
connects one DEALER socket for each peer that it talks to.  An answer returns
on the connection of its question.
"""

import asyncio
import functools
import itertools
import typing

import expression
import mode
import zmq
import zmq.asyncio

from carawaystair import clock
from carawaystair import codes
from carawaystair import curve
from carawaystair import keys
from carawaystair import logs
from carawaystair import sockets
from carawaystair import timeline
from carawaystair import traffic
from carawaystair import wire

# Messages waiting for one peer; more are dropped, since a peer that is gone
# must cost bounded memory.
QUEUE = 500
# Longest message that processes other than control hosts are sent first.
# Whoever can connect makes the system hold as much for each connection.
MAX_BYTES = 256 * 1024
# Questions being answered at once; more are dropped and counted.
MAX_HANDLERS = 2000
# A link without a message for so long is closed, so that a node keeps open
# only the links that it uses: pings of some seconds cost as much as opening
# it again.
IDLE_S = 15.0
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
# What stands between two ends may lose track of an open connection, or the
# other host may have lost its power: neither shows by itself.  Pings every
# HEARTBEAT_MS show it after HEARTBEAT_TIMEOUT_MS, well below the time within
# which a change must be everywhere.  Only the end that connected sends them,
# and each tells the other end how long to wait for the next one: pings both
# ways would wake both processes twice as often and show no more.
HEARTBEAT_MS = 700
HEARTBEAT_TIMEOUT_MS = 1500
# An attempt to connect to a host that does not answer is given up so soon.
# The system would repeat it ever more rarely, and be seconds late when the
# host is back.
CONNECT_TIMEOUT_MS = 1000
# A link without any answer for so long, though questions were asked, is
# opened anew: the library never tries again after a listener refused it,
# which happens to the links that meet a key which is being dropped.
RENEW_S = 1.0
# After a change of keys a link still takes the answers that are on the way.
RETIRE_S = 10.0
# At most one log line in this time about strangers, who must not be able to
# fill the disk.
LOG_EVERY_S = 1.0

LOG = logs.get('links')


class Peer(typing.NamedTuple):
    """The sending side of a link.

    :param reader: its DEALER socket.
    :param used: one-element list with the monotonic time of last use.
    :param heard: one-element list with the monotonic time of the last
        answer, or of the opening.
    """

    reader: sockets.Reader
    used: list
    heard: list


class Door(typing.NamedTuple):
    """A listening side of the links, for the holders of one key.

    :param reader: its ROUTER socket.
    :param task: the task that counts strangers, if any are refused.
    """

    reader: sockets.Reader
    task: asyncio.Task | None


class Links(mode.Service):
    """The messages of one process, see ``interfaces.Transport``.

    :param address: ``ip:port`` at which others reach this process.
    :param hybrid: the clock that travels with every message.
    :param held: keys of the fleet; the first connects, any is accepted.
        Empty for links that are neither encrypted nor checked.
    :param bind: ``ip:port`` to bind where that is another one.
    :param max_bytes: longest message that others may send first; a
        connection with a longer one is closed.
    """

    def __init__(
        self,
        address: str,
        hybrid: timeline.HybridClock | None = None,
        held: typing.Sequence[keys.Key] = (),
        bind: str = '',
        max_bytes: int = wire.MAX_BYTES,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.max_bytes = max_bytes
        self.address = address
        self.bind = bind or address
        self.hybrid = hybrid or timeline.HybridClock()
        self.keys = tuple(held)
        self.context = zmq.asyncio.Context()
        self.gatekeeper = curve.Gatekeeper(self.context)
        self.doors: dict[str, Door] = {}
        self.retired: list[Peer] = []
        self.peers: dict[str, Peer] = {}
        self.handlers: dict[type, typing.Callable] = {}
        self.pending: dict[int, asyncio.Future] = {}
        self.calls = itertools.count(1)
        self.running: set[asyncio.Task] = set()
        self.dropped = 0
        self.refused = 0
        self.strangers = 0
        self.logged = 0.0
        self.sent = 0
        self.sent_bytes = 0
        self.traffic = traffic.Traffic()

    async def on_start(self) -> None:
        """Listen.

        :raises OSError: when the address cannot be bound.
        """
        if not self.keys:
            self._open_door(None)
            return
        curve.check_free(self.bind)
        self.gatekeeper.start()
        for key in self.keys:
            self.gatekeeper.admit(key)
            self._open_door(key)

    async def on_stop(self) -> None:
        """Close every socket; what still waits is dropped."""
        for address in list(self.peers):
            self._close(self.peers.pop(address))
        while self.retired:
            self._close(self.retired.pop())
        for task in list(self.running):
            task.cancel()
        for future in self.pending.values():
            future.cancel()
        for name in list(self.doors):
            await self._close_door(name)
        if self.keys:
            self.gatekeeper.stop()
        self.context.term()

    async def use(self, held: typing.Sequence[keys.Key]) -> None:
        """Take other keys, without a stop.

        Links that are open go over to the first key.  A key that is no
        longer held makes no new link; those made with it are cut when the
        answers on the way are in.

        :param held: as for the constructor, not empty, and only where the
            links had keys before.
        """
        moved = self.keys[0].id != held[0].id
        dropped = [key for key in self.keys if key not in held]
        self.keys = tuple(held)
        for key in held:
            self.gatekeeper.admit(key)
            if key.id not in self.doors:
                self._open_door(key)
        for key in dropped:
            self.gatekeeper.dismiss(key)
            self.add_future(self._close_unheld(key.id))
        if moved:
            for address in list(self.peers):
                self.add_future(self._retire(self.peers.pop(address)))

    def handle(self, kind: type, handler: typing.Callable) -> None:
        """Give messages of ``kind`` to ``await handler(sender, message)``."""
        self.handlers[kind] = handler

    def send(self, to: str, message) -> None:
        """Send a one-way message; drops it when the queue is full."""
        data = wire.encode(message, self.address, 0, False, self._t())
        self._send(to, data, type(message))

    async def call(
        self, to: str, message, timeout_s: float
    ) -> expression.Result[typing.Any, codes.Failure]:
        """Send a question and wait for its answer."""
        call = next(self.calls)
        future = asyncio.get_running_loop().create_future()
        self.pending[call] = future
        data = wire.encode(message, self.address, call, False, self._t())
        until = clock.now() + timeout_s
        asked = self._send(to, data, type(message))
        try:
            while not await self._settled(future, until):
                self._renew_silent(to)
                if self.peers.get(to) is not asked:
                    # It may have been lost with that link, or never have
                    # left it: one that was retired while it was being made
                    # gets no further once its key is dropped.
                    asked = self._send(to, data, type(message))
                if clock.now() >= until:
                    return codes.fail(codes.PEER_SILENT, to)
            return expression.Ok(future.result())
        finally:
            self.pending.pop(call, None)

    async def _settled(self, future: asyncio.Future, until: float) -> bool:
        """Wait for an answer, but no longer than a link may be silent."""
        wait_s = min(RENEW_S, until - clock.now())
        done, _waiting = await asyncio.wait((future,), timeout=wait_s)
        return bool(done)

    def _renew_silent(self, address: str) -> None:
        """Close a link on which nothing came for long.

        A question that was asked on it may have been lost, or its answer
        may: whoever waits for it asks again on the new one, which does no
        harm since messages may always be doubled.
        """
        peer = self.peers.get(address)
        if peer is not None and clock.now() - peer.heard[0] >= RENEW_S:
            self._close(self.peers.pop(address))

    def _open_door(self, key: keys.Key | None) -> None:
        """Listen for the holders of ``key``, or for anyone."""
        router = self._socket(zmq.ROUTER)
        router.linger = 0
        router.sndhwm = router.rcvhwm = QUEUE
        router.setsockopt(zmq.MAXMSGSIZE, self.max_bytes)
        router.setsockopt(zmq.TCP_MAXRT, HEARTBEAT_TIMEOUT_MS)
        try:
            if key is None:
                router.bind('tcp://%s' % self.bind)
            else:
                curve.serve(router, key, self.bind)
        except (zmq.ZMQError, OSError) as error:
            router.close(0)
            raise OSError('%s: %s' % (self.bind, error)) from error
        task = None
        if key is not None:
            task = self._supervised(curve.watch(router, self._stranger))
        reader = sockets.Reader(router, self._received, self._failed)
        self.doors[key.id if key else ''] = Door(reader, task)

    def _socket(self, kind: int) -> zmq.Socket:
        """Return a socket that knows nothing of asyncio."""
        return self.context.socket(kind, socket_class=zmq.Socket)

    def _supervised(self, work: typing.Coroutine) -> asyncio.Task:
        """Run something whose crash ends the process."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._failed(task.exception())

    def _failed(self, error: BaseException) -> None:
        """End the process: it would hear nobody, and never know."""
        self.add_future(self.crash(error))

    async def _close_door(self, name: str) -> None:
        door = self.doors.pop(name)
        if door.task is not None:
            door.task.cancel()
            await asyncio.gather(door.task, return_exceptions=True)
        door.reader.close()

    async def _close_unheld(self, name: str) -> None:
        """Cut the links of a key, once answers on the way are in."""
        await asyncio.sleep(RETIRE_S)
        if name in self.doors and name not in {key.id for key in self.keys}:
            await self._close_door(name)

    def _received(self, door: sockets.Reader, frames: list[bytes]) -> None:
        """Take a question or a one-way message."""
        identity, *rest = frames
        self._question(door, identity, rest[-1] if rest else b'')

    def _stranger(self) -> None:
        self.strangers += 1
        if clock.now() - self.logged >= LOG_EVERY_S:
            self.logged = clock.now()
            LOG.warning('Refused a stranger.', total=self.strangers)

    @mode.Service.task
    async def _expire(self) -> None:
        """Close the links that nobody uses."""
        while not self.should_stop:
            await asyncio.sleep(IDLE_S / 4)
            old = clock.now() - IDLE_S
            idle = [a for a, peer in self.peers.items() if peer.used[0] < old]
            for address in idle:
                self._close(self.peers.pop(address))

    def _t(self) -> int:
        return self.hybrid.tick()

    def _send(self, to: str, data: bytes, kind: type = bytes) -> Peer:
        """Send on the link that is in use; return it."""
        peer = self.peers.get(to) or self._open(to)
        peer.used[0] = clock.now()
        sent = peer.reader.send([data])
        self._count(sent, data, kind, to)
        return peer

    def _count(self, sent: bool, data: bytes, kind: type, to: str) -> None:
        """Count a message as sent or, with a full queue, as dropped."""
        if not sent:
            self.dropped += 1
            return
        self.sent += 1
        self.sent_bytes += len(data)
        self.traffic.count(kind, to, len(data))

    def _open(self, address: str) -> Peer:
        socket = self._socket(zmq.DEALER)
        socket.linger = 0
        socket.sndhwm = QUEUE
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        _watch(socket)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        if self.keys:
            curve.connect(socket, self.keys[0])
        socket.connect('tcp://%s' % address)
        heard = [clock.now()]
        take = functools.partial(self._answered, heard)
        reader = sockets.Reader(socket, take, self._failed)
        self.peers[address] = Peer(reader, [clock.now()], heard)
        return self.peers[address]

    def _close(self, peer: Peer) -> None:
        peer.reader.close()

    async def _retire(self, peer: Peer) -> None:
        """Send no more on a link, and close it when answers are in."""
        self.retired.append(peer)
        await asyncio.sleep(RETIRE_S)
        if peer in self.retired:
            self.retired.remove(peer)
            self._close(peer)

    def _answered(
        self, heard: list, _reader: sockets.Reader, frames: list[bytes]
    ) -> None:
        """Take an answer of one peer."""
        envelope = self._decode(frames[-1])
        heard[0] = clock.now()
        if envelope is None:
            return
        future = self.pending.get(envelope.header.call)
        if future is not None and not future.done():
            future.set_result(envelope.message)

    def _decode(self, data: bytes) -> wire.Envelope | None:
        found = wire.read(data)
        if isinstance(found, codes.Failure):
            self.refused += 1
            LOG.warning('Refused a message.', why=found.sentence())
            return None
        self.hybrid.merge(found.header.time)
        return found

    def _question(
        self, door: sockets.Reader, identity: bytes, data: bytes
    ) -> None:
        envelope = self._decode(data)
        if envelope is None:
            return
        handler = self.handlers.get(type(envelope.message))
        if handler is None or len(self.running) >= MAX_HANDLERS:
            self.refused += 1
            return
        task = asyncio.create_task(
            self._run(handler, door, identity, envelope)
        )
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def _run(
        self,
        handler: typing.Callable,
        door: sockets.Reader,
        identity: bytes,
        envelope: wire.Envelope,
    ) -> None:
        header = envelope.header
        try:
            answer = await handler(header.sender, envelope.message)
        except Exception as error:
            LOG.exception('A handler failed.', error=str(error))
            return
        if answer is None or not header.call:
            return
        data = wire.encode(answer, self.address, header.call, True, self._t())
        sent = door.send([identity, data])
        self._count(sent, data, type(answer), header.sender)


def _watch(socket: zmq.asyncio.Socket) -> None:
    """Let both ends notice a connection that has gone silent."""
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_MAXRT, HEARTBEAT_TIMEOUT_MS)
