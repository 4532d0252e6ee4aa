"""The nodes that report to the coordinator of a service."""

import math
import typing

# A node that has not reported for this time no longer counts, seconds.
FORGET_S = 60.0
# Cells of good answers that a coordinator accepts for one service, a second;
# with more, their report interval is lengthened.
CELLS_PER_S = 300.0
MIN_INTERVAL_S = 1.0
MAX_INTERVAL_S = 120.0
# Time constant of the decay of a node's work, seconds.
DECAY_S = 10.0
SUM_INTERVAL_S = 1.0
# With up to this many nodes, reports of one alone are enough.
MAX_SOLE_REPORTERS = 2


class ReportingNode(typing.NamedTuple):
    """One reporting node.

    :param address: for datagrams.
    :param data_centre: its data centre.
    :param reported_at: time of its last report.
    :param work: recent attempts, decayed.
    :param cells: average number of cells in a report.
    :param offers_copies: whether it offers copies as trials.
    :param path_suspected: whether it suspects its own network path.
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
        """Add a report.

        :param new: the values of this report alone.
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
        """Remove nodes that no longer report."""
        self.by_host = {
            host: reporter
            for host, reporter in self.by_host.items()
            if now - reporter.reported_at <= FORGET_S
        }

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the nodes."""
        return tuple(one.address for one in self.by_host.values())

    def any_copies(self) -> bool:
        """Return whether any node offers copies."""
        return any(one.offers_copies for one in self.by_host.values())

    def believable(self, path_suspected: bool) -> bool:
        """Return whether a node's failures are evidence against upstreams.

        A node that fails to reach most upstreams has a fault of its own,
        unless half of the nodes report the same.
        """
        if not path_suspected:
            return True
        suspects = sum(one.path_suspected for one in self.by_host.values())
        return 2 * suspects >= len(self.by_host) > 1

    def share(self, host: str) -> float:
        """Return a node's share of the service's recent attempts."""
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
        """Add up the work of all nodes, unless that was done recently."""
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
        """Return how often a node should report good answers, seconds."""
        cells = sum(one.cells for one in self.by_host.values())
        interval = cells / CELLS_PER_S
        return min(max(interval, MIN_INTERVAL_S), MAX_INTERVAL_S)
