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
from carawaystair.reservations import placement
from carawaystair.reservations import replica as replicas
from carawaystair.reservations import seat as seats
from carawaystair.reservations import transfer
from carawaystair import timeline as timelines

PAGE_TIMEOUT_S = 1.0
# Pause before a failed attempt is made again, doubled up to the second one.
RETRY_S = 0.2
RETRY_MOST_S = 5.0
# Partitions that are fetched at once.
CONCURRENT = 8
# How partitions became active, for the time line.
EMPTY = 'began empty'
PASSED = 'window passed'
TAKEN = 'taken over'
RECOVERED = 'recovered'
KEYS = 'keys'

LOG = logs.get('reservations')

Call = typing.Callable[
    [str, typing.Any, float],
    typing.Awaitable[expression.Result[typing.Any, codes.Failure]],
]


class Activation:
    """Makes the seats of one process active.

    :param replica: the seats.
    :param transfers: says whether the window has passed since the start.
    :param call: asks a peer.
    :param timeline: takes note of active partitions.
    :param rng: for the order of sources and pauses.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        transfers: transfer.Transfers,
        call: Call,
        timeline: timelines.Timeline,
        rng: random.Random,
    ) -> None:
        self.replica = replica
        self.transfers = transfers
        self.call = call
        self.timeline = timeline
        self.rng = rng
        self.running: dict[int, asyncio.Task] = {}
        self.gate = asyncio.Semaphore(CONCURRENT)
        self.news: collections.Counter = collections.Counter()
        replica.book.listeners.append(self._placed)

    def stop(self) -> None:
        """End all attempts."""
        for task in self.running.values():
            task.cancel()

    def _placed(self, row: placement.Placement) -> None:
        """Begin to activate the seat of a new placement."""
        seat = self.replica.seats.get(row.partition)
        wanted = seat is not None and seat.standing != seats.ACTIVE
        if not wanted or row.partition in self.running:
            return
        if self._empty(seat):
            self._activate(seat, EMPTY)
            return
        task = asyncio.create_task(self._run(row.partition))
        self.running[row.partition] = task

    async def _run(self, partition: int) -> None:
        """Try until the seat is active or gone."""
        pause = RETRY_S
        try:
            while self._wanted(partition):
                async with self.gate:
                    seat = self.replica.seats.get(partition)
                    if seat is not None and await self._try(seat):
                        continue
                await asyncio.sleep(pause * self.rng.uniform(0.5, 1.0))
                pause = min(2 * pause, RETRY_MOST_S)
        finally:
            del self.running[partition]

    def _wanted(self, partition: int) -> bool:
        seat = self.replica.seats.get(partition)
        return (
            seat is not None
            and seat.standing != seats.ACTIVE
            and seat.row.member(self.replica.host) is not None
        )

    def _native(self, seat: seats.Seat) -> bool:
        """Tell whether this process can't have voted in this epoch before.

        The epoch was decided when this very run of the process was known,
        so that no earlier run of it can have been active in the epoch; or
        whatever an earlier run voted for is void by now.
        """
        me = seat.row.member(self.replica.host)
        listed = me is not None and me.session == self.replica.session
        return listed or self.transfers.waited()

    def _empty(self, seat: seats.Seat) -> bool:
        """Tell whether a seat may begin without any keys."""
        if seat.row.member(self.replica.host) is None:
            return False
        if not self._native(seat) or seat.row.previous:
            return False
        return seat.row.epoch == 1 or self.transfers.waited()

    async def _try(self, seat: seats.Seat) -> bool:
        if seat.row.member(self.replica.host) is None:
            return False
        if self._empty(seat):
            self._activate(seat, PASSED)
            return True
        if self._native(seat):
            return await self._take_over(seat)
        return await self._recover(seat)

    async def _take_over(self, seat: seats.Seat) -> bool:
        """Fetch from the epoch before, or from one that has done so."""
        row = seat.row
        host = self.replica.host
        sealed = seat.standing == seats.SEALED or self.transfers.waited()
        knows = {host} if row.before(host) and sealed else set()
        need = placement.overlap(len(row.previous)) if row.previous else 1
        for source in self._sources((*row.previous, *row.members)):
            if row.previous and len(knows) >= need:
                break
            standing = await self._fetch(seat, source, messages.TAKE_OVER)
            if standing == messages.ACTIVE:
                # It holds all that the epoch before granted.
                return self._done(seat, row, TAKEN)
            if standing == messages.SEALED and row.before(source.host):
                knows.add(source.host)
        enough = bool(row.previous) and len(knows) >= need
        return enough and self._done(seat, row, TAKEN)

    async def _recover(self, seat: seats.Seat) -> bool:
        """Fetch from others of this epoch after a restart."""
        row = seat.row
        knows = 0
        need = placement.overlap(len(row.members))
        for source in self._sources(row.members):
            if knows >= need:
                break
            standing = await self._fetch(seat, source, messages.RECOVER)
            knows += standing == messages.ACTIVE
        return knows >= need and self._done(seat, row, RECOVERED)

    def _sources(
        self, members: typing.Iterable[placement.Replica]
    ) -> list[placement.Replica]:
        """Return the other members, each once, in random order."""
        others = {m.host: m for m in members if m.host != self.replica.host}
        some = list(others.values())
        self.rng.shuffle(some)
        return some

    async def _fetch(
        self, seat: seats.Seat, source: placement.Replica, why: int
    ) -> int:
        """Fetch all keys of one source; return how it stands."""
        row = seat.row
        start = 0
        while True:
            ask = messages.Fetch(
                row, self.replica.host, seat.session, why, start
            )
            result = await self.call(source.peer, ask, PAGE_TIMEOUT_S)
            # The world may have changed while this task waited.
            if result.is_error() or seat.row is not row:
                return messages.UNABLE
            page: messages.Page = result.ok
            if page.rows is not None:
                self.replica.book.take(messages.unpack(page.rows))
            if page.standing == messages.BEHIND:
                seat.session = page.session + 1
            if page.standing not in (messages.SEALED, messages.ACTIVE):
                return messages.UNABLE
            for host, session in page.sessions:
                if host in seat.known:
                    seat.register(host, session)
            released = self.replica.tombstones
            if not transfer.merge(seat.store, page.entries, released):
                return messages.UNABLE
            if not page.next:
                return page.standing
            start = page.next

    def _done(
        self, seat: seats.Seat, row: placement.Placement, how: str
    ) -> bool:
        if seat.row is not row:
            return False
        self._activate(seat, how)
        return True

    def _activate(self, seat: seats.Seat, how: str) -> None:
        seat.standing = seats.ACTIVE
        self.news[how] += 1
        self.news[KEYS] += len(seat.store.records)

    def report(self) -> None:
        """Record what became active since the last report, in one event.

        A node of a small fleet holds hundreds of partitions; an event for
        each would push everything else off the time line.
        """
        if not self.news:
            return
        text = ', '.join('%s %d' % item for item in sorted(self.news.items()))
        self.news.clear()
        self.timeline.record('reservations-active', text)
