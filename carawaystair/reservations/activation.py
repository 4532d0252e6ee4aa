"""Activates replicas, which may vote in an epoch from then on.

A replica is activated in one of three ways:

- In the first epoch it starts empty, since no key was granted before.
- If it is new in a later epoch, it takes over the keys of the previous epoch,
  from so many of its members that they know every grant and no further grant
  is possible there.
- If its process restarted within an epoch, it recovers the keys from so many
  other members that they know every grant that counted its lost vote (Michael
  et al., Recovering Shared Objects Without Stable Storage, DISC 2017).

If too few other members are available, it starts empty when the window has
passed.
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
# Pause after a failed attempt, doubled each time up to the maximum.
RETRY_S = 0.2
RETRY_MAX_S = 5.0
# Maximum number of partitions that are fetched at the same time.
MAX_CONCURRENT_FETCHES = 8
# Ways in which partitions became active, counted in the time line.
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
    """Activates the partition replicas of one process.

    :param replica_server: partition replicas of the process.
    :param transfer_server: tells whether the window has passed since the
        start of the process.
    :param call: sends a request to a peer and returns the answer.
    :param timeline: records active partitions.
    :param rng: random source for the order of sources and for pauses.
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
        """Cancel all activations."""
        for task in self.running.values():
            task.cancel()

    def _on_placement(self, placement: placement_table.Placement) -> None:
        """Start to activate the replica of a new placement."""
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
        """Retry until the replica is active or removed."""
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
        """Return whether no earlier run has valid votes in this epoch.

        Either the placement lists the session of this run, so that no
        earlier run can have been active in the epoch, or all votes of
        earlier runs have expired.
        """
        me = replica.placement.member(self.replica_server.host)
        listed = me is not None and me.session == self.replica_server.session
        return listed or self.transfer_server.window_passed()

    def _can_start_empty(
        self, replica: partition_replicas.PartitionReplica
    ) -> bool:
        """Return whether a replica may become active without any keys."""
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
        """Fetch from members of the previous epoch or from an active one."""
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
                # An active member has all grants of the previous epoch.
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
        """Fetch from other members of this epoch after a restart."""
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
        """Fetch all keys of one source; return the state of the source."""
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
            # The placement may have changed during the call.
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
        """Record the activations since the last report in one event.

        A node of a small fleet holds hundreds of partitions; one event for
        each would displace all other events from the time line.
        """
        if not self.activated:
            return
        text = ', '.join(
            '%s %d' % item for item in sorted(self.activated.items())
        )
        self.activated.clear()
        self.timeline.record('reservations-active', text)
