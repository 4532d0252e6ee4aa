"""What answers usually take, for each route.

A histogram of a few buckets an octave, halved now and then, so that it
follows a service that becomes slower or faster.  It says when an answer is
later than most, which is when a hedge is worth its cost (Dean and Barroso,
"The Tail at Scale", 2013).
"""

import collections
import itertools
import math

BUCKETS_PER_OCTAVE = 4
MIN_LATENCY_S = 0.0005
OCTAVES = 18
BUCKETS = BUCKETS_PER_OCTAVE * OCTAVES
MAX_SAMPLES = 1024
# The estimate is taken anew after so many answers.
REFRESH_INTERVAL = 32
# Fewer answers than this say nothing about the tail.
MIN_SAMPLES = 20
HEDGE_QUANTILE = 0.95
# While too little is known, a hedge goes out after this share of the time
# that the request has.
UNKNOWN_HEDGE_FRACTION = 0.25
MIN_HEDGE_S = 0.002
MAX_ROUTES = 4096


class Latencies:
    """Latencies of the good answers of one route."""

    __slots__ = ('counts', 'estimate', 'pending', 'total')

    def __init__(self) -> None:
        self.counts = [0] * BUCKETS
        self.total = 0
        self.pending = 0
        self.estimate = 0.0

    def add(self, latency_s: float) -> None:
        """Count one good answer."""
        octaves = math.log2(max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S)
        index = min(int(octaves * BUCKETS_PER_OCTAVE), BUCKETS - 1)
        self.counts[index] += 1
        self.total += 1
        self.pending += 1
        if self.pending >= REFRESH_INTERVAL or self.total == MIN_SAMPLES:
            self._refresh()

    def hedge_s(self, left_s: float) -> float:
        """Return after how long a hedge goes out, in seconds.

        :param left_s: the time that the request has.
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
    """The latencies of the routes in use, the least used forgotten."""

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
