"""Detector: consecutive failures, as seen by each node alone.

This is the default of most proxies and the baseline for the other detectors.
A node that sends an upstream few requests takes long to see several failures
in a row.
"""

import typing

from carawaystair.outlier import detectors
from carawaystair import plugins

# This many failures in a row eject an upstream.
FAILURES_IN_A_ROW = 5
# Failures score far above this, slow answers mostly below.
FAILURE_SCORE = 4.0
CERTAIN_NATS = 1000.0


class Consecutive:
    """Counts failures in a row, see ``detectors.Detector``."""

    pooled: typing.ClassVar[bool] = False

    def __init__(self) -> None:
        self.failures: dict[str, int] = {}

    def observe(
        self, upstream: str, score: float, count: float, now: float
    ) -> None:
        """Count a failure, or reset the count."""
        if score < FAILURE_SCORE:
            self.failures.pop(upstream, None)
        else:
            self.failures[upstream] = self.failures.get(upstream, 0) + int(
                count
            )

    def evidence(self, upstream: str, now: float) -> float:
        """Return enough evidence to eject once there are enough failures."""
        return (
            CERTAIN_NATS
            if self.failures.get(upstream, 0) >= FAILURES_IN_A_ROW
            else 0.0
        )

    def reset(self, upstream: str) -> None:
        """Reset the count."""
        self.failures.pop(upstream, None)


def make() -> detectors.Detector:
    """Return a new detector."""
    return Consecutive()


class Plugin(plugins.Plugin):
    """Provides the detector ``consecutive``."""

    name = 'detector-consecutive'

    def detectors(self) -> dict[str, typing.Callable]:
        """Return the factory."""
        return {'consecutive': make}
