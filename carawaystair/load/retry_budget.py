"""Limit on the retries that reach the upstreams of a service.

When all upstreams of a service fail or shed and every request is retried, the
load doubles and keeps them failing.  The limit holds for the whole fleet:
retries stay within a ratio of the first sends plus a slack.  It needs no
communication.  Each node may use the ratio of the first sends of its own
callers, where retries begin; each gateway has an equal part of the slack, for
retries whose node has nothing left.  The sum keeps the limit whatever the
processes know of each other, and no part is allotted where it can't be used:
all retries of a service may go to the few gateways with healthy upstreams.

In a large fleet each part is a few retries, or a fraction of one.  Fractions
are rounded up or down pseudo-randomly, so that the parts add up to the whole.

A gateway that has just started knows neither what its previous process used
nor how many gateways share the slack.  So the parts are small enough that
their use before and after a restart stays within the slack, even if all
gateways restart at once, and what a gateway may use right after its start does
not depend on how many others it knows.  For nodes, see ``earned_retries``.
"""

import hashlib
import math

from carawaystair.load import earned_retries
from carawaystair.load import recent_counts

# Shares of the limit that are allotted: of the ratio of first sends, to the
# nodes that count them, and of the slack, to the gateways of a service.
USED_SHARE = 0.95
USED_SLACK = 0.57
ROUNDING_BYTES = 4
# Share of its part that a gateway may use in the first window after its start.
# At worst USED_SLACK * (1 + RESTART_SHARE) of the slack is used around a
# restart of all gateways; the rest is for parts that are rounded up.
RESTART_SHARE = 0.6
# Number of gateways a starting gateway assumes to share the slack at first,
# since it may not know any of them yet.
ASSUMED_NODES = 12


class Budget:
    """The retries of one service at one node or gateway.

    :param ratio: retries per first send.
    :param slack: further retries of the whole fleet in one window.
    :param window_s: length of the window in seconds.
    :param rounding: added before a fraction is cut off, 0 to 1.
    :param began: monotonic time at which this process began to count.
    """

    __slots__ = (
        'began',
        'earned',
        'refused',
        'retries',
        'rounding',
        'slack',
        'total_first_sends',
        'total_retries',
        'window_s',
    )

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        rounding: float = 0.0,
        began: float = -math.inf,
    ) -> None:
        # What first sends have earned; None for a part of the slack.
        self.earned: earned_retries.EarnedRetries | None = None
        if ratio:
            self.earned = earned_retries.EarnedRetries(
                USED_SHARE * ratio, window_s, rounding, began
            )
        self.slack = slack
        self.window_s = window_s
        self.rounding = rounding
        self.began = began
        self.retries = recent_counts.RecentCounts()
        # Counters for metrics.
        self.total_first_sends = 0
        self.total_retries = 0
        self.refused = 0

    def record_first_send(self, now: float) -> None:
        """Count the first send of a request."""
        self.total_first_sends += 1
        if self.earned is not None:
            self.earned.record_first_send(now)

    def allows_retry(self, now: float, nodes: int) -> bool:
        """Return whether one more retry is within the budget.

        :param now: monotonic time in seconds.
        :param nodes: number of gateways that share the slack.
        """
        # An interval of retries counts until all of it is out of the window.
        self.retries.drop_before(now - self.window_s - recent_counts.SPAN_S)
        wanted = self.retries.total + 1
        if self.earned is None:
            return wanted <= self._slack_part(now, nodes)
        return (
            wanted <= self.earned.spendable(now)
            and self.earned.may_spend_now()
        )

    def _slack_part(self, now: float, nodes: int) -> float:
        """Return the retries in a window that come from the slack."""
        used = USED_SLACK * self.slack
        part = used / max(nodes, 1)
        age = (now - self.began) / self.window_s
        if age >= 1.0:
            return part + self.rounding
        # Rounded together with what the previous process may have used.
        spent = math.floor(part + self.rounding)
        most = math.floor((1 + RESTART_SHARE) * part + self.rounding) - spent
        return min(most, used / ASSUMED_NODES + age * part + self.rounding)

    def take_retry(self, now: float, nodes: int) -> bool:
        """Take one retry; return whether the budget allowed it."""
        if not self.allows_retry(now, nodes):
            self.refused += 1
            return False
        self.total_retries += 1
        self.retries.add(now)
        if self.earned is not None:
            self.earned.spend()
        return True

    def refund(self, taken_at: float) -> None:
        """Return a retry that was taken and reached no upstream.

        :param taken_at: monotonic time at which it was taken, in seconds.
            Only a retry of the same interval is returned, so later ones stay
            counted for the whole window.
        """
        if not self.retries.remove(taken_at):
            return
        self.total_retries -= 1
        if self.earned is not None:
            self.earned.refund(taken_at)


class Budgets:
    """The retry budgets of all services at one node or gateway.

    :param ratio: retries per first send.
    :param slack: further retries of the whole fleet in one window.
    :param window_s: length of the window in seconds.
    :param name: identifies this part of the limit; seeds its rounding.
    :param began: monotonic time at which this process began to count.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        name: str,
        began: float = -math.inf,
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.name = name
        self.began = began
        self.budgets: dict[str, Budget] = {}

    def for_service(self, service: str) -> Budget:
        """Return the budget of a service, creating it on first use."""
        found = self.budgets.get(service)
        if found is None:
            found = self.budgets[service] = Budget(
                self.ratio,
                self.slack,
                self.window_s,
                rounding('%s %s' % (self.name, service)),
                self.began,
            )
        return found


def rounding(name: str) -> float:
    """Return the rounding of a part, 0 to 1; it is the same after restarts."""
    digest = hashlib.blake2b(name.encode(), digest_size=ROUNDING_BYTES)
    return int.from_bytes(digest.digest(), 'big') / 256**ROUNDING_BYTES
