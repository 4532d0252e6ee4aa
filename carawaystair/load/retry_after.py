"""When a rejected caller should send its request again.

Many callers may be rejected in the same second.  If all were given the same
time, they would return together and meet the same full upstreams.  The time is
therefore the time to drain the backlog, multiplied by a random factor from 1
to 2.

Where callers are known as customers, they are spread over the time in which
the slots that come free serve as many as were rejected lately.  A node takes
what it answers as its part of these slots, since callers come to all nodes
alike.
"""

import math
import random

# Minimum in seconds: about a round trip and one short request.
MIN_S = 0.2
# Maximum before the random factor, in seconds: the backlog may be unknown.
MAX_S = 5.0


# Time constant of rejections and answers, in seconds: those that were told to
# return later are expected still.
WINDOW_S = 10.0


class Returns:
    """Rejections and answers of one service at a node lately."""

    __slots__ = ('answered', 'at', 'rejected')

    def __init__(self) -> None:
        self.rejected = 0.0
        self.answered = 0.0
        self.at = 0.0

    def record_rejected(self, now: float) -> None:
        """Count a request that was rejected."""
        self._advance(now)
        self.rejected += 1.0

    def record_answered(self, now: float) -> None:
        """Count a request that was served."""
        self._advance(now)
        self.answered += 1.0

    def spread_s(self, now: float) -> float:
        """Return the seconds in which the rejected could have been served."""
        self._advance(now)
        rate = max(self.answered, 1.0) / WINDOW_S
        return min(self.rejected / rate, WINDOW_S)

    def _advance(self, now: float) -> None:
        keep = math.exp((self.at - now) / WINDOW_S)
        self.rejected *= keep
        self.answered *= keep
        self.at = now


def retry_after_s(
    backlog_s: float, rng: random.Random, spread_s: float = 0.0
) -> float:
    """Return after how many seconds a rejected caller should return.

    :param backlog_s: seconds until the least loaded upstream has a free slot.
    :param rng: source of randomness.
    :param spread_s: seconds over which callers should be spread at least.
    """
    base = min(max(backlog_s, MIN_S), MAX_S)
    return base + rng.uniform(0.0, max(base, spread_s))
