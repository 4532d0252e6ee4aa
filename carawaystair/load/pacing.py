"""Pacing of long bodies on the link of a host, and their order.

Several answers of 90 KB may be ready at once on a host whose link carries
600 KB a second.  If all were written at once, they would share the link and
all be late, and every short message of the host, such as a heartbeat or a
vote, would wait behind them for a second.

So no more is written than the link carries in a moment.  Short messages are
sent at once.  Long bodies are sent in chunks, and the one with the earliest
due time goes first.  A body is due after twice the time that it takes alone.
So bodies of one size go in order of arrival, a short body overtakes a long
one, and a long body waits only for those that arrive shortly after it.
"""

import heapq
import itertools
import math
import typing

# Share of the link for long bodies; the rest is left to short messages and
# packet headers.
LINK_SHARE = 0.9
# Size of a chunk, in seconds of the link's rate.  Heartbeats are late after
# 0.15 s; waking up for each kilobyte would cost more processor time than it
# saves.  As much may be caught up after a chunk that started late, so a short
# message waits for at most twice as long.
CHUNK_S = 0.02
# Messages up to this size are sent at once.
SHORT_BYTES = 8 * 1024
# A body is due after this multiple of the time that it takes alone.
DUE_FACTOR = 2.0
BYTES_PER_S_PER_MBPS = 1e6 / 8


class QueuePosition(typing.NamedTuple):
    """The sort key of a body among those that wait.

    :param due: monotonic time at which it is due, in seconds.
    :param number: unique, in order of arrival.
    """

    due: float
    number: int


class QueuedBody:
    """A body that waits to send its next chunk.

    :param position: its sort key.
    :param size: bytes that remain to be sent.
    """

    __slots__ = ('cancelled', 'position', 'size')

    def __init__(self, position: QueuePosition, size: int) -> None:
        self.position = position
        self.size = size
        self.cancelled = False

    def __lt__(self, other: 'QueuedBody') -> bool:
        return self.position < other.position


class PacedLink:
    """The part of a host's link that long bodies may use.

    :param mbps: rate of the whole link, in Mbit/s.
    """

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = LINK_SHARE * mbps * BYTES_PER_S_PER_MBPS
        self.chunk = max(int(self.bytes_per_s * CHUNK_S), 1)
        # Monotonic time at which all chunks taken so far will have been sent.
        self.free_at = -math.inf
        self.waiting: list[QueuedBody] = []
        self.sequence = itertools.count()

    def queue_position(self, size: int, now: float) -> QueuePosition:
        """Return the position of a body that is ready now.

        A body keeps its position from the first chunk to the last.  Otherwise
        bodies of one size that are ready at the same time would share the
        link, and all be late.
        """
        due = now + DUE_FACTOR * size / self.bytes_per_s
        return QueuePosition(due, next(self.sequence))

    def wait_s(self, now: float) -> float:
        """Return the seconds until the next chunk may be sent."""
        return max(self.free_at - now, 0.0)

    def backlog_s(self, now: float) -> float:
        """Return the seconds the link needs for all bodies that wait."""
        size = sum(body.size for body in self.waiting if not body.cancelled)
        return self.wait_s(now) + size / self.bytes_per_s

    def enqueue(self, position: QueuePosition, size: int) -> QueuedBody:
        """Add a body that waits for its next chunk."""
        body = QueuedBody(position, size)
        heapq.heappush(self.waiting, body)
        return body

    def pop_due(self, now: float) -> QueuedBody | None:
        """Remove and return the next body, or None if none may send now."""
        while self.waiting and self.waiting[0].cancelled:
            heapq.heappop(self.waiting)
        if not self.waiting or self.wait_s(now) > 0.0:
            return None
        return heapq.heappop(self.waiting)

    def take_chunk(self, size: int, now: float) -> int:
        """Reserve the link for a chunk; return its size in bytes.

        :param size: bytes that remain to be sent.
        :param now: monotonic time in seconds.
        """
        count = min(size, self.chunk)
        begins = max(self.free_at, now - CHUNK_S)
        self.free_at = begins + count / self.bytes_per_s
        return count

    def refund(self, count: int) -> None:
        """Return bytes that were reserved and not sent."""
        self.free_at -= count / self.bytes_per_s
