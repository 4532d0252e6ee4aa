"""How many requests an upstream should run at once, as measured.

An upstream announces its slots, but some slow down before all are in use, and
others have fewer than they announce.  The last slots then serve nobody sooner:
they only hold requests that could wait where they can be ordered, counted and
sent elsewhere.  So a gateway measures how service times and failures grow with
the number of requests that run, and offers fewer slots where throughput does
not grow with the last ones.

What is measured by the way only suggests it, since an upstream that is slow
for some seconds for another reason may be full in these seconds.  Then a trial
offers fewer and all slots by turns and decides.
"""

import collections
import math
import typing

# The speed of an upstream right after its start says nothing about its
# concurrency, seconds.
COLD_S = 4.0
# Latest runs that are kept for each concurrency, and their greatest age in
# seconds.
KEPT_RUNS = 32
MAX_AGE_S = 300.0
MAX_ROUTES = 512
# Least weight of a new run in the mean of its route.
ROUTE_WEIGHT = 0.02
# Largest deviation from the mean logarithm of a route that counts in full: a
# run of a long tail says little about concurrency.
MAX_DEVIATION = 1.5
# An upstream that turns slow for some seconds is full in them, so that service
# times must grow within blocks of this time as well before a trial, seconds.
BLOCK_S = 12.0
# Variance of the logarithm of a service time at least.
MIN_VARIANCE = 0.1
# Knees that are tried: each costs time for every run that is kept.
MAX_KNEES = 8
# Runs needed with all slots in use, and with fewer, before a trial.
MIN_RUNS = 12
# Slots beyond a knee are withheld if the service time grows with them as fast
# as this, as an exponent of the concurrency, and clearly faster than the
# least.  At 1 they add no throughput, at 0 each adds as much as the first.
MIN_SLOPE = 0.9
MIN_CLEAR_SLOPE = 0.4
# Growth within the same time that makes a trial worth while.
LIKELY_SLOPE = 0.7
# A slope is clearly greater if it is so by as many standard errors.
CLEAR_ERRORS = 2.0
# The same before a trial: many runs are evaluated again and again.
SUGGESTING_ERRORS = 3.0
# A trial offers fewer and all slots by turns, so that a change of the speed
# meets both: turns of each, and runs that end in a turn.
TRIAL_TURNS = 3
TURN_RUNS = 6
# Runs are evaluated this far apart outside of trials, in seconds.
CHECK_S = 2.0
# Time until the next trial, in seconds; it grows by a factor each time that a
# trial finds the same.
HOLD_S = 15.0
MAX_HOLD_S = 120.0
HOLD_GROWTH = 2.0


class Change(typing.NamedTuple):
    """A change of the number of slots that are offered.

    :param room: slots that are offered from now on.
    :param announced: slots that the upstream announces.
    :param slowdown: service time with all slots in use, as a multiple of that
        at the knee.
    :param runs: runs that show it.
    """

    room: int
    announced: int
    slowdown: float
    runs: int


class Run(typing.NamedTuple):
    """A run, as it counts.

    :param ended_at: monotonic time of its end in seconds.
    :param running: requests that ran beside it on average, and itself.
    :param excess: logarithm of its service time as a multiple of the mean of
        its route; for a failed run how much more it takes to be served well.
    """

    ended_at: float
    running: float
    excess: float


class Fit(typing.NamedTuple):
    """A curve of service times, flat up to a knee and growing beyond it.

    :param knee: the concurrency at the knee.
    :param slope: growth of the logarithm of the service time with that of the
        concurrency.
    :param error: standard error of the slope.
    :param misfit: sum of the squares that the curve leaves.
    """

    knee: int
    slope: float
    error: float
    misfit: float

    def is_clear(self, errors: float = CLEAR_ERRORS) -> bool:
        """Return whether slots beyond the knee clearly add no throughput."""
        least = self.slope - errors * self.error
        return self.slope >= MIN_SLOPE and least > MIN_CLEAR_SLOPE


