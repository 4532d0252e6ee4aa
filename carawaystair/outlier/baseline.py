"""Which latencies become the usual ones of a route.

The bounds of a route are worked out from good answers.  When one of three
upstreams turns slow, a third of those answers are its own; taken as they come
they raise the bounds within seconds until its answers count as usual and it
is never ejected.  So samples wait for a few seconds, longer than it takes to
suspect an upstream, and those of a suspect are dropped then.
"""

import collections
import typing

from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import record_store
from carawaystair.outlier import upstream_record

# Samples wait so long once their route has bounds, seconds.
SAMPLE_DELAY_S = 5.0
# More of them waiting are let go, the oldest first.
MAX_WAITING = 2000


class WaitingSample(typing.NamedTuple):
    """One sample with the time at which it came."""

    received_at: float
    sample: messages.Sample


class Baseline:
    """Lets samples into the routes' latencies.

    :param ledger: says which upstreams are suspects.
    :param routes: takes the latencies.
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
        """Take the samples of one report, and let in what has waited."""
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
        """Return the suspects, unless they are most of the upstreams.

        When most of them are slow the service is, and the bounds must
        follow; otherwise they would stay suspects for ever.
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
