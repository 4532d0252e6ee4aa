"""What a reservation costs: memory, processor time, messages, round trips."""

import asyncio
import time
import tracemalloc
import typing

from bench import exp_links
from bench import figures
from bench import reservation_odds
from bench import reservation_rig as rig
from carawaystair import clock
from carawaystair import datagrams
from carawaystair import links
from carawaystair.reservations import identifiers
from carawaystair.reservations import placement_table
from carawaystair.reservations import service
from carawaystair.reservations import store
from test import fakes

TITLE = 'Reservations: memory, processor time, messages, round trips, recovery'

ANSWER = b'{"status":200,"headers":[["Content-Type","application/json"]],' * 4
KEY = b'k' * 32
# One way between two data centres of Reykjavik.
ONE_WAY_S = 0.0015
# Replicas, and the majorities of them that are asked.
SIZES = (1, 3, 5)
# Reservations under way at once in the measurement of processor time.
WINDOW = 4


# Memory


def record_bytes(count: int, answer: bytes) -> float:
    """Return bytes that ``count`` records take, by the allocator."""
    budget = store.MemoryBudget(1 << 40)
    kept = store.RecordStore(budget)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        name = identifiers.key_digest('pay', 'c', '%d' % number)
        token = b'%016d' % number
        expires = 3600.0 + number / 17.0
        digest = identifiers.request_digest(b'%d' % number)
        kept.put(name, store.Record(token, digest, 7, expires))
        record = kept.get(name, 0.0)
        if answer:
            kept.put(
                name,
                record._replace(
                    state=store.SETTLED, answer=b'%s%d' % (answer, number)
                ),
            )
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before


