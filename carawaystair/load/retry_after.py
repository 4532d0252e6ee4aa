"""When a rejected caller should send its request again.

Many callers may be rejected in the same second.  If all were given the same
time, they would return together and meet the same full upstreams.  The time is
therefore the time to drain the backlog, multiplied by a random factor from 1
to 2.
"""

import random

# Minimum in seconds: about a round trip and one short request.
MIN_S = 0.2
# Maximum before the random factor, in seconds: the backlog may be unknown.
MAX_S = 5.0


def retry_after_s(backlog_s: float, rng: random.Random) -> float:
    """Return after how many seconds a rejected caller should return.

    :param backlog_s: seconds until the least loaded upstream has a free slot.
    :param rng: source of randomness.
    """
    base = min(max(backlog_s, MIN_S), MAX_S)
    return base * rng.uniform(1.0, 2.0)
