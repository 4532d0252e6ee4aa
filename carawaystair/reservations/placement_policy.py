"""Chooses the replicas of partitions and the changes that are due."""

import collections
import heapq
import itertools
import math
import typing

from carawaystair import rendezvous
from carawaystair.reservations import identifiers
from carawaystair.reservations import placement_table

# A partition is moved away from a host that holds more than this many times
# the mean number of partitions.
MAX_LOAD_RATIO = 1.25


def replica_count(data_centres: int, hosts: int) -> int:
    """Return the number of replicas of a partition.

    :param data_centres: number of data centres with a host.
    :param hosts: number of hosts in them.
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

    :param hosts: hosts that may hold keys.
    :param placements: placements of the region; the load of a host is the
        number of placements with it.
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
        """Number of replicas of a partition in this region."""
        return replica_count(len(self.heaps), len(self.hosts))

    @property
    def max_load(self) -> int:
        """Maximum number of partitions that a host should hold."""
        total = sum(self.load[name] for name in self.hosts)
        return math.ceil(MAX_LOAD_RATIO * total / max(len(self.hosts), 1)) + 1

    def take_least_loaded(
        self, data_centre: str, excluded: typing.Container[str]
    ) -> Host | None:
        """Return the least loaded host of a data centre and count the load.

        :param excluded: hosts not to choose.
        :return: None if there is no other host.
        """
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
        """Return a host of a data centre with the fewest replicas.

        :param excluded: hosts not to choose.
        :param used_data_centres: data centres of the existing replicas.
        """
        ranked = sorted(
            self.heaps,
            key=lambda data_centre: (
                used_data_centres.count(data_centre),
                -rendezvous.score('reservations/%d' % partition, data_centre),
            ),
        )
        candidates = (
            self.take_least_loaded(data_centre, excluded)
            for data_centre in ranked
        )
        return next((host for host in candidates if host is not None), None)


def initial_hosts(pool: HostPool) -> list[list[Host]]:
    """Return the first hosts of each partition of a region."""
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
    """The removal of a replica, the addition of one, or both.

    :param removed: host to remove, or empty.
    :param added: host to add, or None.
    """

    removed: str
    added: Host | None


def next_change(
    placement: placement_table.Placement,
    pool: HostPool,
    dead: typing.Container[str],
) -> ReplicaChange | None:
    """Return the next due change of the members of a partition.

    Only one change at a time: dead replicas first, then the number of
    replicas, then their spread over data centres, then the balance of loads.

    :param dead: hosts to replace.
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
    """Return the host of a replica in the data centre with the most."""
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
    """Return the move of a replica to a data centre without one."""
    if len(set(used_data_centres)) == len(used_data_centres):
        return None
    hosts = [member.host for member in placement.members]
    unused = [
        data_centre
        for data_centre in pool.heaps
        if data_centre not in used_data_centres
    ]
    candidates = (
        pool.take_least_loaded(data_centre, hosts)
        for data_centre in sorted(unused)
    )
    added = next((host for host in candidates if host is not None), None)
    return ReplicaChange(_most_redundant(placement), added) if added else None


def _improve_balance(
    placement: placement_table.Placement, pool: HostPool
) -> ReplicaChange | None:
    """Return the move of a replica from a host with too many partitions."""
    max_load = pool.max_load
    for member in placement.members:
        if pool.load[member.host] <= max_load:
            continue
        heap = pool.heaps.get(member.data_centre)
        # With a difference below two the partition would move back and forth.
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

    :param replicas: the hosts that answered, with their current sessions.
        A member that did not answer keeps its listed session.
    :return: None if the added host did not answer or no member remains.
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
