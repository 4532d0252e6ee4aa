"""Tests of membership as a whole: joining, leaving, coming back.

The helpers at the top are used by the other tests of membership, too.
"""

import asyncio
import random

import pytest

from carawaystair import interfaces
from carawaystair.membership import expiry
from carawaystair.membership import messages
from carawaystair.membership import registry
from carawaystair.membership import service
from carawaystair import node as node_module
from carawaystair import timeline
from test import fakes


def make_node(
    network, number, seeds=(0, 1), incarnation=1, centres=4, **settings
):
    """Return the membership of one made-up process."""
    member = fakes.member(number, centres)
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


async def start_fleet(network, size, settle_s=3.0, **settings):
    """Start ``size`` processes that join through two seeds."""
    nodes = [make_node(network, number, **settings) for number in range(size)]
    for node in nodes:
        await node.start()
    await asyncio.sleep(settle_s)
    assert {len(node.members.alive()) for node in nodes} == {size}
    return nodes


def crash(network, node):
    """Let the process of a node end without a word."""
    mine = [node.identity.peer]
    others = [address for address in network.ends if address not in mine]
    network.remove(node.identity.peer)
    network.cut(mine, others)


def announce(node, name, state='up', incarnation=0, service='stock'):
    """Announce an upstream at its node, for a long time."""
    node.registry.lease_s = 1e6
    said = registry.Announcement(
        service, '127.0.0.1:9000', 4, state=state, incarnation=incarnation
    )
    return node.registry.announce(name, said, 1)


def upstream_states(node, service='stock'):
    """Return what a node knows of the upstreams of a service."""
    return {u.id: u.state for u in node.directory.upstreams(service)}


def alive_hosts(node):
    """Return the hosts that a node believes alive."""
    return {member.host for member in node.members.alive()}


def event_kinds(node):
    """Return the kinds of events that a node recorded."""
    return [event.kind for event in node.timeline.ring]


def test_join_announce_drain_and_leave():
    async def _run():
        nodes = await start_fleet(fakes.Network(), 4)
        announce(nodes[1], 'a')
        await asyncio.sleep(0.5)
        assert [upstream_states(node) for node in nodes] == [{'a': 'up'}] * 4
        announce(nodes[1], 'a', 'draining')
        await asyncio.sleep(0.1)
        assert [upstream_states(node) for node in nodes] == [
            {'a': 'draining'}
        ] * 4
        nodes[1].registry.remove('a')
        await asyncio.sleep(0.1)
        assert [upstream_states(node) for node in nodes] == [{}] * 4
        wanted = ['upstream-up', 'upstream-draining', 'upstream-gone']
        assert [k for k in event_kinds(nodes[1]) if k in wanted] == wanted

    fakes.run(_run())


def test_a_process_that_stops_takes_its_upstreams_along():
    """A process is stopped in an orderly way.

    Symptom: its upstreams get work for seconds after, on connections that
    nobody serves.  Sequence: stop, and only then silence.  Cause: the others
    must find out by probes what the process could have told them.
    """

    async def _run():
        nodes = await start_fleet(fakes.Network(loss=0.2), 6, settle_s=10)
        announce(nodes[5], 'a')
        await asyncio.sleep(1)
        await nodes[5].stop()
        await asyncio.sleep(0.1)
        assert all(upstream_states(node) == {} for node in nodes[:5])
        assert all(len(alive_hosts(node)) == 5 for node in nodes[:5])
        assert 'member-dead' not in event_kinds(nodes[0])

    fakes.run(_run())


def test_any_seed_will_do():
    """The first seed is down when a process starts.

    Symptom: it never joins.  Sequence: seed lost, then the start.  Cause:
    it goes on asking the seed that it chose first.
    """

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 4)
        crash(network, nodes[0])
        late = make_node(network, 4)
        await late.start()
        await asyncio.sleep(15)
        assert alive_hosts(late) == {
            node.members.me.host for node in nodes[1:]
        } | {late.members.me.host}

    fakes.run(_run())


def test_lost_host_returns_with_its_upstreams_unannounced():
    """A host is silent for a while, then back.

    Symptom: its upstreams stay listed while it is away, or all are announced
    anew when it is back.  Sequence: silence, declared dead, heard again.
    Cause: liveness and announcements taken for one thing.
    """

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 5)
        announce(nodes[4], 'a')
        await asyncio.sleep(1)
        others = [node.identity.peer for node in nodes[:4]]
        network.cut([nodes[4].identity.peer], others)
        await asyncio.sleep(10)
        assert all(upstream_states(node) == {} for node in nodes[:4])
        assert 'member-dead' in event_kinds(nodes[0])
        version = nodes[4].table.me.record.version
        network.heal()
        await asyncio.sleep(6)
        assert all(upstream_states(node) == {'a': 'up'} for node in nodes)
        assert 'member-back' in event_kinds(nodes[0])
        assert nodes[4].table.me.record.version == version

    fakes.run(_run())


