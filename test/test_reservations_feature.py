"""Scenarios: a request that is not idempotent runs at most once."""

import asyncio

import pytest
import pytest_bdd
from pytest_bdd import parsers

from carawaystair.reservations import identifiers
from carawaystair.reservations import planner
from test import fakes
from test import reservation_fleet

pytest_bdd.scenarios('at_most_once.feature')


class ScenarioRunner:
    """Collects the steps of a scenario and runs them in one virtual loop.

    :param size: number of nodes.
    :param data_centres: number of data centres.
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
        """Send the payout to a node; it runs if its key is granted."""
        result = await self.fleet.reserve(number, seconds=6)
        self.results.append(result)
        if result.is_ok() and result.ok.granted:
            self.runs += 1
            if settle:
                await self.fleet.settle(number, result, b'paid')

    def run(self):
        """Run all steps."""

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
def small_fleet(monkeypatch):
    """Use few partitions and quick replacement of hosts."""
    monkeypatch.setattr(identifiers, 'PARTITIONS', 4)
    monkeypatch.setattr(planner, 'REPLACE_AFTER_S', 2.0)


@pytest_bdd.given(
    parsers.parse(
        'a fleet of {size:d} nodes in {data_centres:d} data centres'
    ),
    target_fixture='scenario',
)
def _fleet(size, data_centres):
    return ScenarioRunner(size, data_centres)


@pytest_bdd.given(
    parsers.parse('{loss:d} percent of the messages between nodes are lost')
)
def _loss(scenario, loss):
    async def _step():
        scenario.network.loss = loss / 100

    scenario.steps.append(_step)


@pytest_bdd.when(parsers.parse('a payout is sent to node {number:d} and runs'))
@pytest_bdd.when(parsers.parse('a payout is sent to node {number:d}'))
@pytest_bdd.when(parsers.parse('it is sent again to node {number:d}'))
def _send(scenario, number):
    scenario.steps.append(lambda: scenario.send(number))


@pytest_bdd.when(
    parsers.parse('a payout is sent to node {number:d} and its answer is lost')
)
def _lost(scenario, number):
    scenario.steps.append(lambda: scenario.send(number, settle=False))


@pytest_bdd.when('a payout is sent to nodes 1 and 2 at once')
def _both(scenario):
    scenario.steps.append(
        lambda: asyncio.gather(scenario.send(1), scenario.send(2))
    )


@pytest_bdd.when('each replica of its key restarts in turn')
def _in_turn(scenario):
    async def _step():
        for number in scenario.fleet.holders():
            await scenario.fleet.crash(number)
            await scenario.fleet.start(number)
            await asyncio.sleep(2)

    scenario.steps.append(_step)


@pytest_bdd.when('all replicas of its key restart together')
def _together(scenario):
    async def _step():
        holders = scenario.fleet.holders()
        await scenario.fleet.crash(*holders)
        await scenario.fleet.start(*holders)
        await asyncio.sleep(2)

    scenario.steps.append(_step)


@pytest_bdd.when('a replica of its key is lost permanently')
def _gone(scenario):
    async def _step():
        number = next(n for n in scenario.fleet.holders() if n not in (1, 2))
        await scenario.fleet.crash(number)
        scenario.fleet.set_alive(*scenario.fleet.nodes)
        await asyncio.sleep(10)
        assert number not in scenario.fleet.holders()

    scenario.steps.append(_step)


@pytest_bdd.when(
    parsers.parse('node {number:d} is partitioned from all others')
)
def _cut(scenario, number):
    async def _step():
        others = [n for n in range(scenario.size) if n != number]
        scenario.network.cut(
            scenario.fleet.addresses(number), scenario.fleet.addresses(*others)
        )

    scenario.steps.append(_step)


@pytest_bdd.then('it ran once')
def _once(scenario):
    scenario.run()
    assert scenario.runs == 1


@pytest_bdd.then('it ran at most once')
def _at_most(scenario):
    scenario.run()
    assert scenario.runs <= 1


@pytest_bdd.then('it never ran')
def _never(scenario):
    scenario.run()
    assert scenario.runs == 0


@pytest_bdd.then('the repeat gets the stored answer')
def _stored(scenario):
    assert scenario.results[-1].ok.answer == b'paid'


@pytest_bdd.then('the repeat is answered that the request may be running')
def _unknown(scenario):
    assert scenario.results[-1].ok.running
