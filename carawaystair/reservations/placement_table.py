"""Which replicas hold the keys of a partition."""

import itertools
import typing

from carawaystair.reservations import identifiers

# Replicas of a partition: one in each data centre, this many at most, and
# this many where there are fewer data centres but enough hosts.
MAX_REPLICAS = 5
MIN_REPLICAS = 3
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
    version: int
    members: tuple[Replica, ...]
    previous_members: tuple[Replica, ...] = ()

    @property
    def quorum(self) -> int:
        """Return how many members are a majority."""
        return quorum(len(self.members))

    def member(self, host: str) -> Replica | None:
        """Return the member on a host."""
        return next((m for m in self.members if m.host == host), None)

    def member_at(self, address: str) -> Replica | None:
        """Return the member that sends datagrams from an address."""
        return next((m for m in self.members if m.gossip == address), None)

    def was_member(self, host: str) -> bool:
        """Tell whether a host was a member in the epoch before."""
        return any(m.host == host for m in self.previous_members)


def quorum(size: int) -> int:
    """Return how many of ``size`` replicas are a majority."""
    return size // 2 + 1


def quorum_overlap(size: int) -> int:
    """Return how many of ``size`` replicas meet every majority of them.

    So many must be heard to know of every grant, and so many that vote no
    more keep every further grant from being made.
    """
    return size - quorum(size) + 1


def region_index(partition: int) -> int:
    """Return the place of the region that holds a partition."""
    return partition // identifiers.PARTITIONS


class KeySpace(typing.NamedTuple):
    """What holds for all partitions.

    :param version: of the ledger.
    :param window_s: no key is remembered for longer.
    :param regions: the regions that hold keys; the place of a region here
        times ``names.PARTITIONS`` is its first partition.
    :param key_regions: the region, by its place, that holds the keys of each
        service.
    """

    version: int = 0
    window_s: float = 0.0
    regions: tuple[str, ...] = ()
    key_regions: tuple[tuple[str, int], ...] = ()


class PlacementTable:
    """The placements as one process knows them.

    It may be old.  That is safe: a replica votes only for an ask that names
    the replica's own epoch.
    """

    def __init__(self) -> None:
        self.key_space = KeySpace()
        self.key_regions: dict[str, int] = {}
        self.by_partition: dict[int, Placement] = {}
        self.listeners: list[typing.Callable[[Placement], None]] = []

    def get(self, partition: int) -> Placement | None:
        """Return the placement of a partition, if it is known."""
        return self.by_partition.get(partition)

    def partition(self, service: str, key: bytes) -> int | None:
        """Return the partition of a service's key, if it has a home."""
        region = self.key_regions.get(service)
        if region is None:
            return None
        return region * identifiers.PARTITIONS + identifiers.key_partition(key)

    def update_key_space(self, key_space: KeySpace) -> None:
        """Take what holds for all partitions, if it is newer."""
        if key_space.version > self.key_space.version:
            self.key_space = key_space
            self.key_regions = dict(key_space.key_regions)

    def update(self, placements: typing.Iterable[Placement]) -> int:
        """Take placements that are newer than the known ones."""
        newer = [p for p in placements if self._is_newer(p)]
        for placement in newer:
            self.by_partition[placement.partition] = placement
        for placement, listener in itertools.product(newer, self.listeners):
            listener(placement)
        return len(newer)

    def _is_newer(self, placement: Placement) -> bool:
        known = self.by_partition.get(placement.partition)
        return known is None or placement.version > known.version

    def newer_than(
        self, version: int, partition: int, limit: int
    ) -> list[Placement]:
        """Return placements in the order of stamp and partition."""
        later = sorted(
            (placement.version, placement.partition)
            for placement in self.by_partition.values()
            if (placement.version, placement.partition) > (version, partition)
        )
        return [
            self.by_partition[number] for _version, number in later[:limit]
        ]
