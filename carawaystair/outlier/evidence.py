"""Records this node's attempts and reports them to coordinators."""

import asyncio
import random
import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.outlier import detectors
from carawaystair.outlier import health as healths
from carawaystair.outlier import in_flight
from carawaystair.outlier import levels
from carawaystair.outlier import local_ejections
from carawaystair.outlier import local_path
from carawaystair.outlier import local_weights
from carawaystair.outlier import messages
from carawaystair.outlier import report_outbox
from carawaystair.outlier import tuning as tunings
from carawaystair import timeline as timelines

# Bad attempts within this time share a report, seconds.
BATCH_DELAY_S = 0.004
PATH_EVENT_INTERVAL_S = 30.0

# Categories of outcomes other than good answers.
OUTCOME_CATEGORIES = {
    interfaces.ERROR: levels.ERROR,
    interfaces.TIMEOUT: levels.BROKEN,
    interfaces.BROKEN: levels.BROKEN,
    interfaces.REFUSED: levels.BROKEN,
    interfaces.SILENT: levels.SILENT,
}
FAILED = frozenset((levels.ERROR, levels.BROKEN))
PATH_FAILURES = frozenset((levels.LATE, levels.OVERDUE, levels.BROKEN))

SendReport = typing.Callable[[messages.Report], None]
MakeDetector = typing.Callable[[str], detectors.Detector]


