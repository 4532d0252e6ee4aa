"""The nodes that report to the coordinator of a service, and their pace."""

import math
import typing

# A node that has not reported for so long no longer counts, seconds.
FORGET_S = 60.0
# Reports of good answers that a coordinator takes for one service, cells a
# second.  Above it the nodes are told to report less often.
CELLS_PER_S = 300.0
MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 120.0
# Work of one node counts for a third after this, seconds.
DECAY_S = 10.0
SUM_INTERVAL_S = 1.0
# Up to so many nodes one alone may convince the coordinator.
MAX_SOLE_REPORTERS = 2


class ReportingNode(typing.NamedTuple):
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
    reported_at: float
    work: float = 0.0
    cells: float = 4.0
    offers_copies: bool = False
    path_suspected: bool = False

    def decayed_work(self, now: float) -> float:
        """Return the work, decayed until ``now``."""
        return self.work * math.exp((self.reported_at - now) / DECAY_S)


class ReportingNodes:
    """All nodes that report on one service."""

    def __init__(self) -> None:
        self.by_host: dict[str, ReportingNode] = {}
        self.total_work = 0.0
        self.work_by_data_centre: dict[str, float] = {}
        self.summed_at = -1e9
        self.newest_report = 0.0

    def update(self, host: str, new: ReportingNode) -> None:
        """Take note of a report.

        :param new: what this report alone says.
        """
        old = self.by_host.get(host)
        if old is not None:
            new = new._replace(
                work=old.decayed_work(new.reported_at) + new.work,
                cells=old.cells + (new.cells - old.cells) * 0.1,
            )
        self.by_host[host] = new
        self.newest_report = new.reported_at

    def remove_silent(self, now: float) -> None:
        """Drop the nodes that no longer report."""
        self.by_host = {
            host: reporter
            for host, reporter in self.by_host.items()
            if now - reporter.reported_at <= FORGET_S
        }

    def addresses(self) -> tuple[str, ...]:
        """Return where the nodes are told."""
        return tuple(one.address for one in self.by_host.values())

    def any_copies(self) -> bool:
        """Tell whether any node offers copies."""
        return any(one.offers_copies for one in self.by_host.values())

    def believable(self, report_suspect: bool) -> bool:
        """Tell whether failures that a node reports accuse upstreams.

        A node that fails to reach most upstreams has a fault of its own,
        unless half of the nodes find the same.
        """
        if not report_suspect:
            return True
        suspects = sum(one.path_suspected for one in self.by_host.values())
        return 2 * suspects >= len(self.by_host) > 1

    def share(self, host: str) -> float:
        """Return a node's share of the service's attempts of late."""
        if len(self.by_host) <= MAX_SOLE_REPORTERS or host not in self.by_host:
            return 1.0
        self._sum_work()
        work = self.by_host[host].decayed_work(self.newest_report)
        return min(work / max(self.total_work, 1e-9), 1.0)

    def data_centre_share(self, data_centre: str) -> float:
        """Return the share of the nodes of a data centre."""
        self._sum_work()
        return min(
            self.work_by_data_centre.get(data_centre, 0.0)
            / max(self.total_work, 1e-9),
            1,
        )

    def _sum_work(self) -> None:
        """Add up the work of all nodes, when that was long ago."""
        newest_report = self.newest_report
        if newest_report - self.summed_at <= SUM_INTERVAL_S:
            return
        self.summed_at = newest_report
        self.work_by_data_centre = {}
        for one in self.by_host.values():
            work = self.work_by_data_centre.get(
                one.data_centre, 0.0
            ) + one.decayed_work(newest_report)
            self.work_by_data_centre[one.data_centre] = work
        self.total_work = sum(self.work_by_data_centre.values())

    def report_interval_s(self) -> float:
        """Return how often a node should report good answers."""
        cells = sum(one.cells for one in self.by_host.values())
        interval = cells / CELLS_PER_S
        return min(max(interval, MIN_INTERVAL_S), MAX_INTERVAL_S)
