"""The coordinator of one service.

It decides on pooled evidence and never grants an ejection below the floor.  It
sends nothing itself; ``leadership`` sends the changes in its record store.
"""

import random
import typing

from carawaystair.outlier import detectors
from carawaystair.outlier import evidence_pool
from carawaystair.outlier import ingestion
from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import node_leases
from carawaystair.outlier import record_store
from carawaystair.outlier import reporting_nodes
from carawaystair.outlier import scope as scopes
from carawaystair.outlier import service_outage
from carawaystair.outlier import state_machine
from carawaystair.outlier import tuning as tunings
from carawaystair.outlier import upstream_index
from carawaystair.outlier import upstream_record

# Copies sent to an upstream on trial, as a multiple of its usual share, and
# the greatest chance that one request is copied.
TRIAL_SHARE_FACTOR = 2.0
MAX_TRIAL_CHANCE = 0.5
CLEANUP_INTERVAL_S = 5.0
# An upstream that is missing in the directory is treated as gone only after
# this time, so that the directory of this process can learn of it, seconds.
MISSING_GRACE_S = 10.0


class Coordinator:
    """Decides on the upstreams of one service.

    :param service: its name.
    :param index: the upstreams.
    :param detector: computes the evidence.
    :param rng: source of randomness.
    :param now: monotonic time.
    """

    def __init__(
        self,
        service: str,
        index: upstream_index.UpstreamIndex,
        detector: detectors.Detector,
        rng: random.Random,
        now: float,
    ) -> None:
        self.service = service
        self.index = index
        self.detector = detector
        self.pool = evidence_pool.EvidencePool(now)
        self.reporters = reporting_nodes.ReportingNodes()
        self.routes = levels.RouteLatencies()
        self.store = record_store.RecordStore(service, index)
        self.state_machine = state_machine.StateMachine(
            self.store, self.pool, detector, self.reporters, rng
        )
        self.ingestion = ingestion.Ingestion(
            self.store, self.pool, detector, self.reporters, self.routes
        )
        self.service_outage = service_outage.ServiceOutage(
            self.store, self.pool
        )
        self.cleaned_at = now
        self.last_report_at = now
        # Nothing may be granted before the grants of earlier coordinators are
        # known.
        self.takeover_done = False

    def receive_report(
        self, report: messages.Report, address: str, now: float
    ) -> None:
        """Add the report of a node and decide on the upstreams in it."""
        self.last_report_at = now
        names = self.ingestion.ingest(report, address, now)
        self._evaluate(
            [name for name in names if name in self.store.records], now
        )

    def tick(self, now: float) -> None:
        """Apply the changes that depend on time alone."""
        self._apply_directory(now)
        unhealthy = [record.upstream for record in self.store.unhealthy()]
        if self.service_outage.tick(now):
            for name in unhealthy:
                self.state_machine.reset_evidence(self.store.records[name])
                self.state_machine.clear(self.store.records[name], now)
        else:
            self._evaluate(unhealthy, now)
        if now - self.cleaned_at >= CLEANUP_INTERVAL_S:
            self.cleaned_at = now
            self._clean_up(now)

    def entry(
        self,
        record: upstream_record.UpstreamRecord,
        lease_s: float,
        now: float,
    ) -> messages.Entry:
        """Return the entry of one upstream for nodes."""
        trial = 0.0
        if record.tested_by_copies:
            table = self.index.by_id(self.service).values()
            usable = sum(self.index.usable(one) for one in table)
            trial = min(TRIAL_SHARE_FACTOR / max(usable, 1), MAX_TRIAL_CHANCE)
        return record.entry(self.tuning(), trial, lease_s, now)

    def entries(
        self, lease_s: float, now: float
    ) -> tuple[messages.Entry, ...]:
        """Return the entries for nodes."""
        return tuple(
            self.entry(record, lease_s, now)
            for record in self.store.unhealthy()
        )

    def digest(self, now: float) -> int:
        """Return the digest of the entries that nodes should hold."""
        tuning = self.tuning()
        return node_leases.digest(
            record.entry(tuning, 0.0, 0.0, now)
            for record in self.store.records.values()
        )

    def phases(self, lease_s: float, now: float) -> tuple[messages.Phase, ...]:
        """Return the state for a standby."""
        return tuple(
            messages.Phase(
                self.entry(record, lease_s, now),
                record.decayed_ejections(now),
                max(int((record.backoff_until - now) * 1000), 0),
            )
            for record in self.store.unhealthy()
        )

    def adopt(
        self, phases: typing.Iterable[messages.Phase], now: float
    ) -> None:
        """Adopt the grants of an earlier coordinator."""
        for phase in phases:
            if phase.entry.upstream not in self.store.records:
                self._adopt(phase, now)

    def tuning(self) -> tunings.Tuning:
        """Return the tuning of the service."""
        return tunings.for_service(self.index.service(self.service))

    def _evaluate(self, names: typing.Iterable[str], now: float) -> None:
        if not self.takeover_done or self.service_outage.active:
            return
        tuning = self.tuning()
        for name in names:
            self.state_machine.step(self.store.records[name], tuning, now)

    def _adopt(self, phase: messages.Phase, now: float) -> None:
        entry, tuning = phase.entry, self.tuning()
        record = self.store.get_or_add(entry.upstream, now)
        state = ADOPTED_STATES.get(entry.kind, upstream_record.HEALTHY)
        record.set_state(state, entry.weight / 1000, now)
        if entry.data_centre:
            record.scope = scopes.Scope(scopes.DATA_CENTRE, entry.data_centre)
        elif entry.customer_class >= 0:
            group = str(entry.customer_class)
            record.scope = scopes.Scope(scopes.CUSTOMER, group)
        if state == upstream_record.RETURNING:
            record.state_since = (
                now + entry.ttl_ms / 1000 - tuning.slow_start_s
            )
        record.recent_ejections, record.recent_ejections_at = (
            phase.recent_ejections,
            now,
        )
        record.severity = entry.severity / 1000
        # A node sends no backoff; the trial then comes at once.
        record.backoff_until = now + phase.backoff_ms / 1000
        self.pool.exclude(entry.upstream)
        self.store.mark_changed(record)

    def _apply_directory(self, now: float) -> None:
        """Clear upstreams that are gone or have restarted."""
        table = self.index.by_id(self.service)
        for record in list(self.store.records.values()):
            upstream = table.get(record.upstream)
            if upstream is None:
                missing = now - record.state_since >= MISSING_GRACE_S
                if missing and record.state != upstream_record.HEALTHY:
                    self.state_machine.reset_evidence(record)
                    self.state_machine.clear(record, now)
            elif record.incarnation is None:
                record.incarnation = upstream.incarnation
            elif record.incarnation != upstream.incarnation:
                self._reset_record(record, now)

    def _reset_record(
        self, record: upstream_record.UpstreamRecord, now: float
    ) -> None:
        """Clear an upstream that has restarted."""
        self.state_machine.reset_evidence(record)
        self.state_machine.clear(record, now)
        self.pool.remove(record.upstream)
        del self.store.records[record.upstream]

    def _clean_up(self, now: float) -> None:
        self.reporters.remove_silent(now)
        self.routes.remove_unused(now)
        forgettable = [
            name
            for name, record in self.store.records.items()
            if record.forgettable(now)
        ]
        for name in forgettable:
            self.state_machine.reset_group_evidence(self.store.records[name])
            del self.store.records[name]
        table = self.index.by_id(self.service)
        for name in [name for name in self.pool.tables if name not in table]:
            self.pool.remove(name)
            self.detector.reset(name)


ADOPTED_STATES = {
    messages.SUSPECTED: upstream_record.SUSPECTED,
    messages.EJECTED: upstream_record.EJECTED,
    messages.RETURNING: upstream_record.RETURNING,
}
