"""When a rejected caller should come back.

The load that this answers: many callers are rejected in the same second.  If
all were told the same time they would return together and meet the same full
upstreams.  The time is therefore what the backlog needs, spread by chance
over as long again.
"""

import random

# No caller is sent away for less, seconds: a round trip and one short
# request take about as long.
MIN_S = 0.2
# Nor for longer where the backlog is not known.
MAX_S = 5.0


def retry_after_s(backlog_s: float, rng: random.Random) -> float:
    """Return after how many seconds a rejected caller should return.

    :param backlog_s: time until the least loaded upstream has a free slot.
    """
    base = min(max(backlog_s, MIN_S), MAX_S)
    return base * rng.uniform(1.0, 2.0)
