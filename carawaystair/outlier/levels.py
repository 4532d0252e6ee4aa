"""Latency levels: how unusual the latency of an answer is for its route.

The coordinator of a service pools latencies of good answers by route and gives
the nodes five bounds for each route.  A node then sorts every attempt into a
level.  Fast and slow routes, and small and large services, are thus compared
on one scale, and a report needs only a few small numbers.
"""

import array
import bisect
import functools
import math
import typing

import xxhash

# Categories of attempts.  0 to 5 are latency levels: up to the median, the
# 90th and the 99th percentile, up to the bounds of LATE and OVERDUE beyond it,
# and above all bounds.
LEVELS = 6
SLOW = 3
LATE = 4
OVERDUE = 5
ERROR = 6  # a server error
BROKEN = 7  # no answer: timeout, broken or refused connection
SILENT = 8  # an open connection went silent while new ones work
UNRATED = 9  # a good answer on a route without bounds
# 10 to 12: slow, late and overdue on an unproven connection, which may itself
# have gone silent.
UNPROVEN = 10
REPORTED_UNHEALTHY = 13  # what a health endpoint says, not an attempt
REPORTED_HEALTHY = 14
CATEGORIES = 15

# Shares of good answers at or below the measured bounds.
QUANTILES = (0.5, 0.9, 0.99)
# Shares of attempts at each level or worse in a healthy service.
USUAL_TAILS = (1.0, 0.5, 0.1, 0.01, 0.001, 0.0002)

# Histogram bins are a sixteenth of a doubling wide: 4.4%.
BINS_PER_DOUBLING = 16
MIN_LATENCY_S = 0.0002
BINS = 20 * BINS_PER_DOUBLING
# A route gets bounds once it has so many answers.
MIN_ANSWERS = 60
# Time constant of the decay, after which an answer counts for 1/e.  Long
# enough for the 99th percentile of a service with 40 requests a second.
DECAY_S = 120.0
# Weights of new answers grow instead of old ones being decayed; above this
# factor the histogram is rescaled.
RESCALE = 1e9
MAX_ROUTES = 128
# Bounds above the 99th percentile grow by the ratio of the two below, as the
# tail of a power law does, limited to this range.
MIN_RATIO = 1.5
MAX_RATIO = 4.0
# From so many answers on, the 99.9th percentile is measured, not extrapolated.
MIN_ANSWERS_FOR_LATE = 1500
LATE_QUANTILE = 0.999

CUSTOMER_CLASSES = 8


class Bounds(typing.NamedTuple):
    """Latency bounds of one route, in seconds, ascending.

    :param median: of good answers.
    :param p90: 90th percentile.
    :param p99: 99th percentile.
    :param late: about the 99.9th percentile, measured or extrapolated.
    :param overdue: about the 99.99th percentile, extrapolated.
    """

    median: float
    p90: float
    p99: float
    late: float
    overdue: float


def level(bounds: Bounds, latency_s: float) -> int:
    """Return the latency level of an answer, 0 to 5."""
    return bisect.bisect_left(bounds, latency_s)


@functools.lru_cache(4096)
def short_id(name: str) -> int:
    """Return a 32-bit number for a route's key or an upstream's id."""
    return xxhash.xxh32_intdigest(name.encode())


@functools.lru_cache(4096)
def customer_class(customer: str) -> int:
    """Return the class of a customer: one of a few stable groups."""
    return xxhash.xxh32_intdigest(customer.encode()) % CUSTOMER_CLASSES


def unproven(level: int) -> int:
    """Return the category of a slow answer on an unproven connection."""
    return UNPROVEN + level - SLOW


def proven(category: int) -> int:
    """Return the latency level of an unproven category."""
    return category - UNPROVEN + SLOW


class LatencyHistogram:
    """Decaying histogram of the latencies of good answers of one route.

    The weight of new answers grows instead of old ones being decayed (forward
    decay; Cormode et al., 2009), so that adding one costs the same at any age.
    """

    def __init__(self, now: float) -> None:
        self.zero = now
        self.bins = array.array('d', bytes(8 * BINS))
        self.total = 0.0

    def add(self, latency_s: float, now: float) -> None:
        weight = math.exp((now - self.zero) / DECAY_S)
        if weight > RESCALE:
            self.bins = array.array('d', (x / weight for x in self.bins))
            self.total /= weight
            self.zero, weight = now, 1.0
        self.bins[_bin(latency_s)] += weight
        self.total += weight

    def count(self, now: float) -> float:
        """Return the number of answers, decayed."""
        return self.total * math.exp((self.zero - now) / DECAY_S)

    def bounds(self, min_latency_s: float, many: bool = False) -> Bounds:
        """Return the bounds.

        :param min_latency_s: bounds from the 99th percentile on are at least
            this, since delays that short may be pauses of the node itself.
        :param many: whether there are enough answers to measure the 99.9th
            percentile.
        """
        median, p90, p99 = (self.quantile(share) for share in QUANTILES)
        p99 = max(p99, min_latency_s, p90 * MIN_RATIO)
        ratio = min(max(p99 / p90, MIN_RATIO), MAX_RATIO)
        late = p99 * ratio
        if many:
            measured = self.quantile(LATE_QUANTILE)
            late = min(max(measured, p99 * MIN_RATIO**0.5), late)
        return Bounds(median, p90, p99, late, late * ratio)

    def quantile(self, share: float) -> float:
        """Return a quantile, the upper edge of its bin, in seconds."""
        want = self.total * share
        seen = 0.0
        for index, weight in enumerate(self.bins):
            seen += weight
            if seen >= want:
                break
        return MIN_LATENCY_S * 2 ** ((index + 1) / BINS_PER_DOUBLING)


def _bin(latency_s: float) -> int:
    if latency_s <= MIN_LATENCY_S:
        return 0
    index = int(math.log2(latency_s / MIN_LATENCY_S) * BINS_PER_DOUBLING)
    return min(index, BINS - 1)


class RouteLatencies:
    """Latencies of the routes of one service."""

    def __init__(self) -> None:
        self.by_route: dict[int, LatencyHistogram] = {}

    def add(self, route: int, latency_s: float, now: float) -> None:
        """Add the latency of one good answer."""
        latencies = self.by_route.get(route)
        if latencies is None:
            if len(self.by_route) >= MAX_ROUTES:
                return
            latencies = self.by_route[route] = LatencyHistogram(now)
        latencies.add(latency_s, now)

    def has_bounds(self, route: int, now: float) -> bool:
        """Return whether a route has enough answers for bounds."""
        latencies = self.by_route.get(route)
        return latencies is not None and latencies.count(now) >= MIN_ANSWERS

    def bounds(self, min_latency_s: float, now: float) -> dict[int, Bounds]:
        """Return the bounds of each route that has enough answers."""
        return {
            route: latencies.bounds(
                min_latency_s, count >= MIN_ANSWERS_FOR_LATE
            )
            for route, latencies in self.by_route.items()
            if (count := latencies.count(now)) >= MIN_ANSWERS
        }

    def remove_unused(self, now: float) -> None:
        """Remove routes without recent answers."""
        for route, latencies in list(self.by_route.items()):
            if latencies.count(now) < 1.0:
                del self.by_route[route]
