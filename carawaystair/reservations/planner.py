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
from carawaystair.reservations import following
from carawaystair.reservations import ledger
from carawaystair.reservations import messages
from carawaystair.reservations import placement
from carawaystair.reservations import planning
from carawaystair.reservations import upkeep
from carawaystair import routing as routings
from carawaystair import timeline as timelines

TICK_S = 1.0
# The same while no region holds keys.
FIRST_TICK_S = 0.25
# A region's first placements wait until its members have stayed the same for
# so long, since each later change of them is a handover.
SETTLE_S = 2.0
# With a member in every data centre of the manifest they wait so long only.
COMPLETE_S = 0.25
# A host that is away is replaced after so long: an ordinary restart takes
# less, and costs a recovery in place.
REPLACE_AFTER_S = 60.0
# Partitions under handover at once.
MAX_MOVES = 128
PROBE_TIMEOUT_S = 1.0
PROPOSE_TIMEOUT_S = 5.0
# Probes under way at once.
CONCURRENT = 32

LOG = logs.get('reservations')

Call = typing.Callable[
    [str, typing.Any, float],
    typing.Awaitable[expression.Result[typing.Any, codes.Failure]],
]
Sessions = dict[str, placement.Replica]


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
        follows: following.Following,
        call: Call,
        send: typing.Callable[[str, typing.Any], None],
        timeline: timelines.Timeline,
    ) -> None:
        self.members = members
        self.routing = routing
        self.follows = follows
        self.book = follows.book
        self.call = call
        self.send = send
        self.timeline = timeline
        self.gate = asyncio.Semaphore(CONCURRENT)
        self.upkeep = upkeep.Upkeep()
        self.view: tuple[interfaces.Member, ...] = ()
        self.nodes: dict[str, interfaces.Member] = {}
        self.mine = False
        self.wanted = False
        self.since = 0.0
        # Hosts of placements that are away, and since when.
        self.away: dict[str, float] = {}

    async def run(self) -> None:
        """Plan for as long as the process lives."""
        while True:
            founded = bool(self.book.space.homes)
            await asyncio.sleep(TICK_S if founded else FIRST_TICK_S)
            try:
                self.look()
                if self.mine:
                    await self.tick()
                elif self.wanted:
                    await self.homes()
            except Exception as error:
                # Without planning, dead replicas are never replaced; one
                # failed round must not end all later ones.
                LOG.exception('A round of planning failed.', error=str(error))

    def need_home(self) -> None:
        """Take note that a request came for a service without a home."""
        self.wanted = True

    async def homes(self) -> None:
        """Propose homes also when it is another node's turn to plan.

        That node may be cut off or not have the configuration yet; whoever
        proposes first, the ledger keeps one home.
        """
        self.wanted = False
        routing = self.routing()
        if not routing.services() or not await self.follows.refresh():
            return
        add = upkeep.homeless(routing, self.book.space)
        if add:
            await self._propose(ledger.Homes(add))

    def look(self) -> None:
        """Take note of who is alive, and whether it is this node's turn."""
        alive = self.members.alive()
        if alive is self.view:
            return
        self.view = alive
        nodes = {m.host: m for m in alive if not m.control}
        if nodes.keys() != self.nodes.keys():
            self.since = clock.now()
        self.nodes = nodes
        first = max(
            nodes, key=lambda host: rendezvous.score('reservations', host)
        )
        mine = first == self.members.me.host
        if mine and not self.mine:
            # What an earlier turn noticed is too long ago to act on.
            self.away = {}
            self.upkeep = upkeep.Upkeep()
        self.mine = mine

    async def tick(self) -> None:
        """Propose what is due, if control can be reached."""
        routing = self.routing()
        if not routing.services() or not await self.follows.refresh():
            return
        for change in self.upkeep.due(routing, self.book.space):
            await self._propose(change)
        regions = self._regions(routing)
        if clock.now() - self.since >= self._settle_s(routing):
            await self._found(regions)
        dead = self._dead(routing)
        await self._finish()
        for place, region in enumerate(self.book.space.regions):
            hosts = regions.get(region, [])
            await self._move(place, hosts, dead)

    # Who there is

    def _settle_s(self, routing: routings.Routing) -> float:
        """Return how long members must stay the same before founding."""
        here = {member.data_centre for member in self.nodes.values()}
        named = set(upkeep.data_centres(routing))
        return COMPLETE_S if named and named <= here else SETTLE_S

    def _regions(
        self, routing: routings.Routing
    ) -> dict[str, list[planning.Host]]:
        """Return the hosts that may hold keys, by region."""
        regions: dict[str, list[planning.Host]] = {}
        for member in self.nodes.values():
            if not routing.drained(member.host, member.data_centre):
                host = planning.Host(member.host, member.data_centre)
                regions.setdefault(member.region, []).append(host)
        return regions

    def _dead(self, routing: routings.Routing) -> set[str]:
        """Return hosts that are away for long, or to be stopped."""
        now = clock.now()
        rows = self.book.rows.values()
        held = {m.host: m for row in rows for m in row.members}
        self.away = {
            host: self.away.get(host, now)
            for host in held
            if host not in self.nodes
        }
        gone = {
            host
            for host, since in self.away.items()
            if now - since >= REPLACE_AFTER_S
        }
        return gone | {
            host
            for host, member in held.items()
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
        async with self.gate:
            result = await self.call(
                self.nodes[host].peer, ask, PROBE_TIMEOUT_S
            )
        return result.default_value(None)

    async def _sessions(self, hosts: typing.Iterable[str]) -> Sessions:
        """Return the hosts that answer, with their present sessions."""
        answers = await self._probe({host: () for host in hosts})
        return {each.replica.host: each.replica for each in answers}

    # Changes

    async def _found(self, regions: dict[str, list[planning.Host]]) -> None:
        """Let regions hold keys that don't yet."""
        new = sorted(set(regions) - set(self.book.space.regions))
        for region in new:
            names = [host.name for host in regions[region]]
            sessions = await self._sessions(names)
            hosts = [h for h in regions[region] if h.name in sessions]
            if not hosts:
                continue
            first = planning.found(planning.Pool(hosts))
            rows = [
                placement.Placement(
                    number, 1, 0, tuple(sessions[h.name] for h in chosen)
                )
                for number, chosen in enumerate(first)
            ]
            change = ledger.Found(region, messages.pack(rows))
            if await self._propose(change):
                self.timeline.record('reservations-founded', region)
                self._announce(self.book.rows.values())

    async def _finish(self) -> None:
        """End the handovers that enough members have completed."""
        open_rows = [row for row in self.book.rows.values() if row.previous]
        self._announce(open_rows)
        asked = collections.defaultdict(list)
        for row, member in _members(open_rows):
            asked[member.host].append(row.partition)
        answers = await self._probe(asked)
        active = collections.Counter(
            itertools.chain.from_iterable(each.active for each in answers)
        )
        done = tuple(
            (row.partition, row.epoch)
            for row in open_rows
            if active[(row.partition, row.epoch)] >= row.quorum
        )
        if done:
            await self._propose(ledger.Finish(done))

    async def _move(
        self, place: int, hosts: list[planning.Host], dead: set[str]
    ) -> None:
        """Change the members of partitions of one region."""
        rows = [
            row
            for row in self.book.rows.values()
            if placement.region(row.partition) == place
        ]
        pool = planning.Pool(
            (host for host in hosts if host.name not in dead), rows
        )
        room = MAX_MOVES - sum(bool(row.previous) for row in rows)
        changes = (
            (row, planning.change(row, pool, dead))
            for row in rows
            if not row.previous
        )
        due = [(row, change) for row, change in changes if change is not None]
        due = due[: max(room, 0)]
        if not due:
            return
        sessions = await self._sessions(_hosts(due))
        moved = (planning.moved(*each, sessions) for each in due)
        await self._put([row for row in moved if row is not None])

    async def _put(self, rows: list[placement.Placement]) -> None:
        applied = 0
        if rows:
            applied = await self._propose(ledger.Move(messages.pack(rows)))
        if applied:
            text = '%d partitions' % applied
            self.timeline.record('reservations-moved', text)
            self._announce(
                row for row in self.book.rows.values() if row.previous
            )

    async def _propose(self, change) -> int:
        """Propose a change; return how many parts were applied."""
        data = messages.Propose(ledger.encode(change))
        for host in self.follows.control_hosts:
            result = await self.call(host, data, PROPOSE_TIMEOUT_S)
            answer = result.default_value(None)
            if answer is not None and answer.applied >= 0:
                await self.follows.refresh()
                return answer.applied
        return 0

    def _announce(self, rows: typing.Iterable[placement.Placement]) -> None:
        """Tell replicas of their placements, without waiting for them."""
        told = collections.defaultdict(dict)
        for row, member in _members(rows):
            told[member.peer][row.partition] = row
        for peer, mine in told.items():
            some = list(mine.values())
            size = messages.PAGE_ROWS
            for start in range(0, len(some), size):
                page = messages.pack(some[start : start + size])
                self.send(peer, page)


def _members(
    rows: typing.Iterable[placement.Placement],
) -> typing.Iterator[tuple[placement.Placement, placement.Replica]]:
    """Yield placements with each of their members, old ones included."""
    for row in rows:
        everyone = itertools.chain(row.members, row.previous)
        for member in dict((m.host, m) for m in everyone).values():
            yield row, member


def _hosts(due: typing.Iterable) -> list[str]:
    """Return all hosts that changed placements would have, in order."""
    stay = {member.host for row, _change in due for member in row.members}
    come = {change.host.name for _row, change in due if change.host}
    return sorted(stay | come)
