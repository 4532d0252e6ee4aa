"""The balancer that services get unless they name another one."""

import random

from carawaystair import interfaces
from carawaystair import plugins
from carawaystair.request import selection
from carawaystair.request import target as targets

# Added to every latency, so that requests in flight count even where
# nothing is known of latencies.
BASE_S = 0.001
LEAST_WEIGHT = 0.001


class Peak:
    """Power of two choices on load and a peak-sensitive latency average.

    Two candidates are drawn by their shares, and the one where a request
    would probably wait less is taken (Mitzenmacher, 2001).  A late answer
    makes an upstream less likely at once, and so does a low soft weight.

    :param rng: draws the candidates.
    :param health: has the soft weights.
    """

    def __init__(self, rng: random.Random, health: interfaces.Health) -> None:
        self.rng = rng
        self.health = health

    def choose(
        self, candidates: targets.Candidates, customer: str, now: float
    ) -> targets.Target:
        """Return the better one of two."""
        if len(candidates.targets) == 1:
            return candidates.targets[0]
        first = selection.weighted_choice(candidates, self.rng)
        second = selection.weighted_choice(candidates, self.rng)
        if first is second:
            # Drawn twice: compare with a neighbour instead, so that a lone
            # favourite is still compared with something.
            others = candidates.targets
            second = others[others.index(first) - 1]
        here = self.load(first, customer, now)
        there = self.load(second, customer, now)
        return second if there < here else first

    def load(self, target: targets.Target, customer: str, now: float) -> float:
        """Return what a request would have to wait for, in seconds."""
        upstream = target.upstream
        weight = self.health.weight(upstream.id, customer)
        weight = max(weight, LEAST_WEIGHT)
        queue = (target.in_flight + 1) / max(upstream.slots, 1)
        return (target.latency(now) + BASE_S) * queue / weight


class PeakPlugin(plugins.Plugin):
    """Brings the balancer ``peak``."""

    name = 'balancer-peak'

    def balancers(self) -> dict:
        """Return the factory by its name."""
        return {'peak': Peak}
