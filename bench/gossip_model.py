"""Fleets for the measurements of membership.

``Virtual`` runs whole fleets on the fake network in virtual time; ``Real``
runs them on sockets of loopback in one event loop; ``Swarm`` plays thousands
of hosts before one real process, in a thread of its own, so that the cost of
one process can be measured at a size that no machine runs whole.
"""

import asyncio
import concurrent.futures
import random
import threading
import time
import typing

from carawaystair import datagrams
from carawaystair import interfaces
from carawaystair import links
from carawaystair.membership import messages
from carawaystair.membership import registry
from carawaystair.membership import service
from carawaystair import timeline
from test import fakes

SERVICE = 'stock'
UPSTREAMS = 11
SERVICES = 520
DATA_CENTRES = 10
EVENTS = 2000
PORT = 24_000
SWARM_PORT = 25_000
FOREVER_S = 1e6


def identity(member: interfaces.Member) -> service.Identity:
    """Return the identity of a made-up member."""
    return service.Identity(
        member.host,
        member.data_centre,
        member.region,
        member.peer,
        member.gossip,
    )


def announce(
    node: service.Membership, name: str, state: str = interfaces.UP
) -> None:
    """Announce an upstream at its node, for good."""
    node.registry.lease_s = FOREVER_S
    said = registry.Announcement(SERVICE, '127.0.0.1:9000', 4, state=state)
    node.registry.announce(name, said, 1)


def body(number: int, rng: random.Random) -> messages.Body:
    """Return the body of a record as the plan has them."""
    octets = '%d.%d' % (number >> 8, number & 255)
    rows = tuple(
        messages.Row(
            'upstream-%05d' % (number * UPSTREAMS + index),
            'service-%03d' % rng.randrange(SERVICES),
            '10.1.%s:%d' % (octets, 9000 + index),
            5,
            messages.MILLI,
            5000,
            0,
            1_700_000_000_000 + rng.randrange(10**9),
            index,
        )
        for index in range(UPSTREAMS)
    )
    return messages.Body(
        'data-centre-%d' % (number % DATA_CENTRES),
        'region-%d' % (number % 2),
        '10.1.%s:7401' % octets,
        '10.1.%s:7401' % octets,
        False,
        rows,
    )


def record(
    number: int, rng: random.Random, incarnation: int, address: str = ''
) -> messages.Record:
    """Return the record of a made-up host.

    :param address: where all its messages go, for a swarm.
    """
    said = body(number, rng)
    if address:
        said = said._replace(peer=address, gossip=address)
    packed = messages.pack(said)
    return messages.Record('host-%05d' % number, incarnation, 0, False, packed)


class Virtual:
    """A fleet on the fake network, inside a running virtual loop.

    :param size: how many processes.
    :param seed: of all randomness.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.network = fakes.Network(seed)
        members = [fakes.member(number) for number in range(size)]
        seeds = [member.peer for member in members[:2]]
        self.nodes = [
            self._make(member, number, seed, seeds)
            for number, member in enumerate(members)
        ]

    def _make(self, member, number, seed, seeds) -> service.Membership:
        transport = self.network.transport(member.peer)
        return service.Membership(
            identity(member),
            transport,
            transport,
            timeline.Timeline(member.host, EVENTS),
            random.Random('%d/%d' % (seed, number)),
            incarnation=1,
            seeds=seeds,
        )

    async def start(self, settle_s: float = 6.0) -> None:
        """Start all and let them find each other."""
        for node in self.nodes:
            await node.start()
        await asyncio.sleep(settle_s)
        sizes = {len(node.members.alive()) for node in self.nodes}
        assert sizes == {len(self.nodes)}

    def vanish(self, node: service.Membership) -> None:
        """Let a process end without a word."""
        address = node.identity.peer
        others = [a for a in self.network.ends if a != address]
        self.network.remove(address)
        self.network.cut([address], others)


class Real:
    """A fleet on sockets of loopback, inside a running loop.

    :param size: how many processes.
    :param seed: of all randomness.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.nodes = [self._make(n, seed) for n in range(size)]

    def _make(self, number: int, seed: int) -> service.Membership:
        address = '127.0.0.1:%d' % (PORT + number)
        return real(
            fakes.member(number)._replace(peer=address, gossip=address),
            ['127.0.0.1:%d' % PORT],
            random.Random('%d/%d' % (seed, number)),
        )

    async def start(self, settle_s: float) -> None:
        """Start all and let them find each other."""
        for node in self.nodes:
            await start(node)
        await asyncio.sleep(settle_s)

    async def stop(self) -> None:
        """Stop all."""
        for node in self.nodes:
            node.left = True
            await stop(node)

    def sent(self) -> 'Sent':
        """Return what all sent so far."""
        pairs = [(n.transport, n.datagrams) for n in self.nodes]
        return Sent(
            sum(link.sent + udp.sent for link, udp in pairs),
            sum(link.sent_bytes + udp.sent_bytes for link, udp in pairs),
            time.process_time(),
        )


