"""How a replica comes to vote in an epoch.

Three ways lead there.  A replica of the first epoch begins empty, since no
key was ever granted before.  One that is new in a later epoch takes over the
keys of the epoch before, from so many of its members that every grant is
among them and none can be added.  One whose process started again recovers
from so many others of its epoch that every grant that counted its lost vote
is among them (Michael et al., Recovering Shared Objects Without Stable
Storage, DISC 2017).  Where too many are gone for that, the window must pass.
"""

import asyncio
import collections
import random
import typing

import expression

from carawaystair import codes
from carawaystair import logs
from carawaystair.reservations import messages
from carawaystair.reservations import partition_replica as partition_replicas
from carawaystair.reservations import placement_table
from carawaystair.reservations import replica_server as replica_servers
from carawaystair.reservations import transfer
from carawaystair import timeline as timelines

PAGE_TIMEOUT_S = 1.0
# Pause before a failed attempt is made again, doubled up to the second one.
RETRY_S = 0.2
RETRY_MAX_S = 5.0
# Partitions that are fetched at once.
MAX_CONCURRENT_FETCHES = 8
# How partitions became active, for the time line.
STARTED_EMPTY = 'began empty'
WINDOW_PASSED = 'window passed'
TAKEN_OVER = 'taken over'
RECOVERED = 'recovered'
KEYS = 'keys'

LOG = logs.get('reservations')

Call = typing.Callable[
    [str, typing.Any, float],
    typing.Awaitable[expression.Result[typing.Any, codes.Failure]],
]


