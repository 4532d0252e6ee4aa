"""What a node makes of upstreams' health, own and told."""

import random

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.outlier import effective_state
from carawaystair.outlier import local_ejections
from carawaystair.outlier import local_weights
from carawaystair.outlier import messages
from carawaystair.outlier import node_leases
from carawaystair.outlier import upstream_index

NOTHING: frozenset[str] = frozenset()
# A request path that did not ask for a trial for so long offers none.
COPIES_S = 30.0


class Health:
    """Keeps ``interfaces.Health``.

    :param me: this process.
    :param known: the upstreams.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        me: interfaces.Member,
        known: upstream_index.Known,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.known = known
        self.rng = rng
        self.weights = local_weights.Weights()
        self.holdings: dict[str, node_leases.Holding] = {}
        # Ejections of this node alone, for detectors that are not pooled.
        self.owns: dict[str, local_ejections.Own] = {}
        self.views: dict[str, effective_state.View] = {}
        self.factors: dict[str, effective_state.Factor] = {}
        self.asked: dict[str, float] = {}
        known.callbacks.append(self.renew)

    def renew(self, upstream: interfaces.Upstream) -> None:
        """Hold nothing against an upstream that has started again.

        Its coordinator does so as well, as soon as it knows of that.
        """
        name, service = upstream.id, upstream.service
        self.weights.forget(name)
        holding = self.holdings.get(service)
        if holding is not None:
            holding.leases.pop(name, None)
        own = self.owns.get(service)
        if own is not None:
            own.renew(name)
        if service in self.views:
            self.refresh(service)

    def ejected(self, service: str) -> frozenset[str]:
        """Return ids that get no new work, after this node's own clamp."""
        if service not in self.views:
            return NOTHING
        return self._view(service).ejected

    def weight(self, upstream: str, customer: str = '') -> float:
        """Return a factor from 0.0 to 1.0 on the upstream's share."""
        now = clock.now()
        weight = self.weights.weight(upstream, now)
        factor = self.factors.get(upstream)
        if factor is not None:
            weight *= factor.at(customer, now, self.rng)
        ramp = self.known.ramp(upstream)
        if ramp < 1.0 and self.rng.random() >= ramp:
            weight *= effective_state.LEAST_WEIGHT
        return weight

    def trial(self, service: str) -> str | None:
        """Return an upstream that wants a copy of the next request."""
        self.asked[service] = clock.now()
        if service not in self.views:
            return None
        return self._view(service).trial(self.rng)

    def copies(self, service: str, now: float) -> bool:
        """Tell whether the request path sends copies as trials."""
        return now - self.asked.get(service, -COPIES_S) < COPIES_S

    def accept(self, state: messages.State) -> bool:
        """Take the word of a coordinator.

        :return: whether it was heeded.
        """
        now = clock.now()
        holding = self.holdings.get(state.service)
        if holding is None:
            holding = self.holdings[state.service] = node_leases.Holding()
        heeded = holding.accept(state, now)
        if heeded:
            self.refresh(state.service)
        return heeded

    def lease(self, service: str, upstream: str) -> node_leases.Lease | None:
        """Return what is granted for an upstream, if anything."""
        holding = self.holdings.get(service)
        return None if holding is None else holding.leases.get(upstream)

    def summary(self, service: str) -> tuple[int, int]:
        """Return the epoch and the digest of what is held."""
        holding = self.holdings.get(service)
        if holding is None:
            return 0, 0
        return holding.order[0], holding.digest()

    def outstanding(self, service: str) -> messages.Held:
        """Return what is held, for a new coordinator."""
        holding = self.holdings.get(service) or node_leases.Holding()
        phases = holding.phases(clock.now())
        return messages.Held(service, holding.order[0], phases)

    def refresh(self, service: str) -> effective_state.View:
        """Work out the view of a service again."""
        now = clock.now()
        holding = self.holdings.get(service)
        if holding is not None:
            holding.expire(now)
        leases = {} if holding is None else holding.leases
        own = self.owns.get(service)
        mine = [] if own is None else own.ejected(now)
        view = effective_state.make(
            service, self.known, self.me.data_centre, leases, mine, now
        )
        old = self.views.get(service)
        if old is not None:
            for name in old.factors:
                self.factors.pop(name, None)
        self.factors.update(view.factors)
        self.views[service] = view
        if not leases and not mine:
            del self.views[service]
        return view

    def sweep(self, now: float) -> None:
        """Forget what is over."""
        self.weights.sweep(now)
        self.known.sweep(now)
        for own in self.owns.values():
            own.forget(now)
        for service in list(self.views):
            self.refresh(service)

    def _view(self, service: str) -> effective_state.View:
        view = self.views[service]
        fresh = view.version == self.known.version(service)
        if fresh and clock.now() < view.until:
            return view
        return self.refresh(service)
