"""Decides which long answers a process may hold in memory.

The load it answers: many callers that read slowly, beside some that read well.
Each slow one alone is harmless, but together they would use up the memory of
a small host, or, if upstreams waited for them, all slots.

An answer has room for its first bytes, and may then grow within its share,
that of its owner, and that of all growth.  So new answers find room beside
slow ones.  If one does not, the answer whose reader has been blocked for
longest is broken off.  Readers that take what they get are never blocked for
long.
"""

import collections
import math

# Held of an answer in any case: what the connections that it passes through
# buffer, bytes.
FIRST_BYTES = 128 * 1024
# Most of the bound that one answer, all of one owner, and all that answers
# hold beyond their first bytes may use.
ANSWER_SHARE = 1 / 8
OWNER_SHARE = 1 / 2
GROWTH_SHARE = 3 / 4
# Most of the bound that all request bodies may use.  They are charged before
# they arrive, so callers that send nothing would use up the rest.
BODY_SHARE = 1 / 4
# A reader that has been blocked for less may just have been slowed down by
# packet loss, seconds.
BLOCKED_S = 2.0


class Holding:
    """What is held of one answer or body.

    :param owner: whose share it uses.
    :param body: bytes of a body; 0 for an answer.
    """

    __slots__ = ('body', 'bytes', 'charged', 'owner')

    def __init__(self, owner: str, body: int = 0) -> None:
        self.owner = owner
        self.body = body
        self.bytes = 0
        # What it uses of the bound.
        self.charged = 0


class HeldBytes:
    """Tracks what is held of all answers.

    :param limit: most bytes to hold; infinite for no bound.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.first = min(FIRST_BYTES, self.most_of_one)
        self.total = 0
        # What bodies use.
        self.bodies = 0
        self.holdings: set[Holding] = set()
        self.owners: collections.Counter[str] = collections.Counter()
        # Answers whose reader is blocked, the longest first, and since when.
        self.blocked: dict[Holding, float] = {}

    @property
    def is_bounded(self) -> bool:
        """Return whether there is a bound."""
        return self.limit < math.inf

    @property
    def most_of_one(self) -> float:
        """Return the most bytes of one answer or body."""
        return self.limit * ANSWER_SHARE

    def open(self, owner: str, size: int = 0) -> Holding | None:
        """Return a holding with room for the first bytes of an answer.

        :param size: bytes of a body that is held from the beginning.
        :return: None when there is no room.
        """
        more = max(self.first, size)
        if self.total + more > self.limit:
            return None
        if self.owners[owner] + more > self.limit * OWNER_SHARE:
            return None
        holding = Holding(owner, size)
        self.holdings.add(holding)
        self.bodies += size
        self.take(holding, size)
        return holding

    def has_body_room(self, size: int) -> bool:
        """Return whether a body fits the share of all bodies."""
        return self.bodies + size <= self.limit * BODY_SHARE

    def close(self, holding: Holding) -> None:
        """End a holding."""
        if holding in self.holdings:
            self.bodies -= holding.body
        self.holdings.discard(holding)
        self.blocked.pop(holding, None)
        self.total -= holding.charged
        self.owners[holding.owner] -= holding.charged
        if not self.owners[holding.owner]:
            del self.owners[holding.owner]
        holding.charged = 0

    def room(self, holding: Holding) -> float:
        """Return how many more bytes of an answer may be held."""
        limit = self.limit
        if holding.bytes < self.first:
            return self.first - holding.bytes
        growth = self.total - self.first * len(self.holdings)
        return min(
            self.most_of_one - holding.bytes,
            limit * OWNER_SHARE - self.owners[holding.owner],
            limit * GROWTH_SHARE - growth,
            limit - self.total,
        )

    def take(self, holding: Holding, size: int) -> None:
        """Record bytes that arrived."""
        holding.bytes += size
        self._charge(holding)

    def give(self, holding: Holding, size: int) -> None:
        """Record bytes that the reader took."""
        holding.bytes -= size
        self._charge(holding)

    def _charge(self, holding: Holding) -> None:
        if holding not in self.holdings:
            return
        more = max(holding.bytes, self.first) - holding.charged
        holding.charged += more
        self.total += more
        self.owners[holding.owner] += more

    def block(self, holding: Holding, now: float) -> None:
        """Record that an answer waits for its reader."""
        if holding in self.holdings:
            self.blocked[holding] = now

    def unblock(self, holding: Holding) -> None:
        """Record that its reader has gone on."""
        self.blocked.pop(holding, None)

    @property
    def is_full(self) -> bool:
        """Return whether no owner has room for another answer."""
        return self.total + self.first > self.limit

    def refuses(self, now: float) -> bool:
        """Return whether new requests should be refused."""
        return self.is_full and next(self._broken(now), None) is None

    def to_break_off(self, owner: str, now: float) -> Holding | None:
        """Return the answer to break off for the first bytes of a new one.

        :param owner: owner of the new one.
        :return: None when the new one has room, or has to wait.
        """
        if self.is_full:
            return next(self._broken(now), None)
        if self.owners[owner] + self.first <= self.limit * OWNER_SHARE:
            return None
        own = (held for held in self._broken(now) if held.owner == owner)
        return next(own, None)

    def _broken(self, now: float):
        """Yield the answers that may be broken off."""
        for holding, since in self.blocked.items():
            if now - since < BLOCKED_S:
                return
            yield holding
