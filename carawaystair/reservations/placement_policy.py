"""Chooses replicas: which change of a partition's members is due, if any."""

import collections
import heapq
import itertools
import math
import typing

from carawaystair import rendezvous
from carawaystair.reservations import identifiers
from carawaystair.reservations import placement_table

# A replica holds so many times the mean number of partitions before one is
# moved away from it.
MAX_LOAD_RATIO = 1.25


def replica_count(data_centres: int, hosts: int) -> int:
    """Return how many replicas a partition gets.

    :param data_centres: data centres with a host.
    :param hosts: hosts in them.
    """
    wanted = min(
        max(data_centres, placement_table.MIN_REPLICAS),
        placement_table.MAX_REPLICAS,
    )
    return min(wanted, hosts)


class Host(typing.NamedTuple):
    """A host that may hold keys."""

    name: str
    data_centre: str


class HostPool:
    """The hosts of one region that may hold keys, with their loads.

    :param hosts: the hosts.
    :param rows: the region's placements, whose members count as load.
    """

    def __init__(
        self,
        hosts: typing.Iterable[Host],
        placements: typing.Iterable[placement_table.Placement] = (),
    ) -> None:
        self.hosts = {host.name: host for host in hosts}
        members = itertools.chain.from_iterable(
            placement.members for placement in placements
        )
        self.load = collections.Counter(m.host for m in members)
        self.heaps: dict[str, list[tuple[int, str]]] = {}
        for host in self.hosts.values():
            heap = self.heaps.setdefault(host.data_centre, [])
            heap.append((self.load[host.name], host.name))
        for heap in self.heaps.values():
            heapq.heapify(heap)

    @property
    def replica_count(self) -> int:
        """Return how many replicas a partition gets here."""
        return replica_count(len(self.heaps), len(self.hosts))

    @property
    def max_load(self) -> int:
        """Return how many partitions a host should hold at most."""
        total = sum(self.load[name] for name in self.hosts)
        return math.ceil(MAX_LOAD_RATIO * total / max(len(self.hosts), 1)) + 1

    def take_least_loaded(
        self, data_centre: str, excluded: typing.Container[str]
    ) -> Host | None:
        """Take the host of a data centre with the least load, if any."""
        heap = self.heaps.get(data_centre, [])
        skipped = []
        found = None
        while heap and found is None:
            load, name = heapq.heappop(heap)
            if name in excluded:
                skipped.append((load, name))
            else:
                found = name
        if found is not None:
            self.load[found] += 1
            skipped.append((self.load[found], found))
        for item in skipped:
            heapq.heappush(heap, item)
        return self.hosts.get(found)

    def take_best(
        self,
        partition: int,
        excluded: typing.Container[str],
        used_data_centres: list[str],
    ) -> Host | None:
        """Take a host, from a data centre that holds fewest replicas.

        :param without: hosts not to take.
        :param held: data centres of the replicas that there are.
        """
        ranked = sorted(
            self.heaps,
            key=lambda dc: (
                used_data_centres.count(dc),
                -rendezvous.score('reservations/%d' % partition, dc),
            ),
        )
        found = (
            self.take_least_loaded(data_centre, excluded)
            for data_centre in ranked
        )
        return next((host for host in found if host is not None), None)


def initial_hosts(pool: HostPool) -> list[list[Host]]:
    """Return the first replicas of all partitions of a region."""
    return [
        _initial_hosts_of(pool, partition)
        for partition in range(identifiers.PARTITIONS)
    ]


def _initial_hosts_of(pool: HostPool, partition: int) -> list[Host]:
    chosen: list[Host] = []
    while len(chosen) < pool.replica_count:
        taken = {host.name for host in chosen}
        used_data_centres = [host.data_centre for host in chosen]
        chosen.append(pool.take_best(partition, taken, used_data_centres))
    return chosen


class ReplicaChange(typing.NamedTuple):
    """One replica goes, one comes, or both.

    :param out: the host that goes, or empty.
    :param host: the one that comes, or None.
    """

    removed: str
    added: Host | None


def next_change(
    placement: placement_table.Placement,
    pool: HostPool,
    dead: typing.Container[str],
) -> ReplicaChange | None:
    """Return the change of a partition's members that is due.

    One at a time: dead replicas first, then the number of them, then their
    spread over data centres, then the balance of loads.

    :param dead: hosts that don't count any more.
    """
    hosts = [member.host for member in placement.members]
    dead_hosts = [host for host in hosts if host in dead]
    too_many = len(hosts) > max(pool.replica_count, 1)
    if dead_hosts and too_many:
        return ReplicaChange(dead_hosts[0], None)
    if dead_hosts:
        remaining = [
            m.data_centre for m in placement.members if m.host != dead_hosts[0]
        ]
        added = pool.take_best(placement.partition, hosts, remaining)
        return ReplicaChange(dead_hosts[0], added) if added else None
    used_data_centres = [member.data_centre for member in placement.members]
    if len(hosts) < pool.replica_count:
        added = pool.take_best(placement.partition, hosts, used_data_centres)
        return ReplicaChange('', added) if added else None
    if too_many:
        return ReplicaChange(_most_redundant(placement), None)
    return _improve_spread(
        placement, pool, used_data_centres
    ) or _improve_balance(placement, pool)


def _most_redundant(placement: placement_table.Placement) -> str:
    """Return a replica of the data centre that holds most of them."""
    used_data_centres = collections.Counter(
        m.data_centre for m in placement.members
    )
    return max(
        placement.members,
        key=lambda m: (used_data_centres[m.data_centre], m.host),
    ).host


def _improve_spread(
    placement: placement_table.Placement,
    pool: HostPool,
    used_data_centres: list[str],
) -> ReplicaChange | None:
    """Move a replica to a data centre that holds none."""
    if len(set(used_data_centres)) == len(used_data_centres):
        return None
    hosts = [member.host for member in placement.members]
    free = [
        data_centre
        for data_centre in pool.heaps
        if data_centre not in used_data_centres
    ]
    takes = (
        pool.take_least_loaded(data_centre, hosts)
        for data_centre in sorted(free)
    )
    added = next((host for host in takes if host is not None), None)
    return ReplicaChange(_most_redundant(placement), added) if added else None


def _improve_balance(
    placement: placement_table.Placement, pool: HostPool
) -> ReplicaChange | None:
    """Move a replica from a host that holds too many partitions."""
    max_load = pool.max_load
    for member in placement.members:
        if pool.load[member.host] <= max_load:
            continue
        heap = pool.heaps.get(member.data_centre)
        # Two less, or the partition would be moved to and fro.
        if not heap or heap[0][0] + 2 > pool.load[member.host]:
            continue
        hosts = [other.host for other in placement.members]
        added = pool.take_least_loaded(member.data_centre, hosts)
        if added is not None:
            pool.load[member.host] -= 1
            return ReplicaChange(member.host, added)
    return None


def apply_change(
    placement: placement_table.Placement,
    change: ReplicaChange,
    replicas: typing.Mapping[str, placement_table.Replica],
) -> placement_table.Placement | None:
    """Return the placement that a change makes.

    :param sessions: the hosts that answered, with their present sessions.
        A member that didn't is listed as before; the one that comes must
        have answered.
    """
    members = [
        replicas.get(member.host, member)
        for member in placement.members
        if member.host != change.removed
    ]
    if change.added is not None:
        if change.added.name not in replicas:
            return None
        members.append(replicas[change.added.name])
    if not members:
        return None
    return placement_table.Placement(
        placement.partition, placement.epoch + 1, 0, tuple(members)
    )
