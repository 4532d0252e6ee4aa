"""The promises on configuration, as the feature tells them."""

import asyncio

import pytest
import pytest_bdd
from pytest_bdd import parsers

from test import fakes
from test import test_follower

pytest_bdd.scenarios('configuration.feature')


class World:
    """A fleet in virtual time that lives through the steps of a scenario."""

    def __init__(self):
        self.runner = asyncio.Runner(loop_factory=fakes.VirtualLoop)
        self.fleet = None
        self.changes = 0
        self.seen = []

    def do(self, coroutine):
        """Run a coroutine and go on with the same loop."""
        return self.runner.run(coroutine)

    def accept(self):
        """Accept a change of one row."""
        self.changes += 1
        self.fleet.group.accept(**{'customer/a': str(self.changes)})


@pytest.fixture
def world():
    """Return a world and end it after the scenario."""
    made = World()
    yield made
    made.do(made.fleet.stop())
    made.runner.close()


@pytest_bdd.given(
    parsers.parse(
        '{count:d} nodes and a control host, with {lost:d}% of messages lost'
    )
)
def _fleet(world, count, lost):
    world.fleet = test_follower.Fleet(count, loss=lost / 100)

    async def start():
        world.accept()
        for number in range(count):
            await world.fleet.start(number)
        await asyncio.sleep(10)

    world.do(start())


@pytest_bdd.when('a change is accepted')
def _change(world):
    async def accept():
        world.accept()

    world.do(accept())


@pytest_bdd.when(parsers.parse('{seconds:d} seconds pass'))
def _pass(world, seconds):
    world.do(asyncio.sleep(seconds))


@pytest_bdd.when('the control host loses its quorum')
def _no_quorum(world):
    world.fleet.group.quorum = False


@pytest_bdd.when('the control host is lost')
def _lost(world):
    world.fleet.network.remove(test_follower.CONTROL)


@pytest_bdd.when(parsers.parse('node {number:d} restarts'))
def _restart(world, number):
    async def restart():
        host = world.fleet.members[number].host
        old = [n for n in world.fleet.nodes if n.members.me.host == host]
        for node in old:
            await node.stop()
            world.fleet.nodes.remove(node)
        await world.fleet.start(number)

    world.do(restart())


@pytest_bdd.when(
    parsers.parse(
        '{count:d} changes are accepted while node {number:d} is away'
    )
)
def _many(world, count, number):
    async def many():
        peer = world.fleet.members[number].peer
        world.fleet.network.remove(peer)
        for _change in range(count):
            world.accept()
            await asyncio.sleep(0.02)
            versions = [node.version() for node in world.fleet.nodes]
            world.seen.append(versions)

    world.do(many())


@pytest_bdd.when(
    parsers.parse('node {number:d} hears control but is not heard by it')
)
def _unheard(world, number):
    peer = world.fleet.members[number].peer
    world.fleet.network.cut([peer], [test_follower.CONTROL], both=False)


@pytest_bdd.when(
    parsers.parse('node {number:d} is heard by control but does not hear it')
)
def _deaf(world, number):
    peer = world.fleet.members[number].peer
    world.fleet.network.cut([test_follower.CONTROL], [peer], both=False)


@pytest_bdd.then('every node has the newest version in force')
def _everywhere(world):
    newest = world.fleet.group.held
    found = [node.routing().version for node in world.fleet.nodes]
    assert found == [newest] * len(world.fleet.members)


@pytest_bdd.then(
    parsers.parse(
        'node {number:d} takes the word of its peers, not of the control host'
    )
)
def _peers(world, number):
    host = world.fleet.members[number].host
    node = next(n for n in world.fleet.nodes if n.members.me.host == host)
    assert node.routing().version == world.fleet.group.held
    assert node.confirmed_at is None
    assert len(node.vouching.vouchers) >= 3


@pytest_bdd.then('no node ever went back')
def _monotone(world):
    for earlier, later in zip(world.seen, world.seen[1:]):
        assert all(a <= b for a, b in zip(earlier, later))
