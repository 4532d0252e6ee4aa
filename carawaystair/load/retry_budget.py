"""How many repeats of requests may reach the upstreams of a service.

The load that this answers: all upstreams of a service fail or shed, and every
request is sent again; the load doubles and keeps them failing.  The bound
holds for the fleet: repeats stay within a share of the first sends and a
slack.  Nobody asks another one.  Each node has the share of the requests that
its own callers send, where repeats begin; each gateway has an equal part of
the slack, for those whose node has none left.  So the sum keeps the bound
whatever they know of each other, and no part lies where it is not needed:
repeats of a whole service go to the few gateways whose upstreams are sound.

In a large fleet each part is a few repeats, or a fraction of one.  Fractions
are rounded up or down at random, so that the parts add up to the whole.

A gateway that has just started knows neither what its former process spent
nor how many share the slack.  So a part is small enough that it and what is
spent once more in the first window after a start stay within the slack, also
where all gateways start at once; and what a gateway may spend in its first
moments does not rest on how many others it knows.
"""

import collections
import hashlib
import math

# The parts of the bound that are used: of the share of first sends, which a
# node sees as its callers send them, and of the slack, by the gateways of a
# service.
USED_SHARE = 0.95
USED_SLACK = 0.52
# Counts are kept by spans of this length, in seconds.
SPAN_S = 0.5
ROUNDING_BYTES = 4
# The share of its part that a gateway may use in the first window after its
# start: USED_SLACK * (1 + FIRST_SHARE) of it are spent at worst around a start
# of all.  What is left is for parts rounded up.
RESTART_SHARE = 0.75
# A gateway that starts reckons with so many others that share the slack, since
# it may know none of them yet.
ASSUMED_NODES = 12


class Budget:
    """The repeats of one service at one node.

    :param ratio: repeats as a share of first sends.
    :param slack: repeats beyond it in one window, of the whole fleet.
    :param window_s: length of the window.
    :param rounding: what is added before a fraction is cut off, 0 to 1.
    :param began: monotonic time at which this process began to count.
    """

    __slots__ = (
        'began',
        'first_sends',
        'ratio',
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
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.rounding = rounding
        self.began = began
        self.first_sends: collections.deque = collections.deque()
        self.retries: collections.deque = collections.deque()
        # For metrics.
        self.total_first_sends = 0
        self.total_retries = 0
        self.refused = 0

    def record_first_send(self, now: float) -> None:
        """Count the first send of a request."""
        self.total_first_sends += 1
        _add(self.first_sends, now)

    def allows_retry(self, now: float, nodes: int) -> bool:
        """Tell whether one more repeat stays within the bound.

        :param nodes: nodes that share the slack.
        """
        _drop_before(self.first_sends, now - self.window_s)
        # A span of repeats counts until all of it has passed.
        _drop_before(self.retries, now - self.window_s - SPAN_S)
        earned = USED_SHARE * self.ratio * _sum(self.first_sends)
        return _sum(self.retries) + 1 <= earned + self._slack_part(now, nodes)

    def _slack_part(self, now: float, nodes: int) -> float:
        """Return what this part of the slack allows in a window."""
        used = USED_SLACK * self.slack
        part = used / max(nodes, 1)
        age = (now - self.began) / self.window_s
        if age >= 1.0:
            return part + self.rounding
        # Rounded together with what the former process may have spent.
        spent = math.floor(part + self.rounding)
        most = math.floor((1 + RESTART_SHARE) * part + self.rounding) - spent
        return min(most, used / ASSUMED_NODES + age * part + self.rounding)

    def take_retry(self, now: float, nodes: int) -> bool:
        """Take one repeat from the budget; tell whether there was one."""
        if not self.allows_retry(now, nodes):
            self.refused += 1
            return False
        self.total_retries += 1
        _add(self.retries, now)
        return True

    def refund(self, taken_at: float) -> None:
        """Put back a repeat that was taken: it reached nobody.

        :param taken_at: when it was taken.  One that was taken since stays
            counted for the whole window.
        """
        span = _span(taken_at)
        found = [one for one in self.retries if one[0] == span and one[1]]
        if found:
            found[0][1] -= 1
            self.total_retries -= 1


class Budgets:
    """The repeats of all services at one node or gateway.

    :param ratio: repeats as a share of first sends.
    :param slack: repeats beyond it in one window, of the whole fleet.
    :param window_s: length of the window.
    :param name: names this part of the bound; the seed of its rounding.
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
        """Return the repeats of a service."""
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
    """Return the rounding of one part, 0 to 1, the same over restarts."""
    digest = hashlib.blake2b(name.encode(), digest_size=ROUNDING_BYTES)
    return int.from_bytes(digest.digest(), 'big') / 256**ROUNDING_BYTES


def _add(spans: collections.deque, now: float) -> None:
    span = _span(now)
    if spans and spans[-1][0] == span:
        spans[-1][1] += 1
    else:
        spans.append([span, 1])


def _span(now: float) -> int:
    return int(now / SPAN_S)


def _drop_before(spans: collections.deque, before: float) -> None:
    while spans and spans[0][0] * SPAN_S < before:
        spans.popleft()


def _sum(spans: collections.deque) -> int:
    return sum(count for _span, count in spans)
