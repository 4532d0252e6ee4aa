"""Decides on the state of each upstream of one service by its evidence.

An upstream goes from healthy to suspected (little work, tested at once) to
ejected, then on trial with copies of real requests, returning with a growing
share of work, and healthy again.
"""

import random

from carawaystair.outlier import detectors
from carawaystair.outlier import evidence_pool
from carawaystair.outlier import record_store
from carawaystair.outlier import reporting_nodes
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import tuning as tunings
from carawaystair.outlier import upstream_record

# Least time between events of the same refusal for the floor, seconds.
REFUSED_INTERVAL_S = 30.0
# Subtracted from the evidence of a single group, nats: with many groups, one
# of them is bad by chance more often than all callers together.
GROUP_PENALTY = 5.0
# When this share of the other upstreams, and at least this many, became
# suspected within this time, a common cause is likely: the evidence is then
# collected again, relative to siblings as they are now.
COMMON_CAUSE_SHARE = 0.3
COMMON_CAUSE_MIN = 2
COMMON_CAUSE_S = 1.5
# Factors on the backoff, so that upstreams ejected together are tried at
# different times.
BACKOFF_JITTER = (0.9, 1.1)


class StateMachine:
    """Decides on the upstreams of one service.

    :param store: records the decisions.
    :param pool: the attempts.
    :param detector: computes the evidence.
    :param reporters: the reporting nodes.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        store: record_store.RecordStore,
        pool: evidence_pool.EvidencePool,
        detector: detectors.Detector,
        reporters: reporting_nodes.ReportingNodes,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.pool = pool
        self.detector = detector
        self.reporters = reporters
        self.rng = rng
        self.handlers = {
            upstream_record.HEALTHY: self._step_healthy,
            upstream_record.SUSPECTED: self._step_suspected,
            upstream_record.EJECTED: self._step_ejected,
            upstream_record.ON_TRIAL: self._step_on_trial,
            upstream_record.RETURNING: self._step_returning,
        }

    def step(
        self,
        record: upstream_record.UpstreamRecord,
        tuning: tunings.Tuning,
        now: float,
    ) -> None:
        """Decide on one upstream."""
        evidence = self._evidence(record, now)
        self.handlers[record.state](record, evidence, tuning, now)

    def clear(
        self, record: upstream_record.UpstreamRecord, now: float
    ) -> None:
        """Return an upstream to the healthy state."""
        record.set_state(upstream_record.HEALTHY, 1.0, now)
        record.scope = scopes.Scope(scopes.EVERYBODY)
        self.pool.include(record.upstream)
        self.store.mark_changed(record)

    def reset_evidence(self, record: upstream_record.UpstreamRecord) -> None:
        """Drop the evidence of an upstream and of its groups of callers."""
        self.detector.reset(record.upstream)
        self.reset_group_evidence(record)

    def reset_group_evidence(
        self, record: upstream_record.UpstreamRecord
    ) -> None:
        """Drop the evidence of the groups of its callers."""
        if record.episode is not None:
            for key in record.episode.group_keys(record.upstream):
                self.detector.reset(key)

    def _evidence(self, record, now) -> float:
        """Return the evidence of all callers or of one group of them."""
        total_evidence = self.detector.evidence(record.upstream, now)
        if record.episode is None:
            return total_evidence
        keys = record.episode.group_keys(record.upstream)
        group_evidence = [self.detector.evidence(key, now) for key in keys]
        return max(
            [total_evidence, *(one - GROUP_PENALTY for one in group_evidence)]
        )

    def _step_healthy(self, record, evidence, tuning, now) -> None:
        if evidence >= tuning.suspect_nats:
            self._suspect(record, evidence, tuning, now)

    def _step_suspected(self, record, evidence, tuning, now) -> None:
        record.severity = evidence
        if evidence < tuning.clear_nats:
            if now - record.evidence_reset_at > tuning.scope_wait_s:
                self.clear(record, now)
        elif evidence >= tuning.eject_nats:
            self._decide_ejection(record, tuning, now)
        elif (
            record.weight < upstream_record.OUT_OF_SERVICE_WEIGHT
            and now - record.state_since > tuning.hold_s
        ):
            record.weight = upstream_record.REDUCED_WEIGHT
            self.store.mark_changed(record)

    def _step_ejected(self, record, evidence, tuning, now) -> None:
        if now < record.backoff_until:
            return
        self.reset_evidence(record)
        record.episode = scopes.Episode(now)
        record.tested_by_copies = self.reporters.any_copies()
        record.set_state(upstream_record.ON_TRIAL, 0.0, now)
        self.store.mark_changed(record)

    def _step_on_trial(self, record, evidence, tuning, now) -> None:
        if evidence >= tuning.suspect_nats:
            record.severity = evidence
            self._eject(record, tuning, 'It failed its trial.', now)
        elif (
            record.good_trials >= tuning.min_trials
            and evidence < tuning.clear_nats
        ):
            record.set_state(upstream_record.RETURNING, 1.0, now)
            self.pool.include(record.upstream)
            self.store.mark_changed(record)
            text = 'It answered %d trials well.' % tuning.min_trials
            self.store.add_event('upstream-returned', record.upstream, text)

    def _step_returning(self, record, evidence, tuning, now) -> None:
        if evidence >= tuning.suspect_nats:
            self._suspect(record, evidence, tuning, now)
        elif now - record.state_since >= tuning.slow_start_s:
            self.clear(record, now)

    def _suspect(self, record, evidence, tuning, now) -> None:
        """Suspect an upstream: hardly any work, and tests at once."""
        record.severity = evidence
        record.scope = scopes.Scope(scopes.EVERYBODY)
        take_out = not self._common_cause_likely(
            record, now
        ) and self.store.floor_allows(record)
        weight = 0.0 if take_out else upstream_record.REDUCED_WEIGHT
        record.tested_by_copies = self.reporters.any_copies()
        record.set_state(upstream_record.SUSPECTED, weight, now)
        record.suspected_at = now
        self.pool.exclude(record.upstream)
        self.store.mark_changed(record)
        text = 'Evidence of %.1f nats.' % evidence
        self.store.add_event('upstream-suspected', record.upstream, text)

    def _decide_ejection(self, record, tuning, now) -> None:
        """Eject an upstream with enough evidence for the callers it fails.

        The decision is put off while the bad attempts span too short a time, a
        common cause is likely or the scope is unknown.  When one node alone
        fails to reach the upstream, its path is at fault and nothing is
        ejected.
        """
        episode = record.episode
        if (
            episode is None
            or episode.last_bad_at - episode.started_at < tuning.min_bad_span_s
        ):
            return
        if (
            record.evidence_reset_at < record.suspected_at
            and self._common_cause_likely(record, now)
        ):
            record.evidence_reset_at = now
            self.reset_evidence(record)
            return
        scope = episode.scope(tuning.scope_min_good, self._usual_share)
        if scope.kind == scopes.UNKNOWN:
            if now - record.state_since < tuning.scope_wait_s:
                return
            scope = scopes.Scope(scopes.EVERYBODY)
        if scope.kind == scopes.REPORTER:
            text = 'Only node %s fails to reach it.' % scope.group
            self.store.add_event('path-suspected', record.upstream, text)
            self.reset_evidence(record)
            self.clear(record, now)
            return
        record.scope = scope
        text = 'Evidence of %.1f nats' % record.severity
        if scope.kind != scopes.EVERYBODY:
            text += ', for %s %s only' % scope
        self._eject(record, tuning, text + '.', now)

    def _common_cause_likely(
        self, record: upstream_record.UpstreamRecord, now: float
    ) -> bool:
        """Return whether many others were suspected at about the same time."""
        others = sum(
            one.suspected_at > now - COMMON_CAUSE_S
            for one in self.store.records.values()
            if one is not record
        )
        size = len(self.store.index.by_id(self.store.service))
        return others >= max(COMMON_CAUSE_MIN, COMMON_CAUSE_SHARE * (size - 1))

    def _usual_share(self, kind: str, group: str) -> float:
        """Return a group's usual share of the attempts at the service."""
        if kind == scopes.REPORTER:
            return self.reporters.share(group)
        if kind == scopes.DATA_CENTRE:
            return self.reporters.data_centre_share(group)
        return self.pool.class_share(int(group))

    def _eject(self, record, tuning, text, now) -> None:
        if not self._floor_allows(record):
            self._refuse_ejection(record, now)
            return
        jitter = self.rng.uniform(*BACKOFF_JITTER)
        record.back_off(tuning.backoff_s, jitter, now)
        record.set_state(upstream_record.EJECTED, 0.0, now)
        self.store.mark_changed(record)
        self.store.add_event('upstream-ejected', record.upstream, text)
        self.store.assert_floor()

    def _floor_allows(self, record) -> bool:
        if record.scope.kind == scopes.CUSTOMER:
            return True
        data_centre_only = record.scope.kind == scopes.DATA_CENTRE
        return self.store.floor_allows(
            record, record.scope.group if data_centre_only else ''
        )

    def _refuse_ejection(self, record, now) -> None:
        if (
            record.state != upstream_record.SUSPECTED
            or record.weight < upstream_record.OUT_OF_SERVICE_WEIGHT
        ):
            record.set_state(
                upstream_record.SUSPECTED, upstream_record.REDUCED_WEIGHT, now
            )
            record.scope = scopes.Scope(scopes.EVERYBODY)
            self.store.mark_changed(record)
        if now - record.refused_at >= REFUSED_INTERVAL_S:
            record.refused_at = now
            text = 'The capacity floor allows no further ejection.'
            self.store.add_event(
                'ejection-refused-floor', record.upstream, text
            )
