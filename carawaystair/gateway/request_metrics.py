"""Request counters and latency histograms of a node with a gateway."""

import collections
import typing

from carawaystair import metrics

MICROSECONDS = 1e6
# Customers that have a sample of their own at each service; the others share
# one.
MAX_CUSTOMERS = 50
OTHERS = 'other'


class RequestMetrics:
    """Metrics of requests at a node, its gateway and its upstreams."""

    def __init__(self) -> None:
        # Callers' requests by route, service, outcome and code.
        self.requests: collections.Counter = collections.Counter()
        # Requests that the gateway refused, by service and reason.
        self.refusals: collections.Counter = collections.Counter()
        # Runs at upstreams by service and outcome.
        self.runs: collections.Counter = collections.Counter()
        # Seconds of service by service and customer.
        self.customer_seconds: collections.Counter = collections.Counter()
        self.wait_time = metrics.latency()
        self.service_time = metrics.latency()
        self.total_time = metrics.latency()

    def record_answer(
        self,
        route: str,
        service: str,
        outcome: str,
        code: str,
        seconds: float,
    ) -> None:
        """Count the outcome that a caller was given."""
        self.requests[route, service, outcome, code] += 1
        self.total_time.record_value(_micros(seconds))

    def record_refusal(self, service: str, reason: str) -> None:
        """Count a request that the gateway refused."""
        self.refusals[service, reason] += 1

    def record_run(
        self,
        service: str,
        outcome: str,
        waited_s: float,
        served_s: float,
        customer: str = '',
    ) -> None:
        """Count a run at an upstream.

        :param customer: whose request it was, '' if unknown.
        """
        self.runs[service, outcome] += 1
        if customer:
            key = service, customer
            known = key in self.customer_seconds
            if not known and len(self.customer_seconds) >= MAX_CUSTOMERS:
                key = service, OTHERS
            self.customer_seconds[key] += served_s
        self.wait_time.record_value(_micros(waited_s))
        self.service_time.record_value(_micros(served_s))

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the current samples."""
        for (route, service, outcome, code), count in self.requests.items():
            labels = (
                ('route', route),
                ('service', service),
                ('outcome', outcome),
                ('code', code),
            )
            yield metrics.Sample('relayed_total', count, labels)
        for (service, reason), count in self.refusals.items():
            labels = (('service', service), ('reason', reason))
            yield metrics.Sample('gateway_refused_total', count, labels)
        for (service, outcome), count in self.runs.items():
            labels = (('service', service), ('outcome', outcome))
            yield metrics.Sample('gateway_runs_total', count, labels)
        for (service, customer), seconds in self.customer_seconds.items():
            labels = (('service', service), ('customer', customer))
            yield metrics.Sample(
                'gateway_customer_seconds_total', seconds, labels
            )
        yield from metrics.summary('relayed_seconds', self.total_time)
        yield from metrics.summary('gateway_wait_seconds', self.wait_time)
        yield from metrics.summary('upstream_seconds', self.service_time)


def _micros(seconds: float) -> int:
    micros = int(seconds * MICROSECONDS)
    return min(max(micros, metrics.LOWEST_US), metrics.HIGHEST_US)
