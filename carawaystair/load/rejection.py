"""Rejection of requests that can't be answered in time.

When more requests arrive than the upstreams of a service can serve, a request
that is held until its deadline and then fails has kept others waiting for
nothing, and its caller could have gone elsewhere.  So a request is rejected
as soon as the work ahead of it makes an answer before its deadline unlikely.
"""

import typing

# Factor on the expected time before it is compared with a deadline.  Service
# times vary by half of their mean, and a request admitted with even odds is
# often cut off at its deadline after using a slot.
MARGIN = 1.2
# Requests per slot that may wait although they will miss their goal: as many
# as an upstream serves in two service times.  With a limit of one, requests
# rejected while most of a service was gray were sent to upstreams that failed
# them; with four, more additional requests are held in vain than are served.
LATE_PER_SLOT = 2
# Limit on the requests that wait at one upstream, since callers may set long
# deadlines and memory is bounded.
MAX_WAITING = 256

# Why a request is refused before it was run.
BUSY = 'busy'  # no free slot, and the request may not wait here
LIMITED = 'limited'  # the same for the rate that the upstream asks for
HOPELESS = 'hopeless'  # it would be answered after its deadline
FULL = 'full'  # too many requests wait
# Others came that are more urgent, or whose customers have had less.
DISPLACED = 'displaced'


def would_miss(
    now: float, wait_s: float, service_s: float, deadline: float
) -> bool:
    """Return whether an answer before the deadline is unlikely.

    :param now: monotonic time in seconds.
    :param wait_s: expected seconds until the request gets a slot.
    :param service_s: expected service time in seconds.
    :param deadline: monotonic time by which the answer is due, in seconds.
    """
    return now + MARGIN * (wait_s + service_s) > deadline


def latest_start(service_s: float, deadline: float) -> float:
    """Return the latest start that allows an answer by the deadline.

    A later run would probably be cut off, so waiting longer only keeps the
    caller from trying elsewhere.
    """
    return deadline - service_s


class Verdict(typing.NamedTuple):
    """The decision on a request for a slot.

    :param starts: whether it may run now.
    :param reason: why it is refused; empty when it runs or waits.
    :param wait_s: expected seconds until it would get a slot.
    """

    starts: bool
    reason: str = ''
    wait_s: float = 0.0

    @property
    def waits(self) -> bool:
        """Return whether the request waits for a slot."""
        return not self.starts and not self.reason
