"""Spread of a leave, cost of control by nodes, memory, false suspicion."""

import asyncio
import random
import sys
import threading
import time
import tracemalloc
import typing

from bench import figures
from bench import gossip_model as model
from carawaystair import interfaces
from carawaystair.membership import directory as directories
from carawaystair.membership import overlay
from carawaystair.membership import table as tables
from carawaystair import timeline
from test import fakes

TITLE = 'Membership: spread, cost by nodes, memory, detection, false alarms'

SIZES = (8, 32, 128)
QUICK_SIZES = (4, 8, 16)
REAL_SIZES = (8, 16, 32)
QUICK_REAL_SIZES = (4, 6, 8)
SWARM_SIZES = (100, 500, 1000, 2500)
QUICK_SWARM_SIZES = (20, 40, 80)
LOSSES = (0.0, 0.2)
LEAVES = 10
HOUR_S = 3600.0
MB = 1e6


def run(seed: int, quick: bool) -> list:
    """Run the experiment."""
    return [
        *_spread(seed, QUICK_SIZES if quick else SIZES),
        *_real(seed, QUICK_REAL_SIZES if quick else REAL_SIZES, quick),
        *_swarm(seed, QUICK_SWARM_SIZES if quick else SWARM_SIZES, quick),
        *_memory(seed, QUICK_SWARM_SIZES if quick else SWARM_SIZES),
        *_detection(seed, QUICK_SIZES if quick else SIZES),
        *_false(seed, quick),
        *_pause(seed, quick),
    ]


# Spread of a leave


def _spread(seed: int, sizes: typing.Sequence[int]) -> list:
    found = []
    for size in sizes:
        rounds = fakes.run(_leaves(size, seed))
        for loss, (times_s, messages, size_bytes) in rounds.items():
            name = 'gossip.leave.n%d.loss%d' % (size, loss * 100)
            found += _times(name, times_s)
            unit = 'messages/node'
            found.append(figures.Figure(name + '.messages', messages, unit))
            unit = 'bytes/node'
            found.append(figures.Figure(name + '.bytes', size_bytes, unit))
    return found


def _times(name: str, times_s: typing.Sequence[float]) -> list:
    count = len(times_s)
    return [
        figures.Figure(
            '%s.%s' % (name, label),
            figures.percentile(times_s, share) * 1000,
            'ms',
            samples=count,
        )
        for label, share in (('p50', 0.5), ('p99', 0.99), ('max', 1.0))
    ]


async def _leaves(size: int, seed: int) -> dict:
    """Let upstreams drain; return times, messages and bytes by loss."""
    fleet = model.Virtual(size, seed)
    await fleet.start()
    for number in range(LEAVES * len(LOSSES)):
        model.announce(fleet.nodes[number % size], 'u%d' % number)
    await asyncio.sleep(5.0)
    network, found = fleet.network, {}
    for turn, loss in enumerate(LOSSES):
        network.loss = loss
        before = network.carried, network.carried_bytes
        await asyncio.sleep(5.0)
        quiet = [
            (now - then) / 5.0
            for now, then in zip(
                (network.carried, network.carried_bytes), before, strict=True
            )
        ]
        before = network.carried, network.carried_bytes
        began = asyncio.get_running_loop().time()
        names = ['u%d' % (turn * LEAVES + n) for n in range(LEAVES)]
        times = [
            time_s
            for name in names
            for time_s in await _leave(fleet.nodes, name)
        ]
        took_s = asyncio.get_running_loop().time() - began
        messages, size_bytes = (
            (now - then - rate * took_s) / size / LEAVES
            for now, then, rate in zip(
                (network.carried, network.carried_bytes),
                before,
                quiet,
                strict=True,
            )
        )
        found[loss] = times, messages, size_bytes
    return found


async def _leave(nodes, name: str) -> list[float]:
    """Let one upstream drain; return when each node knew, in seconds."""
    loop = asyncio.get_running_loop()
    owner = next(node for node in nodes if name in node.registry.leases)
    began, seen = loop.time(), {}

    def _note(node, item: interfaces.Upstream) -> None:
        if item.id == name:
            seen.setdefault(node, loop.time() - began)

    for node in nodes:
        node.directory.callbacks[:] = [lambda item, n=node: _note(n, item)]
    model.announce(owner, name, interfaces.DRAINING)
    while len(seen) < len(nodes):
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.3)
    return list(seen.values())


# Cost on real sockets


def _real(seed: int, sizes: typing.Sequence[int], quick: bool) -> list:
    window_s = 2.0 if quick else 10.0
    costs = {
        size: asyncio.run(_real_cost(size, seed, window_s)) for size in sizes
    }
    found = [
        item
        for size, cost in costs.items()
        for item in _times('gossip.leave.sockets.n%d' % size, cost.times_s)
    ]
    for label, unit in (('messages', '1/s'), ('bytes', 'B/s')):
        points = [(n, getattr(cost, label)) for n, cost in costs.items()]
        name = 'gossip.quiet.sockets.%s.by_nodes' % label
        found.append(figures.fit(name, unit + '/node', points))
    points = [(n, cost.cpu_us) for n, cost in costs.items()]
    name = 'gossip.quiet.sockets.cpu_us.by_nodes'
    return [*found, figures.fit(name, 'us/s/node', points)]


