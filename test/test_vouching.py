"""When a node that starts while control is away serves by its peers."""

import asyncio
import random

import pytest

from carawaystair import rows
from carawaystair import vouching
from test import fakes
from test import test_follower as setups

# A node that can be ready is so within this many seconds.
BOUND_S = 20.0


def peers(count):
    return ['node-%d' % number for number in range(count)]


def test_peers_that_agree_are_enough_without_asking_all():
    found = vouching.Vouching()
    for host in peers(vouching.ENOUGH_PEERS):
        assert not found.enough(peers(100))
        found.mark_vouched(host)
        found.mark_asked(host)
    assert found.enough(peers(100))


def test_few_that_serve_are_enough_once_all_were_asked():
    found = vouching.Vouching()
    found.mark_vouched('node-0')
    for host in peers(4):
        assert not found.enough(peers(4))
        found.mark_asked(host)
    assert found.enough(peers(4))


def test_peers_of_which_none_serves_are_never_enough():
    found = vouching.Vouching()
    for host in peers(4):
        found.mark_asked(host)
    assert not found.enough(peers(4))
    assert not vouching.Vouching().enough([])


def test_hosts_that_are_gone_do_not_count_as_asked():
    found = vouching.Vouching()
    found.mark_vouched('gone-0')
    for number in range(4):
        found.mark_asked('gone-%d' % number)
    assert not found.enough(peers(4))


def test_in_a_large_fleet_a_bounded_number_is_asked():
    found = vouching.Vouching()
    found.mark_vouched('node-0')
    for host in peers(vouching.MOST_ASKED):
        found.mark_asked(host)
    assert found.enough(peers(2500))


@pytest.mark.parametrize(
    ('count', 'started'),
    [(2, 1), (4, 1), (4, 2), (4, 3), (5, 2), (7, 4), (7, 5), (40, 39)],
)
def test_nodes_that_start_without_control_serve(count, started):
    """Guards against nodes that refuse while fewer than three others serve."""

    async def scenario():
        fleet = setups.Fleet(count)
        fleet.group.accept(a='1')
        for number in range(count):
            await fleet.start(number)
        await asyncio.sleep(5)
        fleet.network.remove(setups.CONTROL)
        for node in fleet.nodes[:started]:
            await node.stop()
        again = [await fleet.start(number) for number in range(started)]
        await asyncio.sleep(BOUND_S)
        held = [node.routing().version for node in again]
        await fleet.stop()
        assert held == [fleet.group.held] * started

    fakes.run(scenario())


def test_node_serves_where_answers_of_peers_take_long():
    """Guards against words of peers that are dropped for coming late."""

    async def scenario():
        fleet = setups.Fleet(3, delay_s=(0.3, 0.4))
        fleet.group.accept(a='1')
        for number in range(2):
            await fleet.start(number)
        await asyncio.sleep(5)
        fleet.network.remove(setups.CONTROL)
        node = await fleet.start(2)
        await asyncio.sleep(BOUND_S)
        held = node.routing().version
        await fleet.stop()
        assert held == fleet.group.held

    fakes.run(scenario())


def test_fleet_that_starts_whole_without_control_waits_for_it():
    async def scenario():
        fleet = setups.Fleet(4)
        fleet.group.accept(a='1')
        fleet.group.quorum = False
        for number in range(4):
            await fleet.start(number)
        await asyncio.sleep(BOUND_S)
        before = {node.routing().version for node in fleet.nodes}
        fleet.group.quorum = True
        await asyncio.sleep(BOUND_S)
        after = {node.routing().version for node in fleet.nodes}
        await fleet.stop()
        assert (before, after) == ({rows.NONE}, {fleet.group.held})

    fakes.run(scenario())


class Play:
    """Random starts, cuts and changes; nodes keep their disks.

    :param seed: of all that is drawn.
    :param folder: holds a folder a node.
    """

    def __init__(self, seed, folder):
        self.rng = random.Random('vouching %d' % seed)
        self.fleet = setups.Fleet(self.rng.randint(2, 6))
        self.folder = folder
        self.running = {}
        # The newest version that each node had in force.
        self.newest = {}
        self.changes = 0

    async def start_node(self, number):
        if number in self.running:
            await self.running[number].stop()
        self.fleet.folder = self.folder / str(number)
        self.fleet.folder.mkdir(exist_ok=True)
        self.running[number] = await self.fleet.start(number)

    async def step(self):
        """Do one thing, then let time pass and check."""
        await self.rng.choice(
            (self.restart, self.cut, self.heal, self.change)
        )()
        for _sample in range(self.rng.randint(1, 40)):
            await asyncio.sleep(0.1)
            self.check()

    async def restart(self):
        count = self.rng.randint(1, len(self.running))
        for number in self.rng.sample(sorted(self.running), count):
            await self.start_node(number)

    async def cut(self):
        ends = [setups.CONTROL, *(m.peer for m in self.fleet.members)]
        one = self.rng.sample(ends, self.rng.randint(1, len(ends) - 1))
        other = [end for end in ends if end not in one]
        self.fleet.network.cut(one, other)

    async def heal(self):
        self.fleet.network.heal()

    async def change(self):
        self.changes += 1
        self.fleet.group.accept(a=str(self.changes))

    def check(self):
        """No node goes back behind what it had in force."""
        for number, node in self.running.items():
            held = node.routing().version
            if held != rows.NONE:
                assert held >= self.newest.get(number, rows.NONE)
                self.newest[number] = held


@pytest.mark.parametrize('seed', range(20))
def test_no_node_goes_back_and_all_serve_again(seed, tmp_path):
    """Guards against nodes that revert, or refuse for good, after starts."""

    async def scenario():
        play = Play(seed, tmp_path)
        await play.change()
        for number in range(len(play.fleet.members)):
            await play.start_node(number)
        await asyncio.sleep(5)
        for _step in range(12):
            await play.step()
        play.fleet.network.heal()
        await asyncio.sleep(BOUND_S)
        play.check()
        held = {n.routing().version for n in play.running.values()}
        # Control is away for good; one node goes on, the others start.
        play.fleet.network.remove(setups.CONTROL)
        for number in list(play.running)[1:]:
            await play.start_node(number)
        await asyncio.sleep(BOUND_S)
        play.check()
        again = {n.routing().version for n in play.running.values()}
        await play.fleet.stop()
        assert held == again == {play.fleet.group.held}

    fakes.run(scenario())