def test_restart_behind_a_clock_set_back():
    """A process comes back on its address with a smaller incarnation.

    Symptom: the fleet goes on with what the old process announced.
    Sequence: the process dies, its clock is set back, it starts.  Cause: its
    record is numbered lower than the one that the others hold.
    """

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 4, incarnation=1000)
        announce(nodes[3], 'old')
        await asyncio.sleep(1)
        crash(network, nodes[3])
        await nodes[3].stop()
        network.heal()
        again = make_node(network, 3, incarnation=10)
        await again.start()
        announce(again, 'new')
        await asyncio.sleep(5)
        everybody = [*nodes[:3], again]
        assert all(
            upstream_states(node) == {'new': 'up'} for node in everybody
        )
        assert all(len(alive_hosts(node)) == 4 for node in everybody)

    fakes.run(_run())


def test_another_host_on_a_known_address():
    """A host is replaced by another with the same address.

    Symptom: the host that is gone stays alive for ever.  Sequence: host 3
    dies, host 4 starts on its address.  Cause: the new one answers probes
    that mean the old one.
    """

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 4)
        crash(network, nodes[3])
        network.heal()
        other = make_node(network, 3)
        other.identity = other.identity._replace(host='host-new')
        other = service.Membership(
            other.identity,
            other.transport,
            other.datagrams,
            other.timeline,
            random.Random(9),
            incarnation=2,
            seeds=[fakes.member(0).peer],
        )
        await other.start()
        await asyncio.sleep(8)
        wanted = {'host-000', 'host-001', 'host-002', 'host-new'}
        assert all(alive_hosts(node) == wanted for node in [*nodes[:3], other])

    fakes.run(_run())


def test_a_process_that_was_frozen_for_long_trusts_nothing():
    """A process stands still for two hours, then goes on.

    Symptom: an upstream that left long ago gets work again.  Sequence: a
    process is frozen; a host leaves and is forgotten by the others; the
    process thaws.  Cause: what it still believes spreads as if it were new.
    """

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 5)
        announce(nodes[4], 'a')
        await asyncio.sleep(1)
        frozen = nodes[3]
        frozen.transport.handlers, kept = {}, frozen.transport.handlers
        await nodes[4].stop()
        for node in nodes[:3]:
            node.table.forget('host-004')
        assert upstream_states(frozen) == {'a': 'up'}
        frozen.prober.suspicions.pause_listeners[0](7200.0)
        frozen.transport.handlers = kept
        assert upstream_states(frozen) == {}
        await asyncio.sleep(10)
        assert all(upstream_states(node) == {} for node in nodes[:4])
        assert all(len(alive_hosts(node)) == 4 for node in nodes[:4])

    fakes.run(_run())


def test_forgetting_is_bounded_both_ways(monkeypatch):
    monkeypatch.setattr(expiry, 'LEFT_RETENTION_S', 60.0)

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 4)
        await nodes[3].stop()
        crash(network, nodes[2])
        await asyncio.sleep(55)
        assert nodes[0].table.entries['host-003'].state == messages.LEFT
        await asyncio.sleep(20)
        assert 'host-003' not in nodes[0].table.entries
        assert nodes[0].table.entries['host-002'].state == messages.DEAD

    fakes.run(_run())


def test_members_tell_who_comes_and_goes():
    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 3)
        seen = []
        nodes[0].members.subscribe(lambda m, up: seen.append((m.host, up)))
        crash(network, nodes[2])
        await asyncio.sleep(10)
        late = make_node(network, 7)
        await late.start()
        await asyncio.sleep(3)
        assert seen == [('host-002', False), ('host-007', True)]
        assert isinstance(nodes[0].members.me, interfaces.Member)

    fakes.run(_run())


@pytest.mark.parametrize(('left_s', 'most_s'), [(0.3, 0.4), (10.0, 1.6)])
def test_leave_ends_within_the_time_that_a_stop_has(left_s, most_s):
    """One of 25 processes was killed when its grace of 6 s was over.

    Its requests had used 5.65 s; then it waited 1.5 s for members to
    acknowledge that it leaves, which were down themselves.
    """

    async def scenario():
        network = fakes.Network()
        nodes = await start_fleet(network, 5)
        for node in nodes[1:]:
            crash(network, node)
        loop = asyncio.get_running_loop()
        began = loop.time()
        nodes[0].leave_by = began + left_s
        await nodes[0].leave()
        return loop.time() - began

    assert fakes.run(scenario()) <= most_s


def test_stop_of_a_node_bounds_its_leave():
    async def scenario():
        document = {
            'host': 'h1',
            'data_centre': 'a',
            'region': 'r',
            'node': {'drain_s': 4.0, 'gateway': '127.0.0.1:7001'},
        }
        kernel = fakes.Kernel(fakes.Network(), document)
        made = node_module.make(kernel)
        await made.on_stop()
        return made.membership.leave_by

    assert fakes.run(scenario()) == 4.0
