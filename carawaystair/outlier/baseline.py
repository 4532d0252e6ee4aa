"""Selects the latency samples that define the usual latencies of a route.

The bounds of a route are computed from good answers.  When one of three
upstreams turns slow, a third of those answers are its own; used as they come
they raise the bounds within seconds until its answers count as usual and it is
never ejected.  Samples are therefore held back for longer than it takes to
suspect an upstream, and those of suspects are then dropped.
"""

import collections
import typing

from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import record_store
from carawaystair.outlier import upstream_record

# Samples are held back for this time once their route has bounds, seconds.
SAMPLE_DELAY_S = 5.0
# Samples held back; above this the oldest are dropped.
MAX_WAITING = 2000


class WaitingSample(typing.NamedTuple):
    """One sample with the time of its arrival."""

    received_at: float
    sample: messages.Sample


class Baseline:
    """Adds samples to the latencies of routes.

    :param store: tells which upstreams are suspected.
    :param routes: the latencies to add to.
    """

    def __init__(
        self, store: record_store.RecordStore, routes: levels.RouteLatencies
    ) -> None:
        self.store = store
        self.routes = routes
        self.waiting: collections.deque[WaitingSample] = collections.deque(
            maxlen=MAX_WAITING
        )

    def add_samples(
        self, samples: typing.Iterable[messages.Sample], now: float
    ) -> None:
        """Hold back new samples, and add those held back for long enough."""
        for sample in samples:
            if self.routes.has_bounds(sample.route, now):
                self.waiting.append(WaitingSample(now, sample))
            else:
                self._add(sample, now)
        suspects = None
        while (
            self.waiting
            and self.waiting[0].received_at <= now - SAMPLE_DELAY_S
        ):
            if suspects is None:
                suspects = self._suspects()
            sample = self.waiting.popleft().sample
            if sample.upstream not in suspects:
                self._add(sample, now)

    def _add(self, sample: messages.Sample, now: float) -> None:
        self.routes.add(sample.route, sample.latency_us / 1e6, now)

    def _suspects(self) -> frozenset[int]:
        """Return the short ids of suspects, or none if they are the majority.

        When most upstreams are slow the service itself is, and the bounds must
        follow; otherwise the upstreams would stay suspected for ever.
        """
        upstreams = self.store.index.by_id(self.store.service)
        suspects = [
            record
            for record in self.store.records.values()
            if record.state != upstream_record.HEALTHY
        ]
        if len(suspects) * 2 > len(upstreams):
            return frozenset()
        return frozenset(
            levels.short_id(record.upstream) for record in suspects
        )
