"""Attempts in flight at this node, and which of them are overdue.

A hung upstream sends nothing, so the evidence against it is the age of its
attempts.  A pause of this process itself (garbage collection, a busy host)
makes all attempts look old at once; pauses are therefore subtracted from every
age.
"""

import heapq
import itertools
import math
import typing

from carawaystair.outlier import levels

# Interval of the checks of ages, seconds.
TICK_S = 0.025
# A tick that is later than this shows a pause of the process, seconds.
MIN_PAUSE_S = 0.02
# Attempts whose end is never reported are removed at this age, seconds.
MAX_AGE_S = 600.0
MAX_PENDING = 20_000

Key = tuple[str, float]


class PendingAttempt:
    """One attempt in flight.

    :param service: the requested service.
    :param upstream: id of the upstream.
    :param customer_class: see ``levels.customer_class``.
    :param bounds: bounds of its route, or None while they are unknown.
    :param fresh: whether its connection is known to work.
    :param started: monotonic time of its start.
    :param paused_s: total pauses of this process before it, seconds.
    """

    __slots__ = (
        'service',
        'upstream',
        'customer_class',
        'bounds',
        'fresh',
        'started',
        'paused_s',
        'reported_level',
    )

    def __init__(
        self,
        service: str,
        upstream: str,
        customer_class: int,
        bounds: levels.Bounds | None,
        fresh: bool,
        started: float,
        paused_s: float,
    ) -> None:
        self.service = service
        self.upstream = upstream
        self.customer_class = customer_class
        self.bounds = bounds
        self.fresh = fresh
        self.started = started
        self.paused_s = paused_s
        # Level that was reported while the attempt was running, or 0.
        self.reported_level = 0


class PassedBound(typing.NamedTuple):
    """An attempt in flight that passed a latency bound.

    :param pending: the attempt.
    :param reported_level: the level reported earlier, or 0.
    :param level: its level now.
    """

    pending: PendingAttempt
    reported_level: int
    level: int


class InFlight:
    """The attempts in flight."""

    def __init__(self) -> None:
        self.pending: dict[Key, PendingAttempt] = {}
        self.bound_times: list[tuple[float, int, Key]] = []
        self.sequence = itertools.count()
        self.paused_s = 0.0
        # The first tick is never late.
        self.last_tick = math.inf

    def begin(self, pending: PendingAttempt) -> None:
        """Add an attempt."""
        if len(self.pending) >= MAX_PENDING:
            return
        key = (pending.upstream, pending.started)
        self.pending[key] = pending
        if pending.bounds is not None:
            self._schedule(pending, levels.SLOW - 1)

    def end(self, upstream: str, started: float) -> PendingAttempt | None:
        """Remove an attempt and return it."""
        return self.pending.pop((upstream, started), None)

    def paused_during(
        self, pending: PendingAttempt | None, now: float
    ) -> float:
        """Return how long this process was paused during an attempt, seconds.

        An answer may be handled before the tick that notices the pause, so the
        current delay of the tick counts as well.
        """
        late = now - self.last_tick - TICK_S
        late = late if late > MIN_PAUSE_S else 0.0
        return late + self.paused_s - pending.paused_s if pending else late

    def tick(self, now: float) -> list[PassedBound]:
        """Return the attempts that passed a bound since the last tick."""
        late = now - self.last_tick - TICK_S
        if late > MIN_PAUSE_S:
            self.paused_s += late
        self.last_tick = now
        found = []
        while self.bound_times and self.bound_times[0][0] <= now:
            _time, _order, key = heapq.heappop(self.bound_times)
            pending = self.pending.get(key)
            if pending is not None:
                found.extend(self._passed_bounds(pending, now))
        return found

    def remove_old(self, now: float) -> None:
        """Remove attempts whose end was never reported."""
        old = [
            key
            for key, pending in self.pending.items()
            if now - pending.started > MAX_AGE_S
        ]
        for key in old:
            del self.pending[key]

    def _passed_bounds(self, pending: PendingAttempt, now: float):
        age = now - pending.started - (self.paused_s - pending.paused_s)
        level = levels.level(pending.bounds, age)
        if level < levels.OVERDUE:
            self._schedule(pending, max(level, levels.SLOW - 1))
        if level >= levels.SLOW and level > pending.reported_level:
            yield PassedBound(pending, pending.reported_level, level)
            pending.reported_level = level

    def _schedule(self, pending: PendingAttempt, passed: int) -> None:
        """Schedule a check for when the attempt passes bound ``passed``."""
        paused_s = self.paused_s - pending.paused_s
        bound_time = pending.started + paused_s + pending.bounds[passed]
        key = (pending.upstream, pending.started)
        # Strictly after the bound, so that the level has changed by then.
        heapq.heappush(
            self.bound_times, (bound_time + 1e-6, next(self.sequence), key)
        )
