"""Replicated reservations: each idempotency key runs at most once."""

import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import kernel as kernels
from carawaystair.reservations import service
from carawaystair import routing as routings


def make(
    kernel: kernels.Kernel,
    members: interfaces.Members,
    routing: typing.Callable[[], routings.Routing],
) -> service.Reservations:
    """Return the reservation service of a node.

    :param kernel: the kernel of the process.
    :param members: the fleet membership.
    :param routing: returns the current configuration.
    """
    return service.Reservations(
        kernel.links,
        kernel.datagrams,
        members,
        routing,
        kernel.settings.control_hosts,
        kernel.timeline,
        kernel.random('reservations'),
        clock.wall_ms(),
    )
