"""Rate limits: token buckets, one for each team and kind of request."""

import math
import typing

from carawaystair import clock

# A bucket holds so many seconds' worth, so that a pipeline may come in
# bursts.
BURST_S = 10.0


class _Bucket(typing.NamedTuple):
    """What a caller had left.

    :param left: tokens left.
    :param at: monotonic time at which that was so.
    """

    left: float
    at: float


class Limiter:
    """Bounds how often each caller may ask.

    :param rate: requests a second that are allowed in the long run.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.size = max(1.0, rate * BURST_S)
        self.buckets: dict[str, _Bucket] = {}

    def take(self, name: str) -> float:
        """Take a token of ``name``'s bucket.

        :param name: a team, so that there are no more buckets than teams.
        :return: 0.0 when the request may go on, otherwise the seconds to
            wait.
        """
        now = clock.now()
        old = self.buckets.get(name, _Bucket(self.size, now))
        left = min(self.size, old.left + (now - old.at) * self.rate)
        if left < 1.0:
            self.buckets[name] = _Bucket(left, now)
            return (1.0 - left) / self.rate
        self.buckets[name] = _Bucket(left - 1.0, now)
        return 0.0


def retry_after(seconds: float) -> str:
    """Return the value of a ``Retry-After`` header."""
    return str(max(1, math.ceil(seconds)))
