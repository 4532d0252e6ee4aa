"""Proposes placements, on one node of the fleet.

The node with the highest rendezvous weight does it.  Two nodes may both
believe to be that one, and what they believe of others may be wrong: then
changes are refused by the ledger or cost a needless handover, and no grant
is lost.
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
# The same while no region holds keys.
INITIAL_INTERVAL_S = 0.25
# A region's first placements wait until its members have stayed the same for
# so long, since each later change of them is a handover.
MEMBERS_STABLE_S = 2.0
# With a member in every data centre of the manifest they wait so long only.
ALL_DATA_CENTRES_STABLE_S = 0.25
# A host that is away is replaced after so long: an ordinary restart takes
# less, and costs a recovery in place.
REPLACE_AFTER_S = 60.0
# Partitions under handover at once.
MAX_HANDOVERS = 128
PROBE_TIMEOUT_S = 1.0
PROPOSE_TIMEOUT_S = 5.0
# Probes under way at once.
MAX_CONCURRENT_PROBES = 32

LOG = logs.get('reservations')

Call = typing.Callable[
    [str, typing.Any, float],
    typing.Awaitable[expression.Result[typing.Any, codes.Failure]],
]
ReplicasByHost = dict[str, placement_table.Replica]


class Planner:
    """Proposes placements while this node is the one to do so.

    :param members: the membership.
    :param routing: returns the current configuration.
    :param follows: keeps the book of placements new.
    :param call: asks a process.
    :param send: sends a message to a process.
    :param timeline: takes note of changes.
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
        self.is_planner = False
        self.assignment_requested = False
        self.members_since = 0.0
        # Hosts of placements that are away, and since when.
        self.away_since: dict[str, float] = {}

    async def run(self) -> None:
        """Plan for as long as the process lives."""
        while True:
            regions_exist = bool(self.placement_table.key_space.key_regions)
            await asyncio.sleep(
                INTERVAL_S if regions_exist else INITIAL_INTERVAL_S
            )
            try:
                self.update_members()
                if self.is_planner:
                    await self.plan()
                elif self.assignment_requested:
                    await self.assign_services()
            except Exception as error:
                # Without planning, dead replicas are never replaced; one
                # failed round must not end all later ones.
                LOG.exception('A round of planning failed.', error=str(error))

    def request_assignment(self) -> None:
        """Take note that a request came for a service without a home."""
        self.assignment_requested = True

    async def assign_services(self) -> None:
        """Propose homes also when it is another node's turn to plan.

        That node may be cut off or not have the configuration yet; whoever
        proposes first, the ledger keeps one home.
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
        """Take note of who is alive, and whether it is this node's turn."""
        alive = self.members.alive()
        if alive is self.alive_members:
            return
        self.alive_members = alive
        nodes = {m.host: m for m in alive if not m.control}
        if nodes.keys() != self.nodes.keys():
            self.members_since = clock.now()
        self.nodes = nodes
        planner_host = max(
            nodes, key=lambda host: rendezvous.score('reservations', host)
        )
        is_planner = planner_host == self.members.me.host
        if is_planner and not self.is_planner:
            # What an earlier turn noticed is too long ago to act on.
            self.away_since = {}
            self.manifest_sync = manifest_sync.ManifestSync()
        self.is_planner = is_planner

    async def plan(self) -> None:
        """Propose what is due, if control can be reached."""
        routing = self.routing()
        if not routing.services() or not await self.updater.refresh():
            return
        for change in self.manifest_sync.due_changes(
            routing, self.placement_table.key_space
        ):
            await self._propose(change)
        hosts_by_region = self._hosts_by_region(routing)
        if clock.now() - self.members_since >= self._stable_for_s(routing):
            await self._add_regions(hosts_by_region)
        dead = self._hosts_to_replace(routing)
        await self._finish_handovers()
        for index, region in enumerate(self.placement_table.key_space.regions):
            hosts = hosts_by_region.get(region, [])
            await self._change_members(index, hosts, dead)

    # Who there is

    def _stable_for_s(self, routing: routings.Routing) -> float:
        """Return how long members must stay the same before founding."""
        here = {member.data_centre for member in self.nodes.values()}
        named = set(manifest_sync.data_centres(routing))
        return (
            ALL_DATA_CENTRES_STABLE_S
            if named and named <= here
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
        """Return hosts that are away for long, or to be stopped."""
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
        """Ask hosts how they stand.

        :param partitions: those of interest, by host.
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
        """Return the hosts that answer, with their present sessions."""
        answers = await self._probe({host: () for host in hosts})
        return {each.replica.host: each.replica for each in answers}

    # Changes

    async def _add_regions(
        self, hosts_by_region: dict[str, list[placement_policy.Host]]
    ) -> None:
        """Let regions hold keys that don't yet."""
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
        """End the handovers that enough members have completed."""
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
        """Change the members of partitions of one region."""
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
        """Propose a change; return how many parts were applied."""
        data = messages.Propose(placement_state.encode(change))
        for host in self.updater.control_hosts:
            result = await self.call(host, data, PROPOSE_TIMEOUT_S)
            answer = result.default_value(None)
            if answer is not None and answer.applied >= 0:
                await self.updater.refresh()
                return answer.applied
        return 0

    def _announce(
        self, placements: typing.Iterable[placement_table.Placement]
    ) -> None:
        """Tell replicas of their placements, without waiting for them."""
        by_peer = collections.defaultdict(dict)
        for placement, member in _placement_members(placements):
            by_peer[member.peer][placement.partition] = placement
        for peer, own in by_peer.items():
            changed = list(own.values())
            size = messages.MAX_ROWS
            for start in range(0, len(changed), size):
                page = messages.pack_rows(changed[start : start + size])
                self.send(peer, page)


def _placement_members(
    placements: typing.Iterable[placement_table.Placement],
) -> typing.Iterator[
    tuple[placement_table.Placement, placement_table.Replica]
]:
    """Yield placements with each of their members, old ones included."""
    for placement in placements:
        everyone = itertools.chain(
            placement.members, placement.previous_members
        )
        for member in dict((m.host, m) for m in everyone).values():
            yield placement, member


def _changed_hosts(due: typing.Iterable) -> list[str]:
    """Return all hosts that changed placements would have, in order."""
    kept = {
        member.host
        for placement, _change in due
        for member in placement.members
    }
    added = {change.added.name for _placement, change in due if change.added}
    return sorted(kept | added)
