"""A whole control group over fakes: submissions on every host."""

import json

from carawaystair import codes
from carawaystair.control import interfaces
from carawaystair.control import replicated
from carawaystair.control import submissions
from carawaystair import timeline as timelines
from test import control_fakes


async def inline(function, *arguments):
    """Run long work in the loop: a thread would not be deterministic."""
    return function(*arguments)


def manifest(**customers: int) -> bytes:
    """Return a manifest whose customers have these weights."""
    document = {
        'format': 1,
        'name': 'test',
        'regions': {'r': {'data_centres': ['dc-1']}},
        'services': {'portal': {}},
        'routes': [{'prefix': '/', 'service': 'portal'}],
        'customers': {k: {'weight': v} for k, v in customers.items()},
    }
    return json.dumps(document).encode()


class Host(control_fakes.Host):
    """A host with the control part above its replica."""

    part: replicated.Replicated

    async def start(self) -> None:
        await super().start()
        timeline = timelines.Timeline(self.seat.name, 100)
        self.part = replicated.Replicated(
            self.replica, self.machine, timeline, inline
        )

    def current(self) -> dict[str, int]:
        """Return the customers' weights that this host has applied."""
        return {
            key.removeprefix('customer/'): value[1]
            for key, value in self.part.table().items()
            if key.startswith('customer/')
        }


class Group(control_fakes.Group):
    """Control hosts that take submissions."""

    host_class = Host

    def __init__(self, size: int, seed: int, **network) -> None:
        super().__init__(size, seed, **network)
        self.machine = submissions.Submissions

    async def submit(self, name: str, parent: bytes, host=None, **customers):
        """Submit at a host, any by default; return the result."""
        host = host or self.random.choice(self.up())
        wanted = interfaces.Submission(
            name, 'ops', parent, manifest(**customers)
        )
        return await host.part.submit(wanted)

    async def accept(self, name: str, parent: bytes, **customers):
        """Submit until it is accepted; return the answer."""
        while True:
            result = await self.submit(name, parent, **customers)
            if result.is_ok():
                return result.ok
            code = result.error.code
            again = (codes.NOT_LEADER, codes.OUTCOME_UNKNOWN)
            assert code in again, result.error.sentence()
