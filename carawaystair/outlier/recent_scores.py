"""Scores of the last second, to detect changes of a service as a whole.

Bursts of requests, a slow database or a busy network make all siblings slower
at once; scores are then taken relative to the typical score of the moment.
"""

import itertools
import math
import typing

# Time constant of the decay, seconds.
DECAY_S = 1.0
# Attempts with the score 1.0 that are added to every mean.
PRIOR_ATTEMPTS = 0.5
# An upstream counts from this many attempts on.
MIN_ATTEMPTS = 0.3
# The typical score is the mean that three in four siblings exceed, so that a
# fault of up to three in four still shows against the rest.
QUANTILE = 0.25
# Interval between sorts of the means, seconds, and the most upstreams sorted.
SORT_INTERVAL_S = 0.05
MAX_SORTED = 64


class DecayedScores(typing.NamedTuple):
    """Scores of one upstream, decayed.

    :param count: attempts.
    :param total: sum of their scores.
    :param failed: attempts that failed or were far too late.
    :param time: of the last attempt.
    """

    count: float = 0.0
    total: float = 0.0
    failed: float = 0.0
    time: float = 0.0

    def decayed(self, now: float) -> 'DecayedScores':
        """Return the scores decayed until ``now``."""
        decay = math.exp((self.time - now) / DECAY_S)
        return DecayedScores(
            self.count * decay, self.total * decay, self.failed * decay, now
        )

    def with_added(
        self, count: float, score: float, failed: bool, now: float
    ) -> 'DecayedScores':
        """Return the scores with more attempts."""
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


NO_SCORES = DecayedScores()


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
        old = self.by_upstream.get(upstream, NO_SCORES)
        self.by_upstream[upstream] = old.with_added(count, score, failed, now)

    def get(self, upstream: str, now: float) -> DecayedScores:
        """Return the scores of an upstream."""
        return self.by_upstream.get(upstream, NO_SCORES).decayed(now)

    def typical_score(self, upstream: str, now: float) -> float:
        """Return the typical score of an upstream's siblings, at least 1.0."""
        if now - self.sorted_at >= SORT_INTERVAL_S:
            self._sort(now)
        means = [mean for mean, name in self.sorted_means if name != upstream]
        if not means:
            return 1.0
        return max(means[int(QUANTILE * len(means))], 1.0)

    def remove(self, upstream: str) -> None:
        """Remove an upstream."""
        self.by_upstream.pop(upstream, None)

    def _sort(self, now: float) -> None:
        self.sorted_at = now
        some = itertools.islice(self.by_upstream.items(), MAX_SORTED)
        decayed = ((name, scores.decayed(now)) for name, scores in some)
        self.sorted_means = sorted(
            (scores.mean(), name)
            for name, scores in decayed
            if scores.count >= MIN_ATTEMPTS
        )
