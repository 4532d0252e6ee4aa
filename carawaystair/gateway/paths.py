"""Network paths from this node to the gateways of other hosts.

Packets between two hosts may be lost for some seconds while all other hosts
reach both.  Requests sent on such a path would wait until their senders give
up, and non-idempotent ones would be lost although they never arrived.  A path
that failed is therefore probed with empty connections until one succeeds, and
what must reach that very gateway takes a detour through a third node.
"""

import asyncio
import random
import typing

from carawaystair.gateway import upstream_pool
from carawaystair import interfaces
from carawaystair.request import connections
from carawaystair.request import target as targets

# Pause between two probes of a path, seconds.
PROBE_INTERVAL_S = 0.5
# Probes of one path; it is then used again, and probed again if it fails.
MAX_PROBES = 60


class PathMonitor:
    """Tracks the reachability of gateways from one node.

    :param pool: the upstreams.
    :param host: the host of this node.
    :param spawn: runs a coroutine for the lifetime of the node.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        pool: upstream_pool.UpstreamPool,
        host: str,
        spawn: typing.Callable[..., typing.Any],
        rng: random.Random,
    ) -> None:
        self.pool = pool
        self.host = host
        self.spawn = spawn
        self.rng = rng
        self.probing: set[str] = set()

    def mark_unreachable(self, target: targets.Target) -> None:
        """Mark a gateway as not directly reachable and probe its path."""
        name = target.upstream.id
        self.pool.selector.state(name).reachable = False
        connections.close_idle(target)
        if name not in self.probing:
            self.probing.add(name)
            self.spawn(self._probe(target))

    async def _probe(self, target: targets.Target) -> None:
        """Probe a path until a connection succeeds."""
        name = target.upstream.id
        try:
            for _probe_number in range(MAX_PROBES):
                await asyncio.sleep(PROBE_INTERVAL_S)
                if target.upstream.state == interfaces.GONE:
                    return
                if await _can_connect(target):
                    return
        finally:
            self.probing.discard(name)
            self.pool.selector.state(name).reachable = True

    def intermediary(self, target: targets.Target) -> targets.Target | None:
        """Return a gateway of a third host for a detour.

        Prefers the gateways from which an answer came most recently.  Where
        requests stay at home, those of the two data centres go first.
        """
        selector = self.pool.selector
        others = [
            other
            for other in self.pool.targets.values()
            if other.upstream.host not in (target.upstream.host, self.host)
            and other.upstream.state != interfaces.GONE
            and selector.state(other.upstream.id).reachable
        ]
        if not others:
            return None
        if selector.locality.home_first:
            ends = (self.pool.data_centre, target.upstream.data_centre)
            others = [
                other for other in others if other.upstream.data_centre in ends
            ] or others
        others.sort(
            key=lambda other: selector.state(other.upstream.id).reported_at,
            reverse=True,
        )
        return self.rng.choice(others[:4])


async def _can_connect(target: targets.Target) -> bool:
    """Return whether a connection can be made."""
    loop = asyncio.get_running_loop()
    try:
        until = loop.time() + connections.CONNECT_TIMEOUT_S
        connection = await connections.connect(target, until)
    except OSError:
        return False
    connection.proto.abort()
    return True
