"""Spread of an accepted change to all nodes, and what it costs a node."""

import asyncio
import random
import time

from bench import figures
from carawaystair import follower
from carawaystair import publisher
from carawaystair import timeline
from test import fakes
from test import test_follower

TITLE = 'A change in force everywhere: time, messages, bytes, CPU by nodes'

SIZES = (8, 32, 128, 512)
QUICK_SIZES = (4, 8, 16)
CHANGES = 10
SETTLE_S = 12.0
BETWEEN_S = 9.0
LOSSES = (0.0, 0.2)
STEP_S = 0.05


class Rig:
    """Some followers and one control host on a fake network."""

    def __init__(self, nodes: int, loss: float, seed: int) -> None:
        self.network = fakes.Network(seed, loss)
        self.group = test_follower.Group()
        end = self.network.transport(test_follower.CONTROL)
        rng = random.Random(seed)
        self.publisher = publisher.Publisher(end, self.group, rng)
        members = [fakes.member(number) for number in range(nodes)]
        self.followers = [
            follower.Follower(
                self.network.transport(me.peer),
                fakes.Members(me, [m for m in members if m != me]),
                [test_follower.CONTROL],
                timeline.Timeline(me.host, 100),
                random.Random('%s/%d' % (me.host, seed)),
            )
            for me in members
        ]

    async def start(self) -> None:
        """Start all and let them settle on a first version."""
        self.group.accept(**{'customer/c%d' % n: 'v' for n in range(500)})
        for node in self.followers:
            await node.start()
        await asyncio.sleep(SETTLE_S)

    async def stop(self) -> None:
        """Stop all."""
        for node in self.followers:
            await node.stop()

    async def change(self, number: int) -> float:
        """Accept a change of one row; return seconds until all have it."""
        begin = asyncio.get_running_loop().time()
        self.group.accept(**{'customer/c7': 'value-%d' % number})
        while any(n.version() != self.group.held for n in self.followers):
            await asyncio.sleep(STEP_S)
        return asyncio.get_running_loop().time() - begin


class Cost:
    """What the messages of one stretch of virtual time came to."""

    def __init__(self, network: fakes.Network) -> None:
        self.network = network
        self.messages = network.carried
        self.bytes = network.carried_bytes
        self.cpu = time.process_time()

    def since(self) -> tuple[int, int, float]:
        """Return messages, bytes and processor seconds since then."""
        return (
            self.network.carried - self.messages,
            self.network.carried_bytes - self.bytes,
            time.process_time() - self.cpu,
        )


async def _measure(nodes: int, loss: float, seed: int, changes: int):
    rig = Rig(nodes, loss, seed)
    await rig.start()
    idle = Cost(rig.network)
    await asyncio.sleep(changes * BETWEEN_S)
    quiet = idle.since()
    busy = Cost(rig.network)
    times = []
    for number in range(changes):
        times.append(await rig.change(number))
        await asyncio.sleep(max(BETWEEN_S - times[-1], 0))
    loud = busy.since()
    await rig.stop()
    extra = [(b - a) / changes / nodes for a, b in zip(quiet, loud)]
    return times, extra


def run(seed: int, quick: bool) -> list:
    """Measure at three sizes, without loss and with a fifth lost."""
    sizes = QUICK_SIZES if quick else SIZES
    changes = 3 if quick else CHANGES
    found = []
    by_size = {}
    for loss in LOSSES:
        for nodes in sizes:
            job = _measure(nodes, loss, seed, changes)
            times, extra = fakes.run(job)
            by_size[loss, nodes] = extra
            name = 'spread.loss%d.nodes%d' % (loss * 100, nodes)
            found.append(figures.bootstrap(name + '.median', 's', times))
            found.append(figures.Figure(name + '.max', max(times), 's'))
    largest = by_size[0.0, sizes[-1]]
    found.extend(
        figures.Figure('spread.per_change_and_node.' + what, value, unit)
        for what, value, unit in (
            ('messages', largest[0], 'messages sent'),
            ('bytes', largest[1], 'bytes sent'),
            ('cpu', largest[2] * 1e6, 'us, no sockets'),
        )
    )
    found.append(
        figures.fit(
            'spread.messages.by_nodes',
            'messages/node/change',
            [(nodes, by_size[0.0, nodes][0]) for nodes in sizes],
        )
    )
    return found
