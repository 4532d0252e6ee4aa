"""The node role: puts the parts of a node together."""

import importlib

import mode

from carawaystair import follower
from carawaystair import localapi
from carawaystair import membership
from carawaystair import metrics
from carawaystair import nodemetrics
from carawaystair import report


class Node(mode.Service):
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
        self.local = localapi.LocalApi(
            kernel.settings.node.local,
            routes,
            max_connections=kernel.settings.node.max_local,
        )

    async def on_start(self) -> None:
        """Start the parts, unless the process is to stop."""
        for part in self.parts:
            if self.kernel.shutdown.requested:
                return
            await self.add_runtime_dependency(part)
        metrics.collect(nodemetrics.KernelMetrics(self.kernel).samples)
        flood_metrics = nodemetrics.FloodMetrics(self.membership.flooder)
        metrics.collect(flood_metrics.samples)
        metrics.collect(nodemetrics.NodeMetrics(self.report).samples)
        store = self.membership.departures.store
        metrics.collect(nodemetrics.DepartureMetrics(store).samples)
        metrics.collect(nodemetrics.FollowerMetrics(self.follower).samples)

    async def on_stop(self) -> None:
        """Bound what comes last by the time that a stop has.

        Members that are down themselves don't acknowledge that this process
        leaves.  Waiting for them after requests have used the time given, it
        would be killed in the middle of its stop.
        """
        drain_s = self.kernel.settings.node.drain_s
        if drain_s:
            asked_at = self.kernel.shutdown.request()
            self.membership.leave_deadline = asked_at + drain_s

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


def make(kernel) -> Node:
    """Return the node of a process; imports only what this one needs."""
    through_gateways = kernel.settings.node.gateway is not None
    name = 'gateway_node' if through_gateways else 'direct_node'
    return importlib.import_module('carawaystair.%s' % name).make(kernel)