class Concurrency:
    """Learns how many requests one upstream should run at once.

    :param announced: requests that it announces to run at once.
    :param began_at: monotonic time in seconds at which it started, or ended
        its announced warm-up; infinite to measure nothing.
    """

    def __init__(self, announced: int, began_at: float) -> None:
        self.announced = announced
        # Slots that are offered now, and while no trial is on.
        self.room = self.settled = announced
        self.began_at = began_at
        # Latest runs by concurrency, and those of the present trial.
        self.runs: dict[int, collections.deque[Run]] = {}
        self.trial_runs: list[Run] = []
        # What is offered until each of the next runs ends, the last one first.
        self.trial: list[int] = []
        self.trial_knee = 0
        # Mean logarithm of the service time of a route, and its runs.
        self.routes: dict[str, tuple[float, int]] = {}
        # The curve that runs clearly showed when they were last evaluated.
        self.shown: Fit | None = None
        self.checked_at = -math.inf
        self.hold_s = HOLD_S
        self.held_until = -math.inf

    def announce(self, announced: int) -> None:
        """Apply another number of announced slots."""
        if announced != self.announced:
            self.announced = self.room = self.settled = announced
            self.trial, self.held_until = [], -math.inf
            self.shown = None

    def record_success(
        self, route: str, running: float, took_s: float, now: float
    ) -> Change | None:
        """Record a run with a good answer; return a change of the room.

        :param route: key of its route.
        :param running: requests that ran beside it on average, and itself.
        :param took_s: its service time in seconds.
        :param now: monotonic time in seconds.
        """
        if now - took_s < self.began_at + COLD_S or took_s <= 0.0:
            return None
        found = math.log(took_s)
        mean, count = self.routes.pop(route, (found, 0))
        excess = min(max(found - mean, -MAX_DEVIATION), MAX_DEVIATION)
        mean += max(1.0 / (count + 1), ROUTE_WEIGHT) * excess
        self.routes[route] = (mean, count + 1)
        if len(self.routes) > MAX_ROUTES:
            del self.routes[next(iter(self.routes))]
        return self._record(Run(now, running, excess))

    def record_failure(self, running: float, now: float) -> Change | None:
        """Record a run that failed or was shed; return a change of the room.

        A further run serves the request.

        :param running: requests that ran beside it on average, and itself.
        :param now: monotonic time in seconds.
        """
        if now < self.began_at + COLD_S:
            return None
        return self._record(Run(now, running, math.log(2.0)))

    def slowdown(self, running: int) -> float:
        """Return the service time at a concurrency, as a multiple.

        Of the mean over the runs that were measured; 1 unless it clearly
        grows with the concurrency.
        """
        if self.shown is None:
            return 1.0
        runs = self._kept()
        parts = [_beyond(run.running, self.shown.knee) for run in runs]
        more = _beyond(running, self.shown.knee) - sum(parts) / len(parts)
        return math.exp(self.shown.slope * max(more, 0.0))

    def curve(self) -> list[tuple[int, float]]:
        """Return the measured concurrencies and their mean service times.

        As multiples of that at the least concurrency that was measured.
        """
        measured = [
            (running, sum(run.excess for run in runs) / len(runs))
            for running, runs in sorted(self.runs.items())
            if runs
        ]
        return [
            (running, math.exp(mean - measured[0][1]))
            for running, mean in measured
        ]

    def _record(self, run: Run) -> Change | None:
        level = min(max(math.floor(run.running + 0.5), 1), self.announced)
        runs = self.runs.setdefault(level, collections.deque(maxlen=KEPT_RUNS))
        runs.append(run)
        for one in self.runs.values():
            while one and one[0].ended_at < run.ended_at - MAX_AGE_S:
                one.popleft()
        if self.trial:
            return self._advance_trial(run)
        if level == self.announced or self.settled < self.announced:
            self._consider_trial(run.ended_at)
        return None

    def _kept(self) -> list[Run]:
        return [run for runs in self.runs.values() for run in runs]

    def _consider_trial(self, now: float) -> None:
        """Begin a trial if runs suggest one, or the last one is long ago."""
        if now < max(self.held_until, self.checked_at + CHECK_S):
            return
        self.checked_at = now
        if self.settled < self.announced:
            # The curve may have changed.
            self._begin_trial(self.settled)
            return
        runs = self._kept()
        full = len(self.runs.get(self.announced, ()))
        if full < MIN_RUNS or len(runs) - full < MIN_RUNS:
            return
        best = best_fit(runs, self.announced)
        clear = best is not None and best.is_clear(SUGGESTING_ERRORS)
        self.shown = best if clear else None
        if self.shown is None:
            return
        at_once = fit(runs, self.shown.knee, BLOCK_S)
        if at_once is not None and at_once.slope > LIKELY_SLOPE:
            self._begin_trial(self.shown.knee)

    def _begin_trial(self, knee: int) -> None:
        self.trial_knee = knee
        self.trial_runs = []
        self.trial = [
            room
            for room in (self.announced, knee) * TRIAL_TURNS
            for _ in range(TURN_RUNS)
        ]
        self.room = self.trial[-1]

    def _advance_trial(self, run: Run) -> Change | None:
        """Count a run in the trial; return the change that its end brings."""
        self.trial_runs.append(run)
        self.trial.pop()
        if self.trial:
            self.room = self.trial[-1]
            return None
        shown = fit(self.trial_runs, self.trial_knee)
        at_once = fit(self.trial_runs, self.trial_knee, BLOCK_S)
        clear = (
            shown is not None
            and at_once is not None
            and shown.is_clear()
            and at_once.is_clear()
        )
        self.shown = shown if clear else None
        room = self.trial_knee if clear else self.announced
        same = room == self.settled
        self.hold_s = (
            min(HOLD_GROWTH * self.hold_s, MAX_HOLD_S) if same else HOLD_S
        )
        self.held_until = run.ended_at + self.hold_s
        self.settled = self.room = room
        if same or shown is None:
            return None
        slower = math.exp(shown.slope * _beyond(self.announced, shown.knee))
        return Change(room, self.announced, slower, len(self.trial_runs))


