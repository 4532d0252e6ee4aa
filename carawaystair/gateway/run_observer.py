"""Feeds an upstream's failure estimate from the course of each run."""

import asyncio

from carawaystair import clock
from carawaystair import decisions
from carawaystair.gateway import slots as slots_module
from carawaystair.load import concurrency
from carawaystair.load import failure_estimate
from carawaystair import logs

# A run that has not failed by then was really worked on, since failing
# upstreams fail at once as a rule, seconds.
SURVIVED_S = 0.05
# A run is overdue after this multiple of its route's typical service time,
# but not before MIN_OVERDUE_S.
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_S = 1.0

LOG = logs.get('gateway')


class RunObserver:
    """Observes one run on behalf of its upstream's failure estimate.

    :param upstream: id of the upstream.
    :param slots: of the upstream.
    :param route: key of the request's route.
    :param request: id of the request.
    :param recorder: records changes of the slots that are offered.
    """

    def __init__(
        self,
        upstream: str,
        slots: slots_module.Slots,
        route: str,
        request: str,
        recorder: decisions.Recorder,
    ) -> None:
        self.upstream = upstream
        self.slots = slots
        self.route = route
        self.request = request
        self.recorder = recorder
        self.running = slots.queue.running
        self.started_at = clock.now()
        self.survived = False
        self.overdue = False
        # A run is slow while its upstream is full, and doesn't hang.
        expected_s = slots.gate.concurrency.slowdown(
            self.running
        ) * slots.queue.expected_service_s(route, self.started_at)
        loop = asyncio.get_running_loop()
        self.timers = (
            loop.call_later(SURVIVED_S, self._on_survived),
            loop.call_later(
                max(OVERDUE_FACTOR * expected_s, MIN_OVERDUE_S),
                self._on_overdue,
            ),
        )
        slots.gate.trials.record_start(self.started_at)

    def _on_survived(self) -> None:
        if not self.survived:
            self.survived = True
            self._update_estimate(failure_estimate.NOT_FAILED_AT_ONCE)

    def _on_overdue(self) -> None:
        """Count a hanging run as a failure before it ends.

        The upstream would be sent more requests meanwhile, and hang on them.
        """
        self.overdue = True
        self._update_estimate(failure_estimate.OVERDUE)
        self.slots.gate.trials.record_failure(clock.now())

    def _update_estimate(
        self, observation: failure_estimate.Observation
    ) -> None:
        before = self.slots.failure_chance()
        self.slots.gate.estimate.observe(observation, clock.now())
        after = self.slots.failure_chance()
        fields = {'upstream': self.upstream, 'failing': round(after, 3)}
        if before <= failure_estimate.SUSPECT_PROBABILITY < after:
            LOG.info('Upstream is likely to fail.', **fields)
            # It would fail all waiting requests within milliseconds; other
            # upstreams may have room for them.
            self.slots.evict_waiting()
        elif after <= failure_estimate.SUSPECT_PROBABILITY < before:
            LOG.info('Upstream has recovered.', **fields)

    def _tell(self, change: concurrency.Change | None) -> None:
        if change is not None:
            event = decisions.RoomChanged(
                self.request,
                self.upstream,
                change.room,
                change.announced,
                round(change.slowdown, 2),
                change.runs,
            )
            self.recorder.tell(event, decisions.BELIEF)

    def stop(self) -> None:
        """Stop observing: the run has ended."""
        for timer in self.timers:
            timer.cancel()

    def succeeded(self) -> None:
        """Record a good answer."""
        change = self.slots.gate.record_success(
            self.route, self.running, self.started_at, clock.now()
        )
        self._tell(change)
        self._on_survived()
        if not self.overdue:
            self._update_estimate(failure_estimate.SUCCEEDED)
        self.slots.gate.trials.record_success()

    def failed(self) -> None:
        """Record a failure."""
        now = clock.now()
        self._tell(self.slots.gate.record_failure(self.running, now))
        self.slots.gate.trials.record_failure(now)
        if now - self.started_at < SURVIVED_S:
            self._update_estimate(failure_estimate.FAILED_AT_ONCE)
            return
        self._on_survived()
        if not self.overdue:
            self._update_estimate(failure_estimate.FAILED)

    def shed(self) -> None:
        """Record that the upstream shed the request."""
        change = self.slots.gate.record_failure(self.running, clock.now())
        self._tell(change)
        self._update_estimate(failure_estimate.SHED)
