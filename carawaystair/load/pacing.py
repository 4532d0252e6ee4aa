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
LINK_SHARE = 0.9
# What they may have on the link at a time, seconds of its rate.  A sign of
# life is late after 0.15 s; a wake-up for each kilobyte would cost more
# processor time than what it saves.  As much may be made up for when a turn
# is given late, so a short message waits for twice as long at most.
CHUNK_S = 0.02
# A message up to this length goes at once.
SHORT_BYTES = 8 * 1024
# A body is due after so many times the time that it takes by itself.
DUE_FACTOR = 2.0
BYTES_PER_S_PER_MBPS = 1e6 / 8


class QueuePosition(typing.NamedTuple):
    """The place of a body among those that wait.

    :param due: monotonic time at which it is due.
    :param number: tells it from others; grows with each.
    """

    due: float
    number: int


class QueuedBody:
    """A body that waits for its turn.

    :param position: its position.
    :param size: bytes that it has to send.
    """

    __slots__ = ('cancelled', 'position', 'size')

    def __init__(self, position: QueuePosition, size: int) -> None:
        self.position = position
        self.size = size
        # Whether it waits no more.
        self.cancelled = False

    def __lt__(self, other: 'QueuedBody') -> bool:
        return self.position < other.position


class PacedLink:
    """The link of a host, as long bodies use it.

    :param mbps: what it carries, Mbit/s.
    """

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = LINK_SHARE * mbps * BYTES_PER_S_PER_MBPS
        self.chunk = max(int(self.bytes_per_s * CHUNK_S), 1)
        # When all that was let go has left.
        self.free_at = -math.inf
        self.waiting: list[QueuedBody] = []
        self.sequence = itertools.count()

    def queue_position(self, size: int, now: float) -> QueuePosition:
        """Return the place of a body that is ready now.

        It keeps it from its first part to its last: equals that are ready at
        one moment would share the link otherwise, and all be late.
        """
        due = now + DUE_FACTOR * size / self.bytes_per_s
        return QueuePosition(due, next(self.sequence))

    def wait_s(self, now: float) -> float:
        """Return how long it is until the next one may go, in seconds."""
        return max(self.free_at - now, 0.0)

    def backlog_s(self, now: float) -> float:
        """Return what all that waits now needs of the link, in seconds."""
        size = sum(turn.size for turn in self.waiting if not turn.cancelled)
        return self.wait_s(now) + size / self.bytes_per_s

    def enqueue(self, place: QueuePosition, size: int) -> QueuedBody:
        """Let a body wait for its turn."""
        turn = QueuedBody(place, size)
        heapq.heappush(self.waiting, turn)
        return turn

    def pop_due(self, now: float) -> QueuedBody | None:
        """Take the next body whose turn has come, if there is one."""
        while self.waiting and self.waiting[0].cancelled:
            heapq.heappop(self.waiting)
        if not self.waiting or self.wait_s(now) > 0.0:
            return None
        return heapq.heappop(self.waiting)

    def take_chunk(self, size: int, now: float) -> int:
        """Take room for a part of a body; return how many bytes it has."""
        count = min(size, self.chunk)
        begins = max(self.free_at, now - CHUNK_S)
        self.free_at = begins + count / self.bytes_per_s
        return count

    def refund(self, count: int) -> None:
        """Give room back that was taken and not used."""
        self.free_at -= count / self.bytes_per_s
