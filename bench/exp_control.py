"""What control costs a whole node under load, by the number of nodes.

Membership, directory, configuration and outlier detection of all nodes run
together in virtual time; their messages are counted on the fake network.
Processor time has the fakes' share in it and lacks that of the sockets,
which ``links`` measures.
"""

import asyncio
import gc
import random
import time
import tracemalloc
import typing

from bench import figures
from carawaystair import clock
from carawaystair import interfaces
from carawaystair import logs
from carawaystair import manifest as manifests
from carawaystair.membership import registry
from test import fakes
from test import test_sessions

TITLE = 'Control of a whole node: messages, bytes, CPU, memory by nodes'

NODES = (8, 16, 32)
SERVICES = (4, 16, 64)
QUICK = (2, 3, 4)
# What stays while the other grows.
FIXED_NODES = 16
FIXED_SERVICES = 4
UPSTREAMS = 11
SETTLE_S = 30.0
MEASURED_S = 20.0
REQUESTS_S = 20.0
ERROR_SHARE = 0.01


class Busy(test_sessions.Session):
    """Nodes with several upstreams each, and callers at every node.

    :param nodes: how many.
    :param services: how many; callers ask all of them alike.
    :param seed: of all randomness.
    """

    def __init__(self, nodes: int, services: int, seed: int) -> None:
        self.names = ['service-%d' % number for number in range(services)]
        services = dict.fromkeys(self.names, manifests.Service())
        manifest = test_sessions.MANIFEST._replace(
            services=services,
            routes=tuple(
                manifests.Route('/' + name, name) for name in self.names
            ),
        )
        super().__init__(nodes, seed, manifest)

    async def _renew(self, node) -> None:
        number = self.nodes.index(node)
        while True:
            for place in range(UPSTREAMS):
                name = self.names[(number + place) % len(self.names)]
                said = registry.Announcement(
                    name, '127.0.0.1:%d' % (10_000 + place), 5
                )
                node.membership.registry.announce(
                    '%s-%d-%d' % (name, number, place),
                    said,
                    node.kernel.incarnation,
                )
            await asyncio.sleep(2)

    async def _ask(self, node) -> None:
        rng = random.Random(node.kernel.settings.host)
        while True:
            await asyncio.sleep(rng.expovariate(REQUESTS_S))
            name = rng.choice(self.names)
            known = node.directory.upstreams(name)
            if not known:
                continue
            failed = rng.random() < ERROR_SHARE
            outcome = interfaces.ERROR if failed else interfaces.GOOD
            chosen = rng.choice(known).id
            took = rng.uniform(0.01, 0.03)
            attempt = interfaces.Attempt(
                name, chosen, 'firm-a', outcome, took, clock.now() - took, 'r'
            )
            node.outlier.record(attempt)


class Bill(typing.NamedTuple):
    """What control costs one node."""

    messages_s: float
    bytes_s: float
    cpu_us_s: float


async def _measure(nodes: int, services: int, seed: int) -> Bill:
    """Return the bill of a node."""
    busy = Busy(nodes, services, seed)
    await busy.start(SETTLE_S)
    network = busy.network
    sent, size = network.carried, network.carried_bytes
    begin = time.process_time()
    await asyncio.sleep(MEASURED_S)
    spent = time.process_time() - begin
    share = nodes * MEASURED_S
    found = Bill(
        (network.carried - sent) / share,
        (network.carried_bytes - size) / share,
        spent * 1e6 / share,
    )
    await busy.stop()
    return found


def _memory(nodes: int, seed: int) -> float:
    """Return bytes that a node holds."""

    async def _settled() -> float:
        busy = Busy(nodes, FIXED_SERVICES, seed)
        await busy.start(SETTLE_S)
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        await busy.stop()
        return held / nodes

    tracemalloc.start()
    found = fakes.run(_settled())
    tracemalloc.stop()
    return found


def _slopes(by: str, points: list[tuple[int, Bill]]) -> list:
    units = ('messages sent/s', 'bytes sent/s', 'us/s')
    return [
        figures.fit(
            'control.%s.by_%s' % (field, by),
            '%s a node' % unit,
            [(size, getattr(bill, field)) for size, bill in points],
        )
        for field, unit in zip(Bill._fields, units)
    ]


def run(seed: int, quick: bool) -> list:
    """Measure at three sizes of each kind."""
    logs.setup('warning')
    nodes = QUICK if quick else NODES
    services = QUICK if quick else SERVICES
    by_nodes = [
        (size, fakes.run(_measure(size, FIXED_SERVICES, seed)))
        for size in nodes
    ]
    by_services = [
        (size, fakes.run(_measure(FIXED_NODES, size, seed)))
        for size in services
    ]
    memory = [(size, _memory(size, seed)) for size in nodes]
    return [
        *_slopes('nodes', by_nodes),
        *_slopes('services', by_services),
        figures.fit('control.memory.by_nodes', 'bytes a node', memory),
    ]
