"""What one upstream gets: decided where all its requests come in.

The load that this answers: nodes know an upstream by reports that are seconds
old, and offer it what others have offered it meanwhile.  Here it is known
exactly what runs, what waits and what failed just now, so that the last word
is spoken here, by what the request is worth at this moment.
"""

import math
import typing

from carawaystair.load import failure_estimate
from carawaystair.load import rejection
from carawaystair.load import request_value
from carawaystair.load import slot_queue
from carawaystair.load import trial_requests
from carawaystair.load import upstream_selection

MS = 1000
THOUSAND = 1000
# Ages beyond this are all the same, seconds.
MAX_AGE_S = 60.0
# Why a request is refused: it is worth more elsewhere, as far as is known.
RISKY = 'risky'


class Offer(typing.NamedTuple):
    """How a request is offered.

    :param last: whether it can't be sent once more if it fails.
    :param repeat: whether an upstream got it before.
    :param again: what it is worth if it fails here, 0 to 1.
    :param least: what it must be worth here to be taken, 0 to 1.
    :param calm: whether its node sees the service served well.
    :param usual_s: service time of its route, as its node knows it, seconds;
        0 where it does not.
    """

    final: bool
    retry: bool
    retry_value: float
    min_value: float
    service_healthy: bool
    usual_service_s: float


class Answer(typing.NamedTuple):
    """What a gate says to an offer.

    :param reason: why it is refused; empty when it may run now.
    :param trial: whether it runs only for what it shows.
    :param detail: the circumstances, for a person.
    """

    reason: str
    trial: bool = False
    detail: str = ''


class Gate:
    """Decides which requests one upstream gets, and in which order.

    :param slots: requests that the upstream works on at once.
    """

    def __init__(self, slots: int) -> None:
        self.queue = slot_queue.SlotQueue(slots)
        self.estimate = failure_estimate.Estimate()
        self.trials = trial_requests.Trials()

    def answer(
        self, offer: Offer, want: slot_queue.SlotRequest, now: float
    ) -> Answer:
        """Decide on a request that does not stay here at any price."""
        queue = self.queue
        if not offer.final:
            self.trials.record_offer(now)
        if queue.running >= queue.slots or queue.waiting:
            # Another upstream may have a free slot.
            return Answer(rejection.BUSY)
        worth = self.expected_value(offer, want, now)
        if worth >= offer.min_value:
            return Answer('')
        failing = self.estimate.failure_probability(now)
        # A repeat is no trial: it must not fail again.
        if not offer.retry and self.trials.due(
            not offer.final, failing, offer.service_healthy, now
        ):
            return Answer('', True)
        detail = 'worth %.2f of %.2f, fails %.2f' % (
            worth,
            offer.min_value,
            failing,
        )
        return Answer(RISKY, False, detail)

    def expected_value(
        self, offer: Offer, want: slot_queue.SlotRequest, now: float
    ) -> float:
        """Return what it is worth to run a request here, 0 to 1.

        Of the service times that are known the longer one counts: what
        little an upstream has done may have been short by chance.
        """
        service_s = max(
            self.queue.expected_service_s(want.route, now),
            offer.usual_service_s,
        )
        answer_s = self.queue.expected_wait_s(want, now) + service_s
        need = request_value.Need(
            want.goal - now,
            want.deadline - now,
            offer.final,
            offer.retry_value,
        )
        return request_value.expected_value(
            self.estimate.failure_probability(now), answer_s, need
        )

    def idle_s(self, now: float) -> float:
        """Return how long no run has begun, seconds."""
        return min(self.trials.idle_s(now), MAX_AGE_S)

    def report(
        self, process: str, route: str, now: float
    ) -> upstream_selection.LoadReport:
        """Return what other nodes should know.

        :param process: names the start of this process.
        :param route: key of the route that was asked for.
        """
        queue = self.queue
        failing = self.estimate.failure_probability(now)
        seen = queue.durations.has(route)
        # One more request that is neither urgent nor late.
        wait_s = queue.expected_wait_s(
            slot_queue.SlotRequest('', route, math.inf), now
        )
        return upstream_selection.LoadReport(
            process,
            failing > failure_estimate.SUSPECT_PROBABILITY,
            queue.running,
            len(queue.waiting),
            queue.slots,
            int(wait_s * MS),
            int(queue.durations.mean * MS),
            int(self.idle_s(now) * MS),
            int(queue.expected_service_s(route, now) * MS) if seen else 0,
            failure_permille=int(failing * THOUSAND),
            typical_failure_permille=int(
                self.estimate.typical_failure_probability() * THOUSAND
            ),
        )
