"""How long the runs of a route may take, by the longest of many runs.

A mean says little about long runs, and those that end first are the short
ones.  The longest of many runs is a bound whatever their distribution: the
next run exceeds it once in as many cases.
"""

import functools
import itertools
import typing

# Runs of which the longest is known, at most; the window before counts as
# well, so that a change of the service shows after twice as many.
WINDOW_RUNS = 300
MAX_ROUTES = 512
# Processes whose runs count beside the own ones, the last to tell.
MAX_TELLERS = 8


class Seen(typing.NamedTuple):
    """Runs of one route that have ended with a good answer.

    :param runs: how many.
    :param longest_s: duration of the longest, seconds.
    """

    runs: int = 0
    longest_s: float = 0.0

    def joined(self, other: 'Seen') -> 'Seen':
        """Return these runs and others as one."""
        return Seen(
            self.runs + other.runs, max(self.longest_s, other.longest_s)
        )


NONE = Seen()


class RunTimes:
    """The runs of one service that one process knows of, by route.

    Those that other processes have observed count as well: one that has just
    started knows by itself only the runs that were short.
    """

    def __init__(self) -> None:
        # What others have observed, by process.
        self.told: dict[str, dict[str, Seen]] = {}
        # The current window of each route, and the one before.
        self.windows: dict[str, tuple[Seen, Seen]] = {}
        # Routes and starts of the runs in progress, by their numbers.
        self.running: dict[int, tuple[str, float]] = {}
        self.numbers = itertools.count()

    def begin(self, route: str, now: float) -> int:
        """Record that a run begins.

        A request may run at two upstreams of one host at the same time.

        :param route: key of its route.
        :param now: monotonic time in seconds.
        :return: the number of the run, for :meth:`end`.
        """
        number = next(self.numbers)
        self.running[number] = (route, now)
        return number

    def end(self, number: int, good: bool, now: float) -> None:
        """Record the end of a run; only those that were good are counted.

        The duration of others is that of a failure, or of the patience of
        whoever gave up.
        """
        route, began = self.running.pop(number)
        if good:
            self._record(route, now - began)

    def _record(self, route: str, took_s: float) -> None:
        current, former = self.windows.pop(route, (NONE, NONE))
        if current.runs >= WINDOW_RUNS:
            current, former = NONE, current
        self.windows[route] = current.joined(Seen(1, took_s)), former
        if len(self.windows) > MAX_ROUTES:
            del self.windows[next(iter(self.windows))]

    def ended(self, route: str) -> Seen:
        """Return the runs of a route that have ended."""
        current, former = self.windows.get(route, (NONE, NONE))
        return current.joined(former)

    def latest(self, count: int) -> typing.Iterator[tuple[str, Seen]]:
        """Yield the routes that had the last runs, with their ended runs."""
        routes = itertools.islice(reversed(self.windows), count)
        return ((route, self.ended(route)) for route in routes)

    def hear(self, process: str, routes: dict[str, Seen]) -> None:
        """Record what another process has observed; replaces earlier news.

        :param process: identifies it.
        :param routes: its ended runs, by route.
        """
        self.told.pop(process, None)
        self.told[process] = routes
        if len(self.told) > MAX_TELLERS:
            del self.told[next(iter(self.told))]

    def seen(self, route: str) -> Seen:
        """Return the ended runs of a route, here and elsewhere."""
        elsewhere = (routes.get(route, NONE) for routes in self.told.values())
        return functools.reduce(Seen.joined, elsewhere, self.ended(route))

    def oldest_s(self, route: str, now: float) -> float:
        """Return how long the oldest run in progress has taken, seconds."""
        return max(
            (
                now - began
                for other, began in self.running.values()
                if other == route
            ),
            default=0.0,
        )
