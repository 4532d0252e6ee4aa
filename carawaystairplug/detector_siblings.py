"""Detector: an upstream's scores against its siblings', over four windows.

In each window the scores are tested by the generalised likelihood ratio for
exponential scores with a mean above a bound: ``n (r - 1 - ln r)`` where r is
the mean over the bound (the exponential form of Lorden's test, 1971).  The
test estimates the size of the fault itself: a hang shows within a few
attempts, a mild slowdown within a longer window.  The longer the window, the
larger the least mean that counts, since healthy siblings are never quite
equal.

Good answers from before a fault dilute the first failures in every window, so
a cumulative sum (CUSUM; Page, 1954) is computed as well, which good answers
bring back to zero.  On its own it would react to every rare answer, hence the
penalty.
"""

import math
import typing

from carawaystair.outlier import detectors
from carawaystair import plugins


class Window(typing.NamedTuple):
    """One window.

    :param decay_s: time constant of the decay, seconds.
    :param min_mean: mean scores up to this are healthy.
    """

    decay_s: float
    min_mean: float


WINDOWS = (
    Window(0.6, 1.0),
    Window(2.5, 1.3),
    Window(10.0, 1.7),
    Window(40.0, 2.0),
)


# Subtracted from the cumulative sum, nats: one failure is then enough to
# suspect an upstream with fast detection, one slow answer is not.
PENALTY = 1.2
# Time constant of the decay of the cumulative sum, seconds.
DECAY_S = 30.0
MAX_NATS = 60.0


class Tally:
    """Decayed attempts and scores of one upstream."""

    __slots__ = ('time', 'counts', 'sums', 'cusum')

    def __init__(self, now: float) -> None:
        self.time = now
        self.counts = [0.0] * len(WINDOWS)
        self.sums = [0.0] * len(WINDOWS)
        self.cusum = 0.0

    def add(self, score: float, count: float, now: float) -> None:
        """Add attempts."""
        minus_age_s = self.time - now
        self.time = now
        for index, window in enumerate(WINDOWS):
            decay = math.exp(minus_age_s / window.decay_s)
            self.counts[index] = self.counts[index] * decay + count
            self.sums[index] = self.sums[index] * decay + count * score

        step = count * detectors.log_likelihood_ratio(score)
        cusum = self.cusum * math.exp(minus_age_s / DECAY_S) + step
        self.cusum = min(max(cusum, 0.0), MAX_NATS)

    def evidence(self, now: float) -> float:
        """Return the greatest evidence of the sum and all windows."""
        minus_age_s = self.time - now
        return max(
            self.cusum * math.exp(minus_age_s / DECAY_S) - PENALTY,
            *self._windows(minus_age_s),
        )

    def _windows(self, minus_age_s: float) -> typing.Iterator[float]:
        """Yield the evidence of each window.

        :param minus_age_s: minus the seconds since the last attempt.
        """
        return (
            ratio_test(count, total, window.min_mean)
            * math.exp(minus_age_s / window.decay_s)
            for count, total, window in zip(self.counts, self.sums, WINDOWS)
        )


def ratio_test(count: float, total: float, min_mean: float) -> float:
    """Return the log likelihood ratio for a mean above ``min_mean``.

    :param count: attempts.
    :param total: sum of their scores.
    """
    if count <= 0.0 or total <= count * min_mean:
        return 0.0
    ratio = total / count / min_mean
    return count * (ratio - 1.0 - math.log(ratio))


class Siblings:
    """Windows for each upstream, see ``detectors.Detector``."""

    pooled: typing.ClassVar[bool] = True

    def __init__(self) -> None:
        self.tallies: dict[str, Tally] = {}

    def observe(
        self, upstream: str, score: float, count: float, now: float
    ) -> None:
        """Add attempts to every window."""
        tally = self.tallies.get(upstream)
        if tally is None:
            tally = self.tallies[upstream] = Tally(now)
        tally.add(score, count, now)

    def evidence(self, upstream: str, now: float) -> float:
        """Return the greatest evidence of all windows."""
        tally = self.tallies.get(upstream)
        return 0.0 if tally is None else tally.evidence(now)

    def reset(self, upstream: str) -> None:
        """Empty the windows."""
        self.tallies.pop(upstream, None)


def make() -> detectors.Detector:
    """Return a new detector."""
    return Siblings()


class Plugin(plugins.Plugin):
    """Provides the detector ``siblings``."""

    name = 'detector-siblings'

    def detectors(self) -> dict[str, typing.Callable]:
        """Return the factory."""
        return {'siblings': make}
