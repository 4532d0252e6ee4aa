"""The node role: puts the parts of a node together."""

import mode

from carawaystair.admin import capacity
from carawaystair import admission
from carawaystair import clock
from carawaystair import follower
from carawaystair import gateway
from carawaystair import localapi
from carawaystair import membership
from carawaystair import metrics
from carawaystair import nodemetrics
from carawaystair import outlier
from carawaystair import report
from carawaystair import request
from carawaystair import reservations


class _Base(mode.Service):
    """What all nodes have.

    :param kernel: the kernel of the process.
    """

    # The parts, in the order in which they start.
    parts: tuple[mode.Service, ...]

    def __init__(self, kernel, **kwargs) -> None:
        super().__init__(**kwargs)
        self.kernel = kernel
        self.membership = membership.make(kernel)
        self.follower = follower.make(kernel, self.membership.members)
        routes = [
            *self.membership.routes(),
            *localapi.observer_routes(kernel, self.report),
        ]
        self.local = localapi.LocalApi(kernel.settings.node.local, routes)

    async def on_start(self) -> None:
        """Start the parts."""
        for part in self.parts:
            await self.add_runtime_dependency(part)
        metrics.collect(nodemetrics.KernelMetrics(self.kernel).samples)
        flood = nodemetrics.FloodMetrics(self.membership.flood)
        metrics.collect(flood.samples)
        metrics.collect(nodemetrics.NodeMetrics(self.report).samples)
        metrics.collect(nodemetrics.FollowerMetrics(self.follower).samples)

    async def on_stop(self) -> None:
        """Bound what comes last by the time that a stop has.

        Members that are down themselves don't acknowledge that this process
        leaves.  Waiting for them after requests have used the time given, it
        would be killed in the middle of its stop.
        """
        drain_s = self.kernel.settings.node.drain_s
        if drain_s:
            self.membership.leave_by = clock.now() + drain_s

    def judge(self):
        """Return the part that says which upstreams fail."""
        raise NotImplementedError

    def report(self) -> report.Report:
        """Return what this node says of itself."""
        return report.make(
            self.kernel.settings,
            self.follower,
            self.membership.members,
            self.membership.directory,
            self.judge(),
        )


class Node(_Base):
    """One node.

    The parts start in the order in which they need each other and stop in
    the reverse order: callers are let go first, membership last.

    :param kernel: the kernel of the process.
    """

    def __init__(self, kernel, **kwargs) -> None:
        super().__init__(kernel, **kwargs)
        members = self.membership.members
        directory = self.membership.directory
        routing = self.follower.routing
        self.outlier = outlier.make(kernel, members, directory, routing)
        self.capacity = capacity.Answerer(
            kernel.links, directory, self.outlier, routing
        )
        self.admission = admission.make(
            kernel, members, directory, self.outlier, routing
        )
        self.reservations = reservations.make(kernel, members, routing)
        self.request = request.make(
            kernel,
            directory,
            self.outlier,
            self.outlier,
            self.admission,
            self.reservations,
            routing,
            self.follower.lag.seconds,
        )
        self.parts = (
            self.membership,
            self.follower,
            self.outlier,
            self.admission,
            self.reservations,
            self.local,
            self.request,
        )

    def judge(self):
        """Return the pooled evidence."""
        return self.outlier


class GatewayNode(_Base):
    """One node whose requests go through gateways.

    Its gateway sees all that its upstreams do, so that it needs no pooled
    evidence about them, and no shares of their slots.

    :param kernel: the kernel of the process.
    """

    def __init__(self, kernel, **kwargs) -> None:
        super().__init__(kernel, **kwargs)
        self.gateway = gateway.make(
            kernel,
            self.membership,
            self.follower.routing,
            kernel.recorder,
            self.follower.lag.seconds,
        )
        self.parts = (
            self.membership,
            self.follower,
            self.local,
            self.gateway,
        )

    def judge(self):
        """Return the gateway, which sees what the upstreams do."""
        return self.gateway

    @property
    def ready(self) -> bool:
        """Tell whether this node serves callers and will go on doing so."""
        return self.follower.ready and not self.gateway.stopping


def make(kernel) -> Node | GatewayNode:
    """Return the node of a process."""
    if kernel.settings.node.gateway is not None:
        return GatewayNode(kernel)
    return Node(kernel)
