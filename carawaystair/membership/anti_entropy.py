"""Anti-entropy: two processes that differ find out where and mend it.

Every probe carries the digests of both ends, so that agreement costs no
message of its own.  A process whose digests differ from another's for longer
than a change takes to spread compares buckets with one of them, then the
versions of the hosts in those that differ, and fetches what is newer there.
A process that joins gets everything in this way, in paced pieces.
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
# Pause between comparisons, in seconds; doubles while they bring nothing.
PAUSE_S = 1.0
PAUSE_MAX_S = 8.0
# A digest that changed less than this ago may just be ahead of the others.
SETTLED_S = 1.0
# In a fleet that changes all the time a digest may never settle; after so
# long a difference is looked into all the same.
PATIENCE_S = 5.0
# Hosts in the answer to one comparison, as a bound.
MAX_VERSIONS = 500
# Comparisons in a row with one process.
MAX_ROUNDS = 2 * digest.BUCKETS
# Records asked for at once, and the bytes a second that one process takes
# from others and gives to all others.
FETCH = 40
TAKE_RATE = 512 * 1024
GIVE_RATE = 512 * 1024
# Share of comparisons made with the process that was seen to differ, not
# with a neighbour in the overlay whose link is open already.
DIRECT_SHARE = 0.25


class Allowance:
    """Bytes that may be given to others, as a token bucket of one second.

    When a data centre returns, hundreds of processes fetch at once.  One
    that gave without bound would stop serving callers meanwhile.
    """

    def __init__(self, rate: int) -> None:
        self.rate = rate
        self.left = float(rate)
        self.filled = clock.now()

    def take(self, size: int) -> bool:
        """Take ``size`` bytes, unless the bucket is empty."""
        now = clock.now()
        gained = (now - self.filled) * self.rate
        self.left = min(self.left + gained, self.rate)
        self.filled = now
        if self.left <= 0:
            return False
        self.left -= size
        return True


class AntiEntropy(mode.Service):
    """Compares with others and fetches what is newer there.

    :param table: the table of hosts.
    :param flooder: passes on what was fetched.
    :param prober: tells the digests of others.
    :param dead_prober: probes hosts that others believe alive.
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
        self.allowance = Allowance(GIVE_RATE)
        # By kind, the hosts last seen to differ and since when one does.
        self.differing: list[str] = ['', '']
        self.since = [0.0, 0.0]
        self.event = asyncio.Event()
        # Set once this process agreed with another.
        self.synced = asyncio.Event()
        # Whether this process has compared with another one.
        self.met = False
        self.rounds = 0
        prober.compared.append(self.compared)
        transport.handle(messages.Compare, self._compare)
        transport.handle(messages.Fetch, self._fetch)

    def compared(self, host: str, theirs: messages.Digests) -> None:
        """Take note of the digests of another process."""
        equal = [
            their == self.table.digests[kind].total
            for kind, their in enumerate(theirs)
        ]
        for kind in (messages.RECORDS, messages.LIVENESS):
            if not equal[kind]:
                self._differs(kind, host)
            elif self.differing[kind] == host:
                self.differing[kind] = ''
        if all(equal):
            self.synced.set()

    def _differs(self, kind: int, host: str) -> None:
        """Note a difference; that others agree doesn't make it void.

        Where most processes agree and a few lag behind, the next probe
        nearly always shows agreement, and those few would never be met.
        """
        if not self.differing[kind]:
            self.since[kind] = clock.now()
        self.differing[kind] = host
        self.event.set()

    def due(self, kind: int) -> bool:
        """Tell whether a difference has lasted long enough to look into."""
        now = clock.now()
        settled = now - self.table.moved[kind] >= SETTLED_S
        patient = now - self.since[kind] >= PATIENCE_S
        joining = not self.met
        return bool(self.differing[kind]) and (settled or patient or joining)

    @mode.Service.task
    async def _agree(self) -> None:
        """Look into differences, one at a time."""
        pause_s = PAUSE_S
        while not self.should_stop:
            await self.event.wait()
            # Records that differ bring most of the liveness with them.
            due = [kind for kind in (0, 1) if self.due(kind)]
            useful = False
            for kind in due:
                useful = useful or await self.meet(kind)
            if due:
                pause_s = PAUSE_S if useful else pause_s * 2
            if not any(self.differing):
                self.event.clear()
                pause_s = PAUSE_S
            pause_s = min(pause_s, PAUSE_MAX_S)
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    async def meet(self, kind: int) -> bool:
        """Compare with one process.

        :return: whether something new came of it.
        """
        host, self.differing[kind] = self.differing[kind], ''
        neighbours = [h for h in self.flooder.feeds if h != host]
        if neighbours and self.rng.random() >= DIRECT_SHARE:
            host = self.rng.choice(neighbours)
        entry = self.table.entries.get(host)
        if entry is None:
            return False
        return await self.compare(kind, entry.member.peer)

    async def compare(self, kind: int, peer: str) -> bool:
        """Mend the differences with one process."""
        done: set[int] = set()
        useful = False
        for _round in range(MAX_ROUNDS):
            self.rounds += 1
            result = await self.transport.call(
                peer,
                messages.Compare(kind, self._masked(kind, done)),
                TIMEOUT_S,
            )
            if result.is_error() or not result.ok.buckets:
                return useful
            self.met = True
            done.update(result.ok.buckets)
            if kind == messages.LIVENESS:
                useful = self._liveness(result.ok.versions) or useful
            else:
                useful = await self._records(peer, result.ok) or useful
        return useful

    def _masked(self, kind: int, done: set[int]) -> bytes:
        """Return the own buckets; those done travel as all ones.

        A bucket may go on differing for good reasons, such as a host that
        only one end believes dead.  Marked as done it is not offered again.
        """
        size = digest.BUCKET_BYTES
        data = bytearray(self.table.digests[kind].encode())
        for number in done:
            data[number * size : (number + 1) * size] = DONE
        return bytes(data)

    def _liveness(self, versions: typing.Iterable[messages.Version]) -> bool:
        """Take in the incarnations that another process holds."""
        news = False
        for version in versions:
            host, incarnation, _sequence = version
            news = self.table.hear(host, messages.ALIVE, incarnation) or news
            # They believe it alive, we believe it dead: a round trip tells.
            self.dead_prober.probe_soon(host)
        return news

    async def _records(self, peer: str, differ: messages.Differ) -> bool:
        """Fetch the records that are newer there, give those newer here."""
        theirs = {v.host: (v.incarnation, v.sequence) for v in differ.versions}
        wanted = [
            host
            for host, version in theirs.items()
            if self._version(host) < version
        ]
        # A few late records may be new to others as well; a whole sync, or
        # what a healed network brings, would be flooded by everybody at once.
        spread = len(wanted) <= FETCH and self.synced.is_set()
        for hosts in _chunks(wanted, FETCH):
            if not await self._take(peer, hosts, spread):
                break
        mine = [
            entry.record
            for entry in self.table.entries.values()
            if entry.bucket in differ.buckets
            and (entry.up or entry.member.host in theirs)
            and entry.record.version > theirs.get(entry.member.host, NOTHING)
        ]
        for records in _chunks(mine, FETCH):
            batch = messages.Batch(tuple(records))
            result = await self.transport.call(peer, batch, TIMEOUT_S)
            if result.is_ok():
                self.flooder.accept(result.ok.newer, spread)
            await asyncio.sleep(_size(records) / TAKE_RATE)
        return bool(wanted)

    async def _take(self, peer: str, hosts: list[str], spread: bool) -> bool:
        """Fetch the records of some hosts; tells whether any came."""
        result = await self.transport.call(
            peer, messages.Fetch(tuple(hosts)), TIMEOUT_S
        )
        if result.is_error() or not result.ok.records:
            return False
        self.flooder.accept(result.ok.records, spread)
        await asyncio.sleep(_size(result.ok.records) / TAKE_RATE)
        return True

    def _version(self, host: str) -> tuple[int, int]:
        entry = self.table.entries.get(host)
        return entry.record.version if entry is not None else NOTHING

    async def _compare(
        self, _sender: str, compare: messages.Compare
    ) -> messages.Differ:
        """Answer with the hosts of some buckets that differ."""
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
        for entry in self.table.up():
            if entry.bucket in by_bucket:
                by_bucket[entry.bucket].append(_held(kind, entry))
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

    async def _fetch(
        self, _sender: str, fetch: messages.Fetch
    ) -> messages.Records:
        """Answer with records, as far as the allowance goes."""
        entries = (self.table.entries.get(h) for h in fetch.hosts[:FETCH])
        records = tuple(e.record for e in entries if e is not None)
        if not self.allowance.take(_size(records)):
            return messages.Records(())
        return messages.Records(records)


NOTHING = (-1, -1)
DONE = b'\xff' * digest.BUCKET_BYTES


def _is_done(buckets: bytes, number: int) -> bool:
    size = digest.BUCKET_BYTES
    return buckets[number * size : (number + 1) * size] == DONE


def _held(kind: int, entry: tables.Entry) -> messages.Version:
    """Return what is held of a host, for one kind of comparison."""
    if kind == messages.LIVENESS:
        member = entry.member
        return messages.Version(member.host, member.incarnation, 0)
    return messages.Version(entry.member.host, *entry.record.version)


def _chunks(items: list, size: int) -> typing.Iterator[list]:
    for start in range(0, len(items), size):
        yield items[start : start + size]


def _size(records: typing.Iterable[messages.Record]) -> int:
    return sum(len(record.body) for record in records)
