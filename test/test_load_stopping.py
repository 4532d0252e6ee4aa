"""Which runs a gateway still begins as its process stops."""

import math
import random

import pytest

from carawaystair.load import run_times
from carawaystair.load import stopping

LEFT_S = 4.0


def expectation(seen=run_times.NONE, **values) -> stopping.Expectation:
    """Return an expectation of short runs."""
    return stopping.Expectation(0.1, 0.1, 6.0, seen)._replace(**values)


KNOWN = run_times.Seen(stopping.KNOWN_RUNS, 1.0)


@pytest.mark.parametrize(
    ('expected', 'begins'),
    [
        (expectation(), False),
        (expectation(run_times.Seen(10, 0.1)), False),
        (expectation(own_s=3.9), True),
        (expectation(KNOWN), True),
        (expectation(KNOWN, oldest_s=4.1), False),
        (expectation(KNOWN._replace(longest_s=4.1)), False),
        (expectation(KNOWN._replace(longest_s=4.1), own_s=3.9), True),
        (expectation(KNOWN, expected_s=0.6), False),
    ],
)
def test_single_run_begins_only_where_it_surely_ends_in_time(expected, begins):
    """Guards against an order begun on a mean, or on the first short runs."""
    assert stopping.may_run(LEFT_S, expected, False) == begins


@pytest.mark.parametrize('seed', range(5))
def test_few_single_runs_outlast_what_many_have_taken(seed):
    """Guards against bounds that runs of a heavy tail exceed often.

    Replays runs of which one in thirty takes ten times the mean.
    """
    rng = random.Random(seed)

    def drawn() -> float:
        return 3.0 if rng.random() < 1 / 30 else rng.expovariate(1 / 0.3)

    times = run_times.RunTimes()
    begun = cut = 0
    for _number in range(20_000):
        took_s, left_s = drawn(), rng.uniform(0.0, 5.75)
        expected = expectation(times.seen('pay'), expected_s=0.4)
        if stopping.may_run(left_s, expected, False):
            begun += 1
            cut += took_s > left_s
        times.end(times.begin('pay', 0.0), True, took_s)
    assert begun > 5_000
    assert cut <= begun / stopping.KNOWN_RUNS


@pytest.mark.parametrize(
    ('expected_s', 'deadline', 'begun', 'by'),
    [
        (0.1, 20.0, False, 9.2),
        (0.1, 20.0, True, 9.6),
        (2.0, 20.0, False, -6.0),
        (2.0, 10.0, False, math.inf),
        (2.0, 10.1, True, 2.0),
    ],
)
def test_body_must_be_whole_in_time_for_its_run(
    expected_s, deadline, begun, by
):
    """Guards against a run that begins as its node ends."""
    found = stopping.whole_by(10.0, expected_s, deadline, begun)
    assert found == pytest.approx(by)


@pytest.mark.parametrize('seed', range(5))
def test_few_requests_that_are_whole_in_time_outlast_their_node(seed):
    """Guards against bounds that runs of a heavy tail exceed often.

    Replays bodies that become whole at any time of a stop, and runs of which
    one in thirty takes ten times the mean; gateways know the runs before.
    """
    rng = random.Random(seed)
    times = run_times.RunTimes()
    begun = cut = 0
    for _number in range(20_000):
        took_s = rng.expovariate(1 / 0.1)
        if rng.random() < 1 / 30:
            took_s = 1.0
        whole_at, ends_at = rng.uniform(0.0, 5.75), 5.75
        expected = expectation(times.seen('pay'), expected_s=0.13)
        in_time = whole_at <= stopping.whole_by(ends_at, 0.13, 20.0, False)
        if in_time and stopping.may_run(ends_at - whole_at, expected, False):
            begun += 1
            cut += took_s > ends_at - whole_at
        times.end(times.begin('pay', 0.0), True, took_s)
    assert begun > 5_000
    assert cut <= begun / stopping.KNOWN_RUNS
