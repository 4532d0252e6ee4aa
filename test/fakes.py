"""The one helper module of the tests: virtual time and a faulty network.

``run`` runs a coroutine in an event loop whose clock jumps to the next timer
instead of waiting, so that an hour of failures takes a second and comes out
the same every time.  ``Network`` carries messages and datagrams between parts
in one process, with seeded loss, delay, doubling and one-way cuts.
"""

import asyncio
import itertools
import json
import random
import selectors
import typing

import expression

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair import plugins
from carawaystair import settings
from carawaystair import shutdown as shutdowns
from carawaystair import timeline
from carawaystair import traffic
from carawaystair import wire

WALL_START_MS = 1_700_000_000_000
UPTIME_START_S = 1000.0


class _Selector(selectors.SelectSelector):
    """Moves the virtual clock forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError('the virtual loop waits for nothing')
        if not ready:
            self.time += max(timeout, 0)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time; no real sockets."""

    def __init__(self) -> None:
        self.virtual = _Selector()
        super().__init__(self.virtual)

    def time(self) -> float:
        return self.virtual.time

    def uptime_ms(self) -> int:
        return int((UPTIME_START_S + self.virtual.time) * 1000)

    def wall_ms(self) -> int:
        return WALL_START_MS + int(self.virtual.time * 1000)


def run(coroutine: typing.Coroutine):
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class Network:
    """Carries messages and datagrams between fake transports.

    :param seed: of all randomness.
    :param loss: share of messages lost, from 0.0 to 1.0.
    :param double: share of messages delivered twice.
    :param delay_s: least and greatest delay, in seconds.
    :param bytes_s: bytes a second of the way between two ends, 0 for no
        bound; a message is there when its last byte is.
    :param link_bytes_s: bytes a second of the link of each end, either way,
        0 for no bound; messages of one end wait for each other.
    """

    def __init__(
        self,
        seed: int = 1,
        loss: float = 0.0,
        double: float = 0.0,
        delay_s: tuple[float, float] = (0.0005, 0.002),
        bytes_s: int = 0,
        link_bytes_s: int = 0,
    ) -> None:
        self.bytes_s = bytes_s
        self.link_bytes_s = link_bytes_s
        # When the link of an end is free again, by address and direction.
        self.busy: dict[tuple[str, str], float] = {}
        # Called with source, target and data of all that is carried.
        self.observers: list[typing.Callable[[str, str, bytes], None]] = []
        self.random = random.Random(seed)
        self.loss = loss
        self.double = double
        self.delay_s = delay_s
        self.ends: dict[str, 'Transport'] = {}
        # Cuts are one-way: (from, to) pairs.
        self.cuts: set[tuple[str, str]] = set()
        self.carried = 0
        self.carried_bytes = 0

    def transport(self, address: str) -> 'Transport':
        """Return a new transport at ``address``, replacing an old one."""
        self.ends[address] = Transport(self, address)
        return self.ends[address]

    def remove(self, address: str) -> None:
        """Let a process vanish without a word."""
        self.ends.pop(address, None)

    def cut(self, sources, targets, both: bool = True) -> None:
        """Lose all messages from ``sources`` to ``targets``."""
        pairs = set(itertools.product(sources, targets))
        self.cuts |= pairs
        if both:
            self.cuts |= {(b, a) for a, b in pairs}

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def carry(self, source: str, target: str, data: bytes) -> None:
        """Deliver ``data`` later, perhaps twice, perhaps never."""
        lost = self.random.random() < self.loss
        if lost or (source, target) in self.cuts:
            return
        copies = 2 if self.random.random() < self.double else 1
        for observer in self.observers:
            observer(source, target, data)
        loop = asyncio.get_running_loop()
        way_s = len(data) / self.bytes_s if self.bytes_s else 0.0
        way_s += self._queued_s((source, 'out'), len(data))
        way_s += self._queued_s((target, 'in'), len(data))
        for _copy in range(copies):
            delay_s = way_s + self.random.uniform(*self.delay_s)
            loop.call_later(delay_s, self._arrive, target, data)
        self.carried += 1
        self.carried_bytes += len(data)

    def _queued_s(self, link: tuple[str, str], size: int) -> float:
        """Return how long a message takes on one link, its queue included."""
        if not self.link_bytes_s:
            return 0.0
        now = asyncio.get_running_loop().time()
        ends = max(self.busy.get(link, now), now) + size / self.link_bytes_s
        self.busy[link] = ends
        return ends - now

    def _arrive(self, target: str, data: bytes) -> None:
        end = self.ends.get(target)
        if end is not None:
            end.arrive(data)


