"""Notices that all upstreams of a service are bad at once.

Ejecting some of them then helps nobody: the cause is elsewhere, and what is
ejected is missing.  All are used again until some of them recover.
"""

from carawaystair import interfaces
from carawaystair.outlier import evidence_pool
from carawaystair.outlier import record_store

# All upstreams are bad when so many of those judged fail so many of their
# attempts.  Slowness of the remaining ones under the load of the ejected does
# not reach it.
MIN_BAD_SHARE = 0.75
MIN_FAILED_SHARE = 0.6
# An upstream is judged from so many attempts of late.
MIN_ATTEMPTS = 2.0
MIN_UPSTREAMS = 2
# It is over when fewer than this were bad for so long.
RECOVERED_SHARE = 0.4
RECOVERED_S = 3.0
CHECK_INTERVAL_S = 0.25


class ServiceOutage:
    """Watches one service.

    :param ledger: its upstreams.
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
        """Look again.

        :return: whether all upstreams have just turned bad.
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
        out = {
            record.upstream
            for record in self.store.unhealthy()
            if record.out_of_service
        }
        eligible = [one for one in table.values() if self._counted(one, out)]
        means = [self.pool.recent.get(one.id, now) for one in eligible]
        means = [mean for mean in means if mean.count >= MIN_ATTEMPTS]
        if len(means) < MIN_UPSTREAMS:
            return 0.0
        bad = sum(
            mean.failed >= mean.count * MIN_FAILED_SHARE for mean in means
        )
        return bad / len(means)

    def _counted(self, upstream: interfaces.Upstream, out: set) -> bool:
        return upstream.id not in out and self.store.index.eligible(upstream)
