"""Which of several services gets the next request of a route.

Smooth weighted round robin: over any run of requests each service has its
share, to within one request.  Each node begins at a point of the round that
chance picks, so that many nodes with few requests each keep the shares, too.
"""

import random

from carawaystair import manifest

# Routes that are remembered; the oldest begins anew after that.
MOST = 4096


class _Round:
    """The state of one route.

    :param shares: its services with their weights.
    :param rng: picks where the round begins.
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
        # A service without weight gets nothing, whatever its credit.
        usable = [i for i, share in enumerate(self.shares) if share.weight]
        chosen = max(usable, key=lambda index: self.credit[index])
        self.credit[chosen] -= self.total
        return self.shares[chosen].service


class Splitter:
    """Chooses services for the routes that have several.

    :param rng: the source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.rounds: dict[str, _Round] = {}

    def service(self, key: str, route: manifest.Route) -> str:
        """Return the service of the next request of a route.

        :param key: names the route.
        """
        if not route.split:
            return route.service
        found = self.rounds.get(key)
        if found is None or found.shares != route.split:
            found = self.rounds[key] = _Round(route.split, self.rng)
            if len(self.rounds) > MOST:
                del self.rounds[next(iter(self.rounds))]
        return found.next()
