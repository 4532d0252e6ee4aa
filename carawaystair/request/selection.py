"""Selection of the upstream for each attempt."""

import bisect
import math
import random
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import rendezvous
from carawaystair.request import call as calls
from carawaystair.request import connections
from carawaystair.request import headers
from carawaystair.request import locality
from carawaystair.request import target as targets
from carawaystair.request import upstream_limits
from carawaystair import routing as routings

# Interval at which the shares of upstreams in warm-up are computed again.
WARMUP_REFRESH_S = 0.25
DEFAULT_BALANCER = 'peak'


class Location(typing.NamedTuple):
    """The location of this node."""

    host: str
    data_centre: str
    region: str


class CachedCandidates(typing.NamedTuple):
    """The candidates of a service, and the state they were computed from.

    :param routing: the configuration, compared by identity.
    :param ejected: ids of the ejected upstreams.
    :param valid_until: monotonic time until which the shares are valid.
    :param candidates: the upstreams in use.
    :param reserve: the other usable upstreams, in the order of preference.
    """

    routing: routings.Routing
    ejected: frozenset[str]
    valid_until: float
    candidates: targets.Candidates
    reserve: typing.Sequence[targets.Target]


class Selector:
    """Selects upstreams for the requests of this node.

    :param location: the location of this node.
    :param directory: the announced upstreams.
    :param health: knows which of them are ejected.
    :param routing: returns the configuration in force.
    :param factories: balancer factories by name.
    :param limits: what upstreams state in their answers.
    """

    def __init__(
        self,
        location: Location,
        directory: interfaces.Directory,
        health: interfaces.Health,
        routing: typing.Callable[[], routings.Routing],
        factories: dict[str, typing.Callable],
        limits: upstream_limits.UpstreamLimits,
    ) -> None:
        self.limits = limits
        self.location = location
        self.directory = directory
        self.health = health
        self.routing = routing
        self.factories = factories
        self.targets: dict[str, targets.Target] = {}
        self.cached: dict[str, CachedCandidates] = {}
        self.balancers: dict[tuple[str, str], targets.Balancer] = {}
        # When this node learnt that an upstream is leaving, by its id.  Kept
        # apart from the targets to check an invariant independently.
        self.leaving_since: dict[str, float] = {}
        directory.subscribe(self.on_change)

    # Updates

    def on_change(self, upstream: interfaces.Upstream) -> None:
        """Handle a change of an upstream's announcement."""
        self.cached.pop(upstream.service, None)
        target = self.targets.get(upstream.id)
        if target is not None and targets.is_outdated(target, upstream):
            return
        now = clock.now()
        if upstream.state == interfaces.UP:
            self.leaving_since.pop(upstream.id, None)
        else:
            self.leaving_since.setdefault(upstream.id, now)
        if target is not None:
            self._update(target, upstream, now)

    def _update(
        self, target: targets.Target, new: interfaces.Upstream, now: float
    ) -> None:
        old = target.upstream
        started = old.incarnation != new.incarnation
        if started or old.address != new.address:
            # The process at the other end of the open connections is gone.
            # What was observed of it, late answers included, does not apply
            # to the new one.
            self._discard(target, now)
            if new.state != interfaces.GONE:
                self.targets[new.id] = targets.Target(new, now)
            return
        target.upstream = new
        if new.state != interfaces.UP:
            # A leaving upstream may wait for its connections to be closed
            # before it stops.
            connections.close_idle(target)
        if new.state == interfaces.GONE:
            self.limits.forget(target)
            self.targets.pop(new.id, None)

    def _discard(self, target: targets.Target, now: float) -> None:
        """Discard a target; its connections in use won't be pooled again."""
        connections.close_idle(target)
        target.lost_before = now
        self.limits.forget(target)
        target.upstream = target.upstream._replace(state=interfaces.GONE)
        self.targets.pop(target.upstream.id, None)

    def close_stale(self, now: float) -> None:
        """Close stale connections, forget upstreams that left long ago."""
        for target in self.targets.values():
            if target.idle_connections:
                connections.close_stale(target, now)
        old = [key for key, t in self.leaving_since.items() if now - t > 60.0]
        for key in old:
            del self.leaving_since[key]

    def read_statement(
        self,
        target: targets.Target,
        raw: headers.Raw,
        good: bool,
        began: float,
    ) -> None:
        """Apply what an answer states about its upstream.

        :param good: whether the answer is sound.
        :param began: monotonic time at which its request was sent.
        """
        if self.limits.read(target, raw, good, began):
            self.cached.pop(target.upstream.service, None)
            connections.close_idle(target)

    # Selection

    def choose(
        self,
        call: calls.Call,
        tried: typing.Collection[str] = (),
    ) -> targets.Target | None:
        """Return the upstream for the next attempt of a request, or None.

        :param tried: ids of the upstreams that were tried before.
        """
        now = clock.now()
        service = call.match.route.service
        cached = self.candidates(service, now)
        candidates = cached.candidates
        closed = self.limits.closed(service, now)
        if closed:
            tried = {*tried, *closed}
        if tried:
            candidates = locality.exclude_tried(
                candidates, cached.reserve, tried
            )
        if not candidates.targets:
            return None
        balancer = self.balancer(service, call.match.service.balancer)
        return balancer.choose(candidates, call.charged, now)

    def candidates(self, service: str, now: float) -> CachedCandidates:
        """Return the candidates of a service."""
        routing = self.routing()
        ejected = self.health.ejected(service)
        cached = self.cached.get(service)
        if (
            cached is None
            or cached.routing is not routing
            or cached.ejected != ejected
            or cached.valid_until < now
        ):
            cached = self._compute_candidates(service, routing, ejected, now)
            self.cached[service] = cached
        return cached

    def _compute_candidates(
        self,
        service: str,
        routing: routings.Routing,
        ejected: frozenset[str],
        now: float,
    ) -> CachedCandidates:
        usable = [
            self.target(upstream, now)
            for upstream in self.directory.upstreams(service)
            if upstream.state == interfaces.UP
            and upstream.weight > 0.0
            and upstream.id not in ejected
            and not self.limits.is_leaving(upstream)
            and not routing.drained(upstream.host, upstream.data_centre)
        ]
        usable.sort(key=self._rank)
        region = routing.region(self.location.region)
        data_centres = {self.location.data_centre}.union(
            region.data_centres if region else ()
        )
        fraction = locality.local_fraction(
            self.directory.upstreams(service), usable, data_centres
        )
        subset = locality.split_by_region(usable, data_centres)
        made = locality.weighted_candidates(
            subset, fraction, self.location.data_centre, now
        )
        warming = any(
            target.warmup_share(now) < 1.0 for target in made.targets
        )
        valid_until = now + WARMUP_REFRESH_S if warming else math.inf
        return CachedCandidates(
            routing, ejected, valid_until, made, subset.reserve
        )

    def _rank(self, target: targets.Target) -> tuple[int, str]:
        """Return the sort key of this node's preference.

        Rendezvous hashing gives each node an order of its own.
        """
        upstream = target.upstream
        weight = -rendezvous.score(self.location.host, upstream.id)
        return weight, upstream.id

    def target(
        self, upstream: interfaces.Upstream, now: float
    ) -> targets.Target:
        """Return the current target of an upstream."""
        target = self.targets.get(upstream.id)
        if target is None:
            target = targets.Target(upstream, now)
            self.targets[upstream.id] = target
        elif target.upstream is not upstream:
            self._update(target, upstream, now)
            target = self.targets.get(upstream.id, target)
        return target

    def find_up(self, service: str, name: str) -> targets.Target | None:
        """Return an upstream by its id if it is up, even if ejected."""
        found = (
            self.target(upstream, clock.now())
            for upstream in self.directory.upstreams(service)
            if upstream.id == name
            and upstream.state == interfaces.UP
            and not self.limits.is_leaving(upstream)
        )
        return next(found, None)

    def balancer(self, service: str, name: str) -> targets.Balancer:
        """Return the balancer of a service; an unknown name is replaced."""
        balancer = self.balancers.get((service, name))
        if balancer is None:
            factory = (
                self.factories.get(name) or self.factories[DEFAULT_BALANCER]
            )
            seed = '%s %s' % (self.location.host, service)
            balancer = factory(random.Random(seed), self.health)
            self.balancers[service, name] = balancer
        return balancer


def weighted_choice(
    candidates: targets.Candidates, rng: random.Random
) -> targets.Target:
    """Return a random candidate, weighted by its share of the requests."""
    sums = candidates.cumulative_shares
    index = bisect.bisect(sums, rng.random() * sums[-1])
    return candidates.targets[min(index, len(sums) - 1)]
