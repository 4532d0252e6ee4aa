"""The ways from this node to the gateways of others.

Symptom without it: packets between two hosts are lost for some seconds while
all others reach both.  Every request that is offered on that way waits until
it is given up, and one that may not be repeated is lost although it never
arrived.  A way that failed is therefore tried with connections that carry
nothing, until one is made, and what must reach that very gateway goes through
a third node meanwhile.
"""

import asyncio
import random
import typing

from carawaystair.gateway import upstream_pool as knowns
from carawaystair import interfaces
from carawaystair.request import connections
from carawaystair.request import target as targets

# Pause between two trials of a way, seconds.
RETRY_S = 0.5
# Trials of one way; then it is used again, and doubted again if it fails.
MOST_TRIALS = 60


class PathMonitor:
    """The ways of one node.

    :param known: the upstreams.
    :param host: the host of this node.
    :param spawn: runs a coroutine for as long as the node lives.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        known: knowns.UpstreamPool,
        host: str,
        spawn: typing.Callable[..., typing.Any],
        rng: random.Random,
    ) -> None:
        self.known = known
        self.host = host
        self.spawn = spawn
        self.rng = rng
        self.trials: set[str] = set()

    def lost(self, target: targets.Target) -> None:
        """Take note that a gateway does not answer on the direct way."""
        name = target.upstream.id
        self.known.board.state(name).reachable = False
        connections.close_idle(target)
        if name not in self.trials:
            self.trials.add(name)
            self.spawn(self._try(target))

    async def _try(self, target: targets.Target) -> None:
        """Try a way until a connection is made."""
        name = target.upstream.id
        try:
            for _trial in range(MOST_TRIALS):
                await asyncio.sleep(RETRY_S)
                if target.upstream.state == interfaces.GONE:
                    return
                if await _reaches(target):
                    return
        finally:
            self.trials.discard(name)
            self.known.board.state(name).reachable = True

    def helper(self, target: targets.Target) -> targets.Target | None:
        """Return the gateway of a third host to go through.

        The one that answered here last is the most likely to be reached.
        """
        board = self.known.board
        others = [
            other
            for other in self.known.targets.values()
            if other.upstream.host not in (target.upstream.host, self.host)
            and other.upstream.state != interfaces.GONE
            and board.state(other.upstream.id).reachable
        ]
        if not others:
            return None
        others.sort(
            key=lambda other: board.state(other.upstream.id).reported_at,
            reverse=True,
        )
        return self.rng.choice(others[:4])


async def _reaches(target: targets.Target) -> bool:
    """Tell whether a connection can be made."""
    loop = asyncio.get_running_loop()
    try:
        until = loop.time() + connections.CONNECT_TIMEOUT_S
        connection = await connections.connect(target, until)
    except OSError:
        return False
    connection.proto.abort()
    return True
