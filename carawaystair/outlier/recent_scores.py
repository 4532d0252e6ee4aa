"""Scores of the last second, to see what holds for a service as a whole.

Bursts of requests, a slow database, a busy network make all siblings worse at
once; scores are then taken relative to what is usual just now.
"""

import itertools
import math
import typing

# Attempts count for a third after this, seconds.
MEMORY_S = 1.0
# Means are taken with so many usual attempts beside the real ones.
PRIOR = 0.5
# An upstream counts from so many attempts on.
LEAST = 0.3
# The mean that three in four siblings exceed is what is usual.  So up to
# three in four may fail and the rest still shows it.
QUANTILE = 0.25
# Means are sorted this often, seconds, and of so many upstreams at most.
SORT_EVERY_S = 0.05
MOST = 64


class Scores(typing.NamedTuple):
    """Scores of one upstream, decayed.

    :param count: attempts.
    :param total: their scores.
    :param failed: those without an answer or with one far too late.
    :param time: of the last attempt.
    """

    count: float = 0.0
    total: float = 0.0
    failed: float = 0.0
    time: float = 0.0

    def at(self, now: float) -> 'Scores':
        """Return the same, decayed until ``now``."""
        fade = math.exp((self.time - now) / MEMORY_S)
        return Scores(
            self.count * fade, self.total * fade, self.failed * fade, now
        )

    def plus(
        self, count: float, score: float, failed: bool, now: float
    ) -> 'Scores':
        """Return the same with more attempts."""
        old = self.at(now)
        return Scores(
            old.count + count,
            old.total + count * score,
            old.failed + count * failed,
            now,
        )

    def mean(self) -> float:
        """Return the mean score, drawn towards 1.0."""
        return (self.total + PRIOR) / (self.count + PRIOR)


NOTHING = Scores()


class Recent:
    """Scores of all upstreams of a service."""

    def __init__(self) -> None:
        self.table: dict[str, Scores] = {}
        self.ordered: list[tuple[float, str]] = []
        self.sorted = -SORT_EVERY_S

    def add(
        self,
        upstream: str,
        count: float,
        score: float,
        failed: bool,
        now: float,
    ) -> None:
        """Add attempts."""
        old = self.table.get(upstream, NOTHING)
        self.table[upstream] = old.plus(count, score, failed, now)

    def of(self, upstream: str, now: float) -> Scores:
        """Return the scores of an upstream."""
        return self.table.get(upstream, NOTHING).at(now)

    def usual(self, upstream: str, now: float) -> float:
        """Return what score is usual among siblings, at least 1.0."""
        if now - self.sorted >= SORT_EVERY_S:
            self._sort(now)
        means = [mean for mean, name in self.ordered if name != upstream]
        if not means:
            return 1.0
        return max(means[int(QUANTILE * len(means))], 1.0)

    def forget(self, upstream: str) -> None:
        """Drop an upstream."""
        self.table.pop(upstream, None)

    def _sort(self, now: float) -> None:
        self.sorted = now
        some = itertools.islice(self.table.items(), MOST)
        faded = ((name, scores.at(now)) for name, scores in some)
        self.ordered = sorted(
            (scores.mean(), name)
            for name, scores in faded
            if scores.count >= LEAST
        )
