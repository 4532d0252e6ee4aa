"""Decides which requests one upstream gets.

Nodes know an upstream from reports that are seconds old, and several may offer
it requests at once.  Its gateway knows exactly what runs, what waits and what
just failed, so the final decision is made there, by the expected value of the
request at that moment.
"""

import math
import typing

from carawaystair.load import concurrency
from carawaystair.load import failure_estimate
from carawaystair.load import rejection
from carawaystair.load import request_value
from carawaystair.load import slot_queue
from carawaystair.load import trial_requests
from carawaystair.load import upstream_selection

MS = 1000
THOUSAND = 1000
# Longest idle time that is reported, in seconds.
MAX_AGE_S = 60.0
# Why a request is refused: it probably has a higher value elsewhere.
RISKY = 'risky'


class Offer(typing.NamedTuple):
    """How a node offers a request.

    :param final: whether it can't be retried if it fails.
    :param retry: whether an upstream got it before.
    :param retry_value: its value after a failure here, 0 to 1.
    :param min_value: the expected value here needed to accept it, 0 to 1.
    :param service_healthy: whether the node sees the service served well.
    :param usual_service_s: service time of its route as known to the node, in
        seconds; 0 if unknown.
    """

    final: bool
    retry: bool
    retry_value: float
    min_value: float
    service_healthy: bool
    usual_service_s: float


class Answer(typing.NamedTuple):
    """A gateway's answer to an offer.

    :param reason: why it is refused; empty if it may run now.
    :param trial: whether it runs as a trial.
    :param detail: circumstances of a refusal, for people.
    """

    reason: str
    trial: bool = False
    detail: str = ''


class Gate:
    """Decides which requests one upstream gets, and in which order.

    :param slots: requests that the upstream announces to run at once.
    :param measured_from: monotonic time in seconds from which the slots that
        it bears are measured; infinite to offer all.
    """

    def __init__(self, slots: int, measured_from: float = math.inf) -> None:
        self.queue = slot_queue.SlotQueue(slots)
        self.concurrency = concurrency.Concurrency(slots, measured_from)
        self.estimate = failure_estimate.Estimate()
        self.trials = trial_requests.Trials()

    def answer(
        self, offer: Offer, request: slot_queue.SlotRequest, now: float
    ) -> Answer:
        """Decide on a request that may be refused for a better upstream."""
        queue = self.queue
        if not offer.final:
            self.trials.record_offer(now)
        queue.rate.record_offer(now)
        if not queue.rate.ready(now):
            wait_s = queue.rate.wait_s(1, now)
            detail = 'wait %.2f s%s' % (wait_s, queue.rate)
            return Answer(rejection.LIMITED, False, detail)
        if queue.running >= queue.slots or queue.waiting:
            # Another upstream may have a free slot.
            return Answer(rejection.BUSY)
        value = self.expected_value(offer, request, now)
        if value >= offer.min_value:
            return Answer('')
        failure_probability = self.estimate.failure_probability(now)
        # A retry never runs as a trial, since it should not fail again.
        if not offer.retry and self.trials.due(
            not offer.final, failure_probability, offer.service_healthy, now
        ):
            return Answer('', True)
        detail = 'worth %.2f of %.2f, fails %.2f' % (
            value,
            offer.min_value,
            failure_probability,
        )
        return Answer(RISKY, False, detail)

    def expected_value(
        self, offer: Offer, request: slot_queue.SlotRequest, now: float
    ) -> float:
        """Return the expected value of running a request here, 0 to 1.

        Uses the longer of the known service times, because the few runs of
        one upstream may have been short by chance.
        """
        service_s = max(
            self.queue.expected_service_s(request.route, now),
            offer.usual_service_s,
        )
        answer_s = self.queue.expected_wait_s(request, now) + service_s
        need = request_value.Need(
            request.goal - now,
            request.deadline - now,
            offer.final,
            offer.retry_value,
        )
        return request_value.expected_value(
            self.estimate.failure_probability(now), answer_s, need
        )

    def announce(self, slots: int) -> None:
        """Apply another number of announced slots."""
        self.concurrency.announce(slots)
        self.queue.slots = self.concurrency.room

    def record_success(
        self, route: str, began_running: int, began_at: float, now: float
    ) -> concurrency.Change | None:
        """Record a run with a good answer, which still has its slot.

        :param route: key of its route.
        :param began_running: requests that ran when it began, and itself.
        :param began_at: monotonic time of its start in seconds.
        :param now: monotonic time in seconds.
        :return: a change of the slots that are offered.
        """
        self.queue.record_service_time(route, began_at, now - began_at)
        change = self.concurrency.record_success(
            route, self._mean_running(began_running), now - began_at, now
        )
        self.queue.slots = self.concurrency.room
        return change

    def record_failure(
        self, began_running: int, now: float
    ) -> concurrency.Change | None:
        """Record a run that failed or was shed, see ``record_success``."""
        change = self.concurrency.record_failure(
            self._mean_running(began_running), now
        )
        self.queue.slots = self.concurrency.room
        return change

    def _mean_running(self, began_running: int) -> float:
        return concurrency.mean_running(began_running, self.queue.running)

    def idle_s(self, now: float) -> float:
        """Return seconds since a run last began, at most MAX_AGE_S."""
        return min(self.trials.idle_s(now), MAX_AGE_S)

    def report(
        self, process: str, route: str, now: float
    ) -> upstream_selection.LoadReport:
        """Return the load report for other nodes.

        :param process: identifies this start of the process.
        :param route: key of the requested route.
        :param now: monotonic time in seconds.
        """
        queue = self.queue
        failure_probability = self.estimate.failure_probability(now)
        measured = queue.durations.has(route)
        # A further request without a goal or deadline and of the default
        # priority.
        wait_s = queue.expected_wait_s(
            slot_queue.SlotRequest('', route, math.inf), now
        )
        return upstream_selection.LoadReport(
            process,
            failure_probability > failure_estimate.SUSPECT_PROBABILITY,
            queue.running,
            len(queue.waiting),
            queue.slots,
            int(wait_s * MS),
            int(queue.durations.mean * MS),
            int(self.idle_s(now) * MS),
            int(queue.expected_service_s(route, now) * MS) if measured else 0,
            failure_permille=int(failure_probability * THOUSAND),
            typical_failure_permille=int(
                self.estimate.typical_failure_probability() * THOUSAND
            ),
            limit_milli=queue.rate.milli,
            pause_ms=int(queue.rate.pause_s(now) * MS),
        )
