"""The replica's side: holds keys for the tokens that asked first.

A replica votes for one token of a key at a time.  It takes its vote back
only when the owner of the token says that the request will never run, or
when the window has passed.  Two tokens can therefore not both hold a majority
of the same replicas.
"""

from carawaystair import clock
from carawaystair.reservations import messages
from carawaystair.reservations import names
from carawaystair.reservations import placement
from carawaystair.reservations import store

# Added to every window: the caller's window begins before the replica's, an
# attempt takes time, and the clocks of two machines differ in rate.
MARGIN_S = 60.0
# Rate difference between two monotonic clocks that is allowed for, as a
# share of the window; crystals are within 0.0002.
DRIFT = 0.001
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


class Replica:
    """All partitions that one process holds.

    :param host: of this process.
    :param incarnation: of this process.
    :param placements: has ``get(partition)``.
    :param budget: the memory for records.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        placements,
        budget: store.Budget,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.placements = placements
        self.budget = budget
        self.stores: dict[int, store.Store] = {}
        self.tombstones: dict[bytes, float] = {}

    def ask(self, message: messages.Ask) -> messages.Vote:
        """Vote for the asking token, or say what stands against it."""
        placed = self.placements.get(message.partition)
        if placed is None or not self._member(placed):
            return self._vote(message, placed, messages.ABSENT)
        if placed.epoch != message.epoch:
            return self._vote(message, placed, messages.STALE)
        now = clock.now()
        kept = self._store(message.partition)
        record = kept.get(message.name, now)
        if record is not None:
            return self._standing(message, placed, record)
        refusal = self._refusal(message)
        if refusal:
            return self._vote(message, placed, refusal)
        kept.put(message.name, _new(message, now))
        return self._vote(message, placed, messages.YES)

    def settle(self, message: messages.Settle) -> messages.Done | None:
        """Store the outcome, if the key is still held for this token."""
        kept = self._store(message.partition)
        record = kept.get(message.name, clock.now())
        # A settle that comes late must not touch the grant of a newer token.
        if record is not None and record.token == message.token:
            kept.put(message.name, self._settled(record, message))
        return messages.Done(message.token, self.host, message.epoch)

    def release(self, message: messages.Release) -> messages.Done | None:
        """Take the vote back, if the key is still held for this token."""
        now = clock.now()
        self._bury(message.token, now)
        kept = self._store(message.partition)
        record = kept.get(message.name, now)
        # As with settle: only the record of this very token.
        mine = record is not None and record.token == message.token
        if mine and record.state == store.HELD:
            kept.drop(message.name)
        return messages.Done(message.token, self.host, message.epoch)

    def expire(self) -> None:
        """Forget what the window allows to forget."""
        now = clock.now()
        for kept in self.stores.values():
            kept.expire(now)
        old = now - TOMBSTONE_S
        self.tombstones = {
            token: time
            for token, time in self.tombstones.items()
            if time > old
        }

    def _standing(self, message, placed, record) -> messages.Vote:
        """Answer an ask for a key that has a record."""
        if record.digest != message.digest:
            return self._vote(message, placed, messages.REUSED)
        if record.state == store.HELD and record.token == message.token:
            return self._vote(message, placed, messages.YES)
        verdict = _VERDICTS[record.state]
        return self._vote(message, placed, verdict, record)

    def _refusal(self, message: messages.Ask) -> int:
        """Return why no record can be made, or 0."""
        if message.token in self.tombstones:
            return messages.ABSENT
        if self.budget.full(store.RECORD_BYTES):
            return messages.FULL
        if self.budget.over_share(message.customer, store.RECORD_BYTES):
            return messages.SHARE
        return 0

    def _settled(self, record, message) -> store.Record:
        fits = not self.budget.full(len(message.answer))
        fits = fits and not self.budget.over_share(
            record.customer, len(message.answer)
        )
        kept = message.kept and fits
        answer = message.answer
        if message.kept and not fits:
            answer = names.request(b'\0' + message.answer)
        return record._replace(
            state=store.SETTLED if kept else store.LARGE,
            status=message.status,
            answer=answer,
        )

    def _bury(self, token: bytes, now: float) -> None:
        while len(self.tombstones) >= MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[token] = now

    def _store(self, partition: int) -> store.Store:
        if partition not in self.stores:
            self.stores[partition] = store.Store(self.budget)
        return self.stores[partition]

    def _member(self, placed: placement.Placement) -> bool:
        return any(member.host == self.host for member in placed.members)

    def _vote(
        self,
        message: messages.Ask,
        placed: placement.Placement | None,
        verdict: int,
        record: store.Record | None = None,
    ) -> messages.Vote:
        known = tuple(
            self.incarnation if m.host == self.host else m.incarnation
            for m in (placed.members if placed else ())
        )
        epoch = placed.epoch if placed else 0
        if record is None:
            return messages.Vote(
                message.token, self.host, epoch, verdict, known
            )
        return messages.Vote(
            message.token,
            self.host,
            epoch,
            verdict,
            known,
            record.token,
            record.status,
            record.answer,
        )


def _new(message: messages.Ask, now: float) -> store.Record:
    window = message.window_s * (1 + DRIFT) + MARGIN_S
    return store.Record(
        message.token, message.digest, message.customer, now + window
    )
