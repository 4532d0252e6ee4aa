"""Local health awareness: how far this process trusts its own judgment.

A process that is slow itself sees everybody else as slow.  It therefore
keeps a score of its own trouble and takes more time over each probe while
the score is high (Lifeguard, Dadgar, Phillips and Currey, 2018: LHA-Probe).
"""

from carawaystair import clock

# The score goes from 0 to this; probes take up to one more times as long.
MAX_SCORE = 4
# A process with fewer failures in a row than this isn't cut off, but unlucky.
ISOLATED_AFTER = 3


class Awareness:
    """The score of one process."""

    def __init__(self) -> None:
        self.score = 0
        self.failures = 0
        # Monotonic time of the last probe that was answered.
        self.success = 0.0

    @property
    def scale(self) -> int:
        """Return the factor on the times of probes."""
        return self.score + 1

    def isolated(self, since: float) -> bool:
        """Tell whether this process seems to reach nobody.

        :param since: monotonic time; a later success shows that it does.
        """
        return self.failures >= ISOLATED_AFTER and self.success < since

    def succeeded(self) -> None:
        """Take note of a probe that was answered."""
        self.failures = 0
        self.success = clock.now()
        self.score = max(self.score - 1, 0)

    def failed(self, silent: int) -> None:
        """Take note of a probe that nobody answered.

        :param silent: how many helpers did not even answer that they could
            not reach the host; they are not all dead at once.
        """
        self.failures += 1
        self.raise_score(silent)

    def raise_score(self, by: int = 1) -> None:
        """Take note of another sign that this process is in trouble."""
        self.score = min(self.score + by, MAX_SCORE)
