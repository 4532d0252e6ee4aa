"""Refuses datagrams that somebody recorded and sends again later.

Every datagram carries its sender's hybrid clock, which only grows, under the
authenticator.  What is much older than the newest heard of the same sender
is a replay.  Datagrams that come late or twice within the window pass: the
network does that on its own, and every handler bears it.

Nothing is compared with this process's own clock, so that a host with a
wrong clock is still heard.
"""

import collections

from carawaystair import clock
from carawaystair import timeline

# Datagrams that are later than this are refused.
WINDOW_MS = 10_000
# A sender that was not heard for so long may come back with an earlier
# clock, as after a restart with a wrong one.
FORGET_S = 60.0
# Senders remembered; the size to design for is 2,500 nodes.
MAX_SENDERS = 5_000


class Freshness:
    """What is known of the senders' clocks."""

    def __init__(self) -> None:
        self.newest: collections.OrderedDict = collections.OrderedDict()

    def accept(self, sender: str, time: int) -> bool:
        """Tell whether a datagram is fresh, and take note of it.

        :param sender: the sender's address, proved by the authenticator.
        :param time: the hybrid time that it carries.
        """
        now = clock.now()
        time_ms, heard = self.newest.get(sender, (0, now))
        here_ms = timeline.wall_ms(time)
        if here_ms < time_ms - WINDOW_MS and now - heard < FORGET_S:
            return False
        greatest = (
            here_ms if now - heard >= FORGET_S else max(here_ms, time_ms)
        )
        self.newest[sender] = (greatest, now)
        self.newest.move_to_end(sender)
        if len(self.newest) > MAX_SENDERS:
            self.newest.popitem(last=False)
        return True
