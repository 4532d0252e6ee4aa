"""How much of what a node sends to a service is shed.

An upstream that sheds looks like one that fails, and requests that may be
repeated go there first, as trials.  But nothing is lost by a shed request
except its place in the retry budget, whatever its kind.  So while a service
sheds much, no kind of request goes ahead to try its upstreams.
"""

import math

# Time constant, in seconds: as that of the retry budget.
WINDOW_S = 10.0
# Share from which a service counts as shedding: one upstream in five that
# sheds all, or all that shed a fifth.
SHEDDING_SHARE = 0.2
# Sends that must be known for that.
MIN_SENDS = 3.0


class ShedShare:
    """Moving share of the sends to one service that were shed."""

    __slots__ = ('at', 'sends', 'sheds')

    def __init__(self) -> None:
        self.sends = 0.0
        self.sheds = 0.0
        self.at = 0.0

    def record(self, shed: bool, now: float) -> None:
        """Record a send that reached an upstream.

        :param shed: whether it was shed.
        :param now: monotonic time in seconds.
        """
        keep = math.exp((self.at - now) / WINDOW_S)
        self.sends = self.sends * keep + 1.0
        self.sheds = self.sheds * keep + shed
        self.at = now

    def sheds_much(self, now: float) -> bool:
        """Return whether the service sheds much of what is sent to it."""
        keep = math.exp((self.at - now) / WINDOW_S)
        known = self.sends * keep >= MIN_SENDS
        return known and self.sheds >= SHEDDING_SHARE * self.sends
