"""Attempts in flight at this node, and which of them are overdue.

A hung upstream sends nothing, so the evidence against it is age.  A pause of
this process itself (garbage collection, a busy host) makes everything look
old at once; the time of such pauses is therefore taken off every age.
"""

import heapq
import itertools
import math
import typing

from carawaystair.outlier import levels

# How often ages are looked at, seconds.
TICK_S = 0.025
# A tick this late shows a pause of the process, seconds.
PAUSE_S = 0.02
# Attempts whose end is never told are forgotten after this, seconds.
FORGET_S = 600.0
MAX_OPEN = 20_000

Key = tuple[str, float]


class Pending:
    """One attempt in flight.

    :param service: the service asked for.
    :param upstream: id of the upstream.
    :param customer_class: see ``levels.customer_class``.
    :param bounds: bounds of its route, or None while they are unknown.
    :param fresh: whether its connection is known to work.
    :param started: monotonic time of its start.
    :param paused: pauses of this process before it, seconds.
    """

    __slots__ = (
        'service',
        'upstream',
        'customer_class',
        'bounds',
        'fresh',
        'started',
        'paused',
        'flagged',
    )

    def __init__(
        self,
        service: str,
        upstream: str,
        customer_class: int,
        bounds: levels.Bounds | None,
        fresh: bool,
        started: float,
        paused: float,
    ) -> None:
        self.service = service
        self.upstream = upstream
        self.customer_class = customer_class
        self.bounds = bounds
        self.fresh = fresh
        self.started = started
        self.paused = paused
        # The level that was reported while it still ran, or 0.
        self.flagged = 0


class Overdue(typing.NamedTuple):
    """An attempt that passed a bound.

    :param pending: the attempt.
    :param before: the level reported earlier, or 0.
    :param level: its level now.
    """

    pending: Pending
    before: int
    level: int


class Watch:
    """The attempts in flight."""

    def __init__(self) -> None:
        self.open: dict[Key, Pending] = {}
        self.due: list[tuple[float, int, Key]] = []
        self.order = itertools.count()
        self.paused = 0.0
        # No tick is late before the first one.
        self.ticked = math.inf

    def begin(self, pending: Pending) -> None:
        """Take note of a new attempt."""
        if len(self.open) >= MAX_OPEN:
            return
        key = (pending.upstream, pending.started)
        self.open[key] = pending
        if pending.bounds is not None:
            self._expect(pending, levels.SLOW - 1)

    def end(self, upstream: str, started: float) -> Pending | None:
        """Take an attempt out."""
        return self.open.pop((upstream, started), None)

    def pause(self, pending: Pending | None, now: float) -> float:
        """Return how long this process stood still during an attempt.

        An answer may be handled before the tick that notices the pause, so
        the running delay of the tick counts as well.
        """
        late = now - self.ticked - TICK_S
        late = late if late > PAUSE_S else 0.0
        return late + self.paused - pending.paused if pending else late

    def tick(self, now: float) -> list[Overdue]:
        """Return the attempts that passed a bound since the last tick."""
        late = now - self.ticked - TICK_S
        if late > PAUSE_S:
            self.paused += late
        self.ticked = now
        found = []
        while self.due and self.due[0][0] <= now:
            _due, _order, key = heapq.heappop(self.due)
            pending = self.open.get(key)
            if pending is not None:
                found.extend(self._look(pending, now))
        return found

    def forget(self, now: float) -> None:
        """Drop attempts whose end was never told."""
        old = [
            key
            for key, pending in self.open.items()
            if now - pending.started > FORGET_S
        ]
        for key in old:
            del self.open[key]

    def _look(self, pending: Pending, now: float):
        age = now - pending.started - (self.paused - pending.paused)
        level = levels.level(pending.bounds, age)
        if level < levels.OVERDUE:
            self._expect(pending, max(level, levels.SLOW - 1))
        if level >= levels.SLOW and level > pending.flagged:
            yield Overdue(pending, pending.flagged, level)
            pending.flagged = level

    def _expect(self, pending: Pending, passed: int) -> None:
        """Wake up when the attempt passes the bound number ``passed``."""
        paused = self.paused - pending.paused
        due = pending.started + paused + pending.bounds[passed]
        key = (pending.upstream, pending.started)
        # Strictly after the bound, so that the level has changed by then.
        heapq.heappush(self.due, (due + 1e-6, next(self.order), key))