class Activator:
    """Makes the seats of one process active.

    :param replica: the seats.
    :param transfers: says whether the window has passed since the start.
    :param call: asks a peer.
    :param timeline: takes note of active partitions.
    :param rng: for the order of sources and pauses.
    """

    def __init__(
        self,
        replica_server: replica_servers.ReplicaServer,
        transfer_server: transfer.TransferServer,
        call: Call,
        timeline: timelines.Timeline,
        rng: random.Random,
    ) -> None:
        self.replica_server = replica_server
        self.transfer_server = transfer_server
        self.call = call
        self.timeline = timeline
        self.rng = rng
        self.running: dict[int, asyncio.Task] = {}
        self.semaphore = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)
        self.activated: collections.Counter = collections.Counter()
        replica_server.placement_table.listeners.append(self._on_placement)

    def stop(self) -> None:
        """End all attempts."""
        for task in self.running.values():
            task.cancel()

    def _on_placement(self, placement: placement_table.Placement) -> None:
        """Begin to activate the seat of a new placement."""
        replica = self.replica_server.partitions.get(placement.partition)
        inactive = (
            replica is not None and replica.state != partition_replicas.ACTIVE
        )
        if not inactive or placement.partition in self.running:
            return
        if self._can_start_empty(replica):
            self._activate(replica, STARTED_EMPTY)
            return
        task = asyncio.create_task(self._run(placement.partition))
        self.running[placement.partition] = task

    async def _run(self, partition: int) -> None:
        """Try until the seat is active or gone."""
        pause = RETRY_S
        try:
            while self._needs_activation(partition):
                async with self.semaphore:
                    replica = self.replica_server.partitions.get(partition)
                    if replica is not None and await self._try_activate(
                        replica
                    ):
                        continue
                await asyncio.sleep(pause * self.rng.uniform(0.5, 1.0))
                pause = min(2 * pause, RETRY_MAX_S)
        finally:
            del self.running[partition]

    def _needs_activation(self, partition: int) -> bool:
        replica = self.replica_server.partitions.get(partition)
        return (
            replica is not None
            and replica.state != partition_replicas.ACTIVE
            and replica.placement.member(self.replica_server.host) is not None
        )

    def _never_voted(
        self, replica: partition_replicas.PartitionReplica
    ) -> bool:
        """Tell whether this process can't have voted in this epoch before.

        The epoch was decided when this very run of the process was known,
        so that no earlier run of it can have been active in the epoch; or
        whatever an earlier run voted for is void by now.
        """
        me = replica.placement.member(self.replica_server.host)
        listed = me is not None and me.session == self.replica_server.session
        return listed or self.transfer_server.window_passed()

    def _can_start_empty(
        self, replica: partition_replicas.PartitionReplica
    ) -> bool:
        """Tell whether a seat may begin without any keys."""
        if replica.placement.member(self.replica_server.host) is None:
            return False
        if (
            not self._never_voted(replica)
            or replica.placement.previous_members
        ):
            return False
        return (
            replica.placement.epoch == 1
            or self.transfer_server.window_passed()
        )

    async def _try_activate(
        self, replica: partition_replicas.PartitionReplica
    ) -> bool:
        if replica.placement.member(self.replica_server.host) is None:
            return False
        if self._can_start_empty(replica):
            self._activate(replica, WINDOW_PASSED)
            return True
        if self._never_voted(replica):
            return await self._take_over(replica)
        return await self._recover(replica)

    async def _take_over(
        self, replica: partition_replicas.PartitionReplica
    ) -> bool:
        """Fetch from the epoch before, or from one that has done so."""
        placement = replica.placement
        host = self.replica_server.host
        sealed = (
            replica.state == partition_replicas.SEALED
            or self.transfer_server.window_passed()
        )
        fetched = {host} if placement.was_member(host) and sealed else set()
        required = (
            placement_table.quorum_overlap(len(placement.previous_members))
            if placement.previous_members
            else 1
        )
        for source in self._sources(
            (*placement.previous_members, *placement.members)
        ):
            if placement.previous_members and len(fetched) >= required:
                break
            state = await self._fetch(replica, source, messages.TAKE_OVER)
            if state == messages.ACTIVE:
                # It holds all that the epoch before granted.
                return self._activate_if_current(
                    replica, placement, TAKEN_OVER
                )
            if state == messages.SEALED and placement.was_member(source.host):
                fetched.add(source.host)
        enough = bool(placement.previous_members) and len(fetched) >= required
        return enough and self._activate_if_current(
            replica, placement, TAKEN_OVER
        )

    async def _recover(
        self, replica: partition_replicas.PartitionReplica
    ) -> bool:
        """Fetch from others of this epoch after a restart."""
        placement = replica.placement
        fetched = 0
        required = placement_table.quorum_overlap(len(placement.members))
        for source in self._sources(placement.members):
            if fetched >= required:
                break
            state = await self._fetch(replica, source, messages.RECOVER)
            fetched += state == messages.ACTIVE
        return fetched >= required and self._activate_if_current(
            replica, placement, RECOVERED
        )

    def _sources(
        self, members: typing.Iterable[placement_table.Replica]
    ) -> list[placement_table.Replica]:
        """Return the other members, each once, in random order."""
        others = {
            m.host: m for m in members if m.host != self.replica_server.host
        }
        shuffled = list(others.values())
        self.rng.shuffle(shuffled)
        return shuffled

    async def _fetch(
        self,
        replica: partition_replicas.PartitionReplica,
        source: placement_table.Replica,
        reason: int,
    ) -> int:
        """Fetch all keys of one source; return how it stands."""
        placement = replica.placement
        start = 0
        while True:
            ask = messages.Fetch(
                placement,
                self.replica_server.host,
                replica.session,
                reason,
                start,
            )
            result = await self.call(source.peer, ask, PAGE_TIMEOUT_S)
            # The world may have changed while this task waited.
            if result.is_error() or replica.placement is not placement:
                return messages.NOT_READY
            page: messages.Page = result.ok
            if page.rows is not None:
                self.replica_server.placement_table.update(
                    messages.unpack_rows(page.rows)
                )
            if page.state == messages.STALE_SESSION:
                replica.session = page.session + 1
            if page.state not in (messages.SEALED, messages.ACTIVE):
                return messages.NOT_READY
            for host, session in page.sessions:
                if host in replica.known_sessions:
                    replica.record_session(host, session)
            released = self.replica_server.tombstones
            if not transfer.merge_entries(
                replica.store, page.entries, released
            ):
                return messages.NOT_READY
            if not page.next_start:
                return page.state
            start = page.next_start

    def _activate_if_current(
        self,
        replica: partition_replicas.PartitionReplica,
        placement: placement_table.Placement,
        how: str,
    ) -> bool:
        if replica.placement is not placement:
            return False
        self._activate(replica, how)
        return True

    def _activate(
        self, replica: partition_replicas.PartitionReplica, how: str
    ) -> None:
        replica.state = partition_replicas.ACTIVE
        self.activated[how] += 1
        self.activated[KEYS] += len(replica.store.records)

    def report(self) -> None:
        """Record what became active since the last report, in one event.

        A node of a small fleet holds hundreds of partitions; an event for
        each would push everything else off the time line.
        """
        if not self.activated:
            return
        text = ', '.join(
            '%s %d' % item for item in sorted(self.activated.items())
        )
        self.activated.clear()
        self.timeline.record('reservations-active', text)