def best_fit(runs: typing.Sequence[Run], announced: int) -> Fit | None:
    """Return the curve that fits runs best; None if they show none."""
    step = max(announced // MAX_KNEES, 1)
    fits = [fit(runs, knee) for knee in range(1, announced, step)]
    return min(
        (one for one in fits if one is not None),
        key=lambda one: one.misfit,
        default=None,
    )


def fit(
    runs: typing.Sequence[Run], knee: int, block_s: float = math.inf
) -> Fit | None:
    """Fit a curve with a given knee to runs; None if it can't be fitted.

    :param block_s: runs are compared with those of the same block of time,
        in seconds.
    """
    blocks = collections.defaultdict(list)
    for run in runs:
        point = (_beyond(run.running, knee), run.excess)
        blocks[run.ended_at // block_s].append(point)
    count = len(runs) - len(blocks)
    spread = product = total = 0.0
    for points in blocks.values():
        mean_x = sum(x for x, _y in points) / len(points)
        mean_y = sum(y for _x, y in points) / len(points)
        spread += sum((x - mean_x) ** 2 for x, _y in points)
        product += sum((x - mean_x) * (y - mean_y) for x, y in points)
        total += sum((y - mean_y) ** 2 for _x, y in points)
    if spread <= 0.0 or count < 2:
        return None
    slope = product / spread
    misfit = total - slope * product
    variance = max(misfit / (count - 1), MIN_VARIANCE)
    return Fit(knee, slope, math.sqrt(variance / spread), misfit)


def mean_running(began: int, ended: int) -> float:
    """Return the concurrency of a run.

    :param began: requests that ran when it began, and itself.
    :param ended: the same when it ended.
    """
    return (began + ended) / 2.0


def _beyond(running: float, knee: int) -> float:
    """Return the logarithm of a concurrency as a multiple of a knee."""
    return math.log(max(running / knee, 1.0))
