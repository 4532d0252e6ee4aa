"""Takes note of this node's attempts and tells coordinators of them."""

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

# Bad attempts that come together travel together, seconds.
GATHER_S = 0.004
PATH_TOLD_S = 30.0

# Outcomes other than good answers, as categories of a report.
CATEGORIES = {
    interfaces.ERROR: levels.ERROR,
    interfaces.TIMEOUT: levels.BROKEN,
    interfaces.BROKEN: levels.BROKEN,
    interfaces.REFUSED: levels.BROKEN,
    interfaces.SILENT: levels.SILENT,
}
FAILED = frozenset((levels.ERROR, levels.BROKEN))
PATH_BAD = frozenset((levels.LATE, levels.OVERDUE, levels.BROKEN))

Tell = typing.Callable[[messages.Report], None]
Make = typing.Callable[[str], detectors.Detector]


class Evidence:
    """Keeps ``interfaces.Evidence``.

    :param health: this node's health of upstreams.
    :param tell: sends a report to the coordinator of its service.
    :param make: makes the detector of a service.
    :param timeline: takes events.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        health: healths.Health,
        tell: Tell,
        make: Make,
        timeline: timelines.Timeline,
        rng: random.Random,
    ) -> None:
        self.health = health
        self.tell = tell
        self.make = make
        self.timeline = timeline
        self.rng = rng
        self.watch = in_flight.Watch()
        self.reporter = report_outbox.Reporter(rng, 0.0)
        self.path = local_path.Path()
        self.path_told = -PATH_TOLD_S
        # By service: the detector's name and whether it is pooled.
        self.pooled: dict[str, tuple[str, bool]] = {}
        self.timer: asyncio.TimerHandle | None = None
        health.known.callbacks.append(self.renew)

    def renew(self, upstream: interfaces.Upstream) -> None:
        """Tell nothing more of the former life of an upstream."""
        outbox = self.reporter.outboxes.get(upstream.service)
        if outbox is not None:
            outbox.drop(upstream.id)

    def begin(
        self,
        service: str,
        upstream: str,
        customer: str,
        started: float,
        route: str = '',
        fresh: bool = True,
    ) -> None:
        """Take note that an attempt starts."""
        outbox = self.reporter.outbox(service, started)
        bounds = outbox.bounds.get(levels.short(route))
        pending = in_flight.Pending(
            service,
            upstream,
            levels.customer_class(customer),
            bounds,
            fresh,
            started,
            self.watch.paused,
        )
        self.watch.begin(pending)

    def record(self, attempt: interfaces.Attempt) -> None:
        """Take note of one attempt that ended."""
        now = clock.now()
        pending = self.watch.end(attempt.upstream, attempt.started)
        outcome = attempt.outcome
        if outcome == interfaces.CANCELLED:
            return
        if self.health.known.former(attempt.upstream, attempt.started):
            # What a life that is over did says nothing of the next one.
            return
        if outcome == interfaces.SHED:
            factor = local_weights.FACTORS[outcome]
            self.health.weights.lower(attempt.upstream, factor, now)
            return
        paused = self.watch.pause(pending, now)
        latency_s = max(attempt.latency_s - paused, 0.0)
        outbox = self.reporter.outbox(attempt.service, now)
        route = levels.short(attempt.route)
        bounds = pending.bounds if pending else outbox.bounds.get(route)
        category = _category(outcome, bounds, latency_s)
        if outcome == interfaces.GOOD:
            outbox.sample(route, attempt.upstream, latency_s, self.rng)
        customer_class = levels.customer_class(attempt.customer)
        if outcome == interfaces.SILENT and pending and pending.flagged:
            # The connection was at fault; the upstream gets its share back.
            self.health.weights.forget(attempt.upstream)
        self._local(attempt, category, now)
        if not self._pooled(attempt.service):
            return
        if pending is not None and pending.flagged:
            before = _flag(pending, pending.flagged)
            outbox.count(attempt.upstream, customer_class, before, -1)
        if category is None:
            return
        cell = outbox.count(attempt.upstream, customer_class, category, 1)
        lease = self.health.lease(attempt.service, attempt.upstream)
        tried = lease is not None and lease.since <= attempt.started
        if tried and outcome == interfaces.GOOD:
            cell[-1] += 1
        urgent = category in FAILED or (
            outbox.urgent_level <= category < levels.LEVELS
        )
        if urgent or tried:
            self._hurry(outbox)

    def record_health_hint(
        self, service: str, upstream: str, ill: bool
    ) -> None:
        """Take note of what a health or load endpoint says.

        It raises suspicion a little or speeds a return; it never clears an
        upstream that fails real work.
        """
        outbox = self.reporter.outbox(service, clock.now())
        category = levels.ILL if ill else levels.WELL
        outbox.count(upstream, 0, category, 1)

    def take_pace(self, pace: messages.Pace) -> None:
        """Follow the pace that a coordinator sets."""
        outbox = self.reporter.outboxes.get(pace.service)
        if outbox is not None:
            outbox.take_pace(pace)

    def tick(self, now: float) -> None:
        """Look for overdue answers and send what is due."""
        for overdue in self.watch.tick(now):
            self._overdue(overdue, now)
        if self.path.tick(now) and now - self.path_told >= PATH_TOLD_S:
            self.path_told = now
            text = 'Nearly all upstreams look bad from this node.'
            self.timeline.record('path-suspected', text)
        self._flush()

    def sweep(self, now: float) -> None:
        """Forget what is over."""
        self.watch.forget(now)
        self.reporter.forget(now)
        self.pooled.clear()

    def _overdue(self, overdue: in_flight.Overdue, now: float) -> None:
        pending = overdue.pending
        if self.health.known.former(pending.upstream, pending.started):
            return
        outbox = self.reporter.outbox(pending.service, now)
        category = _flag(pending, overdue.level)
        before = _flag(pending, overdue.before)
        if category in PATH_BAD:
            self.path.note(pending.upstream, True, now)
        if overdue.level >= levels.LATE:
            late = overdue.level == levels.LATE
            factor = (
                local_weights.LATE_FACTOR
                if late
                else local_weights.OVERDUE_FACTOR
            )
            if not pending.fresh:
                factor = local_weights.UNPROVEN_FACTOR
            self.health.weights.lower(pending.upstream, factor, now)
        if category == before or not self._pooled(pending.service):
            return
        if overdue.before:
            outbox.count(pending.upstream, pending.customer_class, before, -1)
        outbox.count(pending.upstream, pending.customer_class, category, 1)
        if overdue.level >= outbox.urgent_level:
            self._hurry(outbox)

    def _local(self, attempt, category, now) -> None:
        """Let this node react by itself."""
        bad = attempt.outcome != interfaces.GOOD
        factor = local_weights.FACTORS.get(attempt.outcome)
        if factor is not None:
            self.health.weights.lower(attempt.upstream, factor, now)
        elif not bad and category is not None:
            if category < levels.LATE or category == levels.UNRATED:
                self.health.weights.raise_(attempt.upstream, now)
        if attempt.outcome != interfaces.SILENT:
            path_bad = category in PATH_BAD
            self.path.note(attempt.upstream, path_bad, now)
            if not self._pooled(attempt.service):
                self._own(attempt, bad, now)

    def _own(self, attempt, bad, now) -> None:
        service = attempt.service
        own = self.health.owns.get(service)
        if own is None:
            own = self.health.owns[service] = local_ejections.Own(
                self.make(service)
            )
        tuning = tunings.of(self.health.known.service(service))
        if own.observe(attempt.upstream, bad, tuning, now):
            self.health.refresh(service)
            self.timeline.record(
                'upstream-ejected',
                'By this node alone.',
                service=service,
                upstream=attempt.upstream,
            )

    def _pooled(self, service: str) -> bool:
        """Tell whether the detector of a service wants pooled evidence."""
        known = self.pooled.get(service)
        if known is None:
            name = self.health.known.service(service).detector
            known = self.pooled[service] = (name, self.make(service).pooled)
            if known[1]:
                self.health.owns.pop(service, None)
        return known[1]

    def _hurry(self, outbox: report_outbox.Outbox) -> None:
        outbox.urgent = True
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(GATHER_S, self._flush)

    def _flush(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = clock.now()
        for outbox in self.reporter.ready(now):
            self._send(outbox, now)

    def _send(self, outbox: report_outbox.Outbox, now: float) -> None:
        batch = outbox.take(self.rng, now)
        epoch, digest = self.health.summary(outbox.service)
        samples = batch.samples
        for cells in batch.chunks():
            report = messages.Report(
                outbox.service,
                self.health.me.host,
                self.health.me.data_centre,
                epoch,
                digest,
                outbox.version,
                self.health.copies(outbox.service, now),
                self.path.suspect,
                batch.share,
                cells,
                samples,
            )
            samples = ()
            self.tell(report)


def _flag(pending: in_flight.Pending, level: int) -> int:
    """Return the category of an answer that is overdue."""
    if level and not pending.fresh:
        return levels.unproven(level)
    return level


def _category(
    outcome: str, bounds: levels.Bounds | None, latency_s: float
) -> int | None:
    """Return the category of an attempt that ended, None for no evidence."""
    if outcome == interfaces.GOOD:
        if bounds is None:
            return levels.UNRATED
        return levels.level(bounds, latency_s)
    if outcome == interfaces.TIMEOUT and bounds is not None:
        level = levels.level(bounds, latency_s)
        # A caller in a hurry says nothing of the upstream.
        short = level if level >= levels.SLOW else None
        return levels.BROKEN if level == levels.OVERDUE else short
    return CATEGORIES[outcome]
