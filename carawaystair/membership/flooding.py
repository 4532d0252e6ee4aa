"""Flooding of new records over the overlay, acknowledged hop by hop.

One task per neighbour sends new records, waits for the answer, and resends
records that were lost.  Its queue holds host names rather than records, so the
queue of a slow or silent neighbour is bounded by the number of hosts, and the
newest record of each host is sent.

A record that ends upstreams is pushed over every link immediately.  Versions
of all other records are offered first, and only records that a neighbour lacks
are sent, so that each process receives a record about once, independent of its
number of neighbours (lazy push, as in Plumtree, Leitao, Pereira and Rodrigues,
2007).
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

# Seconds after which an unanswered message is sent again.  After two
# consecutive losses most of the two seconds allowed for a leave must remain.
ANSWER_TIMEOUT_S = 0.25
# Consecutive failures after which the pause grows to BACKOFF_S, so that an
# unreachable neighbour costs less than a live one.
FAILURES_BEFORE_BACKOFF = 8
BACKOFF_S = 2.0
BATCH_BYTES = 32 * 1024
# Bytes per second sent to one neighbour.  When a data centre returns, hundreds
# of records are forwarded at once, which must not crowd out requests.
MAX_BYTES_PER_S = 256 * 1024
# A new neighbour is offered the records forwarded in the last RECENT_S
# seconds, which it may have missed while the overlay changed.
RECENT_S = 5.0
ACKNOWLEDGE_POLL_S = 0.02
# Versions per offer, and the pause after an offer, in seconds, during which
# further offers are collected.
MAX_OFFERED = 500
OFFER_PAUSE_S = 0.2
# Seconds after which a requested record that has not arrived may be requested
# from another neighbour: enough for a push and one resend.
REQUEST_TIMEOUT_S = 2 * ANSWER_TIMEOUT_S
MAX_REQUESTED = 10_000
# Minimum interval between updates of the neighbours, in seconds.
UPDATE_INTERVAL_S = 0.25


class NeighbourQueue:
    """The records to be sent to one neighbour.

    :param address: ``ip:port`` of its links.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        # Hosts whose records are to be pushed, and to be offered, in order.
        self.to_push: dict[str, None] = {}
        self.to_offer: dict[str, None] = {}
        self.has_pending = False
        self.not_empty = asyncio.Event()
        # Set by records to push, which end the pause after an offer.
        self.push_requested = asyncio.Event()
        self.task: asyncio.Task | None = None

    def add(self, host: str, urgent: bool = True) -> None:
        """Queue the record of a host.

        :param urgent: whether to push it without an offer.
        """
        if urgent:
            self.to_offer.pop(host, None)
            self.to_push[host] = None
            self.push_requested.set()
        elif host not in self.to_push:
            self.to_offer[host] = None
        self.has_pending = True
        self.not_empty.set()


