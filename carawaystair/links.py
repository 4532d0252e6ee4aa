"""Messages between processes over pyzmq.

Each process binds one ROUTER socket and connects one DEALER socket for each
peer that it talks to.  An answer returns on the connection of its question.
One task receives on the ROUTER and one on each DEALER.
"""

import asyncio
import itertools
import typing

import expression
import mode
import zmq
import zmq.asyncio

from carawaystair import clock
from carawaystair import codes
from carawaystair import logs
from carawaystair import timeline
from carawaystair import wire

# Messages waiting for one peer; more are dropped, since a peer that is gone
# must cost bounded memory.
QUEUE = 500
# Questions being answered at once; more are dropped and counted.
MAX_HANDLERS = 2000
# A link without a message for so long is closed, so that a node keeps open
# only the links that it uses.
IDLE_S = 120.0
RECONNECT_MS = 100
RECONNECT_MAX_MS = 2000

LOG = logs.get('links')


class Peer(typing.NamedTuple):
    """The sending side of a link.

    :param socket: its DEALER socket.
    :param task: the task that receives the answers.
    :param used: one-element list with the monotonic time of last use.
    """

    socket: zmq.asyncio.Socket
    task: asyncio.Task
    used: list


class Links(mode.Service):
    """The messages of one process, see ``interfaces.Transport``.

    :param address: ``ip:port`` to bind.
    :param hybrid: the clock that travels with every message.
    :param secure: prepares a socket for encryption, see ``keys``.
    """

    def __init__(
        self,
        address: str,
        hybrid: timeline.HybridClock | None = None,
        secure: typing.Callable | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.address = address
        self.hybrid = hybrid or timeline.HybridClock()
        self.secure = secure
        self.context = zmq.asyncio.Context()
        self.router: zmq.asyncio.Socket | None = None
        self.peers: dict[str, Peer] = {}
        self.handlers: dict[type, typing.Callable] = {}
        self.pending: dict[int, asyncio.Future] = {}
        self.calls = itertools.count(1)
        self.running: set[asyncio.Task] = set()
        self.dropped = 0
        self.refused = 0
        self.sent = 0
        self.sent_bytes = 0

    async def on_start(self) -> None:
        """Bind the ROUTER socket."""
        self.router = self.context.socket(zmq.ROUTER)
        self.router.linger = 0
        self.router.sndhwm = QUEUE
        if self.secure is not None:
            self.secure(self.router, True)
        try:
            self.router.bind('tcp://%s' % self.address)
        except zmq.ZMQError as error:
            raise OSError('%s: %s' % (self.address, error)) from error

    async def on_stop(self) -> None:
        """Close every socket; what still waits is dropped."""
        for address in list(self.peers):
            self._close(address)
        for task in list(self.running):
            task.cancel()
        for future in self.pending.values():
            future.cancel()
        if self.router is not None:
            self.router.close(0)
        self.context.term()

    def handle(self, kind: type, handler: typing.Callable) -> None:
        """Give messages of ``kind`` to ``await handler(sender, message)``."""
        self.handlers[kind] = handler

    def send(self, to: str, message) -> None:
        """Send a one-way message; drops it when the queue is full."""
        self._send(to, wire.encode(message, self.address, 0, False, self._t()))

    async def call(
        self, to: str, message, timeout_s: float
    ) -> expression.Result[typing.Any, codes.Failure]:
        """Send a question and wait for its answer."""
        call = next(self.calls)
        future = asyncio.get_running_loop().create_future()
        self.pending[call] = future
        data = wire.encode(message, self.address, call, False, self._t())
        self._send(to, data)
        try:
            answer = await asyncio.wait_for(future, timeout_s)
            return expression.Ok(answer)
        except asyncio.TimeoutError:
            return codes.fail(codes.PEER_SILENT, to)
        finally:
            self.pending.pop(call, None)

    @mode.Service.task
    async def _receive(self) -> None:
        """Receive questions and one-way messages."""
        while not self.should_stop:
            identity, *frames = await self.router.recv_multipart()
            self._question(identity, frames[-1] if frames else b'')

    @mode.Service.task
    async def _expire(self) -> None:
        """Close the links that nobody uses."""
        while not self.should_stop:
            await asyncio.sleep(IDLE_S / 4)
            old = clock.now() - IDLE_S
            idle = [a for a, peer in self.peers.items() if peer.used[0] < old]
            for address in idle:
                self._close(address)

    def _t(self) -> int:
        return self.hybrid.tick()

    def _send(self, to: str, data: bytes) -> None:
        peer = self.peers.get(to) or self._open(to)
        peer.used[0] = clock.now()
        try:
            # The underlying call is synchronous and cheaper than a future.
            zmq.Socket.send(peer.socket, data, zmq.DONTWAIT)
            self.sent += 1
            self.sent_bytes += len(data)
        except zmq.Again:
            self.dropped += 1

    def _open(self, address: str) -> Peer:
        socket = self.context.socket(zmq.DEALER)
        socket.linger = 0
        socket.sndhwm = QUEUE
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        if self.secure is not None:
            self.secure(socket, False)
        socket.connect('tcp://%s' % address)
        task = asyncio.create_task(self._answers(socket))
        self.peers[address] = Peer(socket, task, [clock.now()])
        return self.peers[address]

    def _close(self, address: str) -> None:
        peer = self.peers.pop(address)
        peer.task.cancel()
        peer.socket.close(0)

    async def _answers(self, socket: zmq.asyncio.Socket) -> None:
        """Receive the answers of one peer."""
        while True:
            envelope = self._decode(await socket.recv())
            if envelope is None:
                continue
            future = self.pending.get(envelope.header.call)
            if future is not None and not future.done():
                future.set_result(envelope.message)

    def _decode(self, data: bytes) -> wire.Envelope | None:
        result = wire.decode(data)
        if result.is_error():
            self.refused += 1
            LOG.warning('Refused a message.', why=result.error.sentence())
            return None
        self.hybrid.merge(result.ok.header.time)
        return result.ok

    def _question(self, identity: bytes, data: bytes) -> None:
        envelope = self._decode(data)
        if envelope is None:
            return
        handler = self.handlers.get(type(envelope.message))
        if handler is None or len(self.running) >= MAX_HANDLERS:
            self.refused += 1
            return
        task = asyncio.create_task(self._run(handler, identity, envelope))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def _run(
        self,
        handler: typing.Callable,
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
        try:
            zmq.Socket.send_multipart(
                self.router, [identity, data], zmq.DONTWAIT
            )
            self.sent += 1
            self.sent_bytes += len(data)
        except (zmq.Again, zmq.ZMQError):
            self.dropped += 1
