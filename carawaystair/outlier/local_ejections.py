"""Ejections that a node decides alone, for detectors that are not pooled."""

from carawaystair.outlier import detectors
from carawaystair.outlier import tuning as tunings

# Length of the first ejection, seconds; it grows with each further one.
FIRST_EJECTION_S = 10.0
MAX_EJECTION_S = 300.0
BAD_SCORE = 8.0


class LocalEjections:
    """The ejections of one service at this node.

    :param detector: one that is not pooled.
    """

    def __init__(self, detector: detectors.Detector) -> None:
        self.detector = detector
        self.until: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    def observe(
        self, upstream: str, bad: bool, tuning: tunings.Tuning, now: float
    ) -> bool:
        """Take note of one attempt.

        :return: whether the upstream is ejected now.
        """
        self.detector.observe(upstream, BAD_SCORE if bad else 0.0, 1.0, now)
        if self.detector.evidence(upstream, now) < tuning.eject_nats:
            return False
        self.detector.reset(upstream)
        counts = self.counts.get(upstream, 0) + 1
        self.counts[upstream] = counts
        self.until[upstream] = now + min(
            FIRST_EJECTION_S * counts, MAX_EJECTION_S
        )
        return True

    def ejected(self, now: float) -> list[str]:
        """Return ids, ordered."""
        return sorted(
            name for name, until in self.until.items() if until > now
        )

    def reset(self, upstream: str) -> None:
        """Begin anew with an upstream that has started again."""
        self.detector.reset(upstream)
        self.until.pop(upstream, None)
        self.counts.pop(upstream, None)

    def remove_expired(self, now: float) -> bool:
        """Drop what is over.

        :return: whether there was anything.
        """
        over = [name for name, until in self.until.items() if until <= now]
        for name in over:
            del self.until[name]
        return bool(over)
