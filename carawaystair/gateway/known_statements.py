"""What a caller's node knows of the statements of upstreams.

A gateway forgets what its upstream stated when its process starts again, while
the upstream goes on.  The nodes that passed on such answers remember, and tell
the gateway with each request.
"""

import typing

from carawaystair import interfaces
from carawaystair.load import upstream_selection

# For how long a limit is told to a gateway, in seconds.  It counts there only
# until the first answer of the upstream.
LIMIT_RETENTION_S = 30.0
# The same for a leave: an upstream that leaves ends within this time.
LEAVE_RETENTION_S = 120.0
# Upstreams that are remembered; a node passes on answers of far fewer.
MAX_UPSTREAMS = 4096


class Known(typing.NamedTuple):
    """What is known of one upstream.

    :param incarnation: the incarnation that stated it.
    :param leaving: whether it stated that it leaves.
    :param limit_milli: the limit that it stated last, in thousandths of
        requests a second; 0 if none.
    :param heard_at: monotonic time of the last report.
    """

    incarnation: int = 0
    leaving: bool = False
    limit_milli: int = 0
    heard_at: float = 0.0


UNKNOWN = Known()


class KnownStatements:
    """The statements that one node knows."""

    def __init__(self) -> None:
        self.by_upstream: dict[str, Known] = {}

    def record(
        self, upstream: str, report: upstream_selection.LoadReport, now: float
    ) -> None:
        """Record a report of the gateway of an upstream.

        :param upstream: id of the upstream.
        """
        known = self.by_upstream.pop(upstream, UNKNOWN)
        if report.incarnation >= known.incarnation:
            same = report.incarnation == known.incarnation
            known = Known(
                report.incarnation,
                report.leaving or (same and known.leaving),
                report.limit_milli,
                now,
            )
        if known.leaving or known.limit_milli:
            self.by_upstream[upstream] = known
            if len(self.by_upstream) > MAX_UPSTREAMS:
                del self.by_upstream[next(iter(self.by_upstream))]

    def is_leaving(self, upstream: interfaces.Upstream) -> bool:
        """Return whether an upstream stated in an answer that it leaves."""
        known = self.by_upstream.get(upstream.id, UNKNOWN)
        return known.leaving and upstream.incarnation <= known.incarnation

    def to_tell(self, upstream: str, now: float) -> Known:
        """Return what to tell the gateway of an upstream."""
        known = self.by_upstream.get(upstream, UNKNOWN)
        age_s = now - known.heard_at
        if age_s > LEAVE_RETENTION_S:
            return UNKNOWN
        if age_s > LIMIT_RETENTION_S:
            known = known._replace(limit_milli=0)
        return known if known.leaving or known.limit_milli else UNKNOWN
