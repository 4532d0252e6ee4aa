"""The control role: puts the parts of a control host together."""

import mode

from carawaystair import admin
from carawaystair.control import replicated
from carawaystair import membership
from carawaystair import metrics
from carawaystair import nodemetrics
from carawaystair import publisher
from carawaystair.reservations import keeper


class Control(mode.Service):
    """One control host.

    :param kernel: the kernel of the process.
    """

    def __init__(self, kernel, **kwargs) -> None:
        super().__init__(**kwargs)
        self.kernel = kernel
        self.group = replicated.make(kernel)
        rng = kernel.random('publisher')
        self.publisher = publisher.Publisher(kernel.links, self.group, rng)
        self.admin = admin.make(kernel, self.group, self.publisher)
        self.keeper = keeper.make(kernel, self.group)
        # A node of the same process brings the membership of both.
        alone = 'node' not in kernel.settings.roles
        members = (membership.make(kernel),) if alone else ()
        self.parts = (
            *members,
            self.group,
            self.publisher,
            self.keeper,
            self.admin,
        )

    async def on_start(self) -> None:
        """Start the parts."""
        for part in self.parts:
            await self.add_runtime_dependency(part)
        metrics.collect(nodemetrics.ControlMetrics(self.group).samples)
        if 'node' not in self.kernel.settings.roles:
            kernel = nodemetrics.KernelMetrics(self.kernel)
            metrics.collect(kernel.samples)


def make(kernel) -> Control:
    """Return the control role of a process."""
    return Control(kernel)
