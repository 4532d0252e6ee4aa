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
        *range(levels.UNPROVEN, levels.ILL),
    )
)
# One node adds at most so many bad attempts to an episode, unless a large
# part of the work comes through it: its own path may be at fault.
MOST_BAD_OF_ONE = 2.0
LARGE_SHARE = 0.4
# Health endpoints lag or mislead.  One that says ill counts as one slow
# answer, too little to hold an upstream by itself; one that says well brings
# the next trial forward.  Neither counts more often than this, seconds.
ILL_SCORE = 3.0
WELL_WAIT_S = 1.0
HINT_EVERY_S = 5.0


class Intake:
    """Takes reports.

    :param ledger: what is held against upstreams.
    :param pool: takes the attempts.
    :param detector: takes their scores.
    :param reporters: the reporting nodes.
    :param routes: takes latencies.
    """

    def __init__(
        self,
        ledger: record_store.Ledger,
        pool: evidence_pool.Pool,
        detector: detectors.Detector,
        reporters: reporting_nodes.Reporters,
        routes: levels.Routes,
    ) -> None:
        self.ledger = ledger
        self.pool = pool
        self.detector = detector
        self.reporters = reporters
        self.baseline = baselines.Baseline(ledger, routes)

    def take(
        self, report: messages.Report, address: str, now: float
    ) -> typing.Iterable[str]:
        """Take one report.

        :param address: of the reporting node, for datagrams.
        :return: ids of the upstreams to judge.
        """
        self._reporter(report, address, now)
        self.baseline.take(report.samples, now)
        table = self.ledger.known.table(report.service)
        cells = [
            cell
            for cell in report.cells
            if cell.upstream in table
            and self.ledger.known.judged(table[cell.upstream])
            and len(cell.counts) == levels.CATEGORIES
        ]
        for cell in cells:
            self._cell(cell, report, now)
        return sorted({cell.upstream for cell in cells})

    def _reporter(self, report, address, now) -> None:
        work = sum(
            count
            for cell in report.cells
            for count in cell.counts
            if count > 0
        )
        self.reporters.note(
            report.host,
            reporting_nodes.Reporter(
                address,
                report.data_centre,
                now,
                work / report.share,
                len(report.cells) / report.share,
                report.copies,
                report.suspect,
            ),
        )

    def _cell(self, cell, report, now) -> None:
        bad = any(cell.counts[category] for category in BAD)
        weight = 1.0 if bad else 1.0 / report.share
        self._hint(cell, now)
        # Overdue answers on old connections may hold an upstream, never eject
        # it: the connections may have gone silent while new ones work.  What
        # is taken back still counts.
        old = cell.counts[levels.UNPROVEN : levels.ILL]
        doubtful = sum(old) >= 0 and self._suspected(cell.upstream)
        for category, count in enumerate(cell.counts[: levels.ILL]):
            if count and category in BAD:
                counted = self._bad(cell, category, count, report, now)
                if category >= levels.UNPROVEN:
                    counted = self._unproven(cell, counted, doubtful)
                self._add(cell, category, count, counted, report, now)
            elif count:
                scaled = count * weight
                self._add(cell, category, scaled, scaled, report, now)
        track = self.ledger.tracks.get(cell.upstream)
        if track is not None and cell.tested:
            track.good += cell.tested
            if track.episode is not None:
                track.episode.add(_source(cell, report), 0.0, cell.tested)

    def _bad(self, cell, category, count, report, now) -> float:
        """Take note of bad attempts.

        :return: how many of them count.
        """
        if not self.reporters.believable(report.suspect):
            count = 0
        track = self.ledger.track(cell.upstream, now)
        if track.episode is None or track.episode.over(now):
            self._forget_groups(track)
            track.episode = scopes.Episode(now)
        episode = track.episode
        before = episode.reporter_bad(report.host)
        episode.add(_source(cell, report), count, 0.0)
        if count > 0:
            episode.last_bad = now
        if self.reporters.share(report.host) < LARGE_SHARE:
            count = _capped(before, count, MOST_BAD_OF_ONE)
        return count

    def _unproven(self, cell, counted, doubtful) -> float:
        """Return how much of an unproven count weighs.

        What did not weigh when it was told must not weigh when it is taken
        back either.
        """
        episode = self.ledger.tracks[cell.upstream].episode
        if doubtful:
            return 0.0
        counted = max(counted, -episode.unproven)
        episode.unproven += counted
        return counted

    def _suspected(self, upstream: str) -> bool:
        track = self.ledger.tracks.get(upstream)
        return track is not None and track.state != upstream_record.HEALTHY

    def _forget_groups(self, track) -> None:
        if track.episode is not None:
            for key in track.episode.keys(track.upstream):
                self.detector.forget(key)

    def _hint(self, cell, now) -> None:
        ill, well = cell.counts[levels.ILL :]
        track = self.ledger.tracks.get(cell.upstream)
        if ill or (well and track is not None):
            track = self.ledger.track(cell.upstream, now)
            if now - track.hinted < HINT_EVERY_S:
                return
            track.hinted = now
        if ill:
            self.detector.observe(cell.upstream, ILL_SCORE, 1.0, now)
        elif (
            well
            and track is not None
            and track.state == upstream_record.EJECTED
        ):
            soon = now + WELL_WAIT_S
            track.backoff_until = min(track.backoff_until, soon)

    def _add(self, cell, category, count, counted, report, now) -> None:
        score = self.pool.add(
            cell.upstream, cell.customer_class, category, count, now
        )
        if score is None or not counted:
            return
        self.detector.observe(cell.upstream, score, counted, now)
        track = self.ledger.tracks.get(cell.upstream)
        if track is None or track.episode is None:
            return
        # The groups that saw something bad are weighed on their own too: a
        # small one would drown in the good answers to all others.
        source = _source(cell, report)
        for key in track.episode.keys(cell.upstream, source):
            self.detector.observe(key, score, counted, now)


def _capped(before: float, count: float, most: float) -> float:
    """Return how much of ``count`` more, or less, stays within ``most``."""
    return min(before + count, most) - min(before, most)


def _source(cell, report) -> scopes.Source:
    return scopes.Source(
        report.host, report.data_centre, str(cell.customer_class)
    )