class Cost(typing.NamedTuple):
    """What a process spends.

    :param messages: sent, a second.
    :param bytes: sent, a second.
    :param cpu_us: processor time, us a second.
    :param times_s: when each node knew of each leave, in seconds.
    """

    messages: float
    bytes: float
    cpu_us: float
    times_s: tuple[float, ...] = ()


def _cost(before: model.Sent, after: model.Sent, seconds: float) -> Cost:
    return Cost(
        (after.messages - before.messages) / seconds,
        (after.bytes - before.bytes) / seconds,
        (after.cpu_s - before.cpu_s) / seconds * 1e6,
    )


async def _real_cost(size: int, seed: int, window_s: float) -> Cost:
    """Return the cost of a quiet fleet on sockets, a node."""
    fleet = model.Real(size, seed)
    await fleet.start(4.0)
    before = fleet.sent()
    await asyncio.sleep(window_s)
    cost = _cost(before, fleet.sent(), window_s * size)
    for number in range(6):
        model.announce(fleet.nodes[number % size], 'u%d' % number)
    await asyncio.sleep(3.0)
    times = [
        time_s
        for number in range(6)
        for time_s in await _leave(fleet.nodes, 'u%d' % number)
    ]
    await fleet.stop()
    return cost._replace(times_s=tuple(times))


# One process before thousands of hosts


def _swarm(seed: int, sizes: typing.Sequence[int], quick: bool) -> list:
    window_s = 2.0 if quick else 10.0
    quiet, changes = {}, {}
    for size in sizes:
        quiet[size], changes[size] = asyncio.run(_at(size, seed, window_s))
    found = []
    for label, unit in (
        ('messages', '1/s'),
        ('bytes', 'B/s'),
        ('cpu_us', 'us/s'),
    ):
        points = [(n, getattr(cost, label)) for n, cost in quiet.items()]
        name = 'gossip.quiet.%s.by_nodes' % label
        found.append(figures.fit(name, unit + '/node', points))
        points = [(n, getattr(cost, label)) for n, cost in changes.items()]
        name = 'gossip.change.%s.by_nodes' % label
        unit = unit.replace('/s', '').replace('1', '1/change')
        found.append(figures.fit(name, unit + '/node', points))
    return found


async def _at(size: int, seed: int, window_s: float) -> tuple[Cost, Cost]:
    """Return the quiet cost a second and the cost of each change."""
    member = fakes.member(0)
    node = model.real(member, (), random.Random(seed))
    await model.start(node)
    swarm = model.Swarm(size, member.peer, seed)
    swarm.start()
    node.flooder.accept(swarm.records, forward=False)
    await asyncio.sleep(3.0)
    before = _sent(node)
    await asyncio.sleep(window_s)
    quiet = _cost(before, _sent(node), window_s)
    count = 20 if window_s < 5 else 200
    copies = len(
        overlay.neighbours('h0', {'h%d' % n: '' for n in range(size)})
    )
    before, began = _sent(node), time.monotonic()
    await asyncio.to_thread(swarm.call, swarm.change(count, copies, 0.02))
    took_s = time.monotonic() - began
    busy = _cost(before, _sent(node), 1.0)
    each = Cost(
        (busy.messages - quiet.messages * took_s) / count,
        (busy.bytes - quiet.bytes * took_s) / count,
        (busy.cpu_us - quiet.cpu_us * took_s) / count,
    )
    assert len(node.members.alive()) == size + 1
    node.left = True
    await model.stop(node)
    await asyncio.to_thread(swarm.stop)
    return quiet, each


def _sent(node) -> model.Sent:
    return model.Sent(
        node.transport.sent + node.datagrams.sent,
        node.transport.sent_bytes + node.datagrams.sent_bytes,
        time.thread_time(),
    )


# Memory


def _memory(seed: int, sizes: typing.Sequence[int]) -> list:
    held = {size: fakes.run(_held(size, seed)) for size in sizes}
    points = [(n, encoded) for n, (encoded, _all) in held.items()]
    found = [figures.fit('gossip.memory.by_hosts', 'B/host', points)]
    points = [
        (n * model.UPSTREAMS, decoded - encoded)
        for n, (encoded, decoded) in held.items()
    ]
    name = 'gossip.memory.decoded.by_upstreams'
    found.append(figures.fit(name, 'B/upstream', points))
    encoded, decoded = held[max(sizes)]
    size = max(sizes)
    name = 'gossip.memory.n%d' % size
    return [
        *found,
        figures.Figure(name + '.encoded', encoded / MB, 'MB'),
        figures.Figure(name + '.all_decoded', decoded / MB, 'MB'),
    ]


