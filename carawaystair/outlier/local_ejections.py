"""Ejections that a node decides alone, for detectors that are not pooled."""

from carawaystair.outlier import detectors
from carawaystair.outlier import tuning as tunings

# Length of the first ejection, seconds; each further one is longer by as much.
FIRST_EJECTION_S = 10.0
MAX_EJECTION_S = 300.0
BAD_SCORE = 8.0


class LocalEjections:
    """Ejections of one service by this node alone.

    :param detector: one that is not pooled.
    """

    def __init__(self, detector: detectors.Detector) -> None:
        self.detector = detector
        self.until: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    def observe(
        self, upstream: str, bad: bool, tuning: tunings.Tuning, now: float
    ) -> bool:
        """Add one attempt.

        :return: whether it led to an ejection.
        """
        self.detector.observe(upstream, BAD_SCORE if bad else 0.0, 1.0, now)
        if self.detector.evidence(upstream, now) < tuning.eject_nats:
            return False
        self.detector.reset(upstream)
        count = self.counts.get(upstream, 0) + 1
        self.counts[upstream] = count
        self.until[upstream] = now + min(
            FIRST_EJECTION_S * count, MAX_EJECTION_S
        )
        return True

    def ejected(self, now: float) -> list[str]:
        """Return the ids of ejected upstreams, sorted."""
        return sorted(
            name for name, until in self.until.items() if until > now
        )

    def reset(self, upstream: str) -> None:
        """Drop evidence and ejections of an upstream that has restarted."""
        self.detector.reset(upstream)
        self.until.pop(upstream, None)
        self.counts.pop(upstream, None)

    def remove_expired(self, now: float) -> bool:
        """Remove the ejections that have ended.

        :return: whether there were any.
        """
        over = [name for name, until in self.until.items() if until <= now]
        for name in over:
            del self.until[name]
        return bool(over)
