"""Detects that all upstreams of a service are bad at once.

Ejecting some of them would not help: the cause is elsewhere, and their
capacity would be missing.  All are used until some of them recover.
"""

from carawaystair import interfaces
from carawaystair.outlier import evidence_pool
from carawaystair.outlier import record_store

# There is an outage when this share of the upstreams with enough attempts fail
# at least this share of them.  Remaining upstreams that are merely slow under
# the load of the ejected ones don't reach it.
MIN_BAD_SHARE = 0.75
MIN_FAILED_SHARE = 0.6
# An upstream counts from this many recent attempts on.
MIN_ATTEMPTS = 2.0
MIN_UPSTREAMS = 2
# The outage ends when a smaller share of upstreams than this has been bad for
# this time.
RECOVERED_SHARE = 0.4
RECOVERED_S = 3.0
CHECK_INTERVAL_S = 0.25


class ServiceOutage:
    """Watches the upstreams of one service.

    :param store: its upstreams.
    :param pool: their evidence.
    """

    def __init__(
        self, store: record_store.RecordStore, pool: evidence_pool.EvidencePool
    ) -> None:
        self.store = store
        self.pool = pool
        self.active = False
        self.last_bad_at = 0.0
        self.checked_at = -1e9

    def tick(self, now: float) -> bool:
        """Check for the start or the end of an outage.

        :return: whether an outage has just started.
        """
        if now - self.checked_at < CHECK_INTERVAL_S:
            return False
        self.checked_at = now
        share = self._failing_share(now)
        if not self.active and share >= MIN_BAD_SHARE:
            self.active = True
            self.last_bad_at = now
            text = 'Ejections have stopped and every upstream is used.'
            self.store.add_event('all-upstreams-bad', '', text)
            return True
        if self.active and share >= RECOVERED_SHARE:
            self.last_bad_at = now
        if self.active and now - self.last_bad_at >= RECOVERED_S:
            self.active = False
            text = 'Some upstreams are well again; ejections are resumed.'
            self.store.add_event('some-upstreams-good', '', text)
        return False

    def _failing_share(self, now: float) -> float:
        table = self.store.index.by_id(self.store.service)
        out_of_service = {
            record.upstream
            for record in self.store.unhealthy()
            if record.out_of_service
        }
        eligible = [
            one for one in table.values() if self._counted(one, out_of_service)
        ]
        means = [self.pool.recent.get(one.id, now) for one in eligible]
        means = [mean for mean in means if mean.count >= MIN_ATTEMPTS]
        if len(means) < MIN_UPSTREAMS:
            return 0.0
        bad = sum(
            mean.failed >= mean.count * MIN_FAILED_SHARE for mean in means
        )
        return bad / len(means)

    def _counted(
        self, upstream: interfaces.Upstream, out_of_service: set
    ) -> bool:
        return upstream.id not in out_of_service and self.store.index.eligible(
            upstream
        )
