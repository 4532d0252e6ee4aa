"""Tests of coordinators and nodes together, over a faulty network."""

import asyncio
import collections
import itertools

import pytest

from bench import detection_model as model
from carawaystair import interfaces
from carawaystair import invariants
from test import fakes

FAST = model.Policy('fast', 'fast')
# Busy enough to show effects within a few virtual seconds.
SITE = model.Site('test', 8, 5, 9, 4, 15.0)


def run_world(body, seed=1, site=SITE, policy=FAST, warm_s=8.0):
    """Run ``body(world)`` once a world has warmed up."""

    invariants.BROKEN.clear()

    async def _run():
        world = model.World(site, policy, seed)
        await world.start()
        await asyncio.sleep(warm_s)
        await body(world)
        await world.stop()

    fakes.run(_run())
    # Handlers run in tasks of their own, where an exception is not seen.
    assert not invariants.BROKEN


def ejected_by_node(world):
    """Return the upstreams that each node ejects."""
    return [node.outlier.ejected(model.SERVICE) for node in world.frontends]


def leader(world):
    """Return the node that coordinates the service."""
    return next(
        node
        for node in world.frontends
        if any(role.leading for role in node.outlier.leadership.roles.values())
    )


def event_kinds(world):
    return {event.kind for event in world.events()}


def test_hung_upstream_is_ejected_and_returns():
    """Guards against a hung upstream that goes unnoticed by every node.

    An upstream accepts requests for ten seconds and never answers.  Each node
    sees few failures; only the pooled evidence is enough.
    """

    async def body(world):
        world.servers[3].hung = True
        await asyncio.sleep(3)
        assert all(ejected == {'u03'} for ejected in ejected_by_node(world))
        world.servers[3].hung = False
        world.servers[3].release()
        await asyncio.sleep(30)
        assert not any(ejected_by_node(world))
        assert 'upstream-returned' in event_kinds(world)

    run_world(body)


def test_floor_holds_when_most_upstreams_hang():
    """Six of eight upstreams hang; the floor allows four ejections."""

    async def body(world):
        for server in world.servers[:6]:
            server.hung = True
        await asyncio.sleep(6)
        assert all(
            2 <= len(ejected) <= 4 for ejected in ejected_by_node(world)
        )

    run_world(body)


def test_service_outage_suspends_ejections():
    """Guards against the loss of half of the capacity in an outage.

    A dependency of all eight upstreams fails and all hang within a second;
    each must not be decided on alone.
    """

    async def body(world):
        for server in world.servers:
            server.hung = True
            await asyncio.sleep(0.1)
        await asyncio.sleep(6)
        assert 'all-upstreams-bad' in event_kinds(world)
        assert not any(ejected_by_node(world))

    run_world(body)


def test_takeover_keeps_ejections():
    """Guards against work for a gray upstream after a change of coordinator.

    The coordinator dies after an ejection and the members notice after two
    seconds; its successor must learn which leases are outstanding.
    """

    async def body(world):
        world.servers[3].hung = True
        await asyncio.sleep(3)
        dead = leader(world)
        world.network.remove(dead.outlier.members.me.gossip)
        await dead.outlier.stop()
        await asyncio.sleep(2)
        for node in world.frontends:
            members = node.outlier.members
            members.others = [
                one
                for one in members.others
                if one.host != dead.outlier.members.me.host
            ]
        alive = [node for node in world.frontends if node is not dead]
        for _check in range(100):
            await asyncio.sleep(0.2)
            assert all(
                node.outlier.ejected(model.SERVICE) == {'u03'}
                for node in alive
            )
        takeover = world.events('coordinator-took-over')[-1]
        assert takeover.text == 'Epoch 2 with 1 outstanding.'

    run_world(body)


