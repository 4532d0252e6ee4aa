"""Counters and histograms of a node with a gateway."""

import collections
import typing

from carawaystair import metrics

MICROS = 1e6


class RequestMetrics:
    """What a node and its gateway count; read by the metrics."""

    def __init__(self) -> None:
        # Callers' requests by route, service, outcome and code.
        self.requests: collections.Counter = collections.Counter()
        # Refusals of the gateway by upstream's service and reason.
        self.declined: collections.Counter = collections.Counter()
        # Runs at upstreams by service and outcome.
        self.runs: collections.Counter = collections.Counter()
        self.waited = metrics.latency()
        self.served = metrics.latency()
        self.relayed = metrics.latency()

    def answered(
        self,
        route: str,
        service: str,
        outcome: str,
        code: str,
        seconds: float,
    ) -> None:
        """Count what a caller was told."""
        self.requests[route, service, outcome, code] += 1
        self.relayed.record_value(_micros(seconds))

    def refused(self, service: str, reason: str) -> None:
        """Count a refusal of the gateway."""
        self.declined[service, reason] += 1

    def ran(
        self, service: str, outcome: str, waited_s: float, served_s: float
    ) -> None:
        """Count a run at an upstream."""
        self.runs[service, outcome] += 1
        self.waited.record_value(_micros(waited_s))
        self.served.record_value(_micros(served_s))

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        for (route, service, outcome, code), count in self.requests.items():
            labels = (
                ('route', route),
                ('service', service),
                ('outcome', outcome),
                ('code', code),
            )
            yield metrics.Sample('relayed_total', count, labels)
        for (service, reason), count in self.declined.items():
            labels = (('service', service), ('reason', reason))
            yield metrics.Sample('gateway_refused_total', count, labels)
        for (service, outcome), count in self.runs.items():
            labels = (('service', service), ('outcome', outcome))
            yield metrics.Sample('gateway_runs_total', count, labels)
        yield from metrics.summary('relayed_seconds', self.relayed)
        yield from metrics.summary('gateway_wait_seconds', self.waited)
        yield from metrics.summary('upstream_seconds', self.served)


def _micros(seconds: float) -> int:
    micros = int(seconds * MICROS)
    return min(max(micros, metrics.LOWEST_US), metrics.HIGHEST_US)
