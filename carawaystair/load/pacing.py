"""How fast long bodies may leave a host, and which of them goes next.

The load that this answers: several answers of 90 KB are ready at once on a
host whose link carries 600 KB a second.  Written as soon as they are ready,
all of them share the link and are late together, and every short message of
the host, a sign of life or a vote, waits for a second behind them.

So no more stands on the link than it carries in a moment.  What is short goes
at once.  Long bodies wait for their turn, in parts, and the one that is due
first goes first: it is due after twice the time that it takes by itself, so
that equals go in the order in which they came, a short one passes a long one,
and a long one waits only for those that came little later.
"""

import heapq
import itertools
import math
import typing

# Long bodies get this share of a link: the rest is for what is short, and for
# headers of packets.
SHARE = 0.9
# What they may have on the link at a time, seconds of its rate.  A sign of
# life is late after 0.15 s; a wake-up for each kilobyte would cost more
# processor time than what it saves.  As much may be made up for when a turn
# is given late, so a short message waits for twice as long at most.
CHUNK_S = 0.02
# A message up to this length goes at once.
SHORT_BYTES = 8 * 1024
# A body is due after so many times the time that it takes by itself.
STRETCH = 2.0
BYTES_S = 1e6 / 8


class Place(typing.NamedTuple):
    """The place of a body among those that wait.

    :param due: monotonic time at which it is due.
    :param number: tells it from others; grows with each.
    """

    due: float
    number: int


class Turn:
    """A body that waits for its turn.

    :param place: its place.
    :param size: bytes that it has to send.
    """

    __slots__ = ('left', 'place', 'size')

    def __init__(self, place: Place, size: int) -> None:
        self.place = place
        self.size = size
        # Whether it waits no more.
        self.left = False

    def __lt__(self, other: 'Turn') -> bool:
        return self.place < other.place


class Link:
    """The link of a host, as long bodies use it.

    :param mbps: what it carries, Mbit/s.
    """

    def __init__(self, mbps: float) -> None:
        self.bytes_s = SHARE * mbps * BYTES_S
        self.chunk = max(int(self.bytes_s * CHUNK_S), 1)
        # When all that was let go has left.
        self.free_at = -math.inf
        self.waiting: list[Turn] = []
        self.numbers = itertools.count()

    def place(self, size: int, now: float) -> Place:
        """Return the place of a body that is ready now.

        It keeps it from its first part to its last: equals that are ready at
        one moment would share the link otherwise, and all be late.
        """
        due = now + STRETCH * size / self.bytes_s
        return Place(due, next(self.numbers))

    def wait_s(self, now: float) -> float:
        """Return how long it is until the next one may go, in seconds."""
        return max(self.free_at - now, 0.0)

    def ahead_s(self, now: float) -> float:
        """Return what all that waits now needs of the link, in seconds."""
        size = sum(turn.size for turn in self.waiting if not turn.left)
        return self.wait_s(now) + size / self.bytes_s

    def ask(self, place: Place, size: int) -> Turn:
        """Let a body wait for its turn."""
        turn = Turn(place, size)
        heapq.heappush(self.waiting, turn)
        return turn

    def first(self, now: float) -> Turn | None:
        """Take the next body whose turn has come, if there is one."""
        while self.waiting and self.waiting[0].left:
            heapq.heappop(self.waiting)
        if not self.waiting or self.wait_s(now) > 0.0:
            return None
        return heapq.heappop(self.waiting)

    def take(self, size: int, now: float) -> int:
        """Take room for a part of a body; return how many bytes it has."""
        count = min(size, self.chunk)
        begins = max(self.free_at, now - CHUNK_S)
        self.free_at = begins + count / self.bytes_s
        return count

    def give_back(self, count: int) -> None:
        """Give room back that was taken and not used."""
        self.free_at -= count / self.bytes_s
