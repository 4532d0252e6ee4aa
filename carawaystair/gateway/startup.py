"""Waiting for configuration and upstreams right after the start of a process.

Without it, after a stop of all processes each would reject every request for
one or two seconds more, although it receives its configuration and the
upstreams within moments.  Requests are held until then only in these first
seconds; later, what is unknown is taken not to exist.
"""

import asyncio
import typing

from carawaystair import clock

# Covers one announcement interval of the upstreams, 1.5 s, and the round trip
# to the first control host that answers with a configuration, seconds.
STARTUP_S = 3.0
# How long a request is held at most, seconds.
MAX_WAIT_S = 1.6
POLL_INTERVAL_S = 0.03


class StartupWait:
    """Holds requests while a process has just started."""

    def __init__(self) -> None:
        self.ends_at = clock.now() + STARTUP_S

    async def wait(
        self, ready: typing.Callable[[], bool], latest: float
    ) -> bool:
        """Wait until a condition holds; return whether it does.

        :param ready: the condition.
        :param latest: monotonic time at which to give up.
        """
        latest = min(latest, self.ends_at, clock.now() + MAX_WAIT_S)
        while not ready() and clock.now() < latest:
            await asyncio.sleep(POLL_INTERVAL_S)
        return ready()
