"""How long requests hold a slot, learned from those that ran."""

# Weight of a new sample in the moving mean.
SMOOTHING = 1 / 16
# Step by which the median estimate follows a sample, as a factor.
MEDIAN_STEP = 1.05
# A service that has shown nothing yet is taken to answer in no time: a
# guess must never refuse work.
INITIAL_S = 0.0
# Least time taken for the mean, so that rates stay finite.
MIN_S = 0.0001


class HoldTime:
    """The time for which requests of one kind hold a slot.

    The mean counts every request that held a slot, since each kept others
    waiting.  The median counts good answers only and tells what a request
    can hope for: half of them are quicker.
    """

    __slots__ = ('mean', 'median')

    def __init__(self) -> None:
        self.mean = INITIAL_S
        self.median = INITIAL_S

    def record_hold(self, seconds: float) -> None:
        """Take note of how long a slot was held."""
        if not self.mean:
            self.mean = max(seconds, MIN_S)
            return
        self.mean += (seconds - self.mean) * SMOOTHING
        self.mean = max(self.mean, MIN_S)

    def record_answer(self, seconds: float) -> None:
        """Take note of the latency of a good answer.

        Steps up and down by the same factor leave as many samples above as
        below (stochastic approximation; Robbins and Monro, 1951).
        """
        if not self.median:
            self.median = max(seconds, MIN_S)
        elif seconds > self.median:
            self.median *= MEDIAN_STEP
        else:
            self.median = max(self.median / MEDIAN_STEP, MIN_S)
