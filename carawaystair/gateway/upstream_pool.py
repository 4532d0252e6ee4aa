"""The upstreams that a node sends to, as the directory has them now."""

import collections
import random
import typing

from carawaystair import clock
from carawaystair.gateway import pacer as pacers
from carawaystair import interfaces
from carawaystair.load import exploration
from carawaystair.load import request_value
from carawaystair.load import upstream_selection
from carawaystair.request import connections
from carawaystair.request import target as targets
from carawaystair import routing as routings


class Choice(typing.NamedTuple):
    """The upstream to offer a request to.

    :param target: the upstream.
    :param count: upstreams that take work, this one included.
    :param least: what the request must be worth there, 0 to 1; None when it
        may wait there whatever that is.
    :param again: what it is worth if it fails there, 0 to 1.
    """

    target: targets.Target
    count: int
    least: float | None
    again: float = 0.0


class UpstreamPool:
    """Upstreams, their gateways and what is known of their load.

    :param data_centre: where this node stands.
    :param directory: the upstreams.
    :param routing: returns the configuration in force.
    :param rng: the source of randomness.
    :param pacer: shares the link of this host, None where nothing does.
    """

    def __init__(
        self,
        data_centre: str,
        directory: interfaces.Directory,
        routing: typing.Callable[[], routings.Routing],
        rng: random.Random,
        pacer: pacers.Pacer | None = None,
    ) -> None:
        self.pacer = pacer
        self.data_centre = data_centre
        self.directory = directory
        self.routing = routing
        self.board = upstream_selection.UpstreamSelector(rng)
        self.targets: dict[str, targets.Target] = {}
        self.spreadings: collections.defaultdict = collections.defaultdict(
            exploration.Exploration
        )
        directory.subscribe(self.changed)

    def changed(self, upstream: interfaces.Upstream) -> None:
        """Take note of an upstream that changed."""
        target = self.targets.get(upstream.id)
        if target is not None and not targets.is_outdated(target, upstream):
            self._update(target, upstream)

    def _update(
        self, target: targets.Target, new: interfaces.Upstream
    ) -> None:
        """Bring a target up to date, or let go of it.

        A request that is with the gateway of one host must not be asked for
        at another one, which knows of no run and would run it again.  So an
        id that moves gets a target of its own there.
        """
        old = target.upstream
        moved = (old.host, old.address) != (new.host, new.address)
        if moved or new.state == interfaces.GONE:
            connections.close_idle(target)
            target.upstream = old._replace(state=interfaces.GONE)
            del self.targets[new.id]
            self.board.forget(new.id)
            return
        if old.incarnation != new.incarnation:
            target.first_seen = clock.now()
            self.board.start_incarnation(new.id, new.incarnation)
        target.upstream = new

    def learn(self, service: str, good: bool) -> None:
        """Take note of what became of a request that was run."""
        self.spreadings[service].record(good)

    def sweep(self, now: float) -> None:
        """Close connections that were idle for long."""
        for target in self.targets.values():
            connections.close_stale(target, now)

    def close(self) -> None:
        """Close all idle connections."""
        for target in self.targets.values():
            connections.close_idle(target)

    def target(self, upstream: interfaces.Upstream) -> targets.Target:
        """Return what this node knows of an upstream."""
        target = self.targets.get(upstream.id)
        if target is not None and target.upstream is not upstream:
            # The directory forgets services that nobody asks for, and tells
            # nothing of their changes.
            self._update(target, upstream)
            target = self.targets.get(upstream.id)
        if target is None:
            target = targets.Target(upstream, clock.now())
            target.pacer = self.pacer
            self.targets[upstream.id] = target
            # Answers of a life that went on elsewhere may still come.
            self.board.start_incarnation(upstream.id, upstream.incarnation)
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
        """Return the upstream to offer a request to.

        :param tried: upstreams that were asked.
        :param refused: those of them at which it might wait.
        :param need: what the request needs.
        :param route: key of its route.
        :param size: bytes of its body.
        :param first: whether no upstream was asked so far.
        :return: None when there is none that was not tried, or none worth
            more than one that refused.
        """
        routing = self.routing()
        usable = {
            upstream.id: upstream
            for upstream in self.directory.upstreams(service)
            if upstream.state == interfaces.UP
            and not routing.drained(upstream.host, upstream.data_centre)
        }
        candidates = [
            self._candidate(upstream, now) for upstream in usable.values()
        ]
        spread = first and self.spreadings[service].active
        trial = first and not need.final
        chosen = self.board.choose(
            candidates,
            tried,
            refused,
            now,
            need,
            route,
            size,
            trial,
            spread,
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
