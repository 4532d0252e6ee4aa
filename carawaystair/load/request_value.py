"""What it is worth to send a request to an upstream.

The load that this answers: some upstreams are free and likely to fail, others
are sound and have queues.  Neither alone decides: while there is time, work
that may run once waits some milliseconds for a sound upstream rather than
meet a gray one; when the queues are longer than its goal, it is better tried.
So every choice, at a caller's node and at the gateway, is by one figure: the
chance of an answer, times what an answer is worth at the time at which it
should come.
"""

import typing

# An answer after its goal is worth this part of one in time.
LATE_VALUE = 0.3
# What an answer loses on the way to its goal, as a part of its worth: of two
# that are both in time the earlier one is better.
EARLINESS_SHARE = 0.15
# Service times vary by half of their mean: an answer that should come before
# the first of these parts of its time is in time, one after the second late.
SURELY_IN_TIME = 0.7
HARDLY_IN_TIME = 1.3
# A request that failed is worth this part of what it would be worth at the
# best upstream now: the time has passed, and that one may have turned gray.
RETRY_VALUE_SHARE = 0.9


class Need(typing.NamedTuple):
    """What a request needs now.

    :param goal_s: time until which its answer is worth most, seconds.
    :param left_s: time until its answer is owed, seconds.
    :param last: whether it can't be sent once more if it fails.
    :param again: what it is worth if it fails and is sent once more, 0 to 1.
    """

    goal_s: float
    remaining_s: float
    final: bool
    retry_value: float = 0.0


def answer_value(answer_s: float, need: Need) -> float:
    """Return what an answer in so many seconds is worth, 0 to 1."""
    if answer_s >= need.remaining_s:
        return 0.0
    soon = 1.0 - EARLINESS_SHARE
    surely_s, hardly_s = (
        SURELY_IN_TIME * need.goal_s,
        HARDLY_IN_TIME * need.goal_s,
    )
    if answer_s <= surely_s:
        return 1.0 - EARLINESS_SHARE * answer_s / surely_s
    if answer_s <= hardly_s:
        passed = (answer_s - surely_s) / (hardly_s - surely_s)
        return soon + passed * (LATE_VALUE - soon)
    # Later than late: what may still go wrong grows until the deadline.
    late_s = max(hardly_s, 0.0)
    return (
        LATE_VALUE
        * (need.remaining_s - answer_s)
        / (need.remaining_s - late_s)
    )


def expected_value(failing: float, answer_s: float, need: Need) -> float:
    """Return what it is worth to send a request to an upstream, 0 to 1.

    :param failing: how likely it fails there.
    :param answer_s: seconds until an answer should come, the wait included.
    """
    again = 0.0 if need.final else need.retry_value
    return (1.0 - failing) * answer_value(answer_s, need) + failing * again
