"""Which request can't be served any more, and is told so at once.

The load that this answers: arrivals exceed what the upstreams of a service
finish.  Requests that are held until their deadline and then fail have made
others wait for nothing, and their callers could have gone elsewhere.  A
request is therefore rejected as soon as the work ahead of it makes an answer
before its deadline unlikely.
"""

import typing

# The expected time is multiplied by this before it is held against a
# deadline.  Service times vary by half of their mean; a request that is
# admitted on a coin's toss is often cut at its deadline, after it has used a
# slot.
MARGIN = 1.2
# Requests that will be late and may wait all the same, as a multiple of the
# slots: what an upstream works off in two service times.  With room for one,
# what found none while most of a service was gray was tried where it fails;
# with room for four, more is held and not served after all than is gained.
LATE_PER_SLOT = 2
# Requests that may wait at one upstream, whatever their deadlines: memory is
# bounded although callers may ask for long deadlines.
MAX_WAITING = 256

# Why a request is refused before it was run.
BUSY = 'busy'  # no free slot, and the request may not wait here
HOPELESS = 'hopeless'  # it would be answered after its deadline
FULL = 'full'  # too many wait already


def would_miss(
    now: float, wait_s: float, service_s: float, deadline: float
) -> bool:
    """Tell whether an answer before the deadline is unlikely.

    :param wait_s: expected seconds until it has a slot.
    :param service_s: expected seconds of work.
    :param deadline: monotonic time by which the answer is owed.
    """
    return now + MARGIN * (wait_s + service_s) > deadline


def latest_start(service_s: float, deadline: float) -> float:
    """Return until when a start still promises an answer in time.

    Work that begins later is likely to be cut, so that waiting any longer
    only keeps the caller from trying elsewhere.
    """
    return deadline - service_s


class Verdict(typing.NamedTuple):
    """What becomes of a request that asks for a slot.

    :param starts: whether it may run now.
    :param reason: why it is refused; empty when it runs or waits.
    :param wait_s: seconds until it would have a slot, as far as is known.
    """

    starts: bool
    reason: str = ''
    wait_s: float = 0.0

    @property
    def waits(self) -> bool:
        """Tell whether the request waits for a slot."""
        return not self.starts and not self.reason
