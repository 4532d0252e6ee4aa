"""Decides on upstreams of one service by the evidence against them.

Each upstream goes from healthy over suspected (held and tested at once) to
ejected, then tried with copies of real requests, returning with a growing
share, and healthy again.
"""

import random

from carawaystair.outlier import detectors
from carawaystair.outlier import evidence_pool
from carawaystair.outlier import record_store
from carawaystair.outlier import reporting_nodes
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import tuning as tunings
from carawaystair.outlier import upstream_record

# A refusal for the floor is told again after this, seconds.
REFUSED_EVERY_S = 30.0
# One of many groups is bad by chance more often than all callers together;
# nats.
GROUP_PENALTY = 5.0
# When so many others became suspect within so long, a common cause is likely:
# the evidence is then weighed anew, against siblings as they are now.
MANY_SHARE = 0.3
MANY_LEAST = 2
MANY_S = 1.5
# Ejections begun at the same time are tried at different times.
JITTER = (0.9, 1.1)


class Judge:
    """Decides for one service.

    :param ledger: takes the decisions.
    :param pool: the evidence.
    :param detector: weighs it.
    :param reporters: the reporting nodes.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        ledger: record_store.Ledger,
        pool: evidence_pool.Pool,
        detector: detectors.Detector,
        reporters: reporting_nodes.Reporters,
        rng: random.Random,
    ) -> None:
        self.ledger = ledger
        self.pool = pool
        self.detector = detector
        self.reporters = reporters
        self.rng = rng
        self.steps = {
            upstream_record.HEALTHY: self._healthy,
            upstream_record.SUSPECTED: self._suspected,
            upstream_record.EJECTED: self._ejected,
            upstream_record.TRIED: self._tried,
            upstream_record.RETURNING: self._returning,
        }

    def judge(
        self, track: upstream_record.Track, tuning: tunings.Tuning, now: float
    ) -> None:
        """Decide on one upstream."""
        evidence = self._evidence(track, now)
        self.steps[track.state](track, evidence, tuning, now)

    def clear(self, track: upstream_record.Track, now: float) -> None:
        """Hold nothing against an upstream any more."""
        track.enter(upstream_record.HEALTHY, 1.0, now)
        track.scope = scopes.Scope(scopes.EVERYBODY)
        self.pool.include(track.upstream)
        self.ledger.change(track)

    def forget(self, track: upstream_record.Track) -> None:
        """Weigh an upstream anew."""
        self.detector.forget(track.upstream)
        self.forget_groups(track)

    def forget_groups(self, track: upstream_record.Track) -> None:
        """Weigh the groups of its callers anew."""
        if track.episode is not None:
            for key in track.episode.keys(track.upstream):
                self.detector.forget(key)

    def _evidence(self, track, now) -> float:
        """Return the evidence from all callers or from one group of them."""
        whole = self.detector.evidence(track.upstream, now)
        if track.episode is None:
            return whole
        keys = track.episode.keys(track.upstream)
        groups = [self.detector.evidence(key, now) for key in keys]
        return max([whole, *(one - GROUP_PENALTY for one in groups)])

    def _healthy(self, track, evidence, tuning, now) -> None:
        if evidence >= tuning.suspect:
            self._hold(track, evidence, tuning, now)

    def _suspected(self, track, evidence, tuning, now) -> None:
        track.severity = evidence
        if evidence < tuning.clear:
            if now - track.weighed_at > tuning.scope_wait_s:
                self.clear(track, now)
        elif evidence >= tuning.eject:
            self._consider(track, tuning, now)
        elif (
            track.weight < upstream_record.OUT
            and now - track.since > tuning.hold_s
        ):
            track.weight = upstream_record.SOFT_WEIGHT
            self.ledger.change(track)

    def _ejected(self, track, evidence, tuning, now) -> None:
        if now < track.backoff_until:
            return
        self.forget(track)
        track.episode = scopes.Episode(now)
        track.copied = self.reporters.copies()
        track.enter(upstream_record.TRIED, 0.0, now)
        self.ledger.change(track)

    def _tried(self, track, evidence, tuning, now) -> None:
        if evidence >= tuning.suspect:
            track.severity = evidence
            self._eject(track, tuning, 'It failed its trial.', now)
        elif track.good >= tuning.trials and evidence < tuning.clear:
            track.enter(upstream_record.RETURNING, 1.0, now)
            self.pool.include(track.upstream)
            self.ledger.change(track)
            text = 'It answered %d trials well.' % tuning.trials
            self.ledger.tell('upstream-returned', track.upstream, text)

    def _returning(self, track, evidence, tuning, now) -> None:
        if evidence >= tuning.suspect:
            self._hold(track, evidence, tuning, now)
        elif now - track.since >= tuning.slow_start_s:
            self.clear(track, now)

    def _hold(self, track, evidence, tuning, now) -> None:
        """Suspect an upstream: hardly any work, and trials at once."""
        track.severity = evidence
        track.scope = scopes.Scope(scopes.EVERYBODY)
        hard = not self._many(track, now) and self.ledger.room(track)
        weight = 0.0 if hard else upstream_record.SOFT_WEIGHT
        track.copied = self.reporters.copies()
        track.enter(upstream_record.SUSPECTED, weight, now)
        track.suspected_at = now
        self.pool.exclude(track.upstream)
        self.ledger.change(track)
        text = 'Evidence of %.1f nats.' % evidence
        self.ledger.tell('upstream-suspected', track.upstream, text)

    def _consider(self, track, tuning, now) -> None:
        """Eject a suspect, for those whom it fails."""
        episode = track.episode
        if episode is None or episode.last_bad - episode.began < tuning.span_s:
            return
        if track.weighed_at < track.suspected_at and self._many(track, now):
            track.weighed_at = now
            self.forget(track)
            return
        scope = episode.scope(tuning.scope_good, self._share)
        if scope.kind == scopes.UNKNOWN:
            if now - track.since < tuning.scope_wait_s:
                return
            scope = scopes.Scope(scopes.EVERYBODY)
        if scope.kind == scopes.REPORTER:
            text = 'Only node %s fails to reach it.' % scope.group
            self.ledger.tell('path-suspected', track.upstream, text)
            self.forget(track)
            self.clear(track, now)
            return
        track.scope = scope
        text = 'Evidence of %.1f nats' % track.severity
        if scope.kind != scopes.EVERYBODY:
            text += ', for %s %s only' % scope
        self._eject(track, tuning, text + '.', now)

    def _many(self, track: upstream_record.Track, now: float) -> bool:
        """Tell whether many others became suspect at about the same time."""
        others = sum(
            one.suspected_at > now - MANY_S
            for one in self.ledger.tracks.values()
            if one is not track
        )
        size = len(self.ledger.known.table(self.ledger.service))
        return others >= max(MANY_LEAST, MANY_SHARE * (size - 1))

    def _share(self, kind: str, group: str) -> float:
        """Return a group's usual share of the attempts at the service."""
        if kind == scopes.REPORTER:
            return self.reporters.share(group)
        if kind == scopes.DATA_CENTRE:
            return self.reporters.place_share(group)
        return self.pool.class_share(int(group))

    def _eject(self, track, tuning, text, now) -> None:
        if not self._room(track):
            self._refuse(track, now)
            return
        jitter = self.rng.uniform(*JITTER)
        track.back_off(tuning.backoff_s, jitter, now)
        track.enter(upstream_record.EJECTED, 0.0, now)
        self.ledger.change(track)
        self.ledger.tell('upstream-ejected', track.upstream, text)
        self.ledger.assert_floor()

    def _room(self, track) -> bool:
        if track.scope.kind == scopes.CUSTOMER:
            return True
        place = track.scope.kind == scopes.DATA_CENTRE
        return self.ledger.room(track, track.scope.group if place else '')

    def _refuse(self, track, now) -> None:
        if (
            track.state != upstream_record.SUSPECTED
            or track.weight < upstream_record.OUT
        ):
            track.enter(
                upstream_record.SUSPECTED, upstream_record.SOFT_WEIGHT, now
            )
            track.scope = scopes.Scope(scopes.EVERYBODY)
            self.ledger.change(track)
        if now - track.refused >= REFUSED_EVERY_S:
            track.refused = now
            text = 'The capacity floor allows no further ejection.'
            self.ledger.tell('ejection-refused-floor', track.upstream, text)