class Sent(typing.NamedTuple):
    """Counters at one moment.

    :param messages: messages and datagrams sent.
    :param bytes: their bytes.
    :param cpu_s: processor time of the process or thread.
    """

    messages: int
    bytes: int
    cpu_s: float


def real(member, seeds, rng) -> service.Membership:
    """Return a membership over sockets."""
    events = timeline.Timeline(member.host, EVENTS)
    return service.Membership(
        identity(member),
        links.Links(member.peer, events.clock),
        datagrams.Datagrams(member.gossip, events.clock),
        events,
        rng,
        incarnation=1,
        seeds=seeds,
    )


async def start(node: service.Membership) -> None:
    """Start a membership over sockets."""
    for part in (node.transport, node.datagrams, node):
        await part.start()


async def stop(node: service.Membership) -> None:
    """Stop a membership over sockets."""
    for part in (node, node.transport, node.datagrams):
        await part.stop()


class Swarm:
    """Plays ``size`` hosts before one process, from a thread of its own.

    It answers every probe of the process, probes it as often as that many
    hosts do, and passes records on to it as its neighbours do.

    :param size: how many hosts.
    :param target: address of the process.
    :param seed: of all randomness.
    """

    def __init__(self, size: int, target: str, seed: int) -> None:
        self.size = size
        self.target = target
        self.address = '127.0.0.1:%d' % SWARM_PORT
        self.rng = random.Random(seed)
        self.records = [
            record(n, self.rng, 1, self.address) for n in range(size)
        ]
        self.digests = messages.Digests(0, 0)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.ready = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()
        self.ready.wait(10)

    def stop(self) -> None:
        """End the thread."""
        self.call(self._close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    def call(self, coroutine) -> typing.Any:
        """Run a coroutine in the thread and wait for it."""
        future: concurrent.futures.Future = asyncio.run_coroutine_threadsafe(
            coroutine, self.loop
        )
        return future.result(60)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._open())
        self.ready.set()
        self.loop.run_forever()

    async def _open(self) -> None:
        self.links = links.Links(self.address)
        self.datagrams = datagrams.Datagrams(self.address)
        self.links.handle(messages.Batch, self._batch)
        self.datagrams.handle(messages.Ping, self._ping)
        await self.links.start()
        await self.datagrams.start()
        self.probing = asyncio.create_task(self._probe())

    async def _close(self) -> None:
        self.probing.cancel()
        await self.datagrams.stop()
        await self.links.stop()

    async def _batch(self, _sender, _batch) -> messages.Taken:
        return messages.Taken()

    def _ping(self, sender: str, ping: messages.Ping) -> None:
        self.digests = ping.digests
        first = messages.first_incarnation(1)
        ack = messages.Ack(ping.nonce, ping.target, first, ping.digests)
        self.datagrams.send(sender, ack)

    async def _probe(self) -> None:
        """Probe the process twice a second, as the others together do."""
        while True:
            await asyncio.sleep(0.5)
            name = self.rng.choice(self.records).host
            ping = messages.Ping(
                fakes.member(0).host, 1, 0, name, self.digests
            )
            self.datagrams.send(self.target, ping)

    async def change(self, count: int, copies: int, gap_s: float) -> None:
        """Pass new records on, each as often as neighbours would."""
        for _change in range(count):
            number = self.rng.randrange(self.size)
            old = self.records[number]
            new = record(number, self.rng, 1, self.address)
            new = new._replace(sequence=old.sequence + 1)
            self.records[number] = new
            batch = messages.Batch((new,))
            await asyncio.gather(
                *(
                    self.links.call(self.target, batch, 5.0)
                    for _copy in range(copies)
                )
            )
            await asyncio.sleep(gap_s)
