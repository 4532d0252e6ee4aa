"""How many retries and hedges a service may have.

A token bucket filled by first attempts.  When all upstreams of a service
fail, every request would be tried again, and the doubled load would keep
them failing (a retry storm).  It shows as attempts outnumbering requests; a
bucket that only first attempts fill makes it impossible.
"""

# A bucket starts and ends with as many: a service that is seldom asked can
# still retry, and one that has not retried for long can't burst.
CAPACITY = 10.0
# Hedges leave as many tokens for retries, which a failed request needs more
# than a slow one needs its hedge.
RETRY_RESERVE = 3.0


class Budget:
    """The bucket of one service on this node."""

    __slots__ = ('firsts', 'refused', 'spent', 'tokens')

    def __init__(self) -> None:
        self.tokens = CAPACITY
        # Counters for the metrics.
        self.firsts = 0
        self.spent = 0
        self.refused = 0

    def earn(self, percent: int) -> None:
        """Count a first attempt.

        :param percent: extra attempts for a hundred first ones.
        """
        self.firsts += 1
        self.tokens = min(self.tokens + percent / 100, CAPACITY)

    def spend(self, kept: float = 0.0) -> bool:
        """Take a token for one more attempt.

        :param kept: tokens that must be left.
        :return: whether there was one.
        """
        if self.tokens < 1.0 + kept:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True
