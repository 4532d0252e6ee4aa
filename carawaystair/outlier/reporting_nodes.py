"""The nodes that report to the coordinator of a service, and their pace."""

import math
import typing

# A node that has not reported for so long no longer counts, seconds.
FORGET_S = 60.0
# Reports of good answers that a coordinator takes for one service, cells a
# second.  Above it the nodes are told to report less often.
CELLS_A_SECOND = 300.0
LEAST_EVERY_S = 1.0
MOST_EVERY_S = 120.0
# Work of one node counts for a third after this, seconds.
MEMORY_S = 10.0
SUM_EVERY_S = 1.0
# Up to so many nodes one alone may convince the coordinator.
FEW = 2


class Reporter(typing.NamedTuple):
    """One reporting node.

    :param address: for datagrams.
    :param data_centre: where it stands.
    :param time: of its last report.
    :param work: attempts of late, decayed.
    :param cells: cells of a report, averaged.
    :param copies: whether it offers copies as trials.
    :param suspect: whether it suspects its own path.
    """

    address: str
    data_centre: str
    time: float
    work: float = 0.0
    cells: float = 4.0
    copies: bool = False
    suspect: bool = False

    def at(self, now: float) -> float:
        """Return the work, decayed until ``now``."""
        return self.work * math.exp((self.time - now) / MEMORY_S)


class Reporters:
    """All nodes that report on one service."""

    def __init__(self) -> None:
        self.table: dict[str, Reporter] = {}
        self.sum = 0.0
        self.places: dict[str, float] = {}
        self.summed = -1e9
        self.newest = 0.0

    def note(self, host: str, new: Reporter) -> None:
        """Take note of a report.

        :param new: what this report alone says.
        """
        old = self.table.get(host)
        if old is not None:
            new = new._replace(
                work=old.at(new.time) + new.work,
                cells=old.cells + (new.cells - old.cells) * 0.1,
            )
        self.table[host] = new
        self.newest = new.time

    def forget(self, now: float) -> None:
        """Drop the nodes that no longer report."""
        self.table = {
            host: reporter
            for host, reporter in self.table.items()
            if now - reporter.time <= FORGET_S
        }

    def addresses(self) -> tuple[str, ...]:
        """Return where the nodes are told."""
        return tuple(one.address for one in self.table.values())

    def copies(self) -> bool:
        """Tell whether any node offers copies."""
        return any(one.copies for one in self.table.values())

    def believable(self, report_suspect: bool) -> bool:
        """Tell whether failures that a node reports accuse upstreams.

        A node that fails to reach most upstreams has a fault of its own,
        unless half of the nodes find the same.
        """
        if not report_suspect:
            return True
        suspects = sum(one.suspect for one in self.table.values())
        return 2 * suspects >= len(self.table) > 1

    def share(self, host: str) -> float:
        """Return a node's share of the service's attempts of late."""
        if len(self.table) <= FEW or host not in self.table:
            return 1.0
        self._sum()
        work = self.table[host].at(self.newest)
        return min(work / max(self.sum, 1e-9), 1.0)

    def place_share(self, data_centre: str) -> float:
        """Return the share of the nodes of a data centre."""
        self._sum()
        return min(self.places.get(data_centre, 0.0) / max(self.sum, 1e-9), 1)

    def _sum(self) -> None:
        """Add up the work of all nodes, when that was long ago."""
        newest = self.newest
        if newest - self.summed <= SUM_EVERY_S:
            return
        self.summed = newest
        self.places = {}
        for one in self.table.values():
            work = self.places.get(one.data_centre, 0.0) + one.at(newest)
            self.places[one.data_centre] = work
        self.sum = sum(self.places.values())

    def every_s(self) -> float:
        """Return how often a node should report good answers."""
        cells = sum(one.cells for one in self.table.values())
        every = cells / CELLS_A_SECOND
        return min(max(every, LEAST_EVERY_S), MOST_EVERY_S)
