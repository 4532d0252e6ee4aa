"""The first seconds of a process, in which it does not know enough yet.

Symptom without it: after all processes were stopped at once, each rejects all
requests for one or two seconds more, although it would know its configuration
and the upstreams in a moment.  Only in these seconds a request is held until
that is known; later, what is not known does not exist.
"""

import asyncio
import typing

from carawaystair import clock

# Upstreams announce themselves again within one interval, 1.5 s, and a
# configuration comes within a round trip of the first control host's answer.
SETTLE_S = 3.0
# A request is held for so long at most, seconds.
HOLD_S = 1.6
POLL_S = 0.03


class StartupWait:
    """Waits for what a process that has just started will know soon."""

    def __init__(self) -> None:
        self.until = clock.now() + SETTLE_S

    async def wait(
        self, known: typing.Callable[[], bool], latest: float
    ) -> bool:
        """Wait until something is known; tell whether it is.

        :param known: tells whether it is.
        :param latest: monotonic time beyond which waiting is of no use.
        """
        latest = min(latest, self.until, clock.now() + HOLD_S)
        while not known() and clock.now() < latest:
            await asyncio.sleep(POLL_S)
        return known()
