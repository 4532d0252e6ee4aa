"""Counts events of the last seconds in short intervals."""

import collections
import typing

# Length of an interval in seconds.
SPAN_S = 0.1


class RecentCounts:
    """Events of the last seconds, oldest first."""

    __slots__ = ('spans', 'total')

    def __init__(self) -> None:
        # Number of an interval and its events, as lists.
        self.spans: collections.deque[list[int]] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        """Count an event.

        :param now: monotonic time in seconds.
        """
        self.total += 1
        span = _span(now)
        if self.spans and self.spans[-1][0] == span:
            self.spans[-1][1] += 1
        else:
            self.spans.append([span, 1])

    def remove(self, when: float) -> bool:
        """Remove an event of the interval of a time; tell if there was one."""
        span = _span(when)
        found = [entry for entry in self.spans if entry[0] == span]
        if not found or not found[0][1]:
            return False
        found[0][1] -= 1
        self.total -= 1
        return True

    def drop_before(self, before: float) -> None:
        """Drop the intervals that began before a time."""
        while self.spans and self.spans[0][0] * SPAN_S < before:
            self.total -= self.spans.popleft()[1]

    def ends(self) -> typing.Iterator[tuple[float, int]]:
        """Yield the end of each interval in seconds, and its events."""
        for span, count in self.spans:
            yield (span + 1) * SPAN_S, count


def _span(now: float) -> int:
    return int(now / SPAN_S)
