"""Scores of the last second, to see what holds for a service as a whole.

Bursts of requests, a slow database, a busy network make all siblings worse at
once; scores are then taken relative to what is usual just now.
"""

import itertools
import math
import typing

# Attempts count for a third after this, seconds.
DECAY_S = 1.0
# Means are taken with so many usual attempts beside the real ones.
PRIOR_ATTEMPTS = 0.5
# An upstream counts from so many attempts on.
MIN_ATTEMPTS = 0.3
# The mean that three in four siblings exceed is what is usual.  So up to
# three in four may fail and the rest still shows it.
QUANTILE = 0.25
# Means are sorted this often, seconds, and of so many upstreams at most.
SORT_INTERVAL_S = 0.05
MAX_SORTED = 64


class DecayedScores(typing.NamedTuple):
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

    def decayed(self, now: float) -> 'DecayedScores':
        """Return the same, decayed until ``now``."""
        decay = math.exp((self.time - now) / DECAY_S)
        return DecayedScores(
            self.count * decay, self.total * decay, self.failed * decay, now
        )

    def with_added(
        self, count: float, score: float, failed: bool, now: float
    ) -> 'DecayedScores':
        """Return the same with more attempts."""
        old = self.decayed(now)
        return DecayedScores(
            old.count + count,
            old.total + count * score,
            old.failed + count * failed,
            now,
        )

    def mean(self) -> float:
        """Return the mean score, drawn towards 1.0."""
        return (self.total + PRIOR_ATTEMPTS) / (self.count + PRIOR_ATTEMPTS)


NOTHING = DecayedScores()


class RecentScores:
    """Scores of all upstreams of a service."""

    def __init__(self) -> None:
        self.by_upstream: dict[str, DecayedScores] = {}
        self.sorted_means: list[tuple[float, str]] = []
        self.sorted_at = -SORT_INTERVAL_S

    def add(
        self,
        upstream: str,
        count: float,
        score: float,
        failed: bool,
        now: float,
    ) -> None:
        """Add attempts."""
        old = self.by_upstream.get(upstream, NOTHING)
        self.by_upstream[upstream] = old.with_added(count, score, failed, now)

    def get(self, upstream: str, now: float) -> DecayedScores:
        """Return the scores of an upstream."""
        return self.by_upstream.get(upstream, NOTHING).decayed(now)

    def typical_score(self, upstream: str, now: float) -> float:
        """Return what score is usual among siblings, at least 1.0."""
        if now - self.sorted_at >= SORT_INTERVAL_S:
            self._sort(now)
        means = [mean for mean, name in self.sorted_means if name != upstream]
        if not means:
            return 1.0
        return max(means[int(QUANTILE * len(means))], 1.0)

    def remove(self, upstream: str) -> None:
        """Drop an upstream."""
        self.by_upstream.pop(upstream, None)

    def _sort(self, now: float) -> None:
        self.sorted_at = now
        some = itertools.islice(self.by_upstream.items(), MAX_SORTED)
        faded = ((name, scores.decayed(now)) for name, scores in some)
        self.sorted_means = sorted(
            (scores.mean(), name)
            for name, scores in faded
            if scores.count >= MIN_ATTEMPTS
        )
