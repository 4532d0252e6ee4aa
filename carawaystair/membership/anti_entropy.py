"""Anti-entropy: reconciles the records and liveness of two processes.

Every probe carries the digests of both ends, so that no extra message is sent
while they agree.  When the digests differ for longer than a change takes to
spread, a process compares bucket digests with the other process or with a
neighbour, then the versions of the hosts in the buckets that differ, and
fetches newer records.  A process that joins receives the whole state in this
way, in rate-limited pieces.
"""

import asyncio
import itertools
import random
import typing

import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.membership import dead_prober as dead_probers
from carawaystair.membership import digest
from carawaystair.membership import flooding
from carawaystair.membership import messages
from carawaystair.membership import probe
from carawaystair.membership import table as tables

TIMEOUT_S = 1.0
# Pause between comparisons, in seconds; it doubles while they find nothing
# new.
MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0
# A digest that changed within this time may only be ahead of the others.
SETTLED_S = 1.0
# In a fleet with constant changes a digest may never be settled; a difference
# that has lasted this long is examined anyway.
MAX_UNSETTLED_S = 5.0
# Maximum number of hosts in the answer to one comparison, unless a single
# bucket holds more.
MAX_VERSIONS = 500
# Maximum number of consecutive comparisons with one process.
MAX_ROUNDS = 2 * digest.BUCKETS
# Records per Fetch, and the bytes per second that one process exchanges with
# another on its own initiative, and serves to all others.
MAX_FETCH_RECORDS = 40
FETCH_BYTES_PER_S = 512 * 1024
SERVE_BYTES_PER_S = 512 * 1024
# Share of comparisons made with the process whose digest differed; the others
# are made with a neighbour in the overlay, to which a link is open already.
DIRECT_SHARE = 0.25


class ByteBudget:
    """Limits the bytes served to others by a token bucket of one second.

    When a data centre returns, hundreds of processes fetch records at once.
    A process that served them without a limit could not serve its callers.
    """

    def __init__(self, bytes_per_s: int) -> None:
        self.bytes_per_s = bytes_per_s
        self.available = float(bytes_per_s)
        self.refilled_at = clock.now()

    def take(self, size: int) -> bool:
        """Take ``size`` bytes; return False if the bucket is empty."""
        now = clock.now()
        gained = (now - self.refilled_at) * self.bytes_per_s
        self.available = min(self.available + gained, self.bytes_per_s)
        self.refilled_at = now
        if self.available <= 0:
            return False
        self.available -= size
        return True