async def _held(size: int, seed: int) -> tuple[int, int]:
    """Return bytes held by the table, and with all services decoded."""
    rng = random.Random(seed)
    tracemalloc.start()
    table = tables.Table('me')
    directory = directories.Directory(table, timeline.Timeline('me', 10))
    empty = tracemalloc.get_traced_memory()[0]
    for number in range(size):
        table.put(model.record(number, rng, 1_700_000_000_000 + number))
    len(table.live_entries())
    encoded = tracemalloc.get_traced_memory()[0] - empty
    total = sum(len(directory.upstreams(s)) for s in directory.services())
    assert total == size * model.UPSTREAMS
    decoded = tracemalloc.get_traced_memory()[0] - empty
    tracemalloc.stop()
    return encoded, decoded


# Detection and false alarms


def _detection(seed: int, sizes: typing.Sequence[int]) -> list:
    found = []
    for size in sizes:
        for loss in LOSSES:
            times = fakes.run(_deaths(size, loss, seed))
            name = 'gossip.dead.n%d.loss%d' % (size, loss * 100)
            found += _times(name, times)
    return found


async def _deaths(size: int, loss: float, seed: int) -> list[float]:
    """Let hosts vanish; return when each other node knew, in seconds."""
    fleet = model.Virtual(size, seed)
    await fleet.start()
    fleet.network.loss = loss
    loop = asyncio.get_running_loop()
    left, times = list(fleet.nodes), []
    for _death in range(max(2, min(4, size // 4))):
        victim = left.pop()
        began, seen = loop.time(), {}

        def _note(node, member, alive, victim=victim, seen=seen, began=began):
            if member.host == victim.identity.host and not alive:
                seen.setdefault(node, loop.time() - began)

        for node in left:
            node.members.callbacks[:] = [
                lambda member, alive, n=node, note=_note: note(
                    n, member, alive
                )
            ]
        fleet.vanish(victim)
        while len(seen) < len(left):
            await asyncio.sleep(0.05)
        times += seen.values()
        await asyncio.sleep(5.0)
    return times


def _false(seed: int, quick: bool) -> list:
    """Count false alarms under loss."""
    size, seconds = (8, 30.0) if quick else (32, 120.0)
    found = []
    for loss in (0.0, 0.05, 0.2):
        counts = fakes.run(_alarms(size, loss, seconds, seed))
        hours = size * seconds / HOUR_S
        for kind, count in counts.items():
            name = 'gossip.false.%s.loss%d' % (kind, loss * 100)
            unit = '1/node/h'
            samples = int(size * seconds)
            found.append(
                figures.Figure(name, count / hours, unit, samples=samples)
            )
    return found


async def _alarms(size: int, loss: float, seconds: float, seed: int) -> dict:
    """Return how many hosts were suspected or declared dead, wrongly."""
    fleet = model.Virtual(size, seed)
    await fleet.start()
    fleet.network.loss = loss
    rounds = [sum(n.prober.failed_probes for n in fleet.nodes)]
    await asyncio.sleep(seconds)
    rounds.append(sum(n.prober.failed_probes for n in fleet.nodes))
    dead = {
        event.text
        for node in fleet.nodes
        for event in node.timeline.ring
        if event.kind == 'member-dead'
    }
    return {'suspected': rounds[1] - rounds[0], 'dead': len(dead)}


def _pause(seed: int, quick: bool) -> list:
    """Let one process on sockets stand still now and then."""
    size, pauses = (6, 1) if quick else (16, 6)
    counts = asyncio.run(_pauses(size, pauses, seed))
    return [
        figures.Figure(
            'gossip.pause.%s' % kind,
            count / pauses,
            'hosts/pause',
            samples=pauses,
        )
        for kind, count in counts.items()
    ]


async def _pauses(size: int, pauses: int, seed: int) -> dict:
    """Return how many others one that stood still suspected and buried."""
    fleet = model.Real(size - 1, seed)
    await fleet.start(3.0)
    done = threading.Event()
    thread = threading.Thread(
        target=lambda: asyncio.run(_paused(size - 1, pauses, seed, done))
    )
    thread.start()
    while not done.is_set():
        await asyncio.sleep(0.1)
    thread.join()
    me = fakes.member(size - 1).host
    kinds = {'suspected': 0, 'dead': 0}
    for node in fleet.nodes:
        for event in node.timeline.ring:
            other = not event.text.startswith(me)
            if other and event.kind.removeprefix('member-') in kinds:
                kinds[event.kind.removeprefix('member-')] += 1
    await fleet.stop()
    return kinds


async def _paused(number: int, pauses: int, seed: int, done) -> None:
    """Run one process that blocks its loop for two seconds now and then."""
    address = '127.0.0.1:%d' % (model.PORT + number)
    member = fakes.member(number)._replace(peer=address, gossip=address)
    seeds = ['127.0.0.1:%d' % model.PORT]
    node = model.real(member, seeds, random.Random(seed))
    await model.start(node)
    await asyncio.sleep(3.0)
    for _pause_number in range(pauses):
        # It blocks on purpose: this is the pause.
        time.sleep(2.0)
        await asyncio.sleep(4.0)
    node.left = True
    await model.stop(node)
    done.set()


if __name__ == '__main__':
    for item in run(1, '--quick' in sys.argv):
        print(item)
