"""The control role: puts the parts of a control host together."""

import mode

from carawaystair import admin
from carawaystair.control import replicated
from carawaystair import membership
from carawaystair import metrics
from carawaystair import nodemetrics
from carawaystair import publisher
from carawaystair import quarantine
from carawaystair.quota import delegator
from carawaystair.quota import grantor
from carawaystair.reservations import placement_server


class Control(mode.Service):
    """One control host.

    :param kernel: the kernel of the process.
    """

    def __init__(self, kernel, **kwargs) -> None:
        super().__init__(**kwargs)
        self.kernel = kernel
        self.group = replicated.make(kernel)
        kernel.control_group = self.group.replica.control_group
        rng = kernel.random('publisher')
        self.publisher = publisher.Publisher(kernel.links, self.group, rng)
        self.admin = admin.make(kernel, self.group, self.publisher)
        self.placement_server = placement_server.make(kernel, self.group)
        self.grantor = grantor.make(kernel, self.group)
        self.delegator = delegator.make(kernel, self.group)
        # A node of the same process brings the membership of both.
        alone = 'node' not in kernel.settings.roles
        self.parts = (
            *(shared(kernel) if alone else ()),
            self.group,
            self.publisher,
            self.placement_server,
            self.grantor,
            self.delegator,
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


def shared(kernel) -> tuple[mode.Service, ...]:
    """Return the membership of a control host, and what spreads over it.

    A control host keeps what is known of requests that crash upstreams when
    all nodes start again at once.
    """
    made = membership.make(kernel)
    store = made.departures.store
    metrics.collect(nodemetrics.DepartureMetrics(store).samples)
    return made, quarantine.make(kernel, made.members)


def make(kernel) -> Control:
    """Return the control role of a process."""
    return Control(kernel)
