"""The upstreams of each service, and which of them can take work.

Lookups are cached until the directory changes, since a report of a busy
service names many upstreams.
"""

import math
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import manifest

# An upstream gets at least this time to warm up before its slowness counts as
# evidence, seconds.
MIN_GRACE_S = 3.0
# Share of work of an upstream that has just started.
COLD_WEIGHT = 0.1
# For this time after a restart, attempts of the earlier incarnation may still
# be reported, seconds.
FORGET_ENDED_S = 90.0

RestartCallback = typing.Callable[[interfaces.Upstream], None]


class UpstreamIndex:
    """The upstreams as seen by this process.

    :param directory: the directory.
    :param routing: returns the current routing.
    """

    def __init__(
        self, directory: interfaces.Directory, routing: typing.Callable
    ) -> None:
        self.directory = directory
        self.routing = routing
        self.upstreams_by_service: dict[
            str, dict[str, interfaces.Upstream]
        ] = {}
        self.versions: dict[str, int] = {}
        # When each incarnation was first seen.  Upstreams that were there
        # before this process count as just started, which is safe for the
        # floor.
        self.first_seen: dict[str, tuple[int, float]] = {}
        # Upstreams that started after this process and are warming up.
        self.cold: dict[str, interfaces.Upstream] = {}
        # When the previous incarnation of an upstream ended.
        self.ended_at: dict[str, float] = {}
        # Called with each upstream that has restarted under the same id.
        self.restart_callbacks: list[RestartCallback] = []
        directory.subscribe(self._changed)

    def service(self, name: str) -> manifest.Service:
        """Return the manifest's settings of a service."""
        return self.routing().service(name) or manifest.Service()

    def by_id(self, service: str) -> dict[str, interfaces.Upstream]:
        """Return the upstreams of a service by id."""
        found = self.upstreams_by_service.get(service)
        if found is None:
            found = {one.id: one for one in self.directory.upstreams(service)}
            self.upstreams_by_service[service] = found
            for upstream in found.values():
                self._first_seen(upstream)
        return found

    def version(self, service: str) -> int:
        """Return a number that changes with the upstreams of a service."""
        return self.versions.get(service, 0)

    def age(self, upstream: interfaces.Upstream) -> float:
        """Return the seconds since this incarnation was first seen."""
        return clock.now() - self._first_seen(upstream)

    def warmed_up(self, upstream: interfaces.Upstream) -> bool:
        """Return whether its warm-up is over, as seen from here."""
        return self.age(upstream) >= upstream.warmup_s

    def usable(self, upstream: interfaces.Upstream) -> bool:
        """Return whether it counts as capacity while it is not ejected."""
        return (
            upstream.state == interfaces.UP
            and self.warmed_up(upstream)
            and not self.routing().drained(upstream.host, upstream.data_centre)
        )

    def eligible(self, upstream: interfaces.Upstream) -> bool:
        """Return whether slowness would be a sign of gray failure.

        Cold and draining upstreams are slow for a known reason.
        """
        return self.age(upstream) >= MIN_GRACE_S and self.usable(upstream)

    def from_earlier_incarnation(self, upstream: str, started: float) -> bool:
        """Return whether an attempt began before the upstream's last restart.

        :param started: when the attempt began.
        """
        return started < self.ended_at.get(upstream, -math.inf)

    def sweep(self, now: float) -> None:
        """Remove restarts that were long ago."""
        old = [
            n for n, at in self.ended_at.items() if now - at > FORGET_ENDED_S
        ]
        for name in old:
            del self.ended_at[name]

    def warmup_share(self, upstream: str) -> float:
        """Return the share of work of an upstream that may be warming up."""
        cold = self.cold.get(upstream)
        if cold is None:
            return 1.0
        share = self.age(cold) / cold.warmup_s
        if share >= 1.0:
            del self.cold[upstream]
        return min(max(share, COLD_WEIGHT), 1.0)

    def _first_seen(self, upstream: interfaces.Upstream) -> float:
        first_seen = self.first_seen.get(upstream.id)
        if first_seen is None or first_seen[0] != upstream.incarnation:
            first_seen = (upstream.incarnation, clock.now())
            self.first_seen[upstream.id] = first_seen
        return first_seen[1]

    def _changed(self, upstream: interfaces.Upstream) -> None:
        self.upstreams_by_service.pop(upstream.service, None)
        version = self.versions.get(upstream.service, 0)
        self.versions[upstream.service] = version + 1
        if upstream.state == interfaces.GONE:
            self.first_seen.pop(upstream.id, None)
            self.cold.pop(upstream.id, None)
            self.ended_at[upstream.id] = clock.now()
            return
        before = self.first_seen.get(upstream.id)
        new = before is None or before[0] != upstream.incarnation
        self._first_seen(upstream)
        if new and upstream.warmup_s > 0.0:
            self.cold[upstream.id] = upstream
        elif new:
            self.cold.pop(upstream.id, None)
        if new and before is not None:
            self.ended_at[upstream.id] = clock.now()
            for callback in self.restart_callbacks:
                callback(upstream)
