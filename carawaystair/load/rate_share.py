"""A node's share of the request rate that an upstream asks for.

Where nodes send to upstreams directly, the rate binds all of them together,
and none sees what the others send.  So each has an equal share: it may begin
one request in each interval, within a short window.  What it does not use is
lost; if nodes saved it up, they would begin more together than the upstream
takes, since each may save one.  The windows of the nodes fall at random.
"""

import math
import random

from carawaystair.load import stated_limit

# Length of a window, seconds.
WINDOW_S = 0.5
# How long the highest number of nodes counts, seconds: a node that is cut off
# from half of them must not take their shares.
NODES_RETENTION_S = 600.0


class NodeCount:
    """The highest number of nodes that was seen lately."""

    def __init__(self) -> None:
        self.most = 1
        self.seen_at = -math.inf

    def observe(self, count: int, now: float) -> int:
        """Record the present number; return the one that counts."""
        lapsed = now - self.seen_at > NODES_RETENTION_S
        if count >= self.most or lapsed:
            self.most, self.seen_at = max(count, 1), now
        return self.most


class RateShare(stated_limit.StatedLimit):
    """The share of one node in the rate of one upstream.

    :param rng: places its windows.
    """

    __slots__ = ('opens_at', 'rng')

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        # Begin of the present or next window, monotonic time; None until the
        # first one is placed.
        self.opens_at: float | None = None

    def change(self, per_s: float, now: float) -> None:
        """Put another limit in force; the windows of a new one are placed."""
        if not self.limited:
            self.opens_at = None
        super().change(per_s, now)

    def ready(self, nodes: int, now: float) -> bool:
        """Return whether a request may begin.

        :param nodes: number of nodes that share the rate.
        """
        return self.wait_s(nodes, now) <= 0.0

    def take(self, nodes: int, now: float) -> None:
        """Count a request that begins."""
        if self.limited:
            wait_s = self.wait_s(nodes, now)
            self.opens_at = now + wait_s + nodes / self.per_s

    def wait_s(self, nodes: int, now: float) -> float:
        """Return seconds until a request may begin."""
        if not self.limited:
            return 0.0
        interval_s = nodes / self.per_s
        if self.opens_at is None:
            self.opens_at = now + self.rng.random() * interval_s
        missed_s = now - self.opens_at - min(WINDOW_S, interval_s)
        if missed_s > 0.0:
            self.opens_at += math.ceil(missed_s / interval_s) * interval_s
        return max(self.opens_at - now, 0.0)