def test_one_way_partition_of_one_node_ejects_nothing():
    """Guards against the ejection of a healthy upstream for one path.

    One node's packets to one upstream are lost, answers would arrive, and the
    node reports nothing but timeouts.
    """

    async def body(world):
        world.servers[3].deaf_to = frozenset({5})
        await asyncio.sleep(15)
        assert 'upstream-ejected' not in event_kinds(world)
        sent = collections.Counter(
            one.node
            for one in world.sent[len(world.sent) // 2 :]
            if one.server == 3 and one.first
        )
        others = sum(sent.values()) - sent[5]
        assert sent[5] < others / 8 / 2

    run_world(body)


def test_one_data_centre_cut_from_an_upstream_ejects_it_there_only():
    async def body(world):
        cut = {n for n in range(9) if n % 4 == 2}
        world.servers[3].deaf_to = frozenset(cut)
        await asyncio.sleep(6)
        ejected = ejected_by_node(world)
        assert {n for n in range(9) if 'u03' in ejected[n]} == cut

    run_world(body)


def test_silent_connections_do_not_eject_the_upstream():
    """Guards against the ejection of a healthy upstream for lost connections.

    A middlebox has dropped all open connections to an upstream: each request
    waits, then works on a new connection.  An overdue answer on an old
    connection must not count like one on a new connection.
    """

    async def body(world):
        world.silent_server = 3
        world.silent_since = asyncio.get_running_loop().time()
        await asyncio.sleep(10)
        assert 'upstream-ejected' not in event_kinds(world)

    run_world(body)


def test_two_coordinators_during_a_partition_keep_the_floor():
    """Guards against ejections of two coordinators that add up.

    Half of the nodes lose sight of the other half, both sides elect a
    coordinator and eject two upstreams each, then the partition ends.
    """

    async def body(world):
        half = world.frontends[:4], world.frontends[4:]
        sides = [
            [node.outlier.members.me for node in side_nodes]
            for side_nodes in half
        ]
        names = [[member.gossip for member in side] for side in sides]
        world.network.cut(*names)
        for node in world.frontends:
            side = sides[node.number >= 4]
            me = node.outlier.members.me
            node.outlier.members.others = [m for m in side if m != me]
        for server in world.servers[:6]:
            server.hung = True
        await asyncio.sleep(6)
        world.network.heal()
        everyone = list(itertools.chain(*sides))
        for node in world.frontends:
            me = node.outlier.members.me
            node.outlier.members.others = [m for m in everyone if m != me]
        for _check in range(30):
            await asyncio.sleep(0.2)
            assert all(len(ejected) <= 4 for ejected in ejected_by_node(world))
        leaders = [
            node
            for node in world.frontends
            if any(
                role.leading for role in node.outlier.leadership.roles.values()
            )
        ]
        assert len(leaders) == 1

    run_world(body)


def test_cold_start_is_not_ejected():
    """A restarted upstream is slow while it warms up."""

    async def body(world):
        server = world.servers[3]
        cold = world.upstream(server, incarnation=2, warmup_s=10.0)
        server.factor = lambda request: 10.0
        world.directory.put(cold)
        await asyncio.sleep(8)
        server.factor = lambda request: 1.0
        await asyncio.sleep(8)
        assert 'upstream-ejected' not in event_kinds(world)

    run_world(body)


@pytest.mark.parametrize('loss', [0.2])
def test_message_loss_does_not_prevent_ejection(loss):
    async def body(world):
        world.network.loss = loss
        world.network.double = 0.1
        world.servers[3].hung = True
        await asyncio.sleep(6)
        assert all(ejected == {'u03'} for ejected in ejected_by_node(world))

    run_world(body)


def test_lost_state_is_repaired_by_the_next_report():
    """Guards against a gray upstream in use until leases are renewed.

    One node is cut off for a second, just when an upstream is ejected; its
    next report must show which leases it lacks.
    """

    async def body(world):
        chosen = leader(world)
        me = chosen.outlier.members.me.gossip
        cut_off = next(node for node in world.frontends if node is not chosen)
        world.network.cut(
            [me], [cut_off.outlier.members.me.gossip], both=False
        )
        world.servers[3].hung = True
        await asyncio.sleep(1.5)
        assert 'u03' in chosen.outlier.ejected(model.SERVICE)
        assert 'u03' not in cut_off.outlier.ejected(model.SERVICE)
        world.network.heal()
        await asyncio.sleep(1.2)
        assert 'u03' in cut_off.outlier.ejected(model.SERVICE)

    run_world(body)


def test_shedding_upstream_is_not_suspected():
    """An upstream sheds load with 503 and Retry-After."""

    async def body(world):
        for node in world.frontends:
            for _attempt in range(20):
                node.outlier.record(
                    interfaces.Attempt(
                        model.SERVICE,
                        'u03',
                        'big',
                        interfaces.SHED,
                        0.001,
                        0.0,
                    )
                )
                await asyncio.sleep(0.02)
        assert 'upstream-suspected' not in event_kinds(world)

    run_world(body)
