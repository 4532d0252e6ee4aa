"""Moving means of measured values, by route."""

# Weight of a new value: about ten values count, so that a change shows within
# some seconds.
NEW_VALUE_WEIGHT = 0.15
MAX_ROUTES = 512
# Share by which a peak falls to the mean with each value below it: some
# hundred values count.
PEAK_DECAY = 0.01
# Most that counts as a peak, in means: single values may be far higher.
MAX_PEAK = 4.0


class RouteMeans:
    """Moving means by route, and over all routes.

    :param initial: the mean before the first value.
    """

    def __init__(self, initial: float) -> None:
        self.means: dict[str, float] = {}
        self.mean = initial
        # Recent peaks by route, and over all routes.
        self.peaks: dict[str, float] = {}
        self.peak_of_all = initial

    def record(self, route: str, value: float) -> None:
        """Add a value of a route."""
        old = self.means.pop(route, value)
        self.means[route] = old + NEW_VALUE_WEIGHT * (value - old)
        self.mean += NEW_VALUE_WEIGHT * (value - self.mean)
        self.peaks[route] = _peak(
            self.peaks.get(route, value), self.means[route], value
        )
        self.peak_of_all = _peak(self.peak_of_all, self.mean, value)
        if len(self.means) > MAX_ROUTES:
            oldest = next(iter(self.means))
            del self.means[oldest], self.peaks[oldest]

    def has(self, route: str) -> bool:
        """Return whether a route has a mean of its own."""
        return route in self.means

    def expected(self, route: str) -> float:
        """Return the mean of a route, or that of all without its own."""
        return self.means.get(route, self.mean)

    def peak(self, route: str) -> float:
        """Return a value that few of a route exceed, or few of all routes."""
        peak = self.peaks.get(route, self.peak_of_all)
        return min(peak, MAX_PEAK * self.expected(route))


def _peak(peak: float, mean: float, value: float) -> float:
    """Return a peak after one value more."""
    return max(value, peak - PEAK_DECAY * (peak - mean))
