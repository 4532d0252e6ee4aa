"""Estimate of how long requests hold a slot."""

# Weight of a new sample in the moving mean.
SMOOTHING = 1 / 16
# Factor by which a sample moves the estimate of the median.
MEDIAN_STEP = 1.05
# Before the first sample a service is assumed to answer in no time, so that
# requests are never refused on a guess.
INITIAL_S = 0.0
# Minimum of the estimates, so that rates stay finite.
MIN_S = 0.0001


class HoldTime:
    """Mean and median time for which requests of one kind hold a slot.

    The mean, in seconds, includes every request that held a slot, since each
    kept others waiting.  The median, in seconds, includes good answers only:
    it is the time in which half of them arrive.
    """

    __slots__ = ('mean', 'median')

    def __init__(self) -> None:
        self.mean = INITIAL_S
        self.median = INITIAL_S

    def record_hold(self, seconds: float) -> None:
        """Record how long a slot was held."""
        if not self.mean:
            self.mean = max(seconds, MIN_S)
            return
        self.mean += (seconds - self.mean) * SMOOTHING
        self.mean = max(self.mean, MIN_S)

    def record_answer(self, seconds: float) -> None:
        """Record the latency of a good answer.

        Steps up and down by the same factor leave as many samples above as
        below (stochastic approximation; Robbins and Monro, 1951).
        """
        if not self.median:
            self.median = max(seconds, MIN_S)
        elif seconds > self.median:
            self.median *= MEDIAN_STEP
        else:
            self.median = max(self.median / MEDIAN_STEP, MIN_S)
