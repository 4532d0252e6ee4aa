"""Takes reports of nodes into the pooled evidence of one service."""

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
        *range(levels.UNPROVEN, levels.REPORTED_ILL),
    )
)
# One node adds at most so many bad attempts to an episode, unless a large
# part of the work comes through it: its own path may be at fault.
MAX_BAD_PER_NODE = 2.0
LARGE_SHARE = 0.4
# Health endpoints lag or mislead.  One that says ill counts as one slow
# answer, too little to hold an upstream by itself; one that says well brings
# the next trial forward.  Neither counts more often than this, seconds.
ILL_SCORE = 3.0
WELL_WAIT_S = 1.0
HINT_INTERVAL_S = 5.0


class Ingestion:
    """Takes reports.

    :param ledger: what is held against upstreams.
    :param pool: takes the attempts.
    :param detector: takes their scores.
    :param reporters: the reporting nodes.
    :param routes: takes latencies.
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
        """Take one report.

        :param address: of the reporting node, for datagrams.
        :return: ids of the upstreams to judge.
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
        # Overdue answers on old connections may hold an upstream, never eject
        # it: the connections may have gone silent while new ones work.  What
        # is taken back still counts.
        old = cell.counts[levels.UNPROVEN : levels.REPORTED_ILL]
        doubtful = sum(old) >= 0 and self._suspected(cell.upstream)
        for category, count in enumerate(cell.counts[: levels.REPORTED_ILL]):
            if count and category in BAD:
                counted = self._add_bad(cell, category, count, report, now)
                if category >= levels.UNPROVEN:
                    counted = self._limit_unproven(cell, counted, doubtful)
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
        """Take note of bad attempts.

        :return: how many of them count.
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

    def _limit_unproven(self, cell, counted, doubtful) -> float:
        """Return how much of an unproven count weighs.

        What did not weigh when it was told must not weigh when it is taken
        back either.
        """
        episode = self.store.records[cell.upstream].episode
        if doubtful:
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
        ill, well = cell.counts[levels.REPORTED_ILL :]
        record = self.store.records.get(cell.upstream)
        if ill or (well and record is not None):
            record = self.store.get_or_add(cell.upstream, now)
            if now - record.hinted_at < HINT_INTERVAL_S:
                return
            record.hinted_at = now
        if ill:
            self.detector.observe(cell.upstream, ILL_SCORE, 1.0, now)
        elif (
            well
            and record is not None
            and record.state == upstream_record.EJECTED
        ):
            soon = now + WELL_WAIT_S
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
        # The groups that saw something bad are weighed on their own too: a
        # small one would drown in the good answers to all others.
        source = _source_of(cell, report)
        for key in record.episode.group_keys(cell.upstream, source):
            self.detector.observe(key, score, counted, now)


def _capped(before: float, count: float, most: float) -> float:
    """Return how much of ``count`` more, or less, stays within ``most``."""
    return min(before + count, most) - min(before, most)


def _source_of(cell, report) -> scopes.Source:
    return scopes.Source(
        report.host, report.data_centre, str(cell.customer_class)
    )
