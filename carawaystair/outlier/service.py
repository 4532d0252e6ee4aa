"""Outlier detection of one node."""

import asyncio
import collections
import typing

import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import invariants
from carawaystair import manifest
from carawaystair.outlier import floor
from carawaystair.outlier import local
from carawaystair import timeline as timelines

SWEEP_S = 1.0
# Per-node ejection: so many failures in a row, for so long.
CONSECUTIVE = 5
EJECTION_S = 10.0


class Outlier(mode.Service):
    """Keeps ``interfaces.Health`` and ``interfaces.Evidence``.

    :param members: the processes of the fleet.
    :param directory: the upstreams.
    :param routing: returns the current routing.
    :param timeline: takes the events.
    """

    def __init__(
        self,
        members: interfaces.Members,
        directory: interfaces.Directory,
        routing: typing.Callable,
        timeline: timelines.Timeline,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.members = members
        self.directory = directory
        self.routing = routing
        self.timeline = timeline
        self.weights = local.Weights()
        self.runs: collections.Counter = collections.Counter()
        self.until: dict[str, dict[str, float]] = {}
        self.seen: dict[tuple[str, int], float] = {}

    def ejected(self, service: str) -> frozenset[str]:
        """Return ids that get no new work, after the clamp."""
        held = self.until.get(service)
        if not held:
            return frozenset()
        now = clock.now()
        wanted = [name for name, until in held.items() if until > now]
        upstreams = self.directory.upstreams(service)
        config = self._config(service)
        allowed = floor.clamp(config, upstreams, wanted, self.warm)
        left = floor.measure(config, upstreams, allowed, self.warm)
        invariants.check(
            invariants.FLOOR, not allowed or left.spare >= 0, service
        )
        return allowed

    def weight(self, upstream: str, customer: str = '') -> float:
        """Return a factor from 0.0 to 1.0 on the upstream's share."""
        return self.weights.weight(upstream, clock.now())

    def trial(self, service: str) -> str | None:
        """Return an upstream that wants a copy of the next request."""
        return None

    def begin(
        self,
        service: str,
        upstream: str,
        customer: str,
        started: float,
        route: str = '',
        fresh: bool = True,
    ) -> None:
        """Take note that an attempt starts."""

    def record(self, attempt: interfaces.Attempt) -> None:
        """Take note of one attempt."""
        now = clock.now()
        self.weights.record(attempt.upstream, attempt.outcome, now)
        if attempt.outcome == interfaces.GOOD:
            self.runs.pop(attempt.upstream, None)
        elif attempt.outcome in local.BAD:
            self.runs[attempt.upstream] += 1
            if self.runs[attempt.upstream] >= CONSECUTIVE:
                self._eject(attempt, now)

    def warm(self, upstream: interfaces.Upstream) -> bool:
        """Tell whether an upstream's warm-up is over, as seen from here."""
        key = (upstream.id, upstream.incarnation)
        now = clock.now()
        return now - self.seen.setdefault(key, now) >= upstream.warmup_s

    def _config(self, service: str) -> manifest.Service:
        return self.routing().service(service) or manifest.Service()

    def _eject(self, attempt: interfaces.Attempt, now: float) -> None:
        del self.runs[attempt.upstream]
        held = self.until.setdefault(attempt.service, {})
        held[attempt.upstream] = now + EJECTION_S
        self.timeline.record(
            'upstream-ejected',
            '%d failures in a row at this node.' % CONSECUTIVE,
            service=attempt.service,
            upstream=attempt.upstream,
        )

    @mode.Service.task
    async def _sweep(self) -> None:
        """Forget what is over."""
        while not self.should_stop:
            await asyncio.sleep(SWEEP_S)
            now = clock.now()
            self.weights.sweep(now)
            for service, held in list(self.until.items()):
                over = [name for name, until in held.items() if until <= now]
                for name in over:
                    del held[name]
                if not held:
                    del self.until[service]
