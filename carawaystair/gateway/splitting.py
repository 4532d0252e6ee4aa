"""Traffic splitting among the services of a route.

Smooth weighted round robin: in any sequence of requests each service gets its
share to within one request.  Each node starts at a random point of the cycle,
so that many nodes with few requests each keep the shares overall, too.
"""

import random

from carawaystair import manifest

# Routes whose state is kept; the oldest one starts a new cycle after that.
MAX_ROUTES = 4096


class _RoundRobin:
    """Round-robin state of one route.

    :param shares: its services with their weights.
    :param rng: chooses the start of the cycle.
    """

    def __init__(
        self, shares: tuple[manifest.Share, ...], rng: random.Random
    ) -> None:
        self.shares = shares
        self.total = sum(share.weight for share in shares)
        self.credit = [rng.uniform(0, share.weight) for share in shares]

    def next(self) -> str:
        """Return the service of the next request."""
        for index, share in enumerate(self.shares):
            self.credit[index] += share.weight
        # A service with weight 0 gets nothing, even if its credit is highest.
        usable = [i for i, share in enumerate(self.shares) if share.weight]
        chosen = max(usable, key=lambda index: self.credit[index])
        self.credit[chosen] -= self.total
        return self.shares[chosen].service


class Splitter:
    """Chooses among the services of routes that have several.

    :param rng: the source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.rounds: dict[str, _RoundRobin] = {}

    def service(self, key: str, route: manifest.Route) -> str:
        """Return the service of the next request of a route.

        :param key: key of the route.
        """
        if not route.split:
            return route.service
        found = self.rounds.get(key)
        if found is None or found.shares != route.split:
            found = self.rounds[key] = _RoundRobin(route.split, self.rng)
            if len(self.rounds) > MAX_ROUTES:
                del self.rounds[next(iter(self.rounds))]
        return found.next()
