"""A balancer that goes round, as a baseline to measure against."""

import itertools
import random

from carawaystair import interfaces
from carawaystair import plugins
from carawaystair.request import target as targets


class RoundRobin:
    """Takes the candidates in turn, whatever is known of them.

    :param rng: unused.
    :param health: unused; ejected upstreams are no candidates.
    """

    def __init__(self, rng: random.Random, health: interfaces.Health) -> None:
        self.turns = itertools.count(rng.randrange(1 << 16))

    def choose(
        self, candidates: targets.Candidates, customer: str, now: float
    ) -> targets.Target:
        """Return the next one."""
        turn = next(self.turns) % len(candidates.targets)
        return candidates.targets[turn]


class RoundRobinPlugin(plugins.Plugin):
    """Brings the balancer ``roundrobin``."""

    name = 'balancer-roundrobin'

    def balancers(self) -> dict:
        """Return the factory by its name."""
        return {'roundrobin': RoundRobin}
