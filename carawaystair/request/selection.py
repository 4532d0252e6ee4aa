"""Which upstreams may get a request, and which of them does."""

import bisect
import math
import random
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import rendezvous
from carawaystair.request import call as calls
from carawaystair.request import connections
from carawaystair.request import locality
from carawaystair.request import target as targets
from carawaystair import routing as routings

# The shares of starting upstreams are taken anew after so long, seconds.
WARMUP_REFRESH_S = 0.25
DEFAULT_BALANCER = 'peak'


class Location(typing.NamedTuple):
    """Where this node stands."""

    host: str
    data_centre: str
    region: str


class CachedCandidates(typing.NamedTuple):
    """The candidates of a service and what they were made from.

    :param routing: the configuration, compared by identity.
    :param ejected: the ids that were ejected.
    :param valid_until: monotonic time up to which the shares hold.
    :param candidates: the upstreams in use.
    :param reserve: usable upstreams beyond the subset, the first to step in
        at the front.
    """

    routing: routings.Routing
    ejected: frozenset[str]
    valid_until: float
    candidates: targets.Candidates
    reserve: typing.Sequence[targets.Target]


class Selector:
    """Chooses upstreams for the requests of this node.

    :param location: where this node stands.
    :param directory: the upstreams.
    :param health: which of them are ejected.
    :param routing: returns the configuration.
    :param factories: balancer factories by name.
    """

    def __init__(
        self,
        location: Location,
        directory: interfaces.Directory,
        health: interfaces.Health,
        routing: typing.Callable[[], routings.Routing],
        factories: dict[str, typing.Callable],
    ) -> None:
        self.location = location
        self.directory = directory
        self.health = health
        self.routing = routing
        self.factories = factories
        self.targets: dict[str, targets.Target] = {}
        self.cached: dict[str, CachedCandidates] = {}
        self.balancers: dict[tuple[str, str], targets.Balancer] = {}
        # When each upstream that leaves was seen to; a second record beside
        # the targets, for the invariant.
        self.leaving_since: dict[str, float] = {}
        directory.subscribe(self.on_change)

    # Keeping up

    def on_change(self, upstream: interfaces.Upstream) -> None:
        """Take note of an upstream that changed."""
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
            # The process behind the open connections is gone, and what was
            # seen of it, late answers too, says nothing of the next one.
            self._discard(target, now)
            if new.state != interfaces.GONE:
                self.targets[new.id] = targets.Target(new, now)
            return
        target.upstream = new
        if new.state != interfaces.UP:
            # An upstream that is leaving_since may wait for its connections to
            # end before it stops.
            connections.close_idle(target)
        if new.state == interfaces.GONE:
            self.targets.pop(new.id, None)

    def _discard(self, target: targets.Target, now: float) -> None:
        """End a target: its connections in use are not kept either."""
        connections.close_idle(target)
        target.lost_before = now
        target.upstream = target.upstream._replace(state=interfaces.GONE)
        self.targets.pop(target.upstream.id, None)

    def close_stale(self, now: float) -> None:
        """Close what has been idle too long, forget what left long ago."""
        for target in self.targets.values():
            if target.idle_connections:
                connections.close_stale(target, now)
        old = [key for key, t in self.leaving_since.items() if now - t > 60.0]
        for key in old:
            del self.leaving_since[key]

    # Choosing

    def choose(
        self,
        call: calls.Call,
        tried: typing.Collection[str] = (),
    ) -> targets.Target | None:
        """Return the upstream for the next attempt of a request, or None.

        :param tried: ids that have had an attempt of this request.
        """
        now = clock.now()
        service = call.match.route.service
        cached = self.candidates(service, now)
        candidates = cached.candidates
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
            and not routing.drained(upstream.host, upstream.data_centre)
        ]
        usable.sort(key=self._rank)
        region = routing.region(self.location.region)
        here = {self.location.data_centre}.union(
            region.data_centres if region else ()
        )
        fraction = locality.local_fraction(
            self.directory.upstreams(service), usable, here
        )
        subset = locality.split_by_region(usable, here)
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
        """Order upstreams for this node; other nodes have another order."""
        upstream = target.upstream
        weight = -rendezvous.score(self.location.host, upstream.id)
        return weight, upstream.id

    def target(
        self, upstream: interfaces.Upstream, now: float
    ) -> targets.Target:
        """Return what this node knows of an upstream."""
        target = self.targets.get(upstream.id)
        if target is None:
            target = targets.Target(upstream, now)
            self.targets[upstream.id] = target
        elif target.upstream is not upstream:
            self._update(target, upstream, now)
            target = self.targets.get(upstream.id, target)
        return target

    def find_up(self, service: str, name: str) -> targets.Target | None:
        """Return an upstream by its id, ejected or not, if it is up."""
        found = (
            self.target(upstream, clock.now())
            for upstream in self.directory.upstreams(service)
            if upstream.id == name and upstream.state == interfaces.UP
        )
        return next(found, None)

    def balancer(self, service: str, name: str) -> targets.Balancer:
        """Return the balancer of a service."""
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
    """Return a candidate at random, by its share of the work."""
    sums = candidates.cumulative_shares
    index = bisect.bisect(sums, rng.random() * sums[-1])
    return candidates.targets[min(index, len(sums) - 1)]
