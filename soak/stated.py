"""Limits and leaves that upstreams state in answers, held against what comes.

A limit binds all nodes together that passed on such an answer; a leave binds
each of them.  A node that was struck since passed on nothing that counts.
"""

import collections
import typing

from carawaystair import clock

# In any window of so many seconds, from so long after the first answer that
# states a limit, an upstream gets at most a multiple of what that allows and
# a constant, from nodes that passed on such an answer for some time.
WINDOW_S = 4.0
SETTLING_S = 3.0
FACTOR = 1.5
SLACK = 5
KNOWN_S = 0.5
# A node sends nothing on to an upstream that leaves which a caller sent so
# long after it passed on such an answer, seconds.
DRAIN_S = 2.0
# Names of the headers; callers don't see those of the fleet.
LIMIT = 'Standin-Limit'
LEAVING = 'Standin-Leaving'


class Sent(typing.NamedTuple):
    """Where and when a caller sent a request."""

    node: str
    began: float


class Limit:
    """A limit that an upstream states.

    :param per_s: requests a second.
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.first: float | None = None
        # When nodes passed on such an answer first.
        self.known: dict[str, float] = {}
        self.arrived: collections.deque[float] = collections.deque()

    @property
    def most(self) -> float:
        """Return how many requests a window may have."""
        return FACTOR * WINDOW_S * self.per_s + SLACK

    def arrives(self, node: str, now: float) -> int:
        """Count a request; return how many the window has."""
        known = self.known.get(node, now)
        if self.first is None or now < self.first + SETTLING_S:
            return 0
        if now < known + KNOWN_S:
            return 0
        self.arrived.append(now)
        while self.arrived[0] <= now - WINDOW_S:
            self.arrived.popleft()
        return len(self.arrived)


class Stated:
    """What upstreams state, and what nodes passed on of it.

    :param tell: is told of a broken promise and the request's id.
    :param counts: of what was seen.
    """

    def __init__(
        self,
        tell: typing.Callable[[str, str], None],
        counts: collections.Counter,
    ) -> None:
        self.tell = tell
        self.counts = counts
        self.sent: dict[str, Sent] = {}
        self.limits: dict[str, Limit] = {}
        self.leaving: dict[tuple[str, str], float] = {}

    def states(self, upstream: str, per_s: float) -> None:
        """Take note that an upstream states a limit from now on."""
        self.limits[upstream] = Limit(per_s)

    def ends(self, upstream: str) -> None:
        """Take note that an upstream states no limit any more."""
        self.limits.pop(upstream, None)

    def begins(self, upstream: str) -> None:
        """Take note of a new life of an upstream."""
        self.ends(upstream)
        for key in [key for key in self.leaving if key[0] == upstream]:
            del self.leaving[key]

    def asks(self, marker: str, node: str, began: float) -> None:
        """Take note of a request."""
        self.sent[marker] = Sent(node, began)

    def passed_on(
        self, node: str, upstream: str, limited: bool, leaving: bool
    ) -> None:
        """Take note of what an answer states that a node passed on."""
        now = clock.now()
        if limited and upstream in self.limits:
            limit = self.limits[upstream]
            limit.first = limit.first or now
            limit.known.setdefault(node, now)
        if leaving:
            self.leaving.setdefault((upstream, node), now)

    def struck(self, node: str, cut: bool = False) -> None:
        """Take note that a node was started again, stood still or was cut.

        :param cut: whether it was only cut off, which excuses no work for an
            upstream that leaves.
        """
        for limit in self.limits.values():
            limit.known.pop(node, None)
        if cut:
            return
        for key in [key for key in self.leaving if key[1] == node]:
            del self.leaving[key]

    def arrives(self, upstream: str, marker: str, id: str) -> None:
        """Check a request that reaches an upstream."""
        sent = self.sent.get(marker)
        if sent is None:
            return
        limit = self.limits.get(upstream)
        if limit is not None:
            self.counts['at a limit'] += 1
            count = limit.arrives(sent.node, clock.now())
            if count > limit.most:
                text = (
                    '%s with a limit of %.1f got %d requests in %d s, not %d'
                )
                words = upstream, limit.per_s, count, WINDOW_S, limit.most
                self.tell(text % words, id)
        left = self.leaving.get((upstream, sent.node))
        if left is not None and sent.began > left + DRAIN_S:
            text = '%s got %s of %s, sent %.1f s after it said that it leaves'
            words = upstream, marker, sent.node, sent.began - left
            self.tell(text % words, id)
