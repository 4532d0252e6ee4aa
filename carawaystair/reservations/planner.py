"""Proposes placements, on the elected node of the fleet.

The node with the highest rendezvous weight is elected.  Two nodes may both
consider themselves elected, and their view of the membership may be wrong.
Then the control hosts refuse a change, or it causes a needless handover; no
grant is lost.
"""

import asyncio
import collections
import itertools
import typing

import expression

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import logs
from carawaystair import rendezvous
from carawaystair.reservations import manifest_sync
from carawaystair.reservations import messages
from carawaystair.reservations import placement_policy
from carawaystair.reservations import placement_state
from carawaystair.reservations import placement_table
from carawaystair.reservations import placement_updates
from carawaystair import routing as routings
from carawaystair import timeline as timelines

INTERVAL_S = 1.0
# Interval while no region holds keys.
INITIAL_INTERVAL_S = 0.25
# The first placements of a region are proposed when the membership has not
# changed for this long, since each later change requires a handover.
MEMBERS_STABLE_S = 2.0
# Same, if there is a member in every data centre of the manifest.
ALL_DATA_CENTRES_STABLE_S = 0.25
# An absent host is replaced after this long: an ordinary restart takes less,
# and then only needs a recovery in place.
REPLACE_AFTER_S = 60.0
# Maximum number of partitions in handover.
MAX_HANDOVERS = 128
PROBE_TIMEOUT_S = 1.0
PROPOSE_TIMEOUT_S = 5.0
# Maximum number of probes in flight.
MAX_CONCURRENT_PROBES = 32

LOG = logs.get('reservations')

Call = typing.Callable[
    [str, typing.Any, float],
    typing.Awaitable[expression.Result[typing.Any, codes.Failure]],
]
ReplicasByHost = dict[str, placement_table.Replica]


