"""Which requests a gateway still runs as a process stops.

Only this gateway reaches the upstream beside it.  Were it closed as soon as
its process is asked to stop, the upstream would stand idle for as long as the
process answers its callers, and, while one host after the other stops, a part
of each service with it.

A run that can't be repeated and outlives its gateway has an unknown outcome,
so it begins only where its own deadline is over by then, or where many runs
of its route are known and all have taken less.  A process that has just
started knows nothing of these, or only of the short ones, which end first.
Where a run takes longer still, its upstream ends it: the deadline that it is
given is no later than the end of the processes that pass its answer on.

The process that sends a request may stop as well.  Its callers get no answer
later than that, so a request that waits must begin in time or be refused.  A
request whose last byte comes when its node accepts no more begins only where
its run ends before that node does.
"""

import math
import typing

from carawaystair import clock
from carawaystair.load import run_times

MS = 1000
# Expected durations that must be left for a request that can run again
# elsewhere if the stop cuts it.
REPEATABLE_DURATIONS = 2.0
# The same for one that can't: it must end before the stop in any case.
SINGLE_DURATIONS = 8.0
# The same where the sender of the request ends: a single run may go on, but
# nobody is told how it ends.
SENDER_SINGLE_DURATIONS = 4.0
# Runs from which the longest one is a bound: the next exceeds it in one case
# of a hundred at most.
KNOWN_RUNS = 100
# Time in which an answer that an upstream gives at its deadline gets back,
# also between busy hosts, seconds.
RETURN_S = 0.2


class Expectation(typing.NamedTuple):
    """What a gateway expects of a run.

    :param expected_s: its expected duration, seconds.
    :param long_s: duration that few of its runs exceed, seconds.
    :param own_s: time until its own deadline, seconds.
    :param seen: runs of its route that have ended.
    :param oldest_s: how long the oldest run of its route here has taken.
    """

    expected_s: float
    long_s: float
    own_s: float = math.inf
    seen: run_times.Seen = run_times.NONE
    oldest_s: float = 0.0


def may_run(
    remaining_s: float, expectation: Expectation, repeatable: bool
) -> bool:
    """Return whether a request may begin to run.

    :param remaining_s: time until the process ends, seconds.
    :param expectation: of its run.
    :param repeatable: whether it can run again if it is cut.
    """
    expected_s, long_s, own_s, seen, oldest_s = expectation
    if repeatable:
        return max(REPEATABLE_DURATIONS * expected_s, long_s) <= remaining_s
    if SINGLE_DURATIONS * expected_s > remaining_s:
        return False
    known = seen.runs >= KNOWN_RUNS
    longest_s = max(seen.longest_s, oldest_s) if known else math.inf
    return min(longest_s, own_s) <= remaining_s


def may_offer(remaining_s: float, expected_s: float) -> bool:
    """Return whether a request may be offered to a gateway.

    :param remaining_s: time until the process that offers it ends, seconds.
    :param expected_s: expected duration of its run, seconds.
    """
    return REPEATABLE_DURATIONS * expected_s <= remaining_s


def latest_answer(
    sender_ends_at: float, expected_s: float, repeatable: bool
) -> float:
    """Return by when an answer is due that reaches the caller in time.

    A run that begins one expected duration before that has the durations
    which its kind needs until its sender ends.

    :param sender_ends_at: monotonic time at which the sender ends; infinite
        if it does not stop.
    :param expected_s: expected duration of the run, seconds.
    :param repeatable: whether it can run again if it is cut.
    """
    durations = REPEATABLE_DURATIONS if repeatable else SENDER_SINGLE_DURATIONS
    return sender_ends_at - (durations - 1.0) * expected_s


def whole_by(
    ends_at: float, expected_s: float, deadline: float, begun: bool
) -> float:
    """Return by when a body must be whole, as the node that reads it stops.

    :param ends_at: monotonic time at which the node ends.
    :param expected_s: expected duration of the run, seconds.
    :param deadline: monotonic time of the request's deadline.
    :param begun: whether an upstream may have a part of the body.  Nobody can
        tell then that it did not run, so that it gets more time.
    :return: monotonic time; infinite where the deadline comes first.
    """
    if deadline <= ends_at:
        return math.inf
    durations = SENDER_SINGLE_DURATIONS if begun else SINGLE_DURATIONS
    return ends_at - durations * expected_s


def work_until(ends_at: float) -> float:
    """Return until when an upstream may work on a request.

    An upstream stops work at its deadline and says so.  That is a known
    outcome, where a run that outlives a process on its way has none.

    :param ends_at: monotonic time at which the first process on the way of
        its answer ends; infinite if none stops.
    """
    return ends_at - RETURN_S


def left_ms(ends_at: float) -> int:
    """Return the time until a process ends, ms; -1 if it does not stop.

    :param ends_at: monotonic time of its end; infinite if it does not stop.
    """
    if math.isinf(ends_at):
        return -1
    return max(int((ends_at - clock.now()) * MS), 0)
