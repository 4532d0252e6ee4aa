"""Faults that a stand-in upstream can be told to show, at run time."""

import random
import typing

from carawaystair import shape

# What becomes of one request.
GOOD = 'good'
HANG = 'hang'
ERROR = 'error'
RESET = 'reset'
TRUNCATE = 'truncate'
STALL = 'stall'

HONEST = 'honest'
GOOD_HEALTH = 'good'
BAD_HEALTH = 'bad'

SEEN = 'seen'
IGNORED = 'ignored'


class Faults(typing.NamedTuple):
    """The faults in force; shares run from 0.0 to 1.0.

    :param slow: factor on the service time.
    :param slow_share: share of requests that ``slow`` concerns.
    :param slow_customers: factor on the service time by customer.
    :param hang_share: requests that are run but never answered.
    :param error_share: requests answered with ``error_status``.
    :param error_status: status of those answers.
    :param reset_share: answers reset (TCP RST) in the middle.
    :param truncate_share: answers that end in the middle, by a plain close.
    :param stall_share: answers that stop in the middle for good.
    :param late_share: answers held back after the work was done.
    :param late_ms: how long those are held back, ms.
    :param silent: the connections open now go silent; new ones work.
    :param health: the health endpoint tells the truth, or is always good
        (healthy but failing) or always bad (ill but working).
    :param load_factor: what the load endpoint multiplies its figures by.
    :param lag_s: age of what health and load endpoints tell, seconds.
    :param flap_s: period of faults that come and go, 0 for steady ones.
    :param flap_share: part of each period in which the faults show.
    :param cancel: a caller's cancellation ends the run, or is ignored.
    :param deadlines: the deadline header ends the run, or is ignored.
    :param revision: revision of all bundles here; a differing one must
        never be mixed with others.
    :param limit: requests a second that answers state; none if negative.
    :param leaving: whether answers state that the upstream leaves.
    :param seed: of the dice that pick requests.
    """

    slow: float = 1.0
    slow_share: float = 1.0
    slow_customers: dict[str, float] = {}
    hang_share: float = 0.0
    error_share: float = 0.0
    error_status: int = 500
    reset_share: float = 0.0
    truncate_share: float = 0.0
    stall_share: float = 0.0
    late_share: float = 0.0
    late_ms: float = 0.0
    silent: bool = False
    health: typing.Literal['honest', 'good', 'bad'] = HONEST
    load_factor: float = 1.0
    lag_s: float = 0.0
    flap_s: float = 0.0
    flap_share: float = 0.5
    cancel: typing.Literal['seen', 'ignored'] = SEEN
    deadlines: typing.Literal['seen', 'ignored'] = SEEN
    revision: int = 0
    limit: float = -1.0
    leaving: bool = False
    seed: int = 1


NONE = Faults()
# Faults that an honest health endpoint owns up to.
ILL = (
    'slow',
    'slow_customers',
    'hang_share',
    'error_share',
    'reset_share',
    'truncate_share',
    'stall_share',
    'late_share',
    'silent',
)


class Plan(typing.NamedTuple):
    """What one request will meet.

    :param factor: on its service time.
    :param fate: :data:`GOOD`, :data:`HANG` and so on.
    :param late_s: seconds its answer is held back.
    """

    factor: float = 1.0
    fate: str = GOOD
    late_s: float = 0.0


class Dice:
    """Draws the plan of each request.

    :param faults: the faults in force.
    :param since: monotonic time at which they came into force.
    """

    def __init__(self, faults: Faults, since: float) -> None:
        self.faults = faults
        self.since = since
        self.random = random.Random(faults.seed)

    def shows(self, now: float) -> bool:
        """Tell whether flapping faults show at a time."""
        period = self.faults.flap_s
        if not period:
            return True
        return (now - self.since) % period < period * self.faults.flap_share

    def ill(self, now: float) -> bool:
        """Tell whether any fault shows at a time."""
        changed = any(
            getattr(self.faults, name) != getattr(NONE, name) for name in ILL
        )
        return changed and self.shows(now)

    def plan(self, customer: str, now: float) -> Plan:
        """Draw what a request meets.

        The same number of draws is made for each request, so that one knob
        does not shift what the others pick.
        """
        slow, late, fate = (self.random.random() for _draw in range(3))
        if not self.shows(now):
            return Plan()
        faults = self.faults
        factor = faults.slow if slow < faults.slow_share else 1.0
        factor *= faults.slow_customers.get(customer, 1.0)
        late_s = faults.late_ms / 1000 if late < faults.late_share else 0.0
        return Plan(factor, self.fate(fate), late_s)

    def fate(self, draw: float) -> str:
        """Return the fate that a draw from 0.0 to 1.0 falls on."""
        shares = (
            (HANG, self.faults.hang_share),
            (ERROR, self.faults.error_share),
            (RESET, self.faults.reset_share),
            (TRUNCATE, self.faults.truncate_share),
            (STALL, self.faults.stall_share),
        )
        for fate, share in shares:
            if draw < share:
                return fate
            draw -= share
        return GOOD


def read(document) -> tuple[Faults | None, list[shape.Mistake]]:
    """Build faults from decoded JSON.

    :return: the faults or None, and every mistake in the document.
    """
    mistakes: list[shape.Mistake] = []
    return shape.build(Faults, document, '$', mistakes), mistakes