class Evidence:
    """Implements ``interfaces.Evidence``.

    :param health: this node's health of upstreams.
    :param send_report: sends a report to the coordinator of its service.
    :param make_detector: returns a new detector for a service.
    :param timeline: records events.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        health: healths.Health,
        send_report: SendReport,
        make_detector: MakeDetector,
        timeline: timelines.Timeline,
        rng: random.Random,
    ) -> None:
        self.health = health
        self.send_report = send_report
        self.make_detector = make_detector
        self.timeline = timeline
        self.rng = rng
        self.in_flight = in_flight.InFlight()
        self.outboxes = report_outbox.Outboxes(rng, 0.0)
        self.local_path = local_path.LocalPath()
        self.path_reported_at = -PATH_EVENT_INTERVAL_S
        # By service: the detector's name and whether it is pooled.
        self.detector_modes: dict[str, tuple[str, bool]] = {}
        self.timer: asyncio.TimerHandle | None = None
        health.index.restart_callbacks.append(self.on_restart)

    def on_restart(self, upstream: interfaces.Upstream) -> None:
        """Drop unsent attempts of an upstream's earlier incarnation."""
        outbox = self.outboxes.by_service.get(upstream.service)
        if outbox is not None:
            outbox.drop_upstream(upstream.id)

    def begin(
        self,
        service: str,
        upstream: str,
        customer: str,
        started: float,
        route: str = '',
        fresh: bool = True,
    ) -> None:
        """Record the start of an attempt."""
        outbox = self.outboxes.outbox(service, started)
        bounds = outbox.bounds.get(levels.short_id(route))
        pending = in_flight.PendingAttempt(
            service,
            upstream,
            levels.customer_class(customer),
            bounds,
            fresh,
            started,
            self.in_flight.paused_s,
        )
        self.in_flight.begin(pending)

    def record(self, attempt: interfaces.Attempt) -> None:
        """Record the end of an attempt."""
        now = clock.now()
        pending = self.in_flight.end(attempt.upstream, attempt.started)
        outcome = attempt.outcome
        if outcome == interfaces.CANCELLED:
            return
        if self.health.index.from_earlier_incarnation(
            attempt.upstream, attempt.started
        ):
            # No evidence against the current incarnation.
            return
        if outcome == interfaces.SHED:
            factor = local_weights.OUTCOME_FACTORS[outcome]
            self.health.weights.lower(attempt.upstream, factor, now)
            return
        paused_s = self.in_flight.paused_during(pending, now)
        latency_s = max(attempt.latency_s - paused_s, 0.0)
        outbox = self.outboxes.outbox(attempt.service, now)
        route = levels.short_id(attempt.route)
        bounds = pending.bounds if pending else outbox.bounds.get(route)
        category = _category(outcome, bounds, latency_s)
        if outcome == interfaces.GOOD:
            outbox.add_sample(route, attempt.upstream, latency_s, self.rng)
        customer_class = levels.customer_class(attempt.customer)
        if outcome == interfaces.SILENT and pending and pending.reported_level:
            # The connection was at fault, not the upstream.
            self.health.weights.reset(attempt.upstream)
        self._react_locally(attempt, category, now)
        if not self._uses_pooled_evidence(attempt.service):
            return
        if pending is not None and pending.reported_level:
            before = _overdue_category(pending, pending.reported_level)
            outbox.add(attempt.upstream, customer_class, before, -1)
        if category is None:
            return
        cell = outbox.add(attempt.upstream, customer_class, category, 1)
        lease = self.health.lease(attempt.service, attempt.upstream)
        tested = lease is not None and lease.since <= attempt.started
        if tested and outcome == interfaces.GOOD:
            cell[-1] += 1
        urgent = category in FAILED or (
            outbox.urgent_level <= category < levels.LEVELS
        )
        if urgent or tested:
            self._schedule_flush(outbox)

    def record_health_hint(
        self, service: str, upstream: str, unhealthy: bool
    ) -> None:
        """Record the result of a health or load endpoint.

        It raises suspicion a little or brings a trial forward; it never clears
        an upstream that fails real work.
        """
        outbox = self.outboxes.outbox(service, clock.now())
        category = (
            levels.REPORTED_UNHEALTHY if unhealthy else levels.REPORTED_HEALTHY
        )
        outbox.add(upstream, 0, category, 1)

    def apply_pace(self, pace: messages.Pace) -> None:
        """Apply a coordinator's instructions on how to report."""
        outbox = self.outboxes.by_service.get(pace.service)
        if outbox is not None:
            outbox.apply_pace(pace)

    def tick(self, now: float) -> None:
        """Check attempts in flight and send the reports that are due."""
        for passed in self.in_flight.tick(now):
            self._report_passed_bound(passed, now)
        if (
            self.local_path.tick(now)
            and now - self.path_reported_at >= PATH_EVENT_INTERVAL_S
        ):
            self.path_reported_at = now
            text = 'Nearly all upstreams look bad from this node.'
            self.timeline.record('path-suspected', text)
        self._flush()

    def sweep(self, now: float) -> None:
        """Remove what has expired."""
        self.in_flight.remove_old(now)
        self.outboxes.remove_idle(now)
        self.detector_modes.clear()

    def _report_passed_bound(
        self, passed: in_flight.PassedBound, now: float
    ) -> None:
        pending = passed.pending
        if self.health.index.from_earlier_incarnation(
            pending.upstream, pending.started
        ):
            return
        outbox = self.outboxes.outbox(pending.service, now)
        category = _overdue_category(pending, passed.level)
        before = _overdue_category(pending, passed.reported_level)
        if category in PATH_FAILURES:
            self.local_path.add(pending.upstream, True, now)
        if passed.level >= levels.LATE:
            late = passed.level == levels.LATE
            factor = (
                local_weights.LATE_FACTOR
                if late
                else local_weights.OVERDUE_FACTOR
            )
            if not pending.fresh:
                factor = local_weights.UNPROVEN_FACTOR
            self.health.weights.lower(pending.upstream, factor, now)
        if category == before or not self._uses_pooled_evidence(
            pending.service
        ):
            return
        if passed.reported_level:
            outbox.add(pending.upstream, pending.customer_class, before, -1)
        outbox.add(pending.upstream, pending.customer_class, category, 1)
        if passed.level >= outbox.urgent_level:
            self._schedule_flush(outbox)

    def _react_locally(self, attempt, category, now) -> None:
        """Apply an attempt to this node's own weights and ejections."""
        bad = attempt.outcome != interfaces.GOOD
        factor = local_weights.OUTCOME_FACTORS.get(attempt.outcome)
        if factor is not None:
            self.health.weights.lower(attempt.upstream, factor, now)
        elif not bad and category is not None:
            if category < levels.LATE or category == levels.UNRATED:
                self.health.weights.restore(attempt.upstream, now)
        if attempt.outcome != interfaces.SILENT:
            path_bad = category in PATH_FAILURES
            self.local_path.add(attempt.upstream, path_bad, now)
            if not self._uses_pooled_evidence(attempt.service):
                self._observe_locally(attempt, bad, now)

    def _observe_locally(self, attempt, bad, now) -> None:
        service = attempt.service
        ejections = self.health.local_ejections.get(service)
        if ejections is None:
            ejections = self.health.local_ejections[service] = (
                local_ejections.LocalEjections(self.make_detector(service))
            )
        tuning = tunings.for_service(self.health.index.service(service))
        if ejections.observe(attempt.upstream, bad, tuning, now):
            self.health.refresh(service)
            self.timeline.record(
                'upstream-ejected',
                'By this node alone.',
                service=service,
                upstream=attempt.upstream,
            )

    def _uses_pooled_evidence(self, service: str) -> bool:
        """Return whether the detector of a service uses pooled evidence."""
        mode = self.detector_modes.get(service)
        if mode is None:
            name = self.health.index.service(service).detector
            mode = self.detector_modes[service] = (
                name,
                self.make_detector(service).pooled,
            )
            if mode[1]:
                self.health.local_ejections.pop(service, None)
        return mode[1]

    def _schedule_flush(self, outbox: report_outbox.Outbox) -> None:
        outbox.urgent = True
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(BATCH_DELAY_S, self._flush)

    def _flush(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = clock.now()
        for outbox in self.outboxes.take_due(now):
            self._send(outbox, now)

    def _send(self, outbox: report_outbox.Outbox, now: float) -> None:
        batch = outbox.take_batch(self.rng, now)
        epoch, digest = self.health.epoch_and_digest(outbox.service)
        samples = batch.samples
        for cells in batch.chunks():
            report = messages.Report(
                outbox.service,
                self.health.me.host,
                self.health.me.data_centre,
                epoch,
                digest,
                outbox.version,
                self.health.offers_copies(outbox.service, now),
                self.local_path.suspected,
                batch.share,
                cells,
                samples,
            )
            samples = ()
            self.send_report(report)


def _overdue_category(pending: in_flight.PendingAttempt, level: int) -> int:
    """Return the category of an attempt in flight at a latency level."""
    if level and not pending.fresh:
        return levels.unproven(level)
    return level


def _category(
    outcome: str, bounds: levels.Bounds | None, latency_s: float
) -> int | None:
    """Return the category of an ended attempt, or None for no evidence."""
    if outcome == interfaces.GOOD:
        if bounds is None:
            return levels.UNRATED
        return levels.level(bounds, latency_s)
    if outcome == interfaces.TIMEOUT and bounds is not None:
        level = levels.level(bounds, latency_s)
        # A short timeout set by the caller is no evidence.
        short = level if level >= levels.SLOW else None
        return levels.BROKEN if level == levels.OVERDUE else short
    return OUTCOME_CATEGORIES[outcome]