class Transport:
    """A fake of both ``links.Links`` and ``datagrams.Datagrams``."""

    def __init__(self, network: Network, address: str) -> None:
        self.network = network
        self.address = address
        self.handlers: dict[type, typing.Callable] = {}
        self.pending: dict[int, asyncio.Future] = {}
        self.calls = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()
        self.clock: timeline.HybridClock | None = None
        self.traffic = traffic.Traffic()

    def handle(self, kind: type, handler: typing.Callable) -> None:
        """Register a handler; a plain function or a coroutine function."""
        self.handlers[kind] = handler

    def send(self, to: str, message) -> None:
        """Send a one-way message."""
        data = wire.encode(message, self.address, time=self._time())
        self.traffic.count(type(message), to, len(data))
        self.network.carry(self.address, to, data)

    async def call(
        self, to: str, message, timeout_s: float
    ) -> expression.Result[typing.Any, codes.Failure]:
        """Send a question and wait for its answer."""
        call = next(self.calls)
        future = asyncio.get_running_loop().create_future()
        self.pending[call] = future
        data = wire.encode(message, self.address, call, time=self._time())
        self.traffic.count(type(message), to, len(data))
        self.network.carry(self.address, to, data)
        try:
            return expression.Ok(await asyncio.wait_for(future, timeout_s))
        except asyncio.TimeoutError:
            return codes.fail(codes.PEER_SILENT, to)
        finally:
            self.pending.pop(call, None)

    def arrive(self, data: bytes) -> None:
        """Take a message from the network."""
        header, message = wire.decode(data).ok
        if self.clock is not None:
            self.clock.merge(header.time)
        if header.answer:
            future = self.pending.get(header.call)
            if future is not None and not future.done():
                future.set_result(message)
            return
        handler = self.handlers.get(type(message))
        if handler is not None:
            task = asyncio.ensure_future(self._run(handler, header, message))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _time(self) -> int:
        return self.clock.tick() if self.clock is not None else 0

    async def _run(self, handler, header, message) -> None:
        answer = handler(header.sender, message)
        if asyncio.iscoroutine(answer):
            answer = await answer
        if answer is not None and header.call:
            data = wire.encode(answer, self.address, header.call, answer=True)
            self.network.carry(self.address, header.sender, data)


class Kernel:
    """Fake kernel: parts made with it run on a fake network.

    :param network: carries its messages and datagrams.
    :param document: settings, as JSON values, over the defaults.
    """

    def __init__(self, network: Network, document: dict) -> None:
        text = json.dumps(document)
        self.settings = settings.parse(text).ok
        self.timeline = timeline.Timeline(self.settings.host)
        self.links = network.transport(self.settings.peer)
        self.links.clock = self.timeline.clock
        self.datagrams = self.links
        self.registry = plugins.load()
        self.recorder = decisions.Recorder(self.settings.host)
        self.incarnation = clock.wall_ms()
        self.shutdown = shutdowns.Shutdown()
        self.control_group = interfaces.ControlGroup

    def random(self, part: str) -> random.Random:
        """Return randomness with a seed of its own."""
        return random.Random('%s/%s' % (self.settings.host, part))

    def data(self, _name: str) -> None:
        """Return None: there is no disk."""


def member(number: int, data_centres: int = 4) -> interfaces.Member:
    """Return a made-up member; they go round the data centres."""
    address = '127.0.0.1:%d' % (20_000 + number)
    return interfaces.Member(
        'host-%03d' % number,
        'dc-%d' % (number % data_centres),
        'region-%d' % (number % data_centres % 2),
        address,
        address,
    )


class Members:
    """Fake membership: a list that tests change."""

    def __init__(self, me, others) -> None:
        self.me = me
        self.others = list(others)

    def alive(self) -> tuple[interfaces.Member, ...]:
        """Return all members."""
        return (self.me, *self.others)


class Directory:
    """Fake directory: a table that tests change with ``put``."""

    def __init__(self, *upstreams: interfaces.Upstream) -> None:
        self.table = {upstream.id: upstream for upstream in upstreams}
        self.callbacks: list = []

    def upstreams(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Return the upstreams of a service that are not gone."""
        return tuple(
            upstream
            for upstream in self.table.values()
            if upstream.service == service
            and upstream.state != interfaces.GONE
        )

    def subscribe(self, callback) -> None:
        """Call back on every change."""
        self.callbacks.append(callback)

    def put(self, upstream: interfaces.Upstream) -> None:
        """Change one upstream."""
        self.table[upstream.id] = upstream
        for callback in self.callbacks:
            callback(upstream)


class Departures:
    """Accepts upstreams, and has no other processes to remember who leaves."""

    async def wait_accepting(self):
        """Succeed at once."""
        return expression.Ok(None)

    async def keep(self, _name: str):
        """Succeed at once."""
        return expression.Ok(None)
