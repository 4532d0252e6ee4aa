"""Metrics in the Prometheus text format.

Counters are plain attributes of the parts, read when somebody asks; a
latency is an HDR histogram.  Nothing is computed for metrics on the path of
a request beyond one ``record_value``.
"""

import itertools
import typing

from hdrh import histogram

# From 1 us to 10 minutes, three significant digits.
LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Sample(typing.NamedTuple):
    """One line of the exposition.

    :param name: metric name with its unit, such as ``requests_total``.
    :param value: the value.
    :param labels: label names and values.
    """

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


def far_label(far: bool) -> tuple[str, str]:
    """Return the label for what goes to another data centre, or doesn't."""
    return ('far', 'yes' if far else 'no')


Collector = typing.Callable[[], typing.Iterable[Sample]]

COLLECTORS: list[Collector] = []


def collect(collector: Collector) -> None:
    """Read ``collector`` whenever somebody asks for metrics."""
    COLLECTORS.append(collector)


def latency() -> histogram.HdrHistogram:
    """Return a histogram for latencies in microseconds."""
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def summary(
    name: str, recorded: histogram.HdrHistogram, *labels: tuple[str, str]
) -> list[Sample]:
    """Return the samples of a histogram, in seconds."""
    quantiles = [
        Sample(
            name,
            recorded.get_value_at_percentile(q) / 1e6,
            (*labels, ('quantile', '%g' % (q / 100))),
        )
        for q in QUANTILES
    ]
    count = Sample(name + '_count', recorded.get_total_count(), labels)
    return [*quantiles, count]


def _escape(value: str) -> str:
    value = value.replace('\\', r'\\').replace('"', r'\"')
    return value.replace('\n', r'\n')


def _line(sample: Sample) -> str:
    labels = ','.join(
        '%s="%s"' % (name, _escape(value)) for name, value in sample.labels
    )
    braces = '{%s}' % labels if labels else ''
    return 'carawaystair_%s%s %s' % (sample.name, braces, sample.value)


def text() -> str:
    """Return all metrics as text, one a line."""
    samples = itertools.chain.from_iterable(c() for c in COLLECTORS)
    return ''.join(_line(sample) + '\n' for sample in samples)
