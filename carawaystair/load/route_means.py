"""Moving means of measured values, by route."""

# Weight of a new value: about ten values count, so that a change shows within
# some seconds.
NEW_VALUE_WEIGHT = 0.15
MAX_ROUTES = 512


class RouteMeans:
    """Moving means by route, and over all routes.

    :param initial: the mean before the first value.
    """

    def __init__(self, initial: float) -> None:
        self.means: dict[str, float] = {}
        self.mean = initial

    def record(self, route: str, value: float) -> None:
        """Add a value of a route."""
        old = self.means.pop(route, value)
        self.means[route] = old + NEW_VALUE_WEIGHT * (value - old)
        self.mean += NEW_VALUE_WEIGHT * (value - self.mean)
        if len(self.means) > MAX_ROUTES:
            del self.means[next(iter(self.means))]

    def has(self, route: str) -> bool:
        """Return whether a route has a mean of its own."""
        return route in self.means

    def expected(self, route: str) -> float:
        """Return the mean of a route, or that of all without its own."""
        return self.means.get(route, self.mean)
