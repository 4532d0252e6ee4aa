"""Which replicas hold the keys of a partition."""

import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import rendezvous
from carawaystair.reservations import names

# Replicas of a partition: one in each data centre, this many at most, and
# this many where there are fewer data centres but enough hosts.
MOST = 5
LEAST = 3


class Replica(typing.NamedTuple):
    """One replica of a partition.

    :param host: its host, unique in the fleet.
    :param peer: ``ip:port`` for messages.
    :param data_centre: where it stands.
    :param incarnation: of its process when it was chosen.
    """

    host: str
    peer: str
    data_centre: str
    incarnation: int


class Placement(typing.NamedTuple):
    """The replicas of one partition during one epoch.

    :param partition: the partition.
    :param epoch: grows with every change of the members.
    :param members: the replicas.
    :param previous: the members of the epoch before, until the handover
        from them is known to be complete.
    """

    partition: int
    epoch: int
    members: tuple[Replica, ...]
    previous: tuple[Replica, ...] = ()

    @property
    def quorum(self) -> int:
        """Return how many members are a majority."""
        return len(self.members) // 2 + 1


def count(members: typing.Sequence[interfaces.Member]) -> int:
    """Return how many replicas a partition gets."""
    centres = len({member.data_centre for member in members})
    return min(max(LEAST, min(centres, MOST)), len(members))


class Live:
    """Placements from the members believed alive.

    :param members: the membership.
    """

    def __init__(self, members: interfaces.Members) -> None:
        self.members = members
        self.cache: dict[int, Placement] = {}
        self.until = 0.0

    def get(self, partition: int) -> Placement | None:
        """Return the placement of a partition."""
        if clock.now() >= self.until:
            self.cache.clear()
            self.until = clock.now() + 1.0
        if partition not in self.cache:
            self.cache[partition] = self._place(partition)
        return self.cache[partition]

    def _place(self, partition: int) -> Placement:
        alive = self.members.alive()
        key = 'reservations/%d' % (partition % names.PARTITIONS)
        chosen = rendezvous.spread(key, alive, count(alive))
        return Placement(
            partition,
            0,
            tuple(
                Replica(m.host, m.peer, m.data_centre, m.incarnation)
                for m in chosen
            ),
        )
