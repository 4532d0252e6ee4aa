"""How nodes report on one service: latency bounds and intervals."""

import itertools
import typing

from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import reporting_nodes

# Least time between computations of the bounds, seconds: shorter in the first
# phase, since without bounds a hang shows only at its timeout.
FIRST_INTERVAL_S = 1.0
INTERVAL_S = 5.0
FIRST_PHASE_S = 20.0
# Smaller relative changes of a bound are not sent; for intervals the limit is
# twice this.
MIN_CHANGE = 0.15
# Reports of bad attempts that a coordinator accepts for one service, a second.
URGENT_PER_S = 250.0
MIN_SPACING_S = 0.1
# Above this many requests a second, slow answers (one in a hundred) are
# reported along with the good ones.
BUSY_PER_S = 1000.0
# Bounds of this many routes fit a datagram.
ROUTES_PER_DATAGRAM = 24


class Pacer:
    """Computes the pace of reports on one service.

    :param service: its name.
    :param now: monotonic time.
    """

    def __init__(self, service: str, now: float) -> None:
        self.service = service
        self.started_at = now
        self.updated_at = now
        self.version = 0
        self.bounds: dict[int, levels.Bounds] = {}
        self.interval_s = reporting_nodes.MIN_INTERVAL_S
        self.min_spacing_s = MIN_SPACING_S
        self.urgent_level = levels.SLOW

    def update(
        self,
        routes: levels.RouteLatencies,
        reporters: reporting_nodes.ReportingNodes,
        rate: float,
        min_latency_s: float,
        now: float,
    ) -> None:
        """Compute the pace again when it is due.

        :param rate: requests a second of the service.
        :param min_latency_s: see ``tuning.Tuning``.
        """
        first = now - self.started_at < FIRST_PHASE_S
        if now - self.updated_at < (FIRST_INTERVAL_S if first else INTERVAL_S):
            return
        self.updated_at = now
        bounds = routes.bounds(min_latency_s, now)
        interval = reporters.report_interval_s()
        spacing = len(reporters.by_host) / URGENT_PER_S
        spacing = max(spacing, MIN_SPACING_S)
        level = levels.SLOW if rate < BUSY_PER_S else levels.LATE
        changed = (
            _bounds_differ(self.bounds, bounds)
            or _differs(self.interval_s, interval)
            or _differs(self.min_spacing_s, spacing)
            or self.urgent_level != level
        )
        if changed:
            self.version += 1
            self.bounds, self.urgent_level = bounds, level
            self.interval_s, self.min_spacing_s = interval, spacing

    def pace_messages(self) -> tuple[messages.Pace, ...]:
        """Return the messages to a node."""
        rows = [
            messages.RouteBounds(route, tuple(int(x * 1e6) for x in bounds))
            for route, bounds in sorted(self.bounds.items())
        ]
        chunks = [
            tuple(rows[start : start + ROUTES_PER_DATAGRAM])
            for start in range(0, max(len(rows), 1), ROUTES_PER_DATAGRAM)
        ]
        return tuple(
            messages.Pace(
                self.service,
                self.version,
                int(self.interval_s * 1000),
                int(self.min_spacing_s * 1000),
                self.urgent_level,
                chunk,
            )
            for chunk in chunks
        )


def _differs(old: float, new: float) -> bool:
    return abs(new - old) > MIN_CHANGE * 2 * old


def _bounds_differ(
    old: dict[int, levels.Bounds], new: dict[int, levels.Bounds]
) -> bool:
    if old.keys() != new.keys():
        return True
    pairs: typing.Iterable = itertools.chain.from_iterable(
        zip(old[route], new[route]) for route in old
    )
    return any(abs(b - a) > MIN_CHANGE * a for a, b in pairs)