class Planner:
    """Proposes placements while this node is elected.

    :param members: the fleet membership.
    :param routing: returns the current configuration.
    :param updater: keeps the known placements up to date.
    :param call: sends a request to a process and returns the answer.
    :param send: sends a message to a process.
    :param timeline: records changes.
    """

    def __init__(
        self,
        members: interfaces.Members,
        routing: typing.Callable[[], routings.Routing],
        updater: placement_updates.PlacementUpdater,
        call: Call,
        send: typing.Callable[[str, typing.Any], None],
        timeline: timelines.Timeline,
    ) -> None:
        self.members = members
        self.routing = routing
        self.updater = updater
        self.placement_table = updater.placement_table
        self.call = call
        self.send = send
        self.timeline = timeline
        self.probe_semaphore = asyncio.Semaphore(MAX_CONCURRENT_PROBES)
        self.manifest_sync = manifest_sync.ManifestSync()
        self.alive_members: tuple[interfaces.Member, ...] = ()
        self.nodes: dict[str, interfaces.Member] = {}
        self.is_elected = False
        self.assignment_requested = False
        self.members_changed_at = 0.0
        # Absent hosts of placements, with the time since when.
        self.away_since: dict[str, float] = {}

    async def run(self) -> None:
        """Plan at intervals."""
        while True:
            services_assigned = bool(
                self.placement_table.key_space.key_regions
            )
            await asyncio.sleep(
                INTERVAL_S if services_assigned else INITIAL_INTERVAL_S
            )
            try:
                self.update_members()
                if self.is_elected:
                    await self.plan()
                elif self.assignment_requested:
                    await self.assign_services()
            except Exception as error:
                # A failed round must not end planning: failed replicas would
                # never be replaced.
                LOG.exception(
                    'Failed to plan the placements of keys.', error=str(error)
                )

    def request_assignment(self) -> None:
        """Request a region for a service that has none."""
        self.assignment_requested = True

    async def assign_services(self) -> None:
        """Propose regions for services although another node is elected.

        That node may be partitioned or not have the configuration yet.  The
        control hosts keep the first region that is proposed for a service.
        """
        self.assignment_requested = False
        routing = self.routing()
        if not routing.services() or not await self.updater.refresh():
            return
        add = manifest_sync.unassigned_services(
            routing, self.placement_table.key_space
        )
        if add:
            await self._propose(placement_state.AssignServices(add))

    def update_members(self) -> None:
        """Update the live nodes and whether this node is elected."""
        alive = self.members.alive()
        if alive is self.alive_members:
            return
        self.alive_members = alive
        nodes = {m.host: m for m in alive if not m.control}
        if nodes.keys() != self.nodes.keys():
            self.members_changed_at = clock.now()
        self.nodes = nodes
        planner_host = max(
            nodes, key=lambda host: rendezvous.score('reservations', host)
        )
        is_elected = planner_host == self.members.me.host
        if is_elected and not self.is_elected:
            # Observations from an earlier election are outdated.
            self.away_since = {}
            self.manifest_sync = manifest_sync.ManifestSync()
        self.is_elected = is_elected

    async def plan(self) -> None:
        """Propose all due changes if a control host can be reached."""
        routing = self.routing()
        if not routing.services() or not await self.updater.refresh():
            return
        for change in self.manifest_sync.due_changes(
            routing, self.placement_table.key_space
        ):
            await self._propose(change)
        hosts_by_region = self._hosts_by_region(routing)
        if clock.now() - self.members_changed_at >= self._stable_for_s(
            routing
        ):
            await self._add_regions(hosts_by_region)
        dead = self._hosts_to_replace(routing)
        await self._finish_handovers()
        for index, region in enumerate(self.placement_table.key_space.regions):
            hosts = hosts_by_region.get(region, [])
            await self._change_members(index, hosts, dead)

    # Hosts and their state

    def _stable_for_s(self, routing: routings.Routing) -> float:
        """Return how long the membership must be stable for a new region."""
        present = {member.data_centre for member in self.nodes.values()}
        named = set(manifest_sync.data_centres(routing))
        return (
            ALL_DATA_CENTRES_STABLE_S
            if named and named <= present
            else MEMBERS_STABLE_S
        )

    def _hosts_by_region(
        self, routing: routings.Routing
    ) -> dict[str, list[placement_policy.Host]]:
        """Return the hosts that may hold keys, by region."""
        hosts_by_region: dict[str, list[placement_policy.Host]] = {}
        for member in self.nodes.values():
            if not routing.drained(member.host, member.data_centre):
                host = placement_policy.Host(member.host, member.data_centre)
                hosts_by_region.setdefault(member.region, []).append(host)
        return hosts_by_region

    def _hosts_to_replace(self, routing: routings.Routing) -> set[str]:
        """Return hosts that are absent for too long, or drained."""
        now = clock.now()
        placements = self.placement_table.by_partition.values()
        placed = {
            m.host: m for placement in placements for m in placement.members
        }
        self.away_since = {
            host: self.away_since.get(host, now)
            for host in placed
            if host not in self.nodes
        }
        failed = {
            host
            for host, since in self.away_since.items()
            if now - since >= REPLACE_AFTER_S
        }
        return failed | {
            host
            for host, member in placed.items()
            if routing.drained(host, member.data_centre)
        }

    async def _probe(
        self, partitions: typing.Mapping[str, typing.Sequence[int]]
    ) -> list[messages.Probed]:
        """Ask hosts for their sessions and active partitions.

        :param partitions: partitions of interest, by host.
        """
        alive = [host for host in partitions if host in self.nodes]
        answers = await asyncio.gather(
            *(self._probe_one(host, partitions[host]) for host in alive)
        )
        return [answer for answer in answers if answer is not None]

    async def _probe_one(
        self, host: str, partitions: typing.Sequence[int]
    ) -> messages.Probed | None:
        ask = messages.Probe(tuple(partitions))
        async with self.probe_semaphore:
            result = await self.call(
                self.nodes[host].peer, ask, PROBE_TIMEOUT_S
            )
        return result.default_value(None)

    async def _current_replicas(
        self, hosts: typing.Iterable[str]
    ) -> ReplicasByHost:
        """Return the hosts that answer, with their current sessions."""
        answers = await self._probe({host: () for host in hosts})
        return {each.replica.host: each.replica for each in answers}

    # Changes

    async def _add_regions(
        self, hosts_by_region: dict[str, list[placement_policy.Host]]
    ) -> None:
        """Propose placements for regions that don't hold keys yet."""
        new_regions = sorted(
            set(hosts_by_region) - set(self.placement_table.key_space.regions)
        )
        for region in new_regions:
            host_names = [host.name for host in hosts_by_region[region]]
            replicas = await self._current_replicas(host_names)
            hosts = [h for h in hosts_by_region[region] if h.name in replicas]
            if not hosts:
                continue
            initial = placement_policy.initial_hosts(
                placement_policy.HostPool(hosts)
            )
            placements = [
                placement_table.Placement(
                    partition, 1, 0, tuple(replicas[h.name] for h in chosen)
                )
                for partition, chosen in enumerate(initial)
            ]
            change = placement_state.AddRegion(
                region, messages.pack_rows(placements)
            )
            if await self._propose(change):
                self.timeline.record('reservations-founded', region)
                self._announce(self.placement_table.by_partition.values())

    async def _finish_handovers(self) -> None:
        """Propose to end handovers that a majority has completed."""
        in_handover = [
            placement
            for placement in self.placement_table.by_partition.values()
            if placement.previous_members
        ]
        self._announce(in_handover)
        asked = collections.defaultdict(list)
        for placement, member in _placement_members(in_handover):
            asked[member.host].append(placement.partition)
        answers = await self._probe(asked)
        active = collections.Counter(
            itertools.chain.from_iterable(
                each.active_epochs for each in answers
            )
        )
        done = tuple(
            (placement.partition, placement.epoch)
            for placement in in_handover
            if active[(placement.partition, placement.epoch)]
            >= placement.quorum
        )
        if done:
            await self._propose(placement_state.FinishHandovers(done))

    async def _change_members(
        self, index: int, hosts: list[placement_policy.Host], dead: set[str]
    ) -> None:
        """Propose new members for partitions of one region.

        :param index: index of the region.
        :param hosts: hosts of the region that may hold keys.
        :param dead: hosts to replace.
        """
        placements = [
            placement
            for placement in self.placement_table.by_partition.values()
            if placement_table.region_index(placement.partition) == index
        ]
        pool = placement_policy.HostPool(
            (host for host in hosts if host.name not in dead), placements
        )
        available = MAX_HANDOVERS - sum(
            bool(placement.previous_members) for placement in placements
        )
        changes = (
            (placement, placement_policy.next_change(placement, pool, dead))
            for placement in placements
            if not placement.previous_members
        )
        due = [
            (placement, change)
            for placement, change in changes
            if change is not None
        ]
        due = due[: max(available, 0)]
        if not due:
            return
        replicas = await self._current_replicas(_changed_hosts(due))
        changed = (
            placement_policy.apply_change(*each, replicas) for each in due
        )
        await self._propose_members(
            [placement for placement in changed if placement is not None]
        )

    async def _propose_members(
        self, placements: list[placement_table.Placement]
    ) -> None:
        applied = 0
        if placements:
            applied = await self._propose(
                placement_state.ChangeMembers(messages.pack_rows(placements))
            )
        if applied:
            text = '%d partitions' % applied
            self.timeline.record('reservations-moved', text)
            self._announce(
                placement
                for placement in self.placement_table.by_partition.values()
                if placement.previous_members
            )

    async def _propose(self, change) -> int:
        """Propose a change; return how many of its parts were applied."""
        proposal = messages.Propose(placement_state.encode(change))
        for host in self.updater.control_hosts:
            result = await self.call(host, proposal, PROPOSE_TIMEOUT_S)
            answer = result.default_value(None)
            if answer is not None and answer.applied >= 0:
                await self.updater.refresh()
                return answer.applied
        return 0

    def _announce(
        self, placements: typing.Iterable[placement_table.Placement]
    ) -> None:
        """Send placements to their replicas, without an acknowledgement."""
        by_peer = collections.defaultdict(dict)
        for placement, member in _placement_members(placements):
            by_peer[member.peer][placement.partition] = placement
        for peer, by_partition in by_peer.items():
            announced = list(by_partition.values())
            size = messages.MAX_ROWS
            for start in range(0, len(announced), size):
                page = messages.pack_rows(announced[start : start + size])
                self.send(peer, page)


def _placement_members(
    placements: typing.Iterable[placement_table.Placement],
) -> typing.Iterator[
    tuple[placement_table.Placement, placement_table.Replica]
]:
    """Yield placements with each current and previous member."""
    for placement in placements:
        everyone = itertools.chain(
            placement.members, placement.previous_members
        )
        for member in dict((m.host, m) for m in everyone).values():
            yield placement, member


def _changed_hosts(due: typing.Iterable) -> list[str]:
    """Return all hosts of changed placements, sorted."""
    kept = {
        member.host
        for placement, _change in due
        for member in placement.members
    }
    added = {change.added.name for _placement, change in due if change.added}
    return sorted(kept | added)
