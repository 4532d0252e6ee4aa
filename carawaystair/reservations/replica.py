"""The replica's side: holds keys for the tokens that asked first.

A replica votes for one token of a key at a time.  It takes its vote back
only when the owner of the token says that the request will never run, or
when the window has passed.  Two tokens can therefore not both hold a majority
of the same replicas.
"""

import typing

from carawaystair import clock
from carawaystair import invariants
from carawaystair.reservations import messages
from carawaystair.reservations import names
from carawaystair.reservations import placement
from carawaystair.reservations import seat as seats
from carawaystair.reservations import store
from carawaystair.reservations import windows

# A token that was released is remembered so long, so that an ask of it that
# arrives late does not lodge a vote that nobody would ever take back.
TOMBSTONE_S = 60.0
MAX_TOMBSTONES = 10_000

_VERDICTS = {
    store.HELD: messages.HELD,
    store.BLOCKED: messages.HELD,
    store.SETTLED: messages.SETTLED,
    store.LARGE: messages.LARGE,
}

Send = typing.Callable[[str, typing.Any], None]


class Replica:
    """All partitions that one process holds.

    :param host: of this process.
    :param session: of this process.
    :param book: the placements.
    :param budget: the memory for records.
    :param send: sends a datagram.
    :param refresh: called when the book must be old.
    """

    def __init__(
        self,
        host: str,
        session: int,
        book: placement.Book,
        budget: store.Budget,
        send: Send,
        refresh: typing.Callable[[], None],
    ) -> None:
        self.host = host
        self.session = session
        self.book = book
        self.budget = budget
        self.send = send
        self.refresh = refresh
        self.seats: dict[int, seats.Seat] = {}
        self.tombstones: dict[bytes, float] = {}
        book.listeners.append(self.place)

    def place(self, row: placement.Placement) -> None:
        """Take a newer placement of a partition."""
        seat = self.seats.get(row.partition)
        mine = row.member(self.host) or row.before(self.host)
        if seat is None and mine:
            self.seats[row.partition] = seats.Seat(
                row, self.session, self.budget
            )
        elif seat is not None and mine:
            seat.move(row)
        elif seat is not None:
            seat.store.clear()
            del self.seats[row.partition]

    # Voting

    def ask(self, sender: str, message: messages.Ask) -> None:
        """Vote for the asking token, or say what stands against it."""
        seat = self._seat(sender, message)
        if seat is None:
            self.send(
                sender,
                messages.Vote(message.token, message.epoch, messages.ABSENT),
            )
            return
        now = clock.now()
        record = seat.store.get(message.name, now)
        if record is not None:
            self._vote(sender, message, seat, *_standing(record, message))
            return
        verdict = self._refusal(message) or messages.YES
        if verdict == messages.YES:
            seat.store.put(message.name, _new(message, now))
        self._vote(sender, message, seat, verdict)

    def _seat(self, sender: str, message) -> seats.Seat | None:
        """Return the seat that may vote under the epoch of a message."""
        row = self.book.get(message.partition)
        if row is None or row.epoch < message.epoch:
            self.refresh()
            return None
        if row.epoch > message.epoch:
            self.send(sender, messages.pack([row]))
            return None
        seat = self.seats.get(message.partition)
        active = seat is not None and seat.standing == seats.ACTIVE
        return seat if active else None

    def _refusal(self, message: messages.Ask) -> int:
        """Return why no record can be made, or 0."""
        if message.token in self.tombstones:
            return messages.ABSENT
        if message.window_s > self.book.space.window_s:
            # A restarted replica abstains for the longest window that is
            # agreed; a vote for a longer one would outlive that.
            self.refresh()
            return messages.ABSENT
        if self.budget.full(store.RECORD_BYTES):
            return messages.FULL
        if self.budget.over_share(message.customer, store.RECORD_BYTES):
            return messages.SHARE
        return 0

    def _vote(
        self,
        sender: str,
        message: messages.Ask,
        seat: seats.Seat,
        verdict: int,
        record: store.Record | None = None,
    ) -> None:
        told = (record.token, record.status, record.answer) if record else ()
        self.send(
            sender,
            messages.Vote(
                message.token,
                message.epoch,
                verdict,
                seat.sessions(self.host),
                *told,
            ),
        )

    # Outcomes

    def settle(self, sender: str, message: messages.Settle) -> None:
        """Store the outcome, if the key is still held for this token."""
        seat = self.seats.get(message.partition)
        record = seat and seat.store.get(message.name, clock.now())
        if record is not None and record.token == message.token:
            if record.state == store.HELD:
                seat.store.put(message.name, self._settled(record, message))
        elif record is not None:
            # A settle that comes late must not touch a newer grant.
            self._check_once(record, message)
        self._done(sender, message)

    def release(self, sender: str, message: messages.Release) -> None:
        """Take the vote back, if the key is still held for this token."""
        now = clock.now()
        self._bury(message.token, now)
        seat = self.seats.get(message.partition)
        record = seat and seat.store.get(message.name, now)
        # As with settle: only the record of this very token.
        mine = record is not None and record.token == message.token
        if mine and record.state == store.HELD:
            seat.store.drop(message.name)
        self._done(sender, message)

    def _done(self, sender: str, message) -> None:
        """Acknowledge an outcome, but only as an active replica.

        One that still fetches may get the key afterwards, as it was before
        the outcome; the owner must send it again.
        """
        if self._seat(sender, message) is not None:
            self.send(sender, messages.Done(message.token))

    def _settled(
        self, record: store.Record, message: messages.Settle
    ) -> store.Record:
        size = len(message.answer)
        fits = not self.budget.full(size)
        fits = fits and not self.budget.over_share(record.customer, size)
        if message.kept and fits:
            return record._replace(
                state=store.SETTLED,
                status=message.status,
                answer=message.answer,
            )
        digest = message.answer
        if message.kept:
            digest = names.answer(message.answer)
        return record._replace(
            state=store.LARGE, status=message.status, answer=digest
        )

    def _check_once(
        self, record: store.Record, message: messages.Settle
    ) -> None:
        """Assert that no two tokens of a key ran within its window."""
        ran = record.state in (store.SETTLED, store.LARGE)
        # Beyond the window, but within the margin, the key may be granted
        # again while a replica still remembers the earlier run.
        within = record.expires - clock.now() > windows.MARGIN_S
        recent = message.age_s < windows.MARGIN_S
        invariants.check(
            invariants.RESERVED_ONCE,
            not (ran and within and recent),
            'key %s' % message.name.hex(),
        )

    def _bury(self, token: bytes, now: float) -> None:
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[token] = now

    # Housekeeping

    def expire(self) -> None:
        """Forget what the window allows to forget."""
        now = clock.now()
        for seat in self.seats.values():
            seat.store.expire(now)
        old = now - TOMBSTONE_S
        self.tombstones = {
            token: since
            for token, since in self.tombstones.items()
            if since > old
        }

    def active(self, partitions: typing.Iterable[int]) -> tuple:
        """Return which of some partitions are active here, with epochs."""
        some = (self.seats.get(number) for number in partitions)
        return tuple(
            (seat.row.partition, seat.row.epoch)
            for seat in some
            if seat is not None and seat.standing == seats.ACTIVE
        )


def _new(message: messages.Ask, now: float) -> store.Record:
    return store.Record(
        message.token,
        message.digest,
        message.customer,
        now + windows.keep_s(message.window_s),
    )


def _standing(
    record: store.Record, message: messages.Ask
) -> tuple[int, store.Record | None]:
    """Return the verdict on an ask for a key that has a record."""
    if record.state != store.BLOCKED and record.digest != message.digest:
        return messages.REUSED, None
    if record.state == store.HELD and record.token == message.token:
        return messages.YES, None
    return _VERDICTS[record.state], record
