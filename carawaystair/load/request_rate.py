"""The request rate that an upstream asks for, kept at its gateway.

An upstream in need states in its answers how many requests a second it takes
from the whole fleet.  Its gateway sends every request to it, so a token bucket
there keeps the rate for all nodes.  The rate is the stated one: an upstream
that asks for less already has more than it can serve.
"""

import math

from carawaystair.load import stated_limit

# Requests that may begin at once after an idle time, as seconds of the rate.
BURST_S = 0.25
# Time constant of the moving rate of offers, in seconds.
OFFERS_WINDOW_S = 4.0
# Longest time, beyond the wait, for which nodes are asked not to offer
# requests, in seconds: they don't see the end of a limit meanwhile.
MAX_PAUSE_S = 4.0
# Tolerance for rounding, in tokens.
ROUNDING = 1e-6


class RequestRate(stated_limit.StatedLimit):
    """The rate of all requests to one upstream."""

    __slots__ = ('filled_at', 'offered_at', 'offers_per_s', 'tokens')

    def __init__(self) -> None:
        super().__init__()
        self.tokens = 0.0
        self.filled_at = 0.0
        # Moving rate of offers, and when it was updated.
        self.offers_per_s = 0.0
        self.offered_at = 0.0

    def __str__(self) -> str:
        """Return the rate in force for details of a log line."""
        return ', limit %.3g/s' % self.per_s if self.limited else ''

    @property
    def milli(self) -> int:
        """Return the rate in force in thousandths, for reports; 0 if none."""
        return max(int(self.per_s * 1000), 1) if self.limited else 0

    def change(self, per_s: float, now: float) -> None:
        """Put another limit in force; a new one begins without room."""
        if self.limited:
            self._fill(now)
        else:
            self.tokens, self.filled_at = 0.0, now
        super().change(per_s, now)

    def ready(self, now: float) -> bool:
        """Return whether a request may begin."""
        if not self.limited:
            return True
        self._fill(now)
        return self.tokens >= 1.0 - ROUNDING

    def take(self, now: float) -> None:
        """Count a request that begins."""
        if self.limited:
            self._fill(now)
            self.tokens -= 1.0

    def refund(self) -> None:
        """Take back a request that was counted and not sent."""
        if self.limited:
            self.tokens += 1.0

    def wait_s(self, count: int, now: float) -> float:
        """Return seconds until so many more requests may have begun."""
        if not self.limited:
            return 0.0
        self._fill(now)
        return max(count - self.tokens, 0.0) / self.per_s

    def record_offer(self, now: float) -> None:
        """Record that a node offered a request."""
        decay = math.exp((self.offered_at - now) / OFFERS_WINDOW_S)
        self.offers_per_s = self.offers_per_s * decay + 1 / OFFERS_WINDOW_S
        self.offered_at = now

    def pause_s(self, now: float) -> float:
        """Return for how many seconds a node should offer no more requests.

        Each node sees free slots only, and many of them wait for the next
        request that the rate allows.  The pause grows with the square of what
        they offer beyond the rate, so that most offers are taken however many
        nodes there are.
        """
        if not self.limited:
            return 0.0
        pressure = max(self.offers_per_s / self.per_s, 1.0)
        further_s = min((pressure**2 - 1.0) / self.per_s, MAX_PAUSE_S)
        return self.wait_s(1, now) + further_s

    def concurrency(self, slots: int, service_s: float) -> float:
        """Return how many of an upstream's slots the rate can keep in use."""
        if not self.limited:
            return slots
        return min(slots, self.per_s * service_s)

    def _fill(self, now: float) -> None:
        added = (now - self.filled_at) * self.per_s
        most = max(BURST_S * self.per_s, 1.0)
        self.tokens = min(self.tokens + added, most)
        self.filled_at = now
