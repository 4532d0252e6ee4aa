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
SHARE = 0.75
FAILED = 0.6
# An upstream is judged from so many attempts of late.
ATTEMPTS = 2.0
LEAST_UPSTREAMS = 2
# It is over when fewer than this were bad for so long.
CALM_SHARE = 0.4
CALM_S = 3.0
LOOK_EVERY_S = 0.25


class AllBad:
    """Watches one service.

    :param ledger: its upstreams.
    :param pool: their evidence.
    """

    def __init__(
        self, ledger: record_store.Ledger, pool: evidence_pool.Pool
    ) -> None:
        self.ledger = ledger
        self.pool = pool
        self.active = False
        self.bad_time = 0.0
        self.looked = -1e9

    def tick(self, now: float) -> bool:
        """Look again.

        :return: whether all upstreams have just turned bad.
        """
        if now - self.looked < LOOK_EVERY_S:
            return False
        self.looked = now
        share = self._share(now)
        if not self.active and share >= SHARE:
            self.active = True
            self.bad_time = now
            text = 'Ejections have stopped and every upstream is used.'
            self.ledger.tell('all-upstreams-bad', '', text)
            return True
        if self.active and share >= CALM_SHARE:
            self.bad_time = now
        if self.active and now - self.bad_time >= CALM_S:
            self.active = False
            text = 'Some upstreams are well again; ejections are resumed.'
            self.ledger.tell('some-upstreams-good', '', text)
        return False

    def _share(self, now: float) -> float:
        table = self.ledger.known.table(self.ledger.service)
        out = {track.upstream for track in self.ledger.held() if track.out}
        judged = [one for one in table.values() if self._judged(one, out)]
        means = [self.pool.recent.of(one.id, now) for one in judged]
        means = [mean for mean in means if mean.count >= ATTEMPTS]
        if len(means) < LEAST_UPSTREAMS:
            return 0.0
        bad = sum(mean.failed >= mean.count * FAILED for mean in means)
        return bad / len(means)

    def _judged(self, upstream: interfaces.Upstream, out: set) -> bool:
        return upstream.id not in out and self.ledger.known.judged(upstream)
