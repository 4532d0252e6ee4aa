"""Node that reaches upstreams through the gateways on their hosts."""

from carawaystair import gateway
from carawaystair import node
from carawaystair import quarantine


class GatewayNode(node.Node):
    """Node with a gateway in front of the upstreams of its host.

    The gateway sees every outcome of its upstreams, so that the node needs
    neither pooled evidence about them nor shares of their slots.

    :param kernel: the kernel of the process.
    """

    def __init__(self, kernel, **kwargs) -> None:
        super().__init__(kernel, **kwargs)
        self.quarantine = quarantine.make(kernel, self.membership.members)
        self.local.app.add_routes(self.quarantine.routes())
        self.gateway = gateway.make(
            kernel,
            self.membership,
            self.follower.routing,
            kernel.recorder,
            self.quarantine,
            self.follower.lag.seconds,
            self.follower.age_s,
        )
        self.parts = (
            self.membership,
            self.follower,
            self.quarantine,
            self.local,
            self.gateway,
        )

    def judge(self):
        """Return the gateway, which judges the health of upstreams."""
        return self.gateway

    @property
    def ready(self) -> bool:
        """Return whether this node serves callers and is not stopping."""
        return self.follower.ready and not self.gateway.stopping


def make(kernel) -> GatewayNode:
    """Return the node of a process."""
    return GatewayNode(kernel)
