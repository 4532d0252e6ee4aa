"""The expected value of sending a request to an upstream.

Some upstreams have free slots but are likely to fail, others are healthy but
have queues.  Neither decides alone.  While there is time, a request that may
run only once is better queued for some milliseconds at a healthy upstream
than sent to a gray one; when the queues are longer than its goal, it is better
sent to the gray one.  So every choice, at a node and at a gateway, compares
one number: the probability of an answer times the value of an answer at the
time it is expected.
"""

import typing

# Value of an answer after the goal, where one in time has up to 1.
LATE_VALUE = 0.3
# Value that an answer loses by the time of its goal: of two answers in time,
# the earlier one is worth more.
EARLINESS_SHARE = 0.15
# Service times vary by half of their mean, so an answer expected before
# SURELY_IN_TIME of the time to the goal counts as in time, and one expected
# after HARDLY_IN_TIME of it as late.
SURELY_IN_TIME = 0.7
HARDLY_IN_TIME = 1.3
# Value of a request after a failure, as a share of its value at the best
# upstream now: time has passed, and that upstream may have turned gray.
RETRY_VALUE_SHARE = 0.9


class Need(typing.NamedTuple):
    """What a request needs, relative to the present time.

    :param goal_s: seconds until the value of its answer drops.
    :param remaining_s: seconds until its answer is due.
    :param final: whether it can't be retried if it fails.
    :param retry_value: its value after a failure, 0 to 1.
    """

    goal_s: float
    remaining_s: float
    final: bool
    retry_value: float = 0.0


def answer_value(answer_s: float, need: Need) -> float:
    """Return the value of an answer, 0 to 1.

    :param answer_s: seconds until the answer.
    :param need: the needs of the request.
    """
    if answer_s >= need.remaining_s:
        return 0.0
    in_time_value = 1.0 - EARLINESS_SHARE
    surely_s, hardly_s = (
        SURELY_IN_TIME * need.goal_s,
        HARDLY_IN_TIME * need.goal_s,
    )
    if answer_s <= surely_s:
        return 1.0 - EARLINESS_SHARE * answer_s / surely_s
    if answer_s <= hardly_s:
        passed = (answer_s - surely_s) / (hardly_s - surely_s)
        return in_time_value + passed * (LATE_VALUE - in_time_value)
    # The later a late answer is expected, the more likely it misses the
    # deadline.
    late_s = max(hardly_s, 0.0)
    return (
        LATE_VALUE
        * (need.remaining_s - answer_s)
        / (need.remaining_s - late_s)
    )


def expected_value(
    failure_probability: float, answer_s: float, need: Need
) -> float:
    """Return the expected value of sending a request to an upstream, 0 to 1.

    :param failure_probability: that the request fails there.
    :param answer_s: expected seconds until an answer, including the wait.
    :param need: the needs of the request.
    """
    retry_value = 0.0 if need.final else need.retry_value
    return (1.0 - failure_probability) * answer_value(
        answer_s, need
    ) + failure_probability * retry_value
