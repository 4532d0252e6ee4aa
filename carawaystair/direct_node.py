"""A node whose requests go from it to upstreams directly."""

from carawaystair.admin import capacity
from carawaystair import admission
from carawaystair import node
from carawaystair import outlier
from carawaystair import quarantine
from carawaystair import request
from carawaystair import reservations


class DirectNode(node.Node):
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
        self.quarantine = quarantine.make(kernel, members)
        self.local.app.add_routes(self.quarantine.routes())
        self.request = request.make(
            kernel,
            directory,
            self.outlier,
            self.outlier,
            self.admission,
            self.reservations,
            routing,
            self.quarantine,
            self.follower.lag.seconds,
            self.follower.age_s,
            lambda: len(members.alive()),
        )
        self.parts = (
            self.membership,
            self.follower,
            self.outlier,
            self.admission,
            self.reservations,
            self.quarantine,
            self.local,
            self.request,
        )

    def judge(self):
        """Return the pooled evidence."""
        return self.outlier


def make(kernel) -> DirectNode:
    """Return the node of a process."""
    return DirectNode(kernel)
