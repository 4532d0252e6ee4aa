"""Tests of the delay of second runs, by the load that it answers."""

import random

import pytest

from carawaystair.load import hedge_delay

RUNS = 4000


@pytest.mark.parametrize(
    'typical_s,goal_s,delay_s',
    [
        (0.64, 2.0, 1.232),  # in time for the goal
        (1.1, 3.1, 1.78),
        (0.2, 0.9, 0.4),  # twice the service time leaves time enough
        (0.05, 0.9, 0.25),
        (1.0, 2.0, 2.0),  # no room for two runs
        (1.0, -1.0, 2.0),
        (1.0, 1e9, 2.0),
    ],
)
def test_second_run_begins_in_time_for_the_goal(typical_s, goal_s, delay_s):
    found = hedge_delay.delay_s(typical_s, goal_s)
    assert found == pytest.approx(delay_s, abs=0.001)


def test_hanging_runs_are_answered_in_time_and_few_sound_ones_run_twice():
    """Guards against second runs that come too late for the goal.

    One run in ten hangs; service times vary by three tenths of their mean.
    """
    rng = random.Random(8)
    typical_s, goal_s = 1.1, 3.1
    late, needless = {True: 0, False: 0}, {True: 0, False: 0}
    for _run in range(RUNS):
        hangs = rng.random() < 0.1
        first_s = 1e9 if hangs else rng.lognormvariate(0.0, 0.3) * typical_s
        second_s = rng.lognormvariate(0.0, 0.3) * typical_s
        for aimed in (True, False):
            delay_s = hedge_delay.delay_s(typical_s, goal_s if aimed else 1e9)
            late[aimed] += min(first_s, delay_s + second_s) > goal_s
            needless[aimed] += not hangs and first_s > delay_s
    assert late[True] < 0.6 * late[False]
    assert needless[True] < 0.05 * RUNS
