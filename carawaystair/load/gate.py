"""What one upstream gets: decided where all its requests come in.

The load that this answers: nodes know an upstream by reports that are seconds
old, and offer it what others have offered it meanwhile.  Here it is known
exactly what runs, what waits and what failed just now, so that the last word
is spoken here, by what the request is worth at this moment.
"""

import math
import typing

from carawaystair.load import estimating
from carawaystair.load import placing
from carawaystair.load import rejecting
from carawaystair.load import trying
from carawaystair.load import valuing
from carawaystair.load import waiting

MS = 1000
THOUSAND = 1000
# Ages beyond this are all the same, seconds.
MOST_AGE_S = 60.0
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

    last: bool
    repeat: bool
    again: float
    least: float
    calm: bool
    usual_s: float


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
        self.line = waiting.Line(slots)
        self.estimate = estimating.Estimate()
        self.trials = trying.Trials()

    def answer(self, offer: Offer, want: waiting.Want, now: float) -> Answer:
        """Decide on a request that does not stay here at any price."""
        line = self.line
        if not offer.last:
            self.trials.offered(now)
        if line.running >= line.slots or line.waiting:
            # Another upstream may have a free slot.
            return Answer(rejecting.BUSY)
        worth = self.worth(offer, want, now)
        if worth >= offer.least:
            return Answer('')
        failing = self.estimate.failing(now)
        # A repeat is no trial: it must not fail again.
        if not offer.repeat and self.trials.due(
            not offer.last, failing, offer.calm, now
        ):
            return Answer('', True)
        detail = 'worth %.2f of %.2f, fails %.2f' % (
            worth,
            offer.least,
            failing,
        )
        return Answer(RISKY, False, detail)

    def worth(self, offer: Offer, want: waiting.Want, now: float) -> float:
        """Return what it is worth to run a request here, 0 to 1.

        Of the service times that are known the longer one counts: what
        little an upstream has done may have been short by chance.
        """
        service_s = max(self.line.takes_s(want.route, now), offer.usual_s)
        answer_s = self.line.wait_s(want, now) + service_s
        need = valuing.Need(
            want.goal - now, want.deadline - now, offer.last, offer.again
        )
        return valuing.worth(self.estimate.failing(now), answer_s, need)

    def idle_s(self, now: float) -> float:
        """Return how long no run has begun, seconds."""
        return min(self.trials.idle_s(now), MOST_AGE_S)

    def report(self, process: str, route: str, now: float) -> placing.Report:
        """Return what other nodes should know.

        :param process: names the start of this process.
        :param route: key of the route that was asked for.
        """
        line = self.line
        failing = self.estimate.failing(now)
        seen = line.durations.knows(route)
        # One more request that is neither urgent nor late.
        wait_s = line.wait_s(waiting.Want('', route, math.inf), now)
        return placing.Report(
            process,
            failing > estimating.LIKELY,
            line.running,
            len(line.waiting),
            line.slots,
            int(wait_s * MS),
            int(line.durations.mean * MS),
            int(self.idle_s(now) * MS),
            int(line.takes_s(route, now) * MS) if seen else 0,
            failing=int(failing * THOUSAND),
            usual=int(self.estimate.usually() * THOUSAND),
        )
