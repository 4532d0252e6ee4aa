"""Decides on upstreams of one service by the evidence against them.

Each upstream goes from healthy over suspected (held and tested at once) to
ejected, then tried with copies of real requests, returning with a growing
share, and healthy again.
"""

import random

from carawaystair.outlier import detectors
from carawaystair.outlier import ledger as ledgers
from carawaystair.outlier import pool as pools
from carawaystair.outlier import reporters as reporting
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import track as tracks
from carawaystair.outlier import tuning as tunings

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
        ledger: ledgers.Ledger,
        pool: pools.Pool,
        detector: detectors.Detector,
        reporters: reporting.Reporters,
        rng: random.Random,
    ) -> None:
        self.ledger = ledger
        self.pool = pool
        self.detector = detector
        self.reporters = reporters
        self.rng = rng
        self.steps = {
            tracks.HEALTHY: self._healthy,
            tracks.SUSPECTED: self._suspected,
            tracks.EJECTED: self._ejected,
            tracks.TRIED: self._tried,
            tracks.RETURNING: self._returning,
        }

    def judge(
        self, track: tracks.Track, tuning: tunings.Tuning, now: float
    ) -> None:
        """Decide on one upstream."""
        evidence = self._evidence(track, now)
        self.steps[track.state](track, evidence, tuning, now)

    def clear(self, track: tracks.Track, now: float) -> None:
        """Hold nothing against an upstream any more."""
        track.enter(tracks.HEALTHY, 1.0, now)
        track.scope = scopes.Scope(scopes.EVERYBODY)
        self.pool.include(track.upstream)
        self.ledger.change(track)

    def forget(self, track: tracks.Track) -> None:
        """Weigh an upstream anew."""
        self.detector.forget(track.upstream)
        self.forget_groups(track)

    def forget_groups(self, track: tracks.Track) -> None:
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
        elif track.weight < tracks.OUT and now - track.since > tuning.hold_s:
            track.weight = tracks.SOFT_WEIGHT
            self.ledger.change(track)

    def _ejected(self, track, evidence, tuning, now) -> None:
        if now < track.backoff_until:
            return
        self.forget(track)
        track.episode = scopes.Episode(now)
        track.copied = self.reporters.copies()
        track.enter(tracks.TRIED, 0.0, now)
        self.ledger.change(track)

    def _tried(self, track, evidence, tuning, now) -> None:
        if evidence >= tuning.suspect:
            track.severity = evidence
            self._eject(track, tuning, 'It failed its trial.', now)
        elif track.good >= tuning.trials and evidence < tuning.clear:
            track.enter(tracks.RETURNING, 1.0, now)
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
        weight = 0.0 if hard else tracks.SOFT_WEIGHT
        track.copied = self.reporters.copies()
        track.enter(tracks.SUSPECTED, weight, now)
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

    def _many(self, track: tracks.Track, now: float) -> bool:
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
        track.enter(tracks.EJECTED, 0.0, now)
        self.ledger.change(track)
        self.ledger.tell('upstream-ejected', track.upstream, text)
        self.ledger.assert_floor()

    def _room(self, track) -> bool:
        if track.scope.kind == scopes.CUSTOMER:
            return True
        place = track.scope.kind == scopes.DATA_CENTRE
        return self.ledger.room(track, track.scope.group if place else '')

    def _refuse(self, track, now) -> None:
        if track.state != tracks.SUSPECTED or track.weight < tracks.OUT:
            track.enter(tracks.SUSPECTED, tracks.SOFT_WEIGHT, now)
            track.scope = scopes.Scope(scopes.EVERYBODY)
            self.ledger.change(track)
        if now - track.refused >= REFUSED_EVERY_S:
            track.refused = now
            text = 'The capacity floor allows no further ejection.'
            self.ledger.tell('ejection-refused-floor', track.upstream, text)
