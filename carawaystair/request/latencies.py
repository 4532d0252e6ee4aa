"""Estimates of the latency of each route, which time its hedges.

Latencies are counted in a logarithmic histogram whose counts are halved now
and then, so that it follows a service that becomes slower or faster.  A hedge
is worth its cost once an answer is later than a high quantile (Dean and
Barroso, "The Tail at Scale", 2013).
"""

import collections
import itertools
import math

BUCKETS_PER_OCTAVE = 4
MIN_LATENCY_S = 0.0005
OCTAVES = 18
BUCKETS = BUCKETS_PER_OCTAVE * OCTAVES
# Number of samples at which all counts are halved.
MAX_SAMPLES = 1024
# Number of samples after which the estimate is computed again.
REFRESH_INTERVAL = 32
# Number of samples below which the tail can't be estimated.
MIN_SAMPLES = 20
HEDGE_QUANTILE = 0.95
# Without an estimate, a hedge is sent after this fraction of the time that is
# left until the deadline.
UNKNOWN_HEDGE_FRACTION = 0.25
MIN_HEDGE_S = 0.002
MAX_ROUTES = 4096


class Latencies:
    """Latencies of the successful answers of one route."""

    __slots__ = ('counts', 'estimate', 'pending', 'total')

    def __init__(self) -> None:
        self.counts = [0] * BUCKETS
        self.total = 0
        self.pending = 0
        self.estimate = 0.0

    def add(self, latency_s: float) -> None:
        """Count one successful answer."""
        octaves = math.log2(max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S)
        index = min(int(octaves * BUCKETS_PER_OCTAVE), BUCKETS - 1)
        self.counts[index] += 1
        self.total += 1
        self.pending += 1
        if self.pending >= REFRESH_INTERVAL or self.total == MIN_SAMPLES:
            self._refresh()

    def hedge_s(self, left_s: float) -> float:
        """Return the delay after which a hedge is sent, in seconds.

        :param left_s: time until the deadline of the request, seconds.
        """
        if self.total < MIN_SAMPLES:
            return left_s * UNKNOWN_HEDGE_FRACTION
        return self.estimate

    def _refresh(self) -> None:
        self.pending = 0
        if self.total >= MAX_SAMPLES:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)
        wanted = self.total * HEDGE_QUANTILE
        sums = itertools.accumulate(self.counts)
        index = next(i for i, count in enumerate(sums) if count >= wanted)
        upper = MIN_LATENCY_S * 2 ** ((index + 1) / BUCKETS_PER_OCTAVE)
        self.estimate = max(upper, MIN_HEDGE_S)


class RouteLatencies:
    """The latencies of all routes; the oldest are dropped when full."""

    def __init__(self) -> None:
        self.table: collections.OrderedDict[str, Latencies] = (
            collections.OrderedDict()
        )

    def of(self, route: str) -> Latencies:
        """Return the latencies of one route."""
        found = self.table.get(route)
        if found is None:
            found = self.table[route] = Latencies()
            if len(self.table) > MAX_ROUTES:
                self.table.popitem(last=False)
        return found