def memory(quick: bool) -> list:
    """Return bytes by records, and by bytes of answers."""
    top = 8_000 if quick else 200_000
    counts = (top // 4, top // 2, top * 3 // 4, top)
    bare = [(count, record_bytes(count, b'')) for count in counts]
    few = counts[1]
    answered = [
        (size, record_bytes(few, b'x' * size) / few)
        for size in (100, 200, 400, 800)
    ]
    return [
        figures.fit('reservations.bytes.by_keys', 'B/key', bare),
        figures.fit('reservations.bytes.by_answer_bytes', 'B/B', answered),
    ]


# Processor time and messages, over real sockets


class Site:
    """An asking process and its replicas, in one process of the system.

    :param size: how many replicas.
    :param seed: of all randomness.
    """

    def __init__(self, size: int, seed: int) -> None:
        addresses = exp_links.addresses(size + 1)
        self.ends = [links.Links(a) for a in addresses]
        self.casts = [datagrams.Datagrams(a, keys=(KEY,)) for a in addresses]
        self.size = size
        self.seed = seed
        self.nodes: list[service.Reservations] = []

    async def __aenter__(self) -> 'Site':
        for part in (*self.ends, *self.casts):
            await part.start()
        pairs = zip(self.ends, self.casts)
        self.nodes = [
            rig.make(number, *pair, self.seed)
            for number, pair in enumerate(pairs)
        ]
        rig.place(self.nodes, rig.replicas(self.nodes[1:]))
        return self

    async def __aexit__(self, *_error) -> None:
        for node in self.nodes:
            await node.on_stop()
        for part in (*self.ends, *self.casts):
            await part.stop()

    def sent(self) -> tuple[int, int]:
        """Return datagrams and bytes sent so far."""
        return (
            sum(cast.sent for cast in self.casts),
            sum(cast.sent_bytes for cast in self.casts),
        )


async def costs(size: int, count: int, seed: int) -> tuple[float, ...]:
    """Return us, datagrams and bytes of one reservation with its outcome."""
    async with Site(size, seed) as site:
        await _whole(site.nodes[0], 'first')
        messages, sent = site.sent()
        before = time.process_time()
        for start in range(0, count, WINDOW):
            some = range(start, start + WINDOW)
            await asyncio.gather(
                *(_whole(site.nodes[0], 'key-%d' % each) for each in some)
            )
        spent = time.process_time() - before
        messages_now, sent_now = site.sent()
        return (
            spent / count * 1e6,
            (messages_now - messages) / count,
            (sent_now - sent) / count,
        )


async def _whole(node: service.Reservations, key: str) -> None:
    """Reserve a key and settle it."""
    result = await node.reserve(
        rig.SERVICE, 'c', key, b'd' * 16, clock.now() + 5
    )
    await node.settle(result.ok.token, ANSWER)


def processor(seed: int, quick: bool) -> list:
    """Return costs of a reservation by the votes that it needs."""
    count = 100 if quick else 2000
    found = [(n, asyncio.run(costs(n, count, seed))) for n in SIZES]
    names_units = (('cpu_us', 'us'), ('messages', ''), ('sent_bytes', 'B'))
    return [
        figures.fit(
            'reservations.%s.by_votes' % name,
            '%s/vote' % unit,
            [
                (placement_table.quorum(n), values[place])
                for n, values in found
            ],
        )
        for place, (name, unit) in enumerate(names_units)
    ]


# Round trips, in virtual time


async def _trips(size: int, lost: int, seed: int) -> float:
    """Return the time of a reservation in round trips between centres."""
    network = fakes.Network(seed, delay_s=(ONE_WAY_S, ONE_WAY_S))
    addresses = ['127.0.0.1:%d' % (100 + n) for n in range(size + 1)]
    ends = [network.transport(address) for address in addresses]
    nodes = [
        rig.make(number, end, end, seed) for number, end in enumerate(ends)
    ]
    rig.place(nodes, rig.replicas(nodes[1:]))
    for address in addresses[1 : 1 + lost]:
        network.remove(address)
    begin = clock.now()
    result = await nodes[0].reserve(
        rig.SERVICE, 'c', 'k', b'd' * 16, clock.now() + 5
    )
    took = clock.now() - begin
    assert result.ok.granted
    for node in nodes:
        await node.on_stop()
    return took / (2 * ONE_WAY_S)


def trips(seed: int) -> list:
    """Return round trips with all replicas and with a centre lost."""
    return [
        figures.Figure(
            'reservations.round_trips.%d_replicas.%d_lost' % (size, lost),
            fakes.run(_trips(size, lost, seed)),
            'round trips',
            note='1.5 ms one way, nobody else asks',
        )
        for size, lost in ((3, 0), (3, 1), (4, 1), (5, 0), (5, 2))
    ]


# Recovery


async def recovery(keys: int, seed: int) -> tuple[float, float]:
    """Return seconds and processor seconds until a replica votes again."""
    async with Site(3, seed) as site:
        for node in site.nodes[1:]:
            _fill(node.replica_server.partitions[0].store, keys)
        again = rig.make(1, site.ends[1], site.casts[1], seed + 100)
        begin, spent = time.perf_counter(), time.process_time()
        again.placement_table.update_key_space(
            site.nodes[0].placement_table.key_space
        )
        again.placement_table.update([site.nodes[0].placement_table.get(0)])
        while not again.replica_server.active_epochs([0]):
            await asyncio.sleep(0.001)
        took = time.perf_counter() - begin, time.process_time() - spent
        assert len(again.replica_server.partitions[0].store.records) == keys
        await again.on_stop()
        return took


def _fill(kept: store.RecordStore, keys: int) -> None:
    """Store settled keys."""
    expires = clock.now() + 3600
    for number in range(keys):
        record = store.Record(
            b'%016d' % number,
            b'd' * 16,
            7,
            expires,
            store.SETTLED,
            200,
            ANSWER,
        )
        kept.put(b'%016d' % number, record)


def recoveries(seed: int, quick: bool) -> list:
    """Return the time of a recovery by the keys of the partition."""
    top = 1000 if quick else 40_000
    counts = (top // 8, top // 4, top // 2, top)
    found = [(n, asyncio.run(recovery(n, seed))) for n in counts]
    return [
        figures.fit(
            'reservations.recovery_ms.by_keys',
            'ms/key',
            [(n, 1e3 * took) for n, (took, _spent) in found],
        ),
        figures.fit(
            'reservations.recovery_cpu_us.by_keys',
            'us/key',
            [(n, 1e6 * spent) for n, (_took, spent) in found],
        ),
    ]


def run(seed: int, quick: bool) -> list[typing.Any]:
    """Run the experiment."""
    return [
        *memory(quick),
        *processor(seed, quick),
        *trips(seed),
        *recoveries(seed, quick),
        *reservation_odds.run(seed, quick),
    ]