class Flooder(mode.Service):
    """Accepts records and forwards new ones to the neighbours.

    :param table: the table of hosts.
    :param transport: the messages of this process.
    """

    def __init__(
        self, table: tables.Table, transport: interfaces.Transport, **kwargs
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.transport = transport
        self.queues: dict[str, NeighbourQueue] = {}
        # Time at which the record of a host was last forwarded.
        self.recently_forwarded: dict[str, float] = {}
        # Version requested from a neighbour, and until when it is expected.
        self.requested: dict[str, tuple[tuple[int, int], float]] = {}

        self.malformed_offers = 0
        self.duplicates = 0
        self.received = 0
        self.overlay_changed = asyncio.Event()
        table.listeners.append(self._on_table_change)
        transport.handle(messages.Batch, self._handle_batch)
        transport.handle(messages.Offer, self._handle_offer)

    async def on_stop(self) -> None:
        """Close the queues of all neighbours."""
        for host in list(self.queues):
            self._close_queue(host)

    def forward(self, host: str, urgent: bool) -> None:
        """Forward the record of a host to every neighbour.

        :param urgent: whether to push it without an offer.
        """
        self.recently_forwarded.pop(host, None)
        self.recently_forwarded[host] = clock.now()
        for queue in self.queues.values():
            queue.add(host, urgent)

    def accept(
        self, records: typing.Iterable[messages.Record], forward: bool = True
    ) -> int:
        """Add records to the table.

        :param forward: whether to forward those that are new.
        :return: number of new records.
        """
        return sum(self._accept_record(record, forward) for record in records)

    def _accept_record(self, record: messages.Record, forward: bool) -> bool:
        """Add a record to the table; return whether it was new."""
        entry = self.table.entries.get(record.host)
        old = None if entry is None else entry.record
        if not self.table.put(record):
            return False
        self.requested.pop(record.host, None)
        if forward:
            self.forward(record.host, messages.ends_upstreams(old, record))
        return True

    async def wait_until_acknowledged(self, time_s: float) -> bool:
        """Wait until every neighbour has acknowledged all queued records.

        :param time_s: maximum wait, in seconds.
        :return: whether everything was acknowledged.
        """
        until = clock.now() + time_s
        while clock.now() < until:
            if not any(queue.has_pending for queue in self.queues.values()):
                return True
            await asyncio.sleep(ACKNOWLEDGE_POLL_S)
        return False

    def update_queues(self) -> None:
        """Open and close queues to match the current overlay."""
        centres = {
            entry.member.host: entry.member.data_centre
            for entry in (self.table.own_entry, *self.table.live_entries())
        }
        wanted = overlay.neighbours(self.table.host, centres)
        for host in self.queues.keys() - set(wanted):
            self._close_queue(host)
        for host in wanted:
            address = self.table.entries[host].member.peer
            queue = self.queues.get(host)
            if queue is not None and queue.address != address:
                self._close_queue(host)
                queue = None
            if queue is None:
                self.queues[host] = self._open_queue(address)

    @mode.Service.task
    async def _follow_members(self) -> None:
        """Update the queues when the members change."""
        while not self.should_stop:
            await self.overlay_changed.wait()
            self.overlay_changed.clear()
            self.update_queues()
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def _open_queue(self, address: str) -> NeighbourQueue:
        """Open the queue of a neighbour, with recently forwarded records."""
        queue = NeighbourQueue(address)
        since = clock.now() - RECENT_S
        self.recently_forwarded = {
            h: t for h, t in self.recently_forwarded.items() if t >= since
        }
        for host in self.recently_forwarded:
            queue.add(host, False)
        queue.task = asyncio.create_task(self._send_queue(queue))
        return queue

    async def _send_queue(self, queue: NeighbourQueue) -> None:
        """Send the queued records to one neighbour."""
        failures = 0
        while True:
            await queue.not_empty.wait()
            if not queue.to_push and not queue.to_offer:
                queue.has_pending = False
                queue.not_empty.clear()
                continue
            if queue.to_push:
                sent = await self._push_batch(queue)
            else:
                sent = await self._send_offer(queue, failures)
            failures = 0 if sent else failures + 1
            await asyncio.sleep(
                BACKOFF_S if failures > FAILURES_BEFORE_BACKOFF else 0
            )

    async def _push_batch(self, queue: NeighbourQueue) -> bool:
        """Push the next batch of records; return whether it was answered."""
        batch = self._next_batch(queue)
        if not batch:
            return True
        result = await self.transport.call(
            queue.address, messages.Batch(batch), ANSWER_TIMEOUT_S
        )
        if result.is_error():
            for record in batch:
                queue.add(record.host)
            return False
        self.accept(result.ok.newer)
        size = sum(len(record.body) for record in batch)
        await asyncio.sleep(size / MAX_BYTES_PER_S)
        return True

    async def _send_offer(self, queue: NeighbourQueue, failures: int) -> bool:
        """Offer the queued records; return whether the neighbour answered.

        The requested records are pushed next.  After two unanswered offers
        the records are pushed as well: a process of an older version doesn't
        support offers.

        :param failures: consecutive messages that it did not answer.
        """
        hosts = list(itertools.islice(queue.to_offer, MAX_OFFERED))
        for host in hosts:
            del queue.to_offer[host]
        records = [self._forwardable_record(host) for host in hosts]
        versions = tuple(
            messages.Version(record.host, *record.version)
            for record in records
            if record is not None
        )
        if not versions:
            return True
        offer = messages.Offer(messages.pack_versions(versions))
        result = await self.transport.call(
            queue.address, offer, ANSWER_TIMEOUT_S
        )
        if result.is_error():
            for host in hosts:
                queue.add(host, failures > 0)
            return False
        for host in filter(set(hosts).__contains__, result.ok.hosts):
            queue.add(host)
        for host in filter(
            set(hosts).__contains__, result.ok.already_requested
        ):
            queue.add(host, False)
        if queue.to_push:
            return await self._push_batch(queue)
        await self._await_offers(queue)
        return True

    async def _await_offers(self, queue: NeighbourQueue) -> None:
        """Wait for more records to offer, or until one is to be pushed."""
        queue.push_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OFFER_PAUSE_S):
                await queue.push_requested.wait()

    def _next_batch(
        self, queue: NeighbourQueue
    ) -> tuple[messages.Record, ...]:
        """Remove the next records to push, up to the size of a batch."""
        batch = []
        size = 0
        while queue.to_push and size < BATCH_BYTES:
            host = next(iter(queue.to_push))
            del queue.to_push[host]
            record = self._forwardable_record(host)
            if record is not None:
                batch.append(record)
                size += len(record.body)
        return tuple(batch)

    def _forwardable_record(self, host: str) -> messages.Record | None:
        """Return the record of a host, or None if the host is believed dead.

        Other processes may have forgotten a dead host; its record would add
        the host to their tables again.
        """
        entry = self.table.entries.get(host)
        if entry is None or entry.state == messages.DEAD:
            return None
        return entry.record

    async def _handle_offer(
        self, _sender: str, offer: messages.Offer
    ) -> messages.Wanted:
        """Request the offered records that this process lacks."""
        versions = messages.unpack_versions(offer.versions)
        if versions is None:
            self.malformed_offers += 1
            return messages.Wanted(())
        lacking = [v for v in versions[:MAX_OFFERED] if self._lacks(v)]
        now = clock.now()
        wanted = [v for v in lacking if not self._is_requested(v, now)]
        for version in wanted:
            self._note_request(version, now)
        asked = tuple(version.host for version in wanted)
        return messages.Wanted(
            asked, tuple(v.host for v in lacking if v not in wanted)
        )

    def _lacks(self, version: messages.Version) -> bool:
        entry = self.table.entries.get(version.host)
        held = (-1, -1) if entry is None else entry.record.version
        return held < version[1:]

    def _is_requested(self, version: messages.Version, now: float) -> bool:
        requested, until = self.requested.get(version.host, ((-1, -1), 0.0))
        return until > now and requested >= version[1:]

    def _note_request(self, version: messages.Version, now: float) -> None:
        self.requested.pop(version.host, None)
        self.requested[version.host] = (version[1:], now + REQUEST_TIMEOUT_S)
        if len(self.requested) > MAX_REQUESTED:
            del self.requested[next(iter(self.requested))]

    async def _handle_batch(
        self, _sender: str, batch: messages.Batch
    ) -> messages.Taken:
        new = self.accept(batch.records)
        self.received += len(batch.records)
        self.duplicates += len(batch.records) - new
        return messages.Taken(self._newer_records(batch.records))

    def _newer_records(
        self, records: typing.Iterable[messages.Record]
    ) -> tuple[messages.Record, ...]:
        """Return records of the table that are newer than the given ones."""
        entries = (self.table.entries.get(record.host) for record in records)
        pairs = zip(records, entries, strict=True)
        return tuple(
            entry.record
            for record, entry in pairs
            if entry is not None and entry.record.version > record.version
        )

    def _close_queue(self, host: str) -> None:
        queue = self.queues.pop(host)
        if queue.task is not None:
            queue.task.cancel()

    def _on_table_change(self, change: tables.Change) -> None:
        moved = change.old_record is not change.entry.record
        if change.was_up != change.entry.up or moved:
            self.overlay_changed.set()
