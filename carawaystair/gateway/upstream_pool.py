"""Upstreams to which a node sends, with their connections and loads."""

import collections
import random
import typing

from carawaystair import clock
from carawaystair.gateway import known_statements
from carawaystair.gateway import pacer as pacers
from carawaystair import interfaces
from carawaystair.load import exploration
from carawaystair.load import locality as localities
from carawaystair.load import request_value
from carawaystair.load import upstream_selection
from carawaystair.request import connections
from carawaystair.request import target as targets
from carawaystair import routing as routings


# How long a gateway that refused a route because it stops is not asked again
# for it, seconds: it starts again, or is known to leave, soon after.
LEAVING_S = 1.0


class Choice(typing.NamedTuple):
    """The upstream to which a request is offered.

    :param target: the upstream.
    :param usable_count: upstreams that take work, this one included.
    :param min_value: value that the request must have there to be accepted,
        0 to 1; None when it may wait there whatever its value.
    :param retry_value: value that is left if it fails there, 0 to 1.
    """

    target: targets.Target
    usable_count: int
    min_value: float | None
    retry_value: float = 0.0


class UpstreamPool:
    """Tracks upstreams and their load, and chooses one for each request.

    :param data_centre: the data centre of this node.
    :param directory: the upstreams of the fleet.
    :param routing: returns the configuration in force.
    :param rng: the source of randomness.
    :param pacer: paces sending over the link of this host; None for no limit.
    :param locality: the preference for upstreams in the own data centre.
    """

    def __init__(
        self,
        data_centre: str,
        directory: interfaces.Directory,
        routing: typing.Callable[[], routings.Routing],
        rng: random.Random,
        pacer: pacers.Pacer | None = None,
        locality: localities.Locality = localities.DEFAULT,
    ) -> None:
        self.pacer = pacer
        self.data_centre = data_centre
        self.directory = directory
        self.routing = routing
        self.selector = upstream_selection.UpstreamSelector(rng, locality)
        self.statements = known_statements.KnownStatements()
        self.targets: dict[str, targets.Target] = {}
        self.explorations: collections.defaultdict = collections.defaultdict(
            exploration.Exploration
        )
        # Until when upstreams get no requests of a route, by id and route.
        self.leaving: dict[tuple[str, str], float] = {}
        directory.subscribe(self.on_upstream_changed)

    def on_upstream_changed(self, upstream: interfaces.Upstream) -> None:
        """Update the target of an upstream that changed."""
        target = self.targets.get(upstream.id)
        if target is not None and not targets.is_outdated(target, upstream):
            self._update_target(target, upstream)

    def _update_target(
        self, target: targets.Target, new: interfaces.Upstream
    ) -> None:
        """Update a target, or remove it if its upstream is gone or moved.

        A request that is at the gateway of one host must not be resumed at
        another one, which knows of no run and would run it again.  So an id
        that moves to another host gets a new target.
        """
        old = target.upstream
        moved = (old.host, old.address) != (new.host, new.address)
        if moved or new.state == interfaces.GONE:
            connections.close_idle(target)
            target.upstream = old._replace(state=interfaces.GONE)
            del self.targets[new.id]
            self.selector.forget(new.id)
            return
        if old.incarnation != new.incarnation:
            target.first_seen = clock.now()
            self.selector.start_incarnation(new.id, new.incarnation)
        target.upstream = new

    def takes_work(self, upstream: str) -> bool:
        """Return whether an upstream is known and does not leave."""
        target = self.targets.get(upstream)
        return target is not None and target.upstream.state == interfaces.UP

    def record_outcome(
        self, service: str, good: bool, final: bool = True
    ) -> None:
        """Record whether a run of a service succeeded.

        :param final: whether it is not retried if it failed.
        """
        self.explorations[service].record(good, final)

    def record_leaving(self, upstream: str, route: str) -> None:
        """Record that a gateway stops and runs no more of a route.

        Its upstream has free slots then, so that it would be offered every
        request first.
        """
        self.leaving[upstream, route] = clock.now() + LEAVING_S

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        self.leaving = {
            key: until for key, until in self.leaving.items() if until > now
        }
        for target in self.targets.values():
            connections.close_stale(target, now)

    def close(self) -> None:
        """Close all idle connections."""
        for target in self.targets.values():
            connections.close_idle(target)

    def target(self, upstream: interfaces.Upstream) -> targets.Target:
        """Return the current target of an upstream."""
        target = self.targets.get(upstream.id)
        if target is not None and target.upstream is not upstream:
            # The directory forgets services that are no longer asked for and
            # does not announce their changes.
            self._update_target(target, upstream)
            target = self.targets.get(upstream.id)
        if target is None:
            target = targets.Target(upstream, clock.now())
            target.pacer = self.pacer
            self.targets[upstream.id] = target
            # Reports of an incarnation on another host may still arrive.
            self.selector.start_incarnation(upstream.id, upstream.incarnation)
        return target

    def choose(
        self,
        service: str,
        tried: typing.Container[str],
        refused: typing.Container[str],
        now: float,
        need: request_value.Need,
        route: str,
        size: float,
        first: bool,
    ) -> Choice | None:
        """Choose the upstream to which a request is offered next.

        :param tried: upstreams that were offered the request.
        :param refused: those of them at which it could wait.
        :param need: the request's deadline and goal.
        :param route: key of its route.
        :param size: size of its body, bytes.
        :param first: whether it was offered to no upstream so far.
        :return: None when no untried upstream is left, or none where the
            request is worth more than at one that refused it.
        """
        routing = self.routing()
        usable = {
            upstream.id: upstream
            for upstream in self.directory.upstreams(service)
            if upstream.state == interfaces.UP
            and not self.statements.is_leaving(upstream)
            and self.leaving.get((upstream.id, route), now) <= now
            and not routing.drained(upstream.host, upstream.data_centre)
        }
        candidates = [
            self._candidate(upstream, now) for upstream in usable.values()
        ]
        explored = self.explorations[service]
        explore = first and explored.active
        far_share = max(explored.far_share, localities.FAR_TRIAL_SHARE)
        trial = first and not need.final
        chosen = self.selector.choose(
            candidates,
            tried,
            refused,
            now,
            need,
            route,
            size,
            trial,
            explore,
            far_share,
        )
        if chosen is None:
            return None
        target = self.target(usable[chosen.candidate.id])
        return Choice(
            target, len(usable), chosen.min_value, chosen.retry_value
        )

    def _candidate(
        self, upstream: interfaces.Upstream, now: float
    ) -> upstream_selection.Candidate:
        target = self.target(upstream)
        return upstream_selection.Candidate(
            upstream.id,
            upstream.data_centre == self.data_centre,
            upstream.slots,
            now - target.first_seen < upstream.warmup_s,
        )
