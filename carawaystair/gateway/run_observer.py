"""What a run shows of its upstream, while it goes on and when it ends."""

import asyncio

from carawaystair import clock
from carawaystair.gateway import slots as slots_module
from carawaystair.load import failure_estimate
from carawaystair import logs

# A run that has not failed after so long has been worked on: gray upstreams
# fail at once, as a rule; seconds.
SURVIVED_S = 0.05
# A run is overdue after so many times what its route usually takes, and this
# time at least.
OVERDUE = 4.0
OVERDUE_S = 1.0

LOG = logs.get('gateway')


class RunObserver:
    """One run as its upstream's estimate sees it.

    :param upstream: id of the upstream.
    :param slots: of the upstream.
    :param route: key of the request's route.
    """

    def __init__(
        self, upstream: str, slots: slots_module.Slots, route: str
    ) -> None:
        self.upstream = upstream
        self.slots = slots
        self.route = route
        self.began = clock.now()
        # Whether it was seen to survive, and to be overdue.
        self.survived = False
        self.overdue = False
        expected_s = slots.queue.expected_service_s(route, self.began)
        loop = asyncio.get_running_loop()
        self.timers = (
            loop.call_later(SURVIVED_S, self._survived),
            loop.call_later(
                max(OVERDUE * expected_s, OVERDUE_S), self._overdue
            ),
        )
        slots.gate.trials.record_start(self.began)

    def _survived(self) -> None:
        if not self.survived:
            self.survived = True
            self._see(failure_estimate.NOT_FAILED_AT_ONCE)

    def _overdue(self) -> None:
        """Count a run that hangs before it ends.

        Its upstream would get others meanwhile, which hang as well.
        """
        self.overdue = True
        self._see(failure_estimate.OVERDUE)
        self.slots.gate.trials.record_failure(clock.now())

    def _see(self, sight: failure_estimate.Observation) -> None:
        before = self.slots.failing()
        self.slots.gate.estimate.observe(sight, clock.now())
        after = self.slots.failing()
        said = {'upstream': self.upstream, 'failing': round(after, 3)}
        if before <= failure_estimate.SUSPECT_PROBABILITY < after:
            LOG.info('An upstream is likely to fail.', **said)
            # It would fail all that wait for it, one after the other, within
            # milliseconds; others may have room for them.
            self.slots.evict_waiting()
        elif after <= failure_estimate.SUSPECT_PROBABILITY < before:
            LOG.info('An upstream is sound again.', **said)

    def stop(self) -> None:
        """Look no further: the run has ended."""
        for timer in self.timers:
            timer.cancel()

    def succeeded(self) -> None:
        """Take note of a good answer."""
        now = clock.now()
        took_s = now - self.began
        self.slots.queue.record_service_time(self.route, self.began, took_s)
        self._survived()
        if not self.overdue:
            self._see(failure_estimate.SUCCEEDED)
        self.slots.gate.trials.record_success()

    def failed(self) -> None:
        """Take note of a failure."""
        now = clock.now()
        self.slots.gate.trials.record_failure(now)
        if now - self.began < SURVIVED_S:
            self._see(failure_estimate.FAILED_AT_ONCE)
            return
        self._survived()
        if not self.overdue:
            self._see(failure_estimate.FAILED)

    def shed(self) -> None:
        """Take note that the upstream did not take the request."""
        self._see(failure_estimate.SHED)
