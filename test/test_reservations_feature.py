"""Scenarios: a non-idempotent request runs at most once."""

import asyncio

import pytest
import pytest_bdd
from pytest_bdd import parsers

from carawaystair.reservations import identifiers
from carawaystair.reservations import planner
from test import fakes
from test import reservation_fleet

pytest_bdd.scenarios('at_most_once.feature')


class Play:
    """Steps that are played in one virtual loop at the end.

    :param size: how many nodes.
    :param data_centres: over how many data centres.
    """

    def __init__(self, size, data_centres):
        self.network = fakes.Network(7)
        self.size = size
        self.data_centres = data_centres
        self.steps = []
        self.results = []
        self.runs = 0
        self.fleet = None

    async def send(self, number, settle=True):
        """Send the payout to a node; it runs when its key is granted."""
        result = await self.fleet.reserve(number, seconds=6)
        self.results.append(result)
        if result.is_ok() and result.ok.granted:
            self.runs += 1
            if settle:
                await self.fleet.settle(number, result, b'paid')

    def play(self):
        """Play all steps."""

        async def _main():
            self.fleet = reservation_fleet.Fleet(
                self.network, self.size, self.data_centres
            )
            await self.fleet.start()
            await asyncio.sleep(6)
            for step in self.steps:
                await step()
            await self.fleet.stop()

        fakes.run(_main())


@pytest.fixture(autouse=True)
def small(monkeypatch):
    """Few partitions, and hosts that are replaced soon."""
    monkeypatch.setattr(identifiers, 'PARTITIONS', 4)
    monkeypatch.setattr(planner, 'REPLACE_AFTER_S', 2.0)


@pytest_bdd.given(
    parsers.parse('a fleet of {size:d} nodes in {centres:d} data centres'),
    target_fixture='story',
)
def _fleet(size, centres):
    return Play(size, centres)


@pytest_bdd.given(
    parsers.parse('{loss:d} percent of the messages between nodes are lost')
)
def _loss(story, loss):
    async def _step():
        story.network.loss = loss / 100

    story.steps.append(_step)


@pytest_bdd.when(parsers.parse('a payout is sent to node {number:d} and runs'))
@pytest_bdd.when(parsers.parse('a payout is sent to node {number:d}'))
@pytest_bdd.when(parsers.parse('it is sent again to node {number:d}'))
def _send(story, number):
    story.steps.append(lambda: story.send(number))


@pytest_bdd.when(
    parsers.parse('a payout is sent to node {number:d} and its answer is lost')
)
def _lost(story, number):
    story.steps.append(lambda: story.send(number, settle=False))


@pytest_bdd.when('a payout is sent to nodes 1 and 2 at once')
def _both(story):
    story.steps.append(lambda: asyncio.gather(story.send(1), story.send(2)))


@pytest_bdd.when('each replica of its key restarts in turn')
def _in_turn(story):
    async def _step():
        for number in story.fleet.holders():
            await story.fleet.crash(number)
            await story.fleet.start(number)
            await asyncio.sleep(2)

    story.steps.append(_step)


@pytest_bdd.when('all replicas of its key restart together')
def _together(story):
    async def _step():
        holders = story.fleet.holders()
        await story.fleet.crash(*holders)
        await story.fleet.start(*holders)
        await asyncio.sleep(2)

    story.steps.append(_step)


@pytest_bdd.when('a replica of its key is lost for good')
def _gone(story):
    async def _step():
        number = next(n for n in story.fleet.holders() if n not in (1, 2))
        await story.fleet.crash(number)
        story.fleet.see(*story.fleet.nodes)
        await asyncio.sleep(10)
        assert number not in story.fleet.holders()

    story.steps.append(_step)


@pytest_bdd.when(parsers.parse('node {number:d} is cut off from all others'))
def _cut(story, number):
    async def _step():
        others = [n for n in range(story.size) if n != number]
        story.network.cut(
            story.fleet.addresses(number), story.fleet.addresses(*others)
        )

    story.steps.append(_step)


@pytest_bdd.then('it ran once')
def _once(story):
    story.play()
    assert story.runs == 1


@pytest_bdd.then('it ran at most once')
def _at_most(story):
    story.play()
    assert story.runs <= 1


@pytest_bdd.then('it never ran')
def _never(story):
    story.play()
    assert story.runs == 0


@pytest_bdd.then('the repeat got the stored answer')
def _stored(story):
    assert story.results[-1].ok.answer == b'paid'


@pytest_bdd.then('the repeat is told that its end is unknown')
def _unknown(story):
    assert story.results[-1].ok.running
