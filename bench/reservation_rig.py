"""Reservations over real links or a fake network, placed by hand."""

import random
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import manifest as manifests
from carawaystair.reservations import placement_table
from carawaystair.reservations import service
from carawaystair import routing as routings
from carawaystair import rows
from carawaystair import timeline

SERVICE = 'pay'
WINDOW_S = 3600
CAPACITY = 1 << 30
# All keys of an experiment lie in this many partitions.
PARTITIONS = 1024


class Alone(typing.NamedTuple):
    """Membership that knows this process alone: nobody plans here."""

    me: interfaces.Member

    def alive(self) -> tuple[interfaces.Member, ...]:
        """Return this process."""
        return (self.me,)


def routing() -> routings.Routing:
    """Return a configuration with one service."""
    document = manifests.Manifest(
        1,
        'bench',
        {'here': manifests.Place(('a',))},
        {SERVICE: manifests.Service(key_window_s=WINDOW_S)},
        (manifests.Route('/', SERVICE),),
    )
    return routings.Routing(rows.Version(1, 1), rows.from_manifest(document))


def member(number: int, address: str) -> interfaces.Member:
    """Return a made-up member."""
    host = 'host-%d' % number
    return interfaces.Member(host, 'dc-%d' % number, 'here', address, address)


def make(number: int, transport, datagrams, seed: int) -> service.Reservations:
    """Return the reservations of one process, not started."""
    table = routing()
    address = transport.address
    return service.Reservations(
        transport,
        datagrams,
        Alone(member(number, address)),
        lambda: table,
        (),
        timeline.Timeline('host-%d' % number),
        random.Random(seed + number),
        clock.wall_ms(),
        CAPACITY,
    )


def replicas(
    nodes: typing.Sequence[service.Reservations],
) -> tuple[placement_table.Replica, ...]:
    """Return nodes as replicas."""
    return tuple(
        placement_table.Replica(
            n.host,
            n.members.me.peer,
            n.members.me.gossip,
            n.members.me.data_centre,
            n.session,
        )
        for n in nodes
    )


def place(
    nodes: typing.Sequence[service.Reservations],
    holders: typing.Sequence[placement_table.Replica],
    epoch: int = 1,
    previous: tuple[placement_table.Replica, ...] = (),
) -> None:
    """Tell nodes that ``holders`` hold all partitions."""
    homes = ((SERVICE, 0),)
    space = placement_table.KeySpace(epoch, WINDOW_S, ('here',), homes)
    for node in nodes:
        node.placement_table.update_key_space(space)
        node.placement_table.update(
            placement_table.Placement(
                number, epoch, epoch, tuple(holders), previous
            )
            for number in range(PARTITIONS)
        )
