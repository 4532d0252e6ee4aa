"""Evidence of one service, pooled by its coordinator.

Keeps for each upstream and class of customers how many attempts reached each
level, and from the siblings' shares gives every attempt a score, see
``detectors``.  An upstream is compared with its siblings only, and like with
like: a customer whose queries are slow everywhere accuses nobody, and an
upstream under suspicion does not lower the bar for the next.
"""

import array
import math
import typing

from carawaystair.outlier import detectors
from carawaystair.outlier import levels
from carawaystair.outlier import shares

# What holds just now counts for a third after this, seconds: bursts, or a
# service that is slow as a whole.
RECENT_S = 2.0
# It is averaged with so many usual attempts.
RECENT_PRIOR = 8.0
# Shares before anything is known weigh as much as so many attempts; a class
# of customers is taken as the average until it has as many of its own.
PRIOR = 50.0
CLASS_PRIOR = 20.0
USUAL_FAILURES = 0.001
FAILED = frozenset((levels.LATE, levels.OVERDUE, levels.ERROR, levels.BROKEN))
# No share is taken as rarer: the score of a failure is 8.6 at most.
LEAST_SHARE = 0.0005


class Recent(typing.NamedTuple):
    """Scores of late, not compared with those of just now.

    :param count: attempts, decayed.
    :param total: their scores, decayed.
    :param failed: those without an answer or with one far too late.
    :param time: of the last attempt.
    """

    count: float
    total: float
    failed: float
    time: float

    def at(self, now: float) -> 'Recent':
        """Return the same, decayed until ``now``."""
        fade = math.exp((self.time - now) / RECENT_S)
        return Recent(
            self.count * fade, self.total * fade, self.failed * fade, now
        )

    def plus(
        self, count: float, score: float, failed: bool, now: float
    ) -> 'Recent':
        """Return the same with more attempts."""
        old = self.at(now)
        return Recent(
            old.count + count,
            old.total + count * score,
            old.failed + count * failed,
            now,
        )


class Pool:
    """The pooled evidence of one service.

    :param now: monotonic time.
    """

    def __init__(self, now: float) -> None:
        self.began = now
        self.scale = shares.Scale(now)
        self.total = shares.table()
        self.tables: dict[str, array.array] = {}
        self.recent: dict[str, Recent] = {}
        self.all_recent = Recent(0.0, 0.0, 0.0, now)
        self.excluded: set[str] = set()

    def add(
        self,
        upstream: str,
        customer_class: int,
        category: int,
        count: float,
        now: float,
    ) -> float | None:
        """Add attempts.

        :param count: how many; negative to take back.
        :return: the score of each against the siblings of just now, or None
            for what says nothing.
        """
        if category == levels.SILENT:
            return None
        unit = self._unit(now)
        table = self.tables.get(upstream)
        if table is None:
            table = self.tables[upstream] = shares.table()
        score = self._score(upstream, customer_class, category, unit)
        shares.add(table, customer_class, category, count * unit)
        if upstream not in self.excluded:
            shares.add(self.total, customer_class, category, count * unit)
        if category == levels.UNRATED:
            return None
        usual = self._usual(upstream, now)
        self._note(upstream, count, score, category in FAILED, now)
        return score / usual

    def exclude(self, upstream: str) -> None:
        """Leave an upstream out of what siblings are compared with."""
        if upstream in self.excluded:
            return
        self.excluded.add(upstream)
        if upstream in self.tables:
            shares.merge(self.total, self.tables[upstream], -1.0)

    def include(self, upstream: str) -> None:
        """Let an upstream count as a sibling again, from nothing."""
        if upstream in self.excluded:
            self.excluded.discard(upstream)
            self.tables.pop(upstream, None)
            self.recent.pop(upstream, None)

    def forget(self, upstream: str) -> None:
        """Drop an upstream that is gone."""
        self.exclude(upstream)
        self.include(upstream)

    def rate(self, now: float) -> float:
        """Return attempts a second of the upstreams not excluded."""
        attempts = self.total[shares.ALL * shares.WIDTH + shares.ATTEMPTS]
        memory = min(shares.MEMORY_S, max(now - self.began, 1.0))
        return attempts / self.scale.unit(now) / memory

    def class_share(self, customer_class: int) -> float:
        """Return the share of attempts of a class of customers."""
        whole = self.total[shares.ALL * shares.WIDTH + shares.ATTEMPTS]
        part = self.total[customer_class * shares.WIDTH + shares.ATTEMPTS]
        return part / whole if whole > 0.0 else 1.0

    def mean(self, upstream: str, now: float) -> Recent:
        """Return an upstream's scores of late."""
        return self.recent.get(upstream, Recent(0.0, 0.0, 0.0, now)).at(now)

    def _unit(self, now: float) -> float:
        unit = self.scale.unit(now)
        if unit < shares.RESCALE:
            return unit
        for table in (self.total, *self.tables.values()):
            shares.scale(table, 1.0 / unit)
        self.scale = shares.Scale(now)
        return 1.0

    def _note(self, upstream, count, score, failed, now) -> None:
        recent = self.recent.get(upstream, Recent(0.0, 0.0, 0.0, now))
        self.recent[upstream] = recent.plus(count, score, failed, now)
        if upstream not in self.excluded:
            self.all_recent = self.all_recent.plus(count, score, failed, now)

    def _usual(self, upstream: str, now: float) -> float:
        """Return the siblings' mean score of just now, at least 1.0.

        Bad attempts are told at once and good ones later, so the expected
        number of attempts stands in for what is not yet told.
        """
        whole = self.all_recent.at(now)
        count, total = whole.count, whole.total
        if upstream not in self.excluded:
            own = self.mean(upstream, now)
            count, total = count - own.count, total - own.total
        expected = max(count, self.rate(now) * RECENT_S)
        quiet = expected - count + RECENT_PRIOR
        return max((total + quiet) / (count + quiet), 1.0)

    def _score(self, upstream, customer_class, category, unit) -> float:
        own = self.tables.get(upstream)
        own = None if upstream in self.excluded else own

        def share(column: int, whole: int, usual: float) -> float:
            found = usual
            for row, prior in (
                (shares.ALL, PRIOR),
                (customer_class, CLASS_PRIOR),
            ):
                start = row * shares.WIDTH
                part = self.total[start + column]
                full = self.total[start + whole]
                if own is not None:
                    part -= own[start + column]
                    full -= own[start + whole]
                weight = prior * unit
                found = (max(part, 0.0) + weight * found) / (
                    max(full, 0.0) + weight
                )
            return max(found, LEAST_SHARE)

        if category == levels.ERROR:
            return detectors.score(
                share(shares.ERRORS, shares.ATTEMPTS, USUAL_FAILURES)
            )
        if category == levels.BROKEN:
            return detectors.score(
                share(shares.BROKENS, shares.ATTEMPTS, USUAL_FAILURES)
            )
        if category in (levels.UNRATED, levels.UNPROVEN):
            category = levels.LATE
        reached = range(category, min(category + 2, levels.LEVELS))
        return detectors.score(
            *(share(one, 0, levels.USUAL_TAILS[one]) for one in reached)
        )
