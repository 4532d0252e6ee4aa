"""Tests of the membership service: joining, leaving and returning.

Other tests of membership use the helpers at the top, too.
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
    """Return the membership service of one simulated process."""
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
    """Cut a node off as if its process had crashed."""
    own = [node.identity.peer]
    others = [address for address in network.ends if address not in own]
    network.remove(node.identity.peer)
    network.cut(own, others)


def announce(node, name, state='up', incarnation=0, service='stock'):
    """Announce an upstream at its node, with a lease that doesn't expire."""
    node.registry.lease_s = 1e6
    announcement = registry.Announcement(
        service, '127.0.0.1:9000', 4, state=state, incarnation=incarnation
    )
    return node.registry.announce(name, announcement, 1)


def upstream_states(node, service='stock'):
    """Return the states of a service's upstreams known to a node, by id."""
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


def test_graceful_stop_removes_upstreams_at_once():
    """Guards against a graceful stop that others detect only by probes.

    Until then they would send requests to its upstreams for seconds.
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


def test_process_joins_while_one_seed_is_down():
    """Guards against a process that keeps asking one unreachable seed."""

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 4)
        crash(network, nodes[0])
        newcomer = make_node(network, 4)
        await newcomer.start()
        await asyncio.sleep(15)
        assert alive_hosts(newcomer) == {
            node.members.me.host for node in nodes[1:]
        } | {newcomer.members.me.host}

    fakes.run(_run())


def test_upstreams_follow_the_liveness_of_their_host():
    """A host is unreachable, is declared dead, and becomes reachable again.

    Guards against upstreams that stay listed while their host is dead, and
    against a new announcement when it returns: liveness must be separate
    from records.
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
        version = nodes[4].table.own_entry.record.version
        network.heal()
        await asyncio.sleep(6)
        assert all(upstream_states(node) == {'a': 'up'} for node in nodes)
        assert 'member-back' in event_kinds(nodes[0])
        assert nodes[4].table.own_entry.record.version == version

    fakes.run(_run())


def test_restart_with_a_smaller_incarnation():
    """A process restarts after its clock was set back.

    Guards against a fleet that keeps the record of the old process because
    the incarnation of the new one is smaller.
    """

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 4, incarnation=1000)
        announce(nodes[3], 'old')
        await asyncio.sleep(1)
        crash(network, nodes[3])
        await nodes[3].stop()
        network.heal()
        restarted = make_node(network, 3, incarnation=10)
        await restarted.start()
        announce(restarted, 'new')
        await asyncio.sleep(5)
        all_nodes = [*nodes[:3], restarted]
        assert all(
            upstream_states(node) == {'new': 'up'} for node in all_nodes
        )
        assert all(len(alive_hosts(node)) == 4 for node in all_nodes)

    fakes.run(_run())


def test_new_host_on_the_address_of_a_dead_host():
    """A host dies and a host of another name starts on its address.

    Guards against a dead host that stays alive in the tables because the new
    host answers probes that target the old one.
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


def test_process_discards_its_table_after_a_long_pause():
    """A process is paused for two hours.

    Guards against an upstream that left meanwhile and is listed again: its
    host has been forgotten by the others, and the paused process would
    spread its outdated record as new.
    """

    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 5)
        announce(nodes[4], 'a')
        await asyncio.sleep(1)
        paused = nodes[3]
        paused.transport.handlers, kept = {}, paused.transport.handlers
        await nodes[4].stop()
        for node in nodes[:3]:
            node.table.forget('host-004')
        assert upstream_states(paused) == {'a': 'up'}
        paused.prober.suspicions.pause_listeners[0](7200.0)
        paused.transport.handlers = kept
        assert upstream_states(paused) == {}
        await asyncio.sleep(10)
        assert all(upstream_states(node) == {} for node in nodes[:4])
        assert all(len(alive_hosts(node)) == 4 for node in nodes[:4])

    fakes.run(_run())


def test_hosts_that_left_expire_before_dead_hosts(monkeypatch):
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


def test_members_notify_of_deaths_and_joins():
    async def _run():
        network = fakes.Network()
        nodes = await start_fleet(network, 3)
        seen = []
        nodes[0].members.subscribe(lambda m, up: seen.append((m.host, up)))
        crash(network, nodes[2])
        await asyncio.sleep(10)
        newcomer = make_node(network, 7)
        await newcomer.start()
        await asyncio.sleep(3)
        assert seen == [('host-002', False), ('host-007', True)]
        assert isinstance(nodes[0].members.me, interfaces.Member)

    fakes.run(_run())


@pytest.mark.parametrize(('left_s', 'max_s'), [(0.3, 0.4), (10.0, 1.6)])
def test_leave_ends_before_the_deadline_of_a_stop(left_s, max_s):
    """Guards against a leave that runs past the end of the grace period.

    One of 25 processes was killed at the end of its grace period of 6 s: its
    requests had taken 5.65 s, and the leave then waited 1.5 s for
    acknowledgements of members that were down themselves.
    """

    async def scenario():
        network = fakes.Network()
        nodes = await start_fleet(network, 5)
        for node in nodes[1:]:
            crash(network, node)
        loop = asyncio.get_running_loop()
        began = loop.time()
        nodes[0].leave_deadline = began + left_s
        await nodes[0].leave()
        return loop.time() - began

    assert fakes.run(scenario()) <= max_s


def test_stop_of_a_node_sets_the_deadline_of_its_leave():
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
        return made.membership.leave_deadline

    assert fakes.run(scenario()) == 4.0
