"""Local health awareness: a health score that slows down probes.

To a process that is slow itself every other process seems slow.  It therefore
keeps a score of signs that it is unhealthy itself, and extends the period and
timeouts of its probes while the score is high (Lifeguard, Dadgar, Phillips and
Currey, 2018: LHA-Probe).
"""

from carawaystair import clock

# Maximum score; probe times are multiplied by the score plus one.
MAX_SCORE = 4
# Fewer consecutive failures may be bad luck and don't count as isolation.
ISOLATED_AFTER_FAILURES = 3


class Awareness:
    """The health score of this process; 0 is healthy."""

    def __init__(self) -> None:
        self.score = 0
        self.consecutive_failures = 0
        # Monotonic time of the last answered probe.
        self.last_success = 0.0

    @property
    def time_factor(self) -> int:
        """Return the factor by which probe times are multiplied."""
        return self.score + 1

    def isolated(self, since: float) -> bool:
        """Tell whether this process seems to reach no other process.

        :param since: monotonic time; a success after it rules out isolation.
        """
        return (
            self.consecutive_failures >= ISOLATED_AFTER_FAILURES
            and self.last_success < since
        )

    def record_success(self) -> None:
        """Record a probe that was answered."""
        self.consecutive_failures = 0
        self.last_success = clock.now()
        self.score = max(self.score - 1, 0)

    def record_failure(self, silent_helpers: int) -> None:
        """Record a probe that failed.

        :param silent_helpers: number of helpers that sent no answer at all.
            They are unlikely to be all dead at once, so each raises the
            score.
        """
        self.consecutive_failures += 1
        self.raise_score(silent_helpers)

    def raise_score(self, by: int = 1) -> None:
        """Raise the score because of a sign that this process is unhealthy."""
        self.score = min(self.score + by, MAX_SCORE)
