"""Flooding of new records over the overlay, acknowledged hop by hop.

One task feeds each neighbour: it sends what is new, waits for the answer, and
sends again what was lost.  What becomes new meanwhile waits by host, so that
the queue of a slow or silent neighbour is bounded by the number of hosts and
holds only the newest record of each.
"""

import asyncio
import typing

import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.membership import messages
from carawaystair.membership import ring
from carawaystair.membership import table as tables

# A batch that is not answered in this time is sent again, in seconds.  Two
# losses in a row must still leave most of the two seconds that a leave has.
RETRY_S = 0.25
# After so many failures in a row the pause grows: a neighbour that hears
# nothing must not cost what a live one costs.
PATIENCE = 8
BACKOFF_S = 2.0
BATCH_BYTES = 32 * 1024
# Bytes per second to one neighbour; a returning data centre brings hundreds
# of records at once, which must not crowd out requests.
RATE = 256 * 1024
# A new neighbour gets what was passed on in the last so many seconds: it may
# have missed that while the overlay was being changed.
RECENT_S = 5.0
DRAIN_POLL_S = 0.02
# The overlay follows the members at most this often, in seconds.
SETTLE_S = 0.25


class Feed:
    """What waits for one neighbour.

    :param address: where it takes messages.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.waiting: dict[str, None] = {}
        self.busy = False
        self.event = asyncio.Event()
        self.task: asyncio.Task | None = None

    def add(self, host: str) -> None:
        """Let the record of a host wait."""
        self.waiting[host] = None
        self.busy = True
        self.event.set()


class Flood(mode.Service):
    """Passes records on.

    :param table: the table of hosts.
    :param transport: the messages of this process.
    """

    def __init__(
        self, table: tables.Table, transport: interfaces.Transport, **kwargs
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.transport = transport
        self.feeds: dict[str, Feed] = {}
        # Hosts whose records were passed on of late, and when.
        self.recent: dict[str, float] = {}
        self.stale = asyncio.Event()
        table.listeners.append(self._changed)
        transport.handle(messages.Batch, self._receive)

    async def on_stop(self) -> None:
        """End the feeds."""
        for host in list(self.feeds):
            self._drop(host)

    def spread(self, host: str) -> None:
        """Pass the record of a host on to every neighbour."""
        self.recent.pop(host, None)
        self.recent[host] = clock.now()
        for feed in self.feeds.values():
            feed.add(host)

    def take(
        self, records: typing.Iterable[messages.Record], spread: bool = True
    ) -> int:
        """Take records in.

        :param spread: whether to pass on those that are new.
        :return: how many were new.
        """
        new = [record.host for record in records if self.table.put(record)]
        for host in new if spread else ():
            self.spread(host)
        return len(new)

    async def drained(self, time_s: float) -> bool:
        """Wait until no neighbour waits for anything.

        :param time_s: seconds to wait at most.
        :return: whether all was acknowledged.
        """
        until = clock.now() + time_s
        while clock.now() < until:
            if not any(feed.busy for feed in self.feeds.values()):
                return True
            await asyncio.sleep(DRAIN_POLL_S)
        return False

    def align(self) -> None:
        """Open and close feeds as the overlay has it now."""
        centres = {
            entry.member.host: entry.member.data_centre
            for entry in (self.table.me, *self.table.up())
        }
        wanted = ring.neighbours(self.table.host, centres)
        for host in self.feeds.keys() - set(wanted):
            self._drop(host)
        for host in wanted:
            address = self.table.entries[host].member.peer
            feed = self.feeds.get(host)
            if feed is not None and feed.address != address:
                self._drop(host)
                feed = None
            if feed is None:
                self.feeds[host] = self._open(address)

    @mode.Service.task
    async def _follow(self) -> None:
        """Let the overlay follow the members."""
        while not self.should_stop:
            await self.stale.wait()
            self.stale.clear()
            self.align()
            await asyncio.sleep(SETTLE_S)

    def _open(self, address: str) -> Feed:
        """Begin to feed a neighbour, with what changed of late."""
        feed = Feed(address)
        since = clock.now() - RECENT_S
        self.recent = {h: t for h, t in self.recent.items() if t >= since}
        for host in self.recent:
            feed.add(host)
        feed.task = asyncio.create_task(self._feed(feed))
        return feed

    async def _feed(self, feed: Feed) -> None:
        """Feed one neighbour."""
        failures = 0
        while True:
            await feed.event.wait()
            batch = self._batch(feed)
            feed.busy = bool(batch)
            if not batch:
                feed.event.clear()
                continue
            result = await self.transport.call(
                feed.address, messages.Batch(batch), RETRY_S
            )
            if result.is_error():
                for record in batch:
                    feed.add(record.host)
                failures += 1
                await asyncio.sleep(BACKOFF_S if failures > PATIENCE else 0)
                continue
            failures = 0
            self.take(result.ok.newer)
            size = sum(len(record.body) for record in batch)
            await asyncio.sleep(size / RATE)

    def _batch(self, feed: Feed) -> tuple[messages.Record, ...]:
        """Take the next records that wait, up to the size of a batch."""
        batch = []
        size = 0
        while feed.waiting and size < BATCH_BYTES:
            host = next(iter(feed.waiting))
            del feed.waiting[host]
            entry = self.table.entries.get(host)
            if entry is not None:
                batch.append(entry.record)
                size += len(entry.record.body)
        return tuple(batch)

    async def _receive(
        self, _sender: str, batch: messages.Batch
    ) -> messages.Taken:
        self.take(batch.records)
        return messages.Taken(self._newer(batch.records))

    def _newer(
        self, records: typing.Iterable[messages.Record]
    ) -> tuple[messages.Record, ...]:
        """Return own records that are newer than the given ones."""
        entries = (self.table.entries.get(record.host) for record in records)
        pairs = zip(records, entries, strict=True)
        return tuple(
            entry.record
            for record, entry in pairs
            if entry is not None and entry.record.version > record.version
        )

    def _drop(self, host: str) -> None:
        feed = self.feeds.pop(host)
        if feed.task is not None:
            feed.task.cancel()

    def _changed(self, change: tables.Change) -> None:
        moved = change.old_record is not change.entry.record
        if change.was_up != change.entry.up or moved:
            self.stale.set()
