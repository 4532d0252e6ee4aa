"""Adds reports of nodes to the pooled evidence of one service."""

import typing

from carawaystair.outlier import baseline as baselines
from carawaystair.outlier import detectors
from carawaystair.outlier import evidence_pool
from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import record_store
from carawaystair.outlier import reporting_nodes
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import upstream_record

# Categories that count as bad attempts of an episode.
BAD = frozenset(
    (
        levels.SLOW,
        levels.LATE,
        levels.OVERDUE,
        levels.ERROR,
        levels.BROKEN,
        *range(levels.UNPROVEN, levels.REPORTED_UNHEALTHY),
    )
)
# Bad attempts that one node adds to an episode at most, since its own path may
# be at fault, unless it carries a large share of the work.
MAX_BAD_PER_NODE = 2.0
LARGE_SHARE = 0.4
# Health endpoints lag or mislead.  An unhealthy result counts as one slow
# answer, too little to make an upstream suspected by itself; a healthy one
# brings the next trial forward.  Neither counts more often than this, seconds.
UNHEALTHY_SCORE = 3.0
HEALTHY_TRIAL_WAIT_S = 1.0
HINT_INTERVAL_S = 5.0


class Ingestion:
    """Adds reports to the evidence.

    :param store: records of the upstreams.
    :param pool: the attempts are added to it.
    :param detector: the scores of attempts are added to it.
    :param reporters: the reporting nodes.
    :param routes: the latencies are added to it.
    """

    def __init__(
        self,
        store: record_store.RecordStore,
        pool: evidence_pool.EvidencePool,
        detector: detectors.Detector,
        reporters: reporting_nodes.ReportingNodes,
        routes: levels.RouteLatencies,
    ) -> None:
        self.store = store
        self.pool = pool
        self.detector = detector
        self.reporters = reporters
        self.baseline = baselines.Baseline(store, routes)

    def ingest(
        self, report: messages.Report, address: str, now: float
    ) -> typing.Iterable[str]:
        """Add one report.

        :param address: of the reporting node, for datagrams.
        :return: ids of the upstreams in it, to be decided on.
        """
        self._update_reporter(report, address, now)
        self.baseline.add_samples(report.samples, now)
        table = self.store.index.by_id(report.service)
        cells = [
            cell
            for cell in report.cells
            if cell.upstream in table
            and self.store.index.eligible(table[cell.upstream])
            and len(cell.counts) == levels.CATEGORIES
        ]
        for cell in cells:
            self._ingest_cell(cell, report, now)
        return sorted({cell.upstream for cell in cells})

    def _update_reporter(self, report, address, now) -> None:
        work = sum(
            count
            for cell in report.cells
            for count in cell.counts
            if count > 0
        )
        self.reporters.update(
            report.host,
            reporting_nodes.ReportingNode(
                address,
                report.data_centre,
                now,
                work / report.cell_share,
                len(report.cells) / report.cell_share,
                report.offers_copies,
                report.path_suspected,
            ),
        )

    def _ingest_cell(self, cell, report, now) -> None:
        bad = any(cell.counts[category] for category in BAD)
        weight = 1.0 if bad else 1.0 / report.cell_share
        self._apply_hint(cell, now)
        # Overdue answers on unproven connections may make an upstream
        # suspected but never eject it: the connections may have gone silent
        # while new ones work.  Retractions still count.
        unproven = cell.counts[levels.UNPROVEN : levels.REPORTED_UNHEALTHY]
        ignore_unproven = sum(unproven) >= 0 and self._suspected(cell.upstream)
        for category, count in enumerate(
            cell.counts[: levels.REPORTED_UNHEALTHY]
        ):
            if count and category in BAD:
                counted = self._add_bad(cell, category, count, report, now)
                if category >= levels.UNPROVEN:
                    counted = self._limit_unproven(
                        cell, counted, ignore_unproven
                    )
                self._observe(cell, category, count, counted, report, now)
            elif count:
                scaled = count * weight
                self._observe(cell, category, scaled, scaled, report, now)
        record = self.store.records.get(cell.upstream)
        if record is not None and cell.test_answers:
            record.good_trials += cell.test_answers
            if record.episode is not None:
                record.episode.add(
                    _source_of(cell, report), 0.0, cell.test_answers
                )

    def _add_bad(self, cell, category, count, report, now) -> float:
        """Add bad attempts to the episode of an upstream.

        :return: how many of them count as evidence.
        """
        if not self.reporters.believable(report.path_suspected):
            count = 0
        record = self.store.get_or_add(cell.upstream, now)
        if record.episode is None or record.episode.ended(now):
            self._reset_group_evidence(record)
            record.episode = scopes.Episode(now)
        episode = record.episode
        before = episode.reporter_bad(report.host)
        episode.add(_source_of(cell, report), count, 0.0)
        if count > 0:
            episode.last_bad_at = now
        if self.reporters.share(report.host) < LARGE_SHARE:
            count = _capped(before, count, MAX_BAD_PER_NODE)
        return count

    def _limit_unproven(self, cell, counted, ignore_unproven) -> float:
        """Return how many unproven attempts count as evidence.

        Attempts that did not count when they were reported must not count when
        they are retracted.
        """
        episode = self.store.records[cell.upstream].episode
        if ignore_unproven:
            return 0.0
        counted = max(counted, -episode.unproven)
        episode.unproven += counted
        return counted

    def _suspected(self, upstream: str) -> bool:
        record = self.store.records.get(upstream)
        return record is not None and record.state != upstream_record.HEALTHY

    def _reset_group_evidence(self, record) -> None:
        if record.episode is not None:
            for key in record.episode.group_keys(record.upstream):
                self.detector.reset(key)

    def _apply_hint(self, cell, now) -> None:
        unhealthy, healthy = cell.counts[levels.REPORTED_UNHEALTHY :]
        record = self.store.records.get(cell.upstream)
        if unhealthy or (healthy and record is not None):
            record = self.store.get_or_add(cell.upstream, now)
            if now - record.hinted_at < HINT_INTERVAL_S:
                return
            record.hinted_at = now
        if unhealthy:
            self.detector.observe(cell.upstream, UNHEALTHY_SCORE, 1.0, now)
        elif (
            healthy
            and record is not None
            and record.state == upstream_record.EJECTED
        ):
            soon = now + HEALTHY_TRIAL_WAIT_S
            record.backoff_until = min(record.backoff_until, soon)

    def _observe(self, cell, category, count, counted, report, now) -> None:
        score = self.pool.add(
            cell.upstream, cell.customer_class, category, count, now
        )
        if score is None or not counted:
            return
        self.detector.observe(cell.upstream, score, counted, now)
        record = self.store.records.get(cell.upstream)
        if record is None or record.episode is None:
            return
        # Groups of callers with bad attempts have evidence of their own: a
        # small group would not show among the good answers to all others.
        source = _source_of(cell, report)
        for key in record.episode.group_keys(cell.upstream, source):
            self.detector.observe(key, score, counted, now)


def _capped(before: float, count: float, most: float) -> float:
    """Return the part of a change by ``count`` that stays within ``most``."""
    return min(before + count, most) - min(before, most)


def _source_of(cell, report) -> scopes.Source:
    return scopes.Source(
        report.host, report.data_centre, str(cell.customer_class)
    )
