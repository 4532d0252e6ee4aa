"""Retries that the first sends of a node's callers earn.

Each first send earns a part of a retry, for as long as the window in which
retries are counted.  A process that starts doesn't know what the previous one
on its host has spent in the same window.  So a node may spend only a part of
what it earns in a window at once, and a process that starts takes it that this
part was spent right before: together they spend no more than the first sends
of one window have earned, however often they are restarted.
"""

import math

from carawaystair.load import recent_counts

# Retries that may be spent at once, as a share of those earned in a window.
BURST_SHARE = 0.5


class EarnedRetries:
    """The retries that a node has earned for one service.

    :param ratio: retries per first send.
    :param window_s: length of the window in seconds.
    :param rounding: added before a fraction is cut off, 0 to 1.
    :param began: monotonic time at which this process began to count.
    """

    __slots__ = (
        'began',
        'first_sends',
        'ratio',
        'rounding',
        'saved',
        'window_s',
    )

    def __init__(
        self, ratio: float, window_s: float, rounding: float, began: float
    ) -> None:
        self.ratio = ratio
        self.window_s = window_s
        self.rounding = rounding
        self.began = began
        self.first_sends = recent_counts.RecentCounts()
        # Retries that may be spent at once.
        self.saved = 0.0

    def record_first_send(self, now: float) -> None:
        """Count a first send."""
        self.first_sends.add(now)
        # In whole retries, so that what is saved adds up to what is earned.
        whole = self._whole(self.in_window(now))
        self._save(whole / self.first_sends.total, now)

    def _save(self, retries: float, now: float) -> None:
        self.saved = min(
            self.saved + retries, self._burst(self.in_window(now))
        )

    def _burst(self, earned: float) -> int:
        """Return how many retries may be spent at once.

        :param earned: retries that are earned in a window.
        """
        return math.ceil(BURST_SHARE * self._whole(earned))

    def _whole(self, earned: float) -> int:
        return math.floor(earned + self.rounding)

    def in_window(self, now: float) -> float:
        """Return the retries earned in the last window."""
        self.first_sends.drop_before(now - self.window_s)
        return self.ratio * self.first_sends.total

    def spendable(self, now: float) -> float:
        """Return how many retries may be spent in the window until now.

        Those that this process has spent in it already are included.
        """
        earned = self.in_window(now)
        age = (now - self.began) / self.window_s
        if age >= 1.0:
            return earned + self.rounding
        if age <= 0.0:
            return 0.0
        # The previous process may have spent a burst right before the start;
        # it is taken to have earned at the same rate.
        return earned + self.rounding - self._burst(earned / age)

    def may_spend_now(self) -> bool:
        """Return whether one more retry is within the burst."""
        return self.saved >= 1.0

    def spend(self) -> None:
        """Spend a retry."""
        self.saved -= 1.0

    def refund(self, now: float) -> None:
        """Return a retry that reached no upstream."""
        self._save(1.0, now)

    def room_in_s(self, count: int, now: float) -> float:
        """Return seconds until so many retries may be spent at once.

        First sends are taken to stay as frequent.
        """
        starting_s = self.began + BURST_SHARE * self.window_s - now
        missing = count - self.saved
        if missing <= 0.0:
            return max(starting_s, 0.0)
        whole = self._whole(self.in_window(now))
        if not whole:
            return math.inf
        counted_s = min(now - self.began, self.window_s)
        return max(starting_s, missing * counted_s / whole)
