"""Random requests and faults in a fleet of reservations, from a seed."""

import asyncio
import random
import typing

from carawaystair import clock
from test import fakes
from test import reservation_fleet

KEYS = tuple('abcdefghijkl')


class RandomFaults:
    """Sends requests to a fleet and injects faults.

    :param seed: random seed.
    :param data_centres: number of data centres.
    :param size: number of nodes.
    """

    def __init__(self, seed: int, data_centres: int = 3, size: int = 7):
        self.random = random.Random(seed)
        self.network = fakes.Network(
            seed, loss=0.05, double=0.1, delay_s=(0.001, 0.08)
        )
        self.fleet = reservation_fleet.Fleet(
            self.network, size, data_centres, window_s=60
        )
        self.tasks: set[asyncio.Task] = set()
        self.requests = 0
        self.results = {'granted': 0, 'answer': 0, 'running': 0, 'failed': 0}

    async def run(self, seconds: float) -> None:
        """Run for some seconds of virtual time."""
        await self.fleet.start()
        await asyncio.sleep(4)
        until = clock.now() + seconds
        weighted_steps: list[tuple[typing.Callable, int]] = [
            (self._send_request, 600),
            (self._restart, 8),
            (self._two_restarts, 1),
            (self._replace_host, 2),
            (self._partition, 6),
            (self._wrong_views, 2),
            (self._slow_network, 2),
        ]
        steps = [
            step for step, weight in weighted_steps for _ in range(weight)
        ]
        while clock.now() < until:
            self._start_task(self.random.choice(steps)())
            await asyncio.sleep(self.random.expovariate(6.0))
            self._check_tasks()
        for task in self.tasks:
            task.cancel()
        await self.fleet.stop()

    def _start_task(self, coroutine) -> None:
        self.tasks.add(asyncio.ensure_future(coroutine))

    def _check_tasks(self) -> None:
        done = {task for task in self.tasks if task.done()}
        self.tasks -= done
        for task in done:
            if not task.cancelled():
                task.result()

    async def _send_request(self) -> None:
        """Reserve a key, wait while the request runs, report the outcome."""
        alive = list(self.fleet.nodes)
        if not alive:
            return
        fleet = self.fleet
        number, key = self.random.choice(alive), self.random.choice(KEYS)
        node = fleet.nodes[number]
        self.requests += 1
        result = await fleet.reserve(number, key)
        if result.is_error():
            self.results['failed'] += 1
            return
        if not result.ok.granted:
            kind = 'running' if result.ok.running else 'answer'
            self.results[kind] += 1
            return
        self.results['granted'] += 1
        await asyncio.sleep(self.random.uniform(0, 1.5))
        if fleet.nodes.get(number) is not node:
            return
        if self.random.random() < 0.9:
            await fleet.release(number, result, key)
        else:
            await fleet.settle(number, result)

    async def _restart(self) -> None:
        if len(self.fleet.nodes) < 2:
            return
        number = self.random.choice(list(self.fleet.nodes))
        await self.fleet.crash(number)
        await asyncio.sleep(self.random.uniform(0, 0.3))
        await self.fleet.start(number)

    async def _two_restarts(self) -> None:
        await asyncio.gather(self._restart(), self._restart())

    async def _replace_host(self) -> None:
        """Stop one host until others have replaced it."""
        if len(self.fleet.nodes) < 5:
            return
        number = self.random.choice(list(self.fleet.nodes))
        await self.fleet.crash(number)
        await asyncio.sleep(0.3)
        self._reset_views()
        await asyncio.sleep(self.random.uniform(3, 30))
        await self.fleet.start(number)
        self._reset_views()

    def _reset_views(self) -> None:
        self.fleet.set_alive(*self.fleet.nodes)

    async def _partition(self) -> None:
        one, two = (
            self.random.sample(self.fleet.addresses(*range(7)), 3)
            for _ in range(2)
        )
        self.network.cut(one, two, self.random.random() < 0.5)
        await asyncio.sleep(self.random.uniform(0.2, 4))
        self.network.heal()

    async def _wrong_views(self) -> None:
        """Let some nodes wrongly see others as dead."""
        views = self.random.sample(list(self.fleet.views.values()), 3)
        for view in views:
            some = self.random.sample(self.fleet.members, 5)
            view.others = [m for m in some if m != view.me]
        await asyncio.sleep(self.random.uniform(5, 20))
        self._reset_views()

    async def _slow_network(self) -> None:
        self.network.delay_s = (0.001, self.random.choice((0.08, 0.3, 1.0)))
        await asyncio.sleep(self.random.uniform(1, 5))
        self.network.delay_s = (0.001, 0.08)
