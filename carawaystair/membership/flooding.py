"""Flooding of new records over the overlay, acknowledged hop by hop.

One task feeds each neighbour: it sends what is new, waits for the answer, and
sends again what was lost.  What becomes new meanwhile waits by host, so that
the queue of a slow or silent neighbour is bounded by the number of hosts and
holds only the newest record of each.

A record that ends upstreams is pushed over every edge at once.  All others
are offered by their versions first and sent to those that lack them, so that
each process receives a record about once, whatever the number of its
neighbours (lazy push, as in Plumtree, Leitao, Pereira and Rodrigues, 2007).
"""

import asyncio
import contextlib
import itertools
import typing

import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.membership import messages
from carawaystair.membership import overlay
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
# Versions in one offer, and the pause after one, in seconds, in which others
# gather.
MAX_OFFERED = 500
OFFER_GAP_S = 0.2
# A record that was asked for and has not come in this time is asked for
# elsewhere, in seconds; it takes a push and one repetition.
EXPECT_S = 2 * RETRY_S
MAX_EXPECTED = 10_000
# The overlay follows the members at most this often, in seconds.
SETTLE_S = 0.25


class Feed:
    """What waits for one neighbour.

    :param address: where it takes messages.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        # Hosts whose records are pushed, and those whose records are offered.
        self.waiting: dict[str, None] = {}
        self.offered: dict[str, None] = {}
        self.busy = False
        self.event = asyncio.Event()
        # Set by what is not to wait until more offers have gathered.
        self.urgent = asyncio.Event()
        self.task: asyncio.Task | None = None

    def add(self, host: str, urgent: bool = True) -> None:
        """Let the record of a host wait.

        :param urgent: whether it is pushed without an offer.
        """
        if urgent:
            self.offered.pop(host, None)
            self.waiting[host] = None
            self.urgent.set()
        elif host not in self.waiting:
            self.offered[host] = None
        self.busy = True
        self.event.set()


class Flooder(mode.Service):
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
        # Versions that were asked for and are to come, and until when.
        self.expected: dict[str, tuple[tuple[int, int], float]] = {}
        # Offers that could not be read, and records that came once more.
        self.malformed_offers = 0
        self.duplicates = 0
        self.received = 0
        self.stale = asyncio.Event()
        table.listeners.append(self._changed)
        transport.handle(messages.Batch, self._receive)
        transport.handle(messages.Offer, self._offered)

    async def on_stop(self) -> None:
        """End the feeds."""
        for host in list(self.feeds):
            self._drop(host)

    def forward(self, host: str, urgent: bool) -> None:
        """Pass the record of a host on to every neighbour.

        :param urgent: at once, without asking who lacks it.
        """
        self.recent.pop(host, None)
        self.recent[host] = clock.now()
        for feed in self.feeds.values():
            feed.add(host, urgent)

    def accept(
        self, records: typing.Iterable[messages.Record], forward: bool = True
    ) -> int:
        """Take records in.

        :param forward: whether to pass on those that are new.
        :return: how many were new.
        """
        return sum(self._put(record, forward) for record in records)

    def _put(self, record: messages.Record, forward: bool) -> bool:
        """Take a record in; tell whether it was new."""
        entry = self.table.entries.get(record.host)
        old = None if entry is None else entry.record
        if not self.table.put(record):
            return False
        self.expected.pop(record.host, None)
        if forward:
            self.forward(record.host, messages.ends_upstreams(old, record))
        return True

    async def wait_until_acknowledged(self, time_s: float) -> bool:
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
        wanted = overlay.neighbours(self.table.host, centres)
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
            feed.add(host, False)
        feed.task = asyncio.create_task(self._feed(feed))
        return feed

    async def _feed(self, feed: Feed) -> None:
        """Feed one neighbour."""
        failures = 0
        while True:
            await feed.event.wait()
            if not feed.waiting and not feed.offered:
                feed.busy = False
                feed.event.clear()
                continue
            if feed.waiting:
                sent = await self._push(feed)
            else:
                sent = await self._offer(feed, failures)
            failures = 0 if sent else failures + 1
            await asyncio.sleep(BACKOFF_S if failures > PATIENCE else 0)

    async def _push(self, feed: Feed) -> bool:
        """Push the next records that wait; tell whether they arrived."""
        batch = self._batch(feed)
        if not batch:
            return True
        result = await self.transport.call(
            feed.address, messages.Batch(batch), RETRY_S
        )
        if result.is_error():
            for record in batch:
                feed.add(record.host)
            return False
        self.accept(result.ok.newer)
        size = sum(len(record.body) for record in batch)
        await asyncio.sleep(size / RATE)
        return True

    async def _offer(self, feed: Feed, failures: int) -> bool:
        """Offer what waits; tell whether the neighbour answered.

        What it wants is pushed next, and so is what it did not answer twice:
        a process of an older version does not know offers.

        :param failures: messages in a row that it did not answer.
        """
        hosts = list(itertools.islice(feed.offered, MAX_OFFERED))
        for host in hosts:
            del feed.offered[host]
        records = [self._record(host) for host in hosts]
        versions = tuple(
            messages.Version(record.host, *record.version)
            for record in records
            if record is not None
        )
        if not versions:
            return True
        offer = messages.Offer(messages.pack_versions(versions))
        result = await self.transport.call(feed.address, offer, RETRY_S)
        if result.is_error():
            for host in hosts:
                feed.add(host, failures > 0)
            return False
        for host in filter(set(hosts).__contains__, result.ok.hosts):
            feed.add(host)
        for host in filter(set(hosts).__contains__, result.ok.expected):
            feed.add(host, False)
        if feed.waiting:
            return await self._push(feed)
        await self._gather(feed)
        return True

    async def _gather(self, feed: Feed) -> None:
        """Let offers wait for others, unless something urgent comes."""
        feed.urgent.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OFFER_GAP_S):
                await feed.urgent.wait()

    def _batch(self, feed: Feed) -> tuple[messages.Record, ...]:
        """Take the next records that wait, up to the size of a batch."""
        batch = []
        size = 0
        while feed.waiting and size < BATCH_BYTES:
            host = next(iter(feed.waiting))
            del feed.waiting[host]
            record = self._record(host)
            if record is not None:
                batch.append(record)
                size += len(record.body)
        return tuple(batch)

    def _record(self, host: str) -> messages.Record | None:
        """Return the record of a host to pass on, None while it seems dead.

        Others may have forgotten that host; passed on, its record would bring
        it back there.
        """
        entry = self.table.entries.get(host)
        if entry is None or entry.state == messages.DEAD:
            return None
        return entry.record

    async def _offered(
        self, _sender: str, offer: messages.Offer
    ) -> messages.Wanted:
        """Answer which of the offered records this process lacks."""
        versions = messages.unpack_versions(offer.versions)
        if versions is None:
            self.malformed_offers += 1
            return messages.Wanted(())
        lacking = [v for v in versions[:MAX_OFFERED] if self._lacks(v)]
        now = clock.now()
        wanted = [v for v in lacking if not self._expects(v, now)]
        for version in wanted:
            self._expect(version, now)
        asked = tuple(version.host for version in wanted)
        return messages.Wanted(
            asked, tuple(v.host for v in lacking if v not in wanted)
        )

    def _lacks(self, version: messages.Version) -> bool:
        entry = self.table.entries.get(version.host)
        held = (-1, -1) if entry is None else entry.record.version
        return held < version[1:]

    def _expects(self, version: messages.Version, now: float) -> bool:
        expected, until = self.expected.get(version.host, ((-1, -1), 0.0))
        return until > now and expected >= version[1:]

    def _expect(self, version: messages.Version, now: float) -> None:
        self.expected.pop(version.host, None)
        self.expected[version.host] = (version[1:], now + EXPECT_S)
        if len(self.expected) > MAX_EXPECTED:
            del self.expected[next(iter(self.expected))]

    async def _receive(
        self, _sender: str, batch: messages.Batch
    ) -> messages.Taken:
        new = self.accept(batch.records)
        self.received += len(batch.records)
        self.duplicates += len(batch.records) - new
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
