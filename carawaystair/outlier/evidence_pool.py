"""Evidence of one service, pooled by its coordinator.

Keeps for each upstream and class of customers how many attempts reached each
level, and scores every attempt by the siblings' shares, see ``detectors``.  An
upstream is compared with its siblings only, and within the same class of
customers: a customer whose queries are slow everywhere is no evidence against
any upstream, and a suspected upstream does not lower the bar for the next.
"""

import array
import math

from carawaystair.outlier import detectors
from carawaystair.outlier import level_counts
from carawaystair.outlier import levels
from carawaystair.outlier import recent_scores

# Initial shares weigh as much as this many attempts; the shares of a class of
# customers start from the average of all classes.
PRIOR_ATTEMPTS = 50.0
CLASS_PRIOR_ATTEMPTS = 20.0
USUAL_FAILURE_SHARE = 0.001
FAILED = frozenset(
    (
        levels.LATE,
        levels.OVERDUE,
        levels.ERROR,
        levels.BROKEN,
        levels.unproven(levels.LATE),
        levels.unproven(levels.OVERDUE),
    )
)
# Lower limit of a share: the score of a failure is 8.6 at most.
MIN_SHARE = 0.0005


class EvidencePool:
    """The pooled evidence of one service.

    :param now: monotonic time.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.scale = level_counts.DecayScale(now)
        self.total = level_counts.empty_table()
        self.tables: dict[str, array.array] = {}
        self.recent = recent_scores.RecentScores()
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

        :param count: how many; negative to retract.
        :return: the score of each relative to that of the siblings at present,
            or None for what is no evidence.
        """
        if category == levels.SILENT:
            return None
        unit = self._unit(now)
        table = self.tables.get(upstream)
        if table is None:
            table = self.tables[upstream] = level_counts.empty_table()
        score = self._score(upstream, customer_class, category, unit)
        level_counts.add(table, customer_class, category, count * unit)
        if upstream not in self.excluded:
            level_counts.add(
                self.total, customer_class, category, count * unit
            )
        if category == levels.UNRATED:
            return None
        typical = self.recent.typical_score(upstream, now)
        self.recent.add(upstream, count, score, category in FAILED, now)
        return score / typical

    def exclude(self, upstream: str) -> None:
        """Exclude an upstream from the siblings used for comparison."""
        if upstream in self.excluded:
            return
        self.excluded.add(upstream)
        if upstream in self.tables:
            level_counts.merge(self.total, self.tables[upstream], -1.0)

    def include(self, upstream: str) -> None:
        """Include an upstream again, with its counts at zero."""
        if upstream in self.excluded:
            self.excluded.discard(upstream)
            self.tables.pop(upstream, None)

    def remove(self, upstream: str) -> None:
        """Remove an upstream that is gone."""
        self.exclude(upstream)
        self.include(upstream)
        self.recent.remove(upstream)

    def rate(self, now: float) -> float:
        """Return attempts a second at the upstreams not excluded."""
        attempts = self.total[
            level_counts.ALL_CLASSES * level_counts.WIDTH
            + level_counts.ATTEMPTS
        ]
        # A decayed sum covers less than its time constant at first.
        age = max(now - self.started_at, 1.0)
        memory = level_counts.DECAY_S * -math.expm1(
            -age / level_counts.DECAY_S
        )
        return attempts / self.scale.unit(now) / memory

    def class_share(self, customer_class: int) -> float:
        """Return the share of a class of customers in all attempts."""
        whole = self.total[
            level_counts.ALL_CLASSES * level_counts.WIDTH
            + level_counts.ATTEMPTS
        ]
        part = self.total[
            customer_class * level_counts.WIDTH + level_counts.ATTEMPTS
        ]
        return part / whole if whole > 0.0 else 1.0

    def _unit(self, now: float) -> float:
        unit = self.scale.unit(now)
        if unit < level_counts.RESCALE:
            return unit
        for table in (self.total, *self.tables.values()):
            level_counts.scale(table, 1.0 / unit)
        self.scale = level_counts.DecayScale(now)
        return 1.0

    def _score(self, upstream, customer_class, category, unit) -> float:
        own = self.tables.get(upstream)
        own = None if upstream in self.excluded else own

        def share(column: int, whole: int, usual: float) -> float:
            found = usual
            for row, prior in (
                (level_counts.ALL_CLASSES, PRIOR_ATTEMPTS),
                (customer_class, CLASS_PRIOR_ATTEMPTS),
            ):
                start = row * level_counts.WIDTH
                part = self.total[start + column]
                full = self.total[start + whole]
                if own is not None:
                    part -= own[start + column]
                    full -= own[start + whole]
                weight = prior * unit
                found = (max(part, 0.0) + weight * found) / (
                    max(full, 0.0) + weight
                )
            return max(found, MIN_SHARE)

        if category == levels.ERROR:
            return detectors.mean_score(
                share(
                    level_counts.ERRORS,
                    level_counts.ATTEMPTS,
                    USUAL_FAILURE_SHARE,
                )
            )
        if category == levels.BROKEN:
            return detectors.mean_score(
                share(
                    level_counts.NO_ANSWER,
                    level_counts.ATTEMPTS,
                    USUAL_FAILURE_SHARE,
                )
            )
        if category == levels.UNRATED:
            return 1.0
        if category >= levels.UNPROVEN:
            category = levels.proven(category)
        reached = range(category, min(category + 2, levels.LEVELS))
        return detectors.mean_score(
            *(share(one, 0, levels.USUAL_TAILS[one]) for one in reached)
        )
