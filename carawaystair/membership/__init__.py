"""Which processes of the fleet live, and which upstreams there are.

Every process owns one *record*: who it is and what the upstreams of its host
announced.  Records spread by flooding, with anti-entropy behind it; liveness
is found by round trips (SWIM).  Nothing here needs a control host.
"""

from carawaystair import kernel as kernels
from carawaystair.membership import service


def make(kernel: kernels.Kernel) -> service.Membership:
    """Return the membership of one process.

    :param kernel: the process, whose links and datagrams are used.
    """
    settings = kernel.settings
    identity = service.Identity(
        settings.host,
        settings.data_centre,
        settings.region,
        settings.peer,
        settings.gossip,
        control='node' not in settings.roles,
    )
    made = service.Membership(
        identity,
        kernel.links,
        kernel.datagrams,
        kernel.timeline,
        kernel.random('membership'),
        incarnation=kernel.incarnation,
        seeds=settings.seeds,
        lease_s=settings.node.lease_s,
        gateway=settings.node.gateway,
    )
    kernel.links.traffic.far = made.address_locations.is_remote
    kernel.datagrams.traffic.far = made.address_locations.is_remote
    return made
