"""How nodes report on one service: bounds of its routes, and how often."""

import itertools
import typing

from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import reporting_nodes

# Bounds are worked out this often at most, seconds: at first soon, since
# without bounds a hang shows at its timeout only.
FIRST_EVERY_S = 1.0
EVERY_S = 5.0
FIRST_S = 20.0
# A change of a bound by less than this is not told.
CHANGE = 0.15
# Reports of bad attempts that a coordinator takes for one service, a second.
URGENT_A_SECOND = 250.0
LEAST_SPACING_S = 0.1
# Above this many requests a second the one in a hundred that is merely slow
# is told with the good ones.
BUSY = 1000.0
# Bounds of so many routes fit a datagram.
CHUNK = 24


class Pacer:
    """Works out the pace of one service.

    :param service: its name.
    :param now: monotonic time.
    """

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.began = now
        self.looked = now
        self.version = 0
        self.bounds: dict[int, levels.Bounds] = {}
        self.every_s = reporting_nodes.LEAST_EVERY_S
        self.spacing_s = LEAST_SPACING_S
        self.urgent_level = levels.SLOW

    def look(
        self,
        routes: levels.Routes,
        reporters: reporting_nodes.Reporters,
        rate: float,
        least_s: float,
        now: float,
    ) -> None:
        """Work out the pace again when it is time to.

        :param rate: requests a second of the service.
        :param least_s: see ``tuning.Tuning``.
        """
        first = now - self.began < FIRST_S
        if now - self.looked < (FIRST_EVERY_S if first else EVERY_S):
            return
        self.looked = now
        bounds = routes.bounds(least_s, now)
        every = reporters.every_s()
        spacing = len(reporters.table) / URGENT_A_SECOND
        spacing = max(spacing, LEAST_SPACING_S)
        level = levels.SLOW if rate < BUSY else levels.LATE
        changed = (
            _differ(self.bounds, bounds)
            or _far(self.every_s, every)
            or _far(self.spacing_s, spacing)
            or self.urgent_level != level
        )
        if changed:
            self.version += 1
            self.bounds, self.urgent_level = bounds, level
            self.every_s, self.spacing_s = every, spacing

    def messages(self) -> tuple[messages.Pace, ...]:
        """Return what a node is told."""
        rows = [
            messages.RouteBounds(route, tuple(int(x * 1e6) for x in bounds))
            for route, bounds in sorted(self.bounds.items())
        ]
        chunks = [
            tuple(rows[start : start + CHUNK])
            for start in range(0, max(len(rows), 1), CHUNK)
        ]
        return tuple(
            messages.Pace(
                self.service,
                self.version,
                int(self.every_s * 1000),
                int(self.spacing_s * 1000),
                self.urgent_level,
                chunk,
            )
            for chunk in chunks
        )


def _far(old: float, new: float) -> bool:
    return abs(new - old) > CHANGE * 2 * old


def _differ(
    old: dict[int, levels.Bounds], new: dict[int, levels.Bounds]
) -> bool:
    if old.keys() != new.keys():
        return True
    pairs: typing.Iterable = itertools.chain.from_iterable(
        zip(old[route], new[route]) for route in old
    )
    return any(abs(b - a) > CHANGE * a for a, b in pairs)