class AntiEntropy(mode.Service):
    """Compares digests with other processes and fetches newer records.

    :param table: the table of hosts.
    :param flooder: accepts and forwards the fetched records.
    :param prober: reports the digests of other processes.
    :param dead_prober: probes dead hosts that others believe alive.
    :param transport: the messages of this process.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        table: tables.Table,
        flooder: flooding.Flooder,
        prober: probe.Prober,
        dead_prober: dead_probers.DeadProber,
        transport: interfaces.Transport,
        rng: random.Random,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.table = table
        self.flooder = flooder
        self.dead_prober = dead_prober
        self.transport = transport
        self.rng = rng
        self.byte_budget = ByteBudget(SERVE_BYTES_PER_S)
        # By kind of digest: the host last seen to differ, or an empty string,
        # and the time since which there has been a difference.
        self.differing_hosts: list[str] = ['', '']
        self.differing_since = [0.0, 0.0]
        self.difference_seen = asyncio.Event()
        # Set once all digests matched those of another process.
        self.synced = asyncio.Event()
        # Whether a comparison with another process has succeeded.
        self.has_compared = False
        self.comparisons = 0
        prober.digest_listeners.append(self.receive_digests)
        transport.handle(messages.Compare, self._handle_compare)
        transport.handle(messages.Fetch, self._handle_fetch)

    def receive_digests(self, host: str, theirs: messages.Digests) -> None:
        """Compare the digests received from another process."""
        equal = [
            their == self.table.digests[kind].total
            for kind, their in enumerate(theirs)
        ]
        for kind in (messages.RECORDS, messages.LIVENESS):
            if not equal[kind]:
                self._note_difference(kind, host)
            elif self.differing_hosts[kind] == host:
                self.differing_hosts[kind] = ''
        if all(equal):
            self.synced.set()

    def _note_difference(self, kind: int, host: str) -> None:
        """Record a difference, which agreement with others doesn't clear.

        If most processes agree and a few lag behind, the next probe nearly
        always shows agreement, and the few would never be reconciled.
        """
        if not self.differing_hosts[kind]:
            self.differing_since[kind] = clock.now()
        self.differing_hosts[kind] = host
        self.difference_seen.set()

    def due(self, kind: int) -> bool:
        """Tell whether a difference has lasted long enough to reconcile."""
        now = clock.now()
        settled = now - self.table.digest_changed_at[kind] >= SETTLED_S
        waited_enough = now - self.differing_since[kind] >= MAX_UNSETTLED_S
        joining = not self.has_compared
        return bool(self.differing_hosts[kind]) and (
            settled or waited_enough or joining
        )

    @mode.Service.task
    async def _reconcile_periodically(self) -> None:
        """Reconcile differences, one at a time."""
        pause_s = MIN_PAUSE_S
        while not self.should_stop:
            await self.difference_seen.wait()
            # Records go first: they also carry most liveness incarnations.
            due = [kind for kind in (0, 1) if self.due(kind)]
            useful = False
            for kind in due:
                useful = useful or await self.reconcile(kind)
            if due:
                pause_s = MIN_PAUSE_S if useful else pause_s * 2
            if not any(self.differing_hosts):
                self.difference_seen.clear()
                pause_s = MIN_PAUSE_S
            pause_s = min(pause_s, MAX_PAUSE_S)
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    async def reconcile(self, kind: int) -> bool:
        """Reconcile with one process.

        :return: whether this process learned something new.
        """
        host, self.differing_hosts[kind] = self.differing_hosts[kind], ''
        neighbours = [h for h in self.flooder.queues if h != host]
        if neighbours and self.rng.random() >= DIRECT_SHARE:
            host = self.rng.choice(neighbours)
        entry = self.table.entries.get(host)
        if entry is None:
            return False
        return await self.reconcile_with(kind, entry.member.peer)

    async def reconcile_with(self, kind: int, peer: str) -> bool:
        """Compare buckets with one process, in at most MAX_ROUNDS rounds.

        :return: whether this process learned something new.
        """
        done: set[int] = set()
        useful = False
        for _round in range(MAX_ROUNDS):
            self.comparisons += 1
            result = await self.transport.call(
                peer,
                messages.Compare(kind, self._mask_done(kind, done)),
                TIMEOUT_S,
            )
            if result.is_error() or not result.ok.buckets:
                return useful
            self.has_compared = True
            done.update(result.ok.buckets)
            if kind == messages.LIVENESS:
                useful = self._merge_liveness(result.ok.versions) or useful
            else:
                useful = (
                    await self._exchange_records(peer, result.ok) or useful
                )
        return useful

    def _mask_done(self, kind: int, done: set[int]) -> bytes:
        """Encode the own buckets, with all bits set in those already done.

        A bucket may still differ after an exchange, such as when only one end
        believes a host dead.  The mark excludes it from further answers.
        """
        size = digest.BUCKET_BYTES
        data = bytearray(self.table.digests[kind].encode())
        for number in done:
            data[number * size : (number + 1) * size] = DONE
        return bytes(data)

    def _merge_liveness(
        self, versions: typing.Iterable[messages.Version]
    ) -> bool:
        """Process the liveness incarnations that another process holds."""
        learned = False
        for version in versions:
            host, incarnation, _sequence = version
            learned = (
                self.table.apply_liveness(host, messages.ALIVE, incarnation)
                or learned
            )
            # The other process believes it alive.  If it is believed dead
            # here, a probe decides.
            self.dead_prober.probe_soon(host)
        return learned

    async def _exchange_records(
        self, peer: str, differ: messages.Differ
    ) -> bool:
        """Fetch the records newer at the peer, send those newer here.

        :return: whether the peer had newer records.
        """
        theirs = {v.host: (v.incarnation, v.sequence) for v in differ.versions}
        wanted = [
            host
            for host, version in theirs.items()
            if self._held_version(host) < version
        ]
        # A few delayed records may be new to others, too, and are forwarded.
        # The many records of a join or of a healed partition are not: every
        # process would flood them at the same time.
        forward = len(wanted) <= MAX_FETCH_RECORDS and self.synced.is_set()
        for hosts in _chunks(wanted, MAX_FETCH_RECORDS):
            if not await self._fetch_records(peer, hosts, forward):
                break
        mine = [
            entry.record
            for entry in self.table.entries.values()
            if entry.bucket in differ.buckets
            and (entry.up or entry.member.host in theirs)
            and entry.record.version
            > theirs.get(entry.member.host, NO_VERSION)
        ]
        for records in _chunks(mine, MAX_FETCH_RECORDS):
            batch = messages.Batch(tuple(records))
            result = await self.transport.call(peer, batch, TIMEOUT_S)
            if result.is_ok():
                self.flooder.accept(result.ok.newer, forward)
            await asyncio.sleep(_total_bytes(records) / FETCH_BYTES_PER_S)
        return bool(wanted)

    async def _fetch_records(
        self, peer: str, hosts: list[str], forward: bool
    ) -> bool:
        """Fetch the records of some hosts; return whether any arrived."""
        result = await self.transport.call(
            peer, messages.Fetch(tuple(hosts)), TIMEOUT_S
        )
        if result.is_error() or not result.ok.records:
            return False
        self.flooder.accept(result.ok.records, forward)
        await asyncio.sleep(
            _total_bytes(result.ok.records) / FETCH_BYTES_PER_S
        )
        return True

    def _held_version(self, host: str) -> tuple[int, int]:
        entry = self.table.entries.get(host)
        return entry.record.version if entry is not None else NO_VERSION

    async def _handle_compare(
        self, _sender: str, compare: messages.Compare
    ) -> messages.Differ:
        """Answer with the versions held in some of the differing buckets."""
        kind = compare.kind
        if kind not in (messages.RECORDS, messages.LIVENESS):
            return messages.Differ((), ())
        differing = [
            number
            for number in self.table.digests[kind].differing(compare.buckets)
            if not _is_done(compare.buckets, number)
        ]
        self.rng.shuffle(differing)
        by_bucket: dict[int, list[messages.Version]] = {
            number: [] for number in differing
        }
        for entry in self.table.live_entries():
            if entry.bucket in by_bucket:
                by_bucket[entry.bucket].append(_version_for(kind, entry))
        sizes = itertools.accumulate(len(v) for v in by_bucket.values())
        covered = [
            number
            for number, size in zip(by_bucket, sizes, strict=True)
            if size <= MAX_VERSIONS or number == differing[0]
        ]
        versions = itertools.chain.from_iterable(
            by_bucket[number] for number in covered
        )
        return messages.Differ(tuple(covered), tuple(versions))

    async def _handle_fetch(
        self, _sender: str, fetch: messages.Fetch
    ) -> messages.Records:
        """Answer with records, or with none if the byte budget is used up."""
        entries = (
            self.table.entries.get(h) for h in fetch.hosts[:MAX_FETCH_RECORDS]
        )
        records = tuple(e.record for e in entries if e is not None)
        if not self.byte_budget.take(_total_bytes(records)):
            return messages.Records(())
        return messages.Records(records)


NO_VERSION = (-1, -1)
DONE = b'\xff' * digest.BUCKET_BYTES


def _is_done(buckets: bytes, number: int) -> bool:
    size = digest.BUCKET_BYTES
    return buckets[number * size : (number + 1) * size] == DONE


def _version_for(kind: int, entry: tables.Entry) -> messages.Version:
    """Return the version held of a host, for one kind of digest."""
    if kind == messages.LIVENESS:
        member = entry.member
        return messages.Version(member.host, member.incarnation, 0)
    return messages.Version(entry.member.host, *entry.record.version)


def _chunks(items: list, size: int) -> typing.Iterator[list]:
    for start in range(0, len(items), size):
        yield items[start : start + size]


def _total_bytes(records: typing.Iterable[messages.Record]) -> int:
    return sum(len(record.body) for record in records)
