"""The room that upstreams are expected to have, by reports that age.

A report says how full an upstream was.  Requests end and others begin, so
that after about a service time it says no more than the mean of its service.
"""

import math

# Weight of a new report in the mean.
NEW_REPORT_WEIGHT = 0.1
# Occupancy assumed before the first report.
INITIAL_MEAN = 0.5


class ExpectedRoom:
    """Expected occupancy of the upstreams that one node knows."""

    def __init__(self) -> None:
        self.mean = INITIAL_MEAN

    def record(self, requests: int, slots: int) -> None:
        """Record a reported occupancy.

        :param requests: requests that run or wait.
        """
        occupancy = requests / max(slots, 1)
        self.mean += NEW_REPORT_WEIGHT * (occupancy - self.mean)

    def occupancy(
        self, requests: int, slots: int, service_s: float, age_s: float
    ) -> float:
        """Return the expected occupancy now, in requests a slot.

        :param requests: requests that ran or waited when it was reported.
        :param service_s: mean service time, seconds.
        :param age_s: age of the report, seconds.
        """
        reported = requests / max(slots, 1)
        weight = math.exp(-age_s / max(service_s, 0.01))
        return self.mean + weight * (reported - self.mean)
