"""Membership of the fleet: its live processes and their upstreams.

Every process owns one *record*, which holds its identity and the upstreams
announced on its host.  Records are distributed by flooding and repaired by
anti-entropy; failures of processes are detected by probes (SWIM).  None of
this depends on a control host; only the acknowledgement that an upstream
leaves does, since it must outlive all processes and control hosts have disks.
"""

from carawaystair import kernel as kernels
from carawaystair.membership import departure_store
from carawaystair.membership import service


def make(kernel: kernels.Kernel) -> service.Membership:
    """Return the membership of one process.

    :param kernel: provides the links, datagrams and settings of the process.
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
    membership = service.Membership(
        identity,
        kernel.links,
        kernel.datagrams,
        kernel.timeline,
        kernel.random('membership'),
        incarnation=kernel.incarnation,
        seeds=settings.seeds,
        lease_s=settings.node.lease_s,
        gateway=settings.node.gateway,
        recorder=kernel.recorder,
        store=departure_store.make(kernel),
        # The control role may be made later.
        control_group=lambda: kernel.control_group(),
        control_hosts=settings.control_hosts,
    )
    kernel.links.traffic.far = membership.address_locations.is_remote
    kernel.datagrams.traffic.far = membership.address_locations.is_remote
    return membership
