"""The limit that an upstream states in its answers, and when it ends.

Answers overtake each other.  The limit in force is that of the statement whose
request began last.  Only an answer without a statement ends it, and only if
its request began after the last statement had arrived: a request that began
before tells nothing about the upstream as it is now.
"""

import math

# Lowest limit, requests a second.  Only answers show that a limit has ended,
# so an upstream that asks for none gets one now and then.
MIN_PER_S = 0.1


class StatedLimit:
    """The limit of one upstream.

    :ivar per_s: the limit in force, requests a second; infinite while the
        upstream states none.
    """

    __slots__ = ('began_at', 'per_s', 'stated_at')

    def __init__(self) -> None:
        self.per_s = math.inf
        # Arrival of the last statement, and the begin of the request whose
        # answer stated the limit in force, monotonic times.
        self.stated_at = -math.inf
        self.began_at = -math.inf

    @property
    def limited(self) -> bool:
        """Return whether a limit is in force."""
        return self.per_s < math.inf

    def state(self, per_s: float, began: float, now: float) -> bool:
        """Apply a statement; return whether the limit in force changed.

        :param per_s: requests a second.
        :param began: monotonic time at which the request began whose answer
            states it.
        :param now: monotonic time at which the answer arrived.
        """
        per_s = max(per_s, MIN_PER_S)
        if self.limited and began < self.began_at:
            per_s = min(per_s, self.per_s)
        else:
            self.began_at = began
        self.stated_at = now
        if per_s == self.per_s:
            return False
        self.change(per_s, now)
        return True

    def change(self, per_s: float, now: float) -> None:
        """Put another limit in force."""
        self.per_s = per_s

    def end(self, began: float) -> bool:
        """Apply an answer without a statement; return whether that ended it.

        :param began: monotonic time at which its request began.
        """
        if not self.limited or began < self.stated_at:
            return False
        self.per_s = math.inf
        return True
