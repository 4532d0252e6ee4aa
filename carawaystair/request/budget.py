"""Retry budgets, which limit the retries and hedges of each service.

A budget is a token bucket that first attempts fill.  When all upstreams of a
service fail, every request would otherwise be retried, and the additional
load would keep the upstreams failing (a retry storm).  Since only first
attempts add tokens, retries can't outnumber a fixed share of them.
"""

# Tokens of a full bucket, which it also starts with.  A service with little
# traffic can still retry, and one that has not retried for a long time can't
# burst.
CAPACITY = 10.0
# Tokens that hedges must leave: a failed request needs its retry more than a
# slow one needs its hedge.
RETRY_RESERVE = 3.0


class Budget:
    """The retry budget of one service on this node."""

    __slots__ = ('first_attempts', 'refused', 'spent', 'tokens')

    def __init__(self) -> None:
        self.tokens = CAPACITY
        # Counters for the metrics.
        self.first_attempts = 0
        self.spent = 0
        self.refused = 0

    def earn(self, percent: int) -> None:
        """Count a first attempt.

        :param percent: further attempts allowed for a hundred first ones.
        """
        self.first_attempts += 1
        self.tokens = min(self.tokens + percent / 100, CAPACITY)

    def spend(self, kept: float = 0.0) -> bool:
        """Take a token for a further attempt.

        :param kept: tokens that must remain.
        :return: whether a token was available.
        """
        if self.tokens < 1.0 + kept:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True
