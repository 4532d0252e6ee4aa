"""When a request that takes long is sent to a second upstream as well.

A second run costs a slot and a part of the retry budget, and most late answers
are only a little late, so it begins after a multiple of the typical service
time.  Where the response-time goal leaves room for two runs but not for that
multiple, it begins in time to meet the goal: an answer after the goal is worth
little, however soon after it comes.
"""

# Multiple of the typical service time after which a run counts as overdue.
OVERDUE_FACTOR = 2.0
# The least multiple.  Service times vary by half of their mean; sooner, most
# second runs would be of requests that need none.
MIN_FACTOR = 1.4
# Multiple of the typical service time that the second run is given.
SECOND_RUN_FACTOR = 1.2
# Minimum delay, in seconds: short requests vary by more than their mean.
MIN_DELAY_S = 0.25


def delay_s(typical_s: float, goal_s: float) -> float:
    """Return after how many seconds a second run begins.

    :param typical_s: typical service time of the route, in seconds.
    :param goal_s: seconds until the goal from the start of the first run.
    """
    overdue_s = OVERDUE_FACTOR * typical_s
    in_time_s = goal_s - SECOND_RUN_FACTOR * typical_s
    if in_time_s < MIN_FACTOR * typical_s:
        # The goal leaves no room for two runs.
        return max(overdue_s, MIN_DELAY_S)
    return max(min(overdue_s, in_time_s), MIN_DELAY_S)
