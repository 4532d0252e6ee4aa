"""Tests of membership as a whole: joining, spreading, leaving."""

import asyncio
import random

from carawaystair.membership import registry
from carawaystair.membership import service
from carawaystair import timeline
from test import fakes


def make(network, number, seeds=(0,), incarnation=1, **settings):
    """Return the membership of one made-up process."""
    member = fakes.member(number)
    transport = network.transport(member.peer)
    return service.Membership(
        service.Identity(
            member.host,
            member.data_centre,
            member.region,
            member.peer,
            member.gossip,
        ),
        transport,
        transport,
        timeline.Timeline(member.host),
        random.Random(number),
        incarnation=incarnation,
        seeds=[fakes.member(seed).peer for seed in seeds],
        **settings,
    )


async def fleet(network, size, **settings):
    """Start ``size`` processes that join through the first one."""
    nodes = [make(network, number, **settings) for number in range(size)]
    for node in nodes:
        await node.start()
    await asyncio.sleep(3)
    return nodes


def announce(node, name, state='up', incarnation=0):
    """Announce an upstream of the service ``stock`` at its node."""
    said = registry.Announcement(
        'stock', '127.0.0.1:9000', 4, state=state, incarnation=incarnation
    )
    return node.registry.announce(name, said, 1)


def states(node):
    """Return what a node knows of the service ``stock``."""
    return {u.id: u.state for u in node.directory.upstreams('stock')}


def test_join_and_announce():
    async def _run():
        nodes = await fleet(fakes.Network(), 4)
        assert {len(node.members.alive()) for node in nodes} == {4}
        announce(nodes[1], 'a')
        await asyncio.sleep(0.5)
        assert [states(node) for node in nodes] == [{'a': 'up'}] * 4
        announce(nodes[1], 'a', 'draining')
        await asyncio.sleep(0.1)
        assert [states(node) for node in nodes] == [{'a': 'draining'}] * 4
        await asyncio.sleep(6.5)
        assert [states(node) for node in nodes] == [{}] * 4

    fakes.run(_run())
