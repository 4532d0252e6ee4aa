"""Tests of a fleet that starts all at once over slow links."""

import asyncio
import collections
import random
import typing

import pytest

from carawaystair.membership import messages
from carawaystair import wire
from test import fakes
from test import test_membership as membership_tests

HOSTS = 60
CENTRES = 6
LINK_BYTES_S = 287_000
START_S = 1.0
SERVING_S = 2.0
DURATION_S = 12.0


class Traffic(typing.NamedTuple):
    """Counts of what the hosts of a fleet sent to each other.

    :param bytes: bytes by message type.
    :param remote: bytes sent between data centres, as the only item.
    :param records: deliveries by flooding, by receiver and record version.
    """

    bytes: collections.Counter
    remote: list[int]
    records: collections.Counter


def observe(network, centres) -> Traffic:
    """Count what a network transports from now on.

    :param centres: data centres by address.
    """
    traffic = Traffic(collections.Counter(), [0], collections.Counter())

    def count(source, target, data):
        message = wire.decode(data).ok.message
        traffic.bytes[type(message).__name__] += len(data)
        if centres[source] != centres[target]:
            traffic.remote[0] += len(data)
        if isinstance(message, messages.Batch):
            for record in message.records:
                key = (target, record.host, record.version)
                traffic.records[key] += 1

    network.observers.append(count)
    return traffic


async def start_at_once(network, size, seed=1):
    """Start hosts within START_S; each announces an upstream afterwards."""
    rng = random.Random(seed)
    nodes = [
        membership_tests.make_node(
            network, number, tuple(range(5)), centres=CENTRES
        )
        for number in range(size)
    ]
    loop = asyncio.get_running_loop()
    tasks = []
    for node in nodes:
        tasks.append(loop.create_task(_start(node, rng.uniform(0, START_S))))
    await asyncio.gather(*tasks)
    return nodes


async def _start(node, after_s):
    await asyncio.sleep(after_s)
    await node.start()
    await asyncio.sleep(SERVING_S)
    membership_tests.announce(node, 'u-%s' % node.identity.host)


def suspicions(nodes):
    """Return the number of suspicions recorded by all nodes."""
    return sum(
        membership_tests.event_kinds(node).count('member-suspected')
        for node in nodes
    )


def test_start_of_a_fleet_does_not_saturate_slow_links():
    """Guards against joins that are flooded over every link at once."""

    async def _run():
        network = fakes.Network(seed=3, link_bytes_s=LINK_BYTES_S)
        centres = {
            fakes.member(number, CENTRES).peer: number % CENTRES
            for number in range(HOSTS)
        }
        traffic = observe(network, centres)
        nodes = await start_at_once(network, HOSTS)
        await asyncio.sleep(DURATION_S - START_S - SERVING_S)
        assert all(
            len(membership_tests.upstream_states(node)) == HOSTS
            for node in nodes
        )
        assert suspicions(nodes) == 0
        sent = sum(traffic.bytes.values()) / HOSTS / DURATION_S
        assert sent <= 30_000
        copies = traffic.records.values()
        assert sum(copies) / len(copies) <= 1.2
        return traffic

    fakes.run(_run())


@pytest.mark.parametrize('loss', [0.0, 0.2])
def test_drain_reaches_all_nodes_within_two_seconds(loss):
    """Guards against a drain that queues behind the start of a fleet."""

    async def _run():
        network = fakes.Network(seed=4, link_bytes_s=LINK_BYTES_S)
        nodes = await start_at_once(network, HOSTS)
        network.loss = loss
        for node in nodes[1:4]:
            name = 'u-%s' % node.identity.host
            membership_tests.announce(node, name, 'draining')
            began = asyncio.get_running_loop().time()
            while not all(
                membership_tests.upstream_states(other).get(name, 'draining')
                == 'draining'
                for other in nodes
            ):
                now = asyncio.get_running_loop().time()
                assert now - began < 2.0
                await asyncio.sleep(0.01)

    fakes.run(_run())
