"""Placements: which replicas hold the keys of each partition."""

import itertools
import typing

from carawaystair.reservations import identifiers

# A partition has one replica in each data centre, up to the maximum; with
# fewer data centres but enough hosts it still has the minimum.
MAX_REPLICAS = 5
MIN_REPLICAS = 3
# Control hosts refuse placements with more members.
MAX_MEMBERS = 7


class Replica(typing.NamedTuple):
    """One replica of a partition.

    :param host: host name, unique in the fleet.
    :param peer: ``ip:port`` for messages.
    :param gossip: ``ip:port`` for datagrams.
    :param data_centre: data centre of the host.
    :param session: identifies one run of the process; a restarted process
        has another one, normally a greater one.
    """

    host: str
    peer: str
    gossip: str
    data_centre: str
    session: int


class Placement(typing.NamedTuple):
    """The replicas of one partition during one epoch.

    :param partition: number of the partition.
    :param epoch: grows by one with every change of the members.
    :param version: version of the placement state that last changed this
        placement.
    :param members: replicas, each with its session at the time when this
        epoch was decided.
    :param previous_members: members of the previous epoch, until enough
        members have taken over from them.
    """

    partition: int
    epoch: int
    version: int
    members: tuple[Replica, ...]
    previous_members: tuple[Replica, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of members that form a majority."""
        return quorum(len(self.members))

    def member(self, host: str) -> Replica | None:
        """Return the member on a host."""
        return next((m for m in self.members if m.host == host), None)

    def member_at(self, address: str) -> Replica | None:
        """Return the member whose datagram address is ``address``."""
        return next((m for m in self.members if m.gossip == address), None)

    def was_member(self, host: str) -> bool:
        """Return whether a host was a member in the previous epoch."""
        return any(m.host == host for m in self.previous_members)


def quorum(size: int) -> int:
    """Return how many of ``size`` replicas form a majority."""
    return size // 2 + 1


def quorum_overlap(size: int) -> int:
    """Return how many of ``size`` replicas intersect every majority.

    This many replicas together know of every grant, and no further grant is
    possible once this many no longer vote.
    """
    return size - quorum(size) + 1


def region_index(partition: int) -> int:
    """Return the index of the region that holds a partition."""
    return partition // identifiers.PARTITIONS


class KeySpace(typing.NamedTuple):
    """State that is common to all partitions.

    :param version: version of the placement state.
    :param window_s: longest window of any key, seconds.
    :param regions: regions that hold keys; the index of a region times
        ``identifiers.PARTITIONS`` is its first partition.
    :param key_regions: services, each with the index of the region that
        holds its keys.
    """

    version: int = 0
    window_s: float = 0.0
    regions: tuple[str, ...] = ()
    key_regions: tuple[tuple[str, int], ...] = ()


class PlacementTable:
    """The placements that one process knows.

    They may be outdated.  That is safe, since a replica votes only for an
    ask with the replica's own epoch.
    """

    def __init__(self) -> None:
        self.key_space = KeySpace()
        self.key_regions: dict[str, int] = {}
        self.by_partition: dict[int, Placement] = {}
        self.listeners: list[typing.Callable[[Placement], None]] = []

    def get(self, partition: int) -> Placement | None:
        """Return the placement of a partition, or None if unknown."""
        return self.by_partition.get(partition)

    def partition(self, service: str, key: bytes) -> int | None:
        """Return the partition of a key of a service.

        :return: None while no region is assigned to the service.
        """
        region = self.key_regions.get(service)
        if region is None:
            return None
        return region * identifiers.PARTITIONS + identifiers.key_partition(key)

    def update_key_space(self, key_space: KeySpace) -> None:
        """Replace the key space if ``key_space`` is newer."""
        if key_space.version > self.key_space.version:
            self.key_space = key_space
            self.key_regions = dict(key_space.key_regions)

    def update(self, placements: typing.Iterable[Placement]) -> int:
        """Store the placements that are newer than the known ones.

        :return: how many were stored.
        """
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
        """Return placements after a version and partition, in that order."""
        later = sorted(
            (placement.version, placement.partition)
            for placement in self.by_partition.values()
            if (placement.version, placement.partition) > (version, partition)
        )
        return [
            self.by_partition[number] for _version, number in later[:limit]
        ]
