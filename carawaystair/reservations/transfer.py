"""Hands the keys of a partition to another replica, page by page."""

import struct
import typing

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import replica as replicas
from carawaystair.reservations import seat as seats
from carawaystair.reservations import store
from carawaystair.reservations import windows

# Bytes of a page, about, and keys in it at most: a page must not keep the
# event loop from requests for long.
PAGE_BYTES = 128 * 1024
PAGE_KEYS = 512
# Transfers under way.  Beyond them further ones are refused, and asked for
# again after a pause: if a new one took the place of the oldest, whose reader
# then begins anew, more readers than this would never come to an end.
MAX_TRANSFERS = 64
# A transfer of which no page was asked for so long makes place, seconds: its
# reader gives up a page after one second.
UNREAD_S = 3.0


class UnderWay(typing.NamedTuple):
    """A transfer that has begun.

    :param names: the keys, as they were at its beginning.
    :param used: monotonic time at which a page was last asked for.
    """

    names: list[bytes]
    used: float


class Transfers:
    """The transfers that one process serves.

    :param replica: its partitions.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.started = clock.now()
        # By partition and reader.
        self.under_way: dict[tuple[int, str], UnderWay] = {}

    def waited(self) -> bool:
        """Tell whether all votes of an earlier run of this process are void.

        Symptom without the wait: a key is granted again after a restart.
        Sequence: a replica votes, starts again empty, and votes for another
        token.  Cause: it doesn't know its own earlier vote.
        """
        window = self.replica.book.space.window_s
        if not window:
            return False
        return clock.now() - self.started >= windows.abstain_s(window)

    def fetch(self, _sender: str, ask: messages.Fetch) -> messages.Page:
        """Answer one page."""
        replica = self.replica
        replica.book.take([ask.row])
        seat = replica.seats.get(ask.row.partition)
        if seat is None or seat.row.epoch != ask.row.epoch:
            row = replica.book.get(ask.row.partition)
            known = messages.pack([row] if row else [])
            return messages.Page(messages.UNABLE, rows=known)
        standing = self._standing(seat, ask.why)
        if standing == messages.UNABLE:
            return messages.Page(standing)
        if ask.why == messages.RECOVER:
            # Before any key is sent: every later vote of this replica then
            # tells owners not to count votes of the earlier session.
            known = seat.register(ask.host, ask.session)
            if known > ask.session:
                return messages.Page(messages.BEHIND, known)
        return self._page(seat, ask, standing)

    def _standing(self, seat: seats.Seat, why: int) -> int:
        """Return how a seat stands as a source of keys."""
        if seat.standing == seats.ACTIVE:
            return messages.ACTIVE
        if why == messages.RECOVER:
            return messages.UNABLE
        before = seat.row.before(self.replica.host)
        if before and (seat.standing == seats.SEALED or self.waited()):
            return messages.SEALED
        return messages.UNABLE

    def _page(
        self, seat: seats.Seat, ask: messages.Fetch, standing: int
    ) -> messages.Page:
        key = (ask.row.partition, ask.host)
        names = self._names(key, seat, ask.start)
        if names is None:
            return messages.Page(messages.UNABLE)
        end = ask.start
        entries, size = [], 0
        for name in names[ask.start : ask.start + PAGE_KEYS]:
            end += 1
            entry = _entry(seat.store, name)
            if entry is not None:
                entries.append(entry)
                size += len(entry.data)
            if size >= PAGE_BYTES:
                break
        if end >= len(names):
            del self.under_way[key]
            end = 0
        return messages.Page(
            standing,
            ask.session,
            tuple(seat.known.items()),
            tuple(entries),
            end,
        )

    def _names(
        self, key: tuple[int, str], seat: seats.Seat, start: int
    ) -> list[bytes] | None:
        """Return the keys of a transfer, None when it can't be served."""
        now = clock.now()
        found = self.under_way.pop(key, None)
        if start and found is None:
            return None
        if not start:
            if not self._room(now):
                return None
            # The names as of now: what is voted later carries the new
            # session, and what is dropped later needs no sending.
            found = UnderWay(list(seat.store.records), now)
        self.under_way[key] = found._replace(used=now)
        return found.names

    def _room(self, now: float) -> bool:
        """Let go of transfers that nobody reads on; tell if there is room."""
        self.under_way = {
            key: transfer
            for key, transfer in self.under_way.items()
            if now - transfer.used < UNREAD_S
        }
        return len(self.under_way) < MAX_TRANSFERS


def _entry(kept: store.Store, name: bytes) -> messages.Entry | None:
    data = kept.records.get(name)
    if data is None:
        return None
    left = store.unpack(data).expires - clock.now()
    return messages.Entry(name, left, data) if left > 0 else None


def merge(
    kept: store.Store,
    entries: typing.Iterable[messages.Entry],
    released: typing.Container[bytes],
) -> bool:
    """Take fetched keys into a store that doesn't vote yet.

    :param released: tokens that were given back meanwhile.
    :return: False when an entry can't be read.
    """
    now = clock.now()
    for entry in entries:
        try:
            record = store.unpack(entry.data)
        except struct.error:
            return False
        record = record._replace(expires=now + entry.left_s)
        if record.token in released and record.state == store.HELD:
            continue
        mine = kept.get(entry.name, now)
        kept.put(entry.name, joined(mine, record) if mine else record)
    return True


def joined(one: store.Record, two: store.Record) -> store.Record:
    """Return what two replicas together say of a key.

    Where they hold it for two tokens, one of these may have been granted
    with a vote that is lost.  Which one can't be told, so neither gets a
    vote here before the window has passed.
    """
    expires = max(one.expires, two.expires)
    if one.token != two.token or store.BLOCKED in (one.state, two.state):
        return one._replace(
            token=b'',
            expires=expires,
            state=store.BLOCKED,
            status=0,
            answer=b'',
        )
    ran = two if one.state == store.HELD else one
    return ran._replace(expires=expires)
