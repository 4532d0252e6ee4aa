"""Detector: a cumulative sum of scores (CUSUM; Page, 1954).

Each score changes a sum by its log likelihood ratio between an upstream with a
gray failure and a healthy one; the sum never falls below zero.  This is the
fastest test for one known size of fault.  Besides good answers, only a slow
decay lowers the sum.
"""

import math
import typing

from carawaystair.outlier import detectors
from carawaystair import plugins

# Time constant of the decay of the sum, seconds.
DECAY_S = 20.0
MAX_NATS = 60.0


class Sum(typing.NamedTuple):
    """The sum of one upstream at a time."""

    value: float
    time: float


class Sequential:
    """A CUSUM for each upstream, see ``detectors.Detector``."""

    pooled: typing.ClassVar[bool] = True

    def __init__(self) -> None:
        self.sums: dict[str, Sum] = {}

    def observe(
        self, upstream: str, score: float, count: float, now: float
    ) -> None:
        """Add attempts to the sum."""
        step = count * detectors.log_likelihood_ratio(score)
        value = min(self.evidence(upstream, now) + step, MAX_NATS)
        if value <= 0.0:
            self.sums.pop(upstream, None)
        else:
            self.sums[upstream] = Sum(value, now)

    def evidence(self, upstream: str, now: float) -> float:
        """Return the sum, decayed."""
        total = self.sums.get(upstream)
        if total is None:
            return 0.0
        return total.value * math.exp((total.time - now) / DECAY_S)

    def reset(self, upstream: str) -> None:
        """Set the sum to zero."""
        self.sums.pop(upstream, None)


def make() -> detectors.Detector:
    """Return a new detector."""
    return Sequential()


class Plugin(plugins.Plugin):
    """Provides the detector ``sequential``."""

    name = 'detector-sequential'

    def detectors(self) -> dict[str, typing.Callable]:
        """Return the factory."""
        return {'sequential': make}
