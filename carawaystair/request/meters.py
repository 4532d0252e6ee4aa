"""Counts of requests by outcome, for metrics and the time line."""

import collections
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import metrics
from carawaystair import timeline as timelines

# Events about failed requests per second, at most: when all requests fail,
# the time line must still contain the events that led to it.
EVENTS_PER_S = 10
# Latencies are counted in steps of 10 us before they enter the histogram.
TICKS_PER_S = 100_000
MAX_PENDING = 4096


class Meters:
    """The request counts of one node.

    :param timeline: records events about requests that did not complete.
    """

    def __init__(self, timeline: timelines.Timeline) -> None:
        self.timeline = timeline
        self.outcomes: collections.Counter = collections.Counter()
        self.latency = metrics.latency()
        self.completed = 0
        # Latencies that are not in the histogram yet, in ticks.  Recording
        # each one there at once would cost a tenth of a request.
        self.pending: collections.Counter = collections.Counter()
        self.second = 0
        self.events = 0
        self.dropped_events = 0

    def record_complete(self, latency_s: float) -> None:
        """Count a request that was answered completely."""
        self.completed += 1
        self.pending[int(latency_s * TICKS_PER_S)] += 1
        if len(self.pending) > MAX_PENDING:
            self._flush()

    def record_failed(
        self, outcome: str, code: codes.Code, request: str, detail: str
    ) -> None:
        """Count a request that was refused or failed."""
        self.outcomes[outcome, code.label] += 1
        second = int(clock.now())
        if second != self.second:
            self.second = second
            self.events = 0
        self.events += 1
        if self.events > EVENTS_PER_S:
            self.dropped_events += 1
            return
        text = '%s %s %s' % (code.label, code.name, detail)
        self.timeline.record('request-' + outcome, text, request=request)

    def record_broken(self, request: str, text: str) -> None:
        """Count an answer that broke off after it had begun."""
        self.outcomes['cut', codes.ANSWER_LOST.label] += 1
        self.timeline.record('answer-cut', text, request=request)

    def _flush(self) -> None:
        """Move the pending latencies into the histogram."""
        for ticks, count in self.pending.items():
            micros = int((ticks + 0.5) * 1e6 / TICKS_PER_S)
            self.latency.record_value(micros, count)
        self.pending.clear()

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples of the metrics."""
        self._flush()
        self.outcomes[codes.COMPLETE, codes.OK.label] = self.completed
        for (outcome, code), count in self.outcomes.items():
            labels = (('outcome', outcome), ('code', code))
            yield metrics.Sample('requests_total', count, labels)
        yield from metrics.summary('request_seconds', self.latency)
