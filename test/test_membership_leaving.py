"""Steps of the feature about leaving, at the level of the directory."""

import asyncio

import pytest
import pytest_bdd

from carawaystair.membership import messages
from test import fakes
from test import test_membership as membership_tests

pytest_bdd.scenarios('leaving.feature')

OWNER = 7


class World:
    """A fleet in virtual time."""

    def __init__(self):
        self.runner = asyncio.Runner(loop_factory=fakes.VirtualLoop)
        self.network = fakes.Network(seed=3)
        self.nodes = []
        self.first = None

    def run(self, coroutine):
        """Run a step to its end."""
        return self.runner.run(coroutine)

    async def wait(self, seconds):
        """Let time pass."""
        await asyncio.sleep(seconds)

    def up(self):
        """Return the other nodes that list the upstream as up."""
        others = [n for n in self.nodes if n is not self.nodes[OWNER]]
        return [
            n
            for n in others
            if membership_tests.upstream_states(n).get('a') == 'up'
        ]


@pytest.fixture
def world():
    """Return a world that is closed in the end."""
    result = World()
    yield result
    result.runner.close()


@pytest_bdd.given('a fleet of 20 nodes without any control host')
def _fleet(world):
    world.nodes = world.run(membership_tests.start_fleet(world.network, 20))


@pytest_bdd.given(
    'an upstream "a" of the service "stock" that all nodes list as up'
)
def _upstream(world):
    async def _run():
        membership_tests.announce(world.nodes[OWNER], 'a')
        await asyncio.sleep(1)

    world.run(_run())
    assert len(world.up()) == 19
    world.first = world.nodes[OWNER].table.me.record


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        '{loss:d} percent of the messages between nodes are lost'
    )
)
def _loss(world, loss):
    world.network.loss = loss / 100


@pytest_bdd.when('the upstream drains')
def _drains(world):
    async def _run():
        membership_tests.announce(world.nodes[OWNER], 'a', 'draining')

    world.run(_run())


@pytest_bdd.when('the upstream leaves')
def _leaves(world):
    async def _run():
        world.nodes[OWNER].registry.remove('a')

    world.run(_run())


@pytest_bdd.when('the upstream stops renewal')
def _silent(world):
    async def _run():
        registry = world.nodes[OWNER].registry
        registry.lease_s = 0.0
        registry.leases['a'] = registry.leases['a']._replace(until=0.0)
        await asyncio.sleep(0.25)

    world.run(_run())


@pytest_bdd.when('its announcement is sent again, late and from everywhere')
def _late(world):
    async def _run():
        await asyncio.sleep(2)
        batch = messages.Batch((world.first,))
        for one in world.nodes:
            for other in world.nodes:
                one.transport.send(other.identity.peer, batch)

    world.run(_run())


@pytest_bdd.when('the host of the upstream vanishes')
def _vanishes(world):
    async def _run():
        membership_tests.crash(world.network, world.nodes[OWNER])

    world.run(_run())


@pytest_bdd.then(
    pytest_bdd.parsers.parse('within {limit:d} seconds no node lists it as up')
)
def _within(world, limit):
    world.run(world.wait(limit))
    assert world.up() == []


@pytest_bdd.then(
    pytest_bdd.parsers.parse('for {time:d} seconds no node lists it as up')
)
def _for(world, time):
    for _second in range(time * 4):
        assert world.up() == []
        world.run(world.wait(0.25))
