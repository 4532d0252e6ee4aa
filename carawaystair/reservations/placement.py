"""Which replicas hold the keys of a partition."""

import itertools
import typing

from carawaystair.reservations import names

# Replicas of a partition: one in each data centre, this many at most, and
# this many where there are fewer data centres but enough hosts.
MOST = 5
LEAST = 3
# The ledger refuses placements with more.
MAX_MEMBERS = 7


class Replica(typing.NamedTuple):
    """One replica of a partition.

    :param host: its host, unique in the fleet.
    :param peer: ``ip:port`` for messages.
    :param gossip: ``ip:port`` for datagrams.
    :param data_centre: where it stands.
    :param session: names one run of its process; a process that starts
        again has another one, normally a greater one.
    """

    host: str
    peer: str
    gossip: str
    data_centre: str
    session: int


class Placement(typing.NamedTuple):
    """The replicas of one partition during one epoch.

    :param partition: the partition.
    :param epoch: grows by one with every change of the members.
    :param stamp: version of the ledger that last touched this placement.
    :param members: the replicas, each with the session that it had when
        this epoch was decided.
    :param previous: the members of the epoch before, until enough members
        have taken over from them.
    """

    partition: int
    epoch: int
    stamp: int
    members: tuple[Replica, ...]
    previous: tuple[Replica, ...] = ()

    @property
    def quorum(self) -> int:
        """Return how many members are a majority."""
        return quorum(len(self.members))

    def member(self, host: str) -> Replica | None:
        """Return the member on a host."""
        return next((m for m in self.members if m.host == host), None)

    def sender(self, address: str) -> Replica | None:
        """Return the member that sends datagrams from an address."""
        return next((m for m in self.members if m.gossip == address), None)

    def before(self, host: str) -> bool:
        """Tell whether a host was a member in the epoch before."""
        return any(m.host == host for m in self.previous)


def quorum(size: int) -> int:
    """Return how many of ``size`` replicas are a majority."""
    return size // 2 + 1


def overlap(size: int) -> int:
    """Return how many of ``size`` replicas meet every majority of them.

    So many must be heard to know of every grant, and so many that vote no
    more keep every further grant from being made.
    """
    return size - quorum(size) + 1


def region(partition: int) -> int:
    """Return the place of the region that holds a partition."""
    return partition // names.PARTITIONS


class Space(typing.NamedTuple):
    """What holds for all partitions.

    :param version: of the ledger.
    :param window_s: no key is remembered for longer.
    :param regions: the regions that hold keys; the place of a region here
        times ``names.PARTITIONS`` is its first partition.
    :param homes: the region, by its place, that holds the keys of each
        service.
    """

    version: int = 0
    window_s: float = 0.0
    regions: tuple[str, ...] = ()
    homes: tuple[tuple[str, int], ...] = ()


class Book:
    """The placements as one process knows them.

    It may be old.  That is safe: a replica votes only for an ask that names
    the replica's own epoch.
    """

    def __init__(self) -> None:
        self.space = Space()
        self.homes: dict[str, int] = {}
        self.rows: dict[int, Placement] = {}
        self.listeners: list[typing.Callable[[Placement], None]] = []

    def get(self, partition: int) -> Placement | None:
        """Return the placement of a partition, if it is known."""
        return self.rows.get(partition)

    def partition(self, service: str, key: bytes) -> int | None:
        """Return the partition of a service's key, if it has a home."""
        home = self.homes.get(service)
        if home is None:
            return None
        return home * names.PARTITIONS + names.partition(key)

    def take_space(self, space: Space) -> None:
        """Take what holds for all partitions, if it is newer."""
        if space.version > self.space.version:
            self.space = space
            self.homes = dict(space.homes)

    def take(self, rows: typing.Iterable[Placement]) -> int:
        """Take placements that are newer than the known ones."""
        fresh = [row for row in rows if self._newer(row)]
        for row in fresh:
            self.rows[row.partition] = row
        for row, listener in itertools.product(fresh, self.listeners):
            listener(row)
        return len(fresh)

    def _newer(self, row: Placement) -> bool:
        known = self.rows.get(row.partition)
        return known is None or row.stamp > known.stamp

    def after(self, stamp: int, partition: int, limit: int) -> list[Placement]:
        """Return placements in the order of stamp and partition."""
        later = sorted(
            (row.stamp, row.partition)
            for row in self.rows.values()
            if (row.stamp, row.partition) > (stamp, partition)
        )
        return [self.rows[number] for _stamp, number in later[:limit]]
