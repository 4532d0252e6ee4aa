"""A node's view of the health of upstreams: its own results and leases."""

import random

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.outlier import effective_state
from carawaystair.outlier import local_ejections
from carawaystair.outlier import local_weights
from carawaystair.outlier import messages
from carawaystair.outlier import node_leases
from carawaystair.outlier import upstream_index

NONE_EJECTED: frozenset[str] = frozenset()
# A request path that hasn't asked for a trial in this time offers no copies,
# seconds.
COPIES_S = 30.0


class Health:
    """Implements ``interfaces.Health``.

    :param me: this process.
    :param index: the upstreams.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        me: interfaces.Member,
        index: upstream_index.UpstreamIndex,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.index = index
        self.rng = rng
        self.weights = local_weights.LocalWeights()
        self.leases: dict[str, node_leases.NodeLeases] = {}
        # Ejections by this node alone, for detectors that are not pooled.
        self.local_ejections: dict[str, local_ejections.LocalEjections] = {}
        self.effective: dict[str, effective_state.EffectiveState] = {}
        self.factors: dict[str, effective_state.WeightFactor] = {}
        self.trial_asked_at: dict[str, float] = {}
        index.restart_callbacks.append(self.on_restart)

    def on_restart(self, upstream: interfaces.Upstream) -> None:
        """Drop weights, leases and ejections of a restarted upstream.

        Its coordinator does the same once it learns of the restart.
        """
        name, service = upstream.id, upstream.service
        self.weights.reset(name)
        held = self.leases.get(service)
        if held is not None:
            held.leases.pop(name, None)
        ejections = self.local_ejections.get(service)
        if ejections is not None:
            ejections.reset(name)
        if service in self.effective:
            self.refresh(service)

    def ejected(self, service: str) -> frozenset[str]:
        """Return ids that get no new work, after this node's own clamp."""
        if service not in self.effective:
            return NONE_EJECTED
        return self._effective(service).ejected

    def weight(self, upstream: str, customer: str = '') -> float:
        """Return a factor from 0.0 to 1.0 on the upstream's share of work."""
        now = clock.now()
        weight = self.weights.weight(upstream, now)
        factor = self.factors.get(upstream)
        if factor is not None:
            weight *= factor.draw(customer, now, self.rng)
        ramp = self.index.warmup_share(upstream)
        if ramp < 1.0 and self.rng.random() >= ramp:
            weight *= effective_state.MIN_WEIGHT
        return weight

    def trial(self, service: str) -> str | None:
        """Return an upstream to copy the next request to, or None."""
        self.trial_asked_at[service] = clock.now()
        if service not in self.effective:
            return None
        return self._effective(service).trial(self.rng)

    def offers_copies(self, service: str, now: float) -> bool:
        """Return whether the request path sends copies as trials."""
        return now - self.trial_asked_at.get(service, -COPIES_S) < COPIES_S

    def accept(self, state: messages.State) -> bool:
        """Apply the entries of a coordinator.

        :return: whether they were accepted; False for stale ones.
        """
        now = clock.now()
        held = self.leases.get(state.service)
        if held is None:
            held = self.leases[state.service] = node_leases.NodeLeases()
        accepted = held.accept(state, now)
        if accepted:
            self.refresh(state.service)
        return accepted

    def lease(self, service: str, upstream: str) -> node_leases.Lease | None:
        """Return the lease of an upstream, if any."""
        held = self.leases.get(service)
        return None if held is None else held.leases.get(upstream)

    def epoch_and_digest(self, service: str) -> tuple[int, int]:
        """Return the epoch and the digest of this node's leases."""
        held = self.leases.get(service)
        if held is None:
            return 0, 0
        return held.newest_sender[0], held.digest()

    def outstanding_leases(self, service: str) -> messages.Held:
        """Return this node's leases for a new coordinator."""
        held = self.leases.get(service) or node_leases.NodeLeases()
        phases = held.phases(clock.now())
        return messages.Held(service, held.newest_sender[0], phases)

    def refresh(self, service: str) -> effective_state.EffectiveState:
        """Compute the effective state of a service again."""
        now = clock.now()
        held = self.leases.get(service)
        if held is not None:
            held.expire(now)
        leases = {} if held is None else held.leases
        ejections = self.local_ejections.get(service)
        ejected_here = [] if ejections is None else ejections.ejected(now)
        effective = effective_state.compute(
            service, self.index, self.me.data_centre, leases, ejected_here, now
        )
        old = self.effective.get(service)
        if old is not None:
            for name in old.factors:
                self.factors.pop(name, None)
        self.factors.update(effective.factors)
        self.effective[service] = effective
        if not leases and not ejected_here:
            del self.effective[service]
        return effective

    def sweep(self, now: float) -> None:
        """Remove what has expired."""
        self.weights.sweep(now)
        self.index.sweep(now)
        for ejections in self.local_ejections.values():
            ejections.remove_expired(now)
        for service in list(self.effective):
            self.refresh(service)

    def _effective(self, service: str) -> effective_state.EffectiveState:
        effective = self.effective[service]
        fresh = effective.version == self.index.version(service)
        if fresh and clock.now() < effective.until:
            return effective
        return self.refresh(service)
