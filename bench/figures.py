"""What an experiment reports, and the statistics that go with it."""

import math
import random
import statistics
import typing


class Figure(typing.NamedTuple):
    """One measured figure.

    :param name: what was measured, such as ``detection.fast.hang.p99``.
    :param value: the value.
    :param unit: its unit, such as ``ms``, ``ratio`` or ``us``.
    :param low: lower end of the 95% confidence interval, if there is one.
    :param high: upper end of it.
    :param samples: how many samples stand behind the value.
    :param note: what a reader must know about it.
    """

    name: str
    value: float
    unit: str
    low: float | None = None
    high: float | None = None
    samples: int = 1
    note: str = ''


class Slope(typing.NamedTuple):
    """A straight line through measured points.

    :param name: what grows with what, such as ``gossip.cpu_us.by_nodes``.
    :param unit: unit of the slope, such as ``us/node``.
    :param slope: growth for each unit of x.
    :param intercept: value at x = 0.
    :param r2: coefficient of determination of the fit.
    :param points: the measured (x, y) pairs.
    """

    name: str
    unit: str
    slope: float
    intercept: float
    r2: float
    points: tuple[tuple[float, float], ...]


class Experiment(typing.Protocol):
    """A module ``bench/exp_NAME.py`` keeps this.

    ``TITLE`` is a sentence; ``run`` returns figures and slopes.
    """

    TITLE: str

    def run(self, seed: int, quick: bool) -> list:
        """Run the experiment.

        :param seed: of all randomness.
        :param quick: a short run that only shows that it works.
        :return: :class:`Figure` and :class:`Slope` values.
        """


def fit(name: str, unit: str, points: typing.Sequence) -> Slope:
    """Fit a line by least squares; wants at least three sizes."""
    xs = [x for x, _y in points]
    ys = [y for _x, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    flat = max(ys) == min(ys)
    r2 = 1.0 if flat else statistics.correlation(xs, ys) ** 2
    return Slope(name, unit, slope, intercept, r2, tuple(points))


def percentile(samples: typing.Sequence[float], share: float) -> float:
    """Return a percentile by the nearest rank.

    :param share: from 0.0 to 1.0, such as 0.99.
    """
    ordered = sorted(samples)
    rank = max(math.ceil(share * len(ordered)) - 1, 0)
    return ordered[rank]


def bootstrap(
    name: str,
    unit: str,
    samples: typing.Sequence[float],
    statistic: typing.Callable = statistics.median,
    seed: int = 1,
    rounds: int = 400,
) -> Figure:
    """Return a statistic with its 95% interval by the bootstrap."""
    rng = random.Random(seed)
    size = len(samples)
    values = sorted(
        statistic(rng.choices(samples, k=size)) for _round in range(rounds)
    )
    low = values[int(rounds * 0.025)]
    high = values[int(rounds * 0.975)]
    return Figure(name, statistic(samples), unit, low, high, size)
