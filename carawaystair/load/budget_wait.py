"""How long a request that was shed waits for the retry budget.

A send that an upstream sheds costs little, but counts in the retry budget like
any other.  While most upstreams of a service shed half of what arrives, the
budget is spent within seconds, and a request would be rejected although its
deadline is far.  The sends of the last window leave it one after the other,
so it is known when there will be room for how many; whoever can be served then
waits, each for a place of its own, and hosts do not retry together.
"""

import itertools
import math

from carawaystair.load import retry_budget

# Shortest wait in seconds: room that came by chance may be taken meanwhile.
MIN_WAIT_S = 0.1


def room_in_s(budget: retry_budget.Budget, ahead: int, now: float) -> float:
    """Return seconds until a node's budget has room for one more retry.

    First sends are taken to stay as frequent.

    :param budget: the budget; its part of the slack is left out.
    :param ahead: requests that wait for it and go first.
    :param now: monotonic time in seconds.
    :return: infinite if it earns no retry.
    """
    earned = budget.earned
    if earned is None:
        return math.inf
    spendable = math.floor(earned.in_window(now) + budget.rounding)
    if not spendable:
        return math.inf
    # Each window has room for so many; those ahead leave it in their order.
    windows, place = divmod(ahead, spendable)
    leaving = budget.retries.total + place + 1 - spendable
    left_s = _left_in_s(budget, leaving, now) if leaving > 0 else 0.0
    return MIN_WAIT_S + max(
        left_s + windows * budget.window_s,
        earned.room_in_s(ahead + 1, now),
    )


def _left_in_s(budget: retry_budget.Budget, count: int, now: float) -> float:
    """Return seconds until so many retries have left the window."""
    leave_at = itertools.chain.from_iterable(
        itertools.repeat(end + budget.window_s, retries)
        for end, retries in budget.retries.ends()
    )
    return next(itertools.islice(leave_at, count - 1, None)) - now


class Waits:
    """The requests of one node that wait for retry budgets."""

    def __init__(self) -> None:
        # Their priorities, by service.
        self.priorities: dict[str, list[int]] = {}

    def ahead(self, service: str, priority: int) -> int:
        """Return how many requests wait that are as urgent or more."""
        return sum(
            other <= priority for other in self.priorities.get(service, ())
        )

    def begin(self, service: str, priority: int) -> None:
        """Count a request that begins to wait."""
        self.priorities.setdefault(service, []).append(priority)

    def end(self, service: str, priority: int) -> None:
        """Count a request that waits no more."""
        waiting = self.priorities[service]
        waiting.remove(priority)
        if not waiting:
            del self.priorities[service]
