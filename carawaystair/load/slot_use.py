"""How much of an upstream's slots went to requests within their goal lately.

A late request gets the slots that those leave.  How much they will leave until
its deadline is unknown; what they left in the same time before is the best
guess.  So a request looks back as far as it may wait: one with a long deadline
outlasts a short burst, of which its past holds little, and is refused when all
of its past is overload.
"""

import collections
import typing

# Length of an interval that is counted together, in seconds.
SPAN_S = 0.5
# Range of the time that is looked back, in seconds: several service times, and
# what is worth remembering.
MIN_WINDOW_S = 3.0
MAX_WINDOW_S = 30.0


class Span(typing.NamedTuple):
    """Work that began in one interval.

    :param number: the interval.
    :param work: share of all slots that it takes, in seconds.
    """

    number: int
    work: float


class SlotUse:
    """Work that began lately within its goal."""

    __slots__ = ('spans',)

    def __init__(self) -> None:
        self.spans: collections.deque[Span] = collections.deque()

    def record(self, work: float, now: float) -> None:
        """Record work that begins.

        :param work: share of all slots that it takes, in seconds.
        :param now: monotonic time in seconds.
        """
        number = int(now / SPAN_S)
        if self.spans and self.spans[-1].number == number:
            work += self.spans.pop().work
        self.spans.append(Span(number, work))
        oldest = number - MAX_WINDOW_S / SPAN_S
        while self.spans[0].number < oldest:
            self.spans.popleft()

    def share(self, window_s: float, now: float) -> float:
        """Return the share of the slots that such work took, 0 to 1.

        :param window_s: time to look back, in seconds.
        :param now: monotonic time in seconds.
        """
        window_s = min(max(window_s, MIN_WINDOW_S), MAX_WINDOW_S)
        since = (now - window_s) / SPAN_S
        work = sum(span.work for span in self.spans if span.number >= since)
        return min(work / window_s, 1.0)
