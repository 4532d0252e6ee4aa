"""Running means of what is seen, by route."""

# Weight of a new value in the running mean: about ten count, so that a change
# shows within some seconds.
NEW_VALUE_WEIGHT = 0.15
# Routes whose means are remembered.
MAX_ROUTES = 512


class RouteMeans:
    """Means by route, and over all routes.

    :param first: what is expected where nothing has been seen yet.
    """

    def __init__(self, first: float) -> None:
        self.means: dict[str, float] = {}
        self.mean = first

    def record(self, route: str, value: float) -> None:
        """Take note of one value."""
        old = self.means.pop(route, value)
        self.means[route] = old + NEW_VALUE_WEIGHT * (value - old)
        self.mean += NEW_VALUE_WEIGHT * (value - self.mean)
        if len(self.means) > MAX_ROUTES:
            del self.means[next(iter(self.means))]

    def has(self, route: str) -> bool:
        """Tell whether a value of a route was seen."""
        return route in self.means

    def expected(self, route: str) -> float:
        """Return what is expected of a route."""
        return self.means.get(route, self.mean)
