"""Steps of ``leaving.feature``, checked in the directories of nodes."""

import asyncio

import pytest
import pytest_bdd

from carawaystair.membership import messages
from test import fakes
from test import test_membership as membership_tests

pytest_bdd.scenarios('leaving.feature')

OWNER = 7


class World:
    """A fleet of nodes in virtual time.

    :ivar first_record: the record with the first announcement of ``a``.
    """

    def __init__(self):
        self.runner = asyncio.Runner(loop_factory=fakes.VirtualLoop)
        self.network = fakes.Network(seed=3)
        self.nodes = []
        self.first_record = None

    def run(self, coroutine):
        """Run a coroutine to its end."""
        return self.runner.run(coroutine)

    async def wait(self, seconds):
        """Wait in virtual time."""
        await asyncio.sleep(seconds)

    def nodes_listing_up(self):
        """Return the nodes other than the owner that list ``a`` as up."""
        others = [n for n in self.nodes if n is not self.nodes[OWNER]]
        return [
            n
            for n in others
            if membership_tests.upstream_states(n).get('a') == 'up'
        ]


@pytest.fixture
def world():
    """Provide a world whose event loop is closed after the test."""
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
    assert len(world.nodes_listing_up()) == 19
    world.first_record = world.nodes[OWNER].table.own_entry.record


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
def _stops_renewal(world):
    async def _run():
        registry = world.nodes[OWNER].registry
        registry.lease_s = 0.0
        registry.leases['a'] = registry.leases['a']._replace(expires_at=0.0)
        await asyncio.sleep(0.25)

    world.run(_run())


@pytest_bdd.when('its announcement is sent again, late and from everywhere')
def _resent_late(world):
    async def _run():
        await asyncio.sleep(2)
        batch = messages.Batch((world.first_record,))
        for sender in world.nodes:
            for receiver in world.nodes:
                sender.transport.send(receiver.identity.peer, batch)

    world.run(_run())


@pytest_bdd.when('the host of the upstream vanishes')
def _vanishes(world):
    async def _run():
        membership_tests.crash(world.network, world.nodes[OWNER])

    world.run(_run())


@pytest_bdd.then(
    pytest_bdd.parsers.parse('within {limit:d} seconds no node lists it as up')
)
def _unlisted_within(world, limit):
    world.run(world.wait(limit))
    assert world.nodes_listing_up() == []


@pytest_bdd.then(
    pytest_bdd.parsers.parse('for {time:d} seconds no node lists it as up')
)
def _remains_unlisted(world, time):
    for _second in range(time * 4):
        assert world.nodes_listing_up() == []
        world.run(world.wait(0.25))
