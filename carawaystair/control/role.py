"""The control role: puts the parts of a control host together."""

import random
import typing

import mode

from carawaystair.control import single
from carawaystair import publisher


class Control(mode.Service):
    """One control host.

    :param kernel: the kernel of the process.
    """

    def __init__(self, kernel, **kwargs) -> None:
        super().__init__(**kwargs)
        self.kernel = kernel
        self.group = single.make(kernel)
        rng = random.Random(kernel.settings.host)
        self.publisher = publisher.Publisher(kernel.links, self.group, rng)
        self.parts = (self.group, self.publisher)

    async def on_start(self) -> None:
        """Start the parts."""
        for part in self.parts:
            await self.add_runtime_dependency(part)

    def status(self) -> dict[str, typing.Any]:
        """Return what an operator wants to see first."""
        nodes = sorted(self.publisher.nodes())
        return {
            'host': self.kernel.settings.host,
            'version': str(self.group.version()),
            'digest': self.group.digest().hex(),
            'nodes': [
                {'host': node.host, 'version': str(node.version)}
                for node in nodes
            ],
        }


def make(kernel) -> Control:
    """Return the control role of a process."""
    return Control(kernel)
