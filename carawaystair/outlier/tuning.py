"""The two settings of the trade between speed and false ejections."""

import typing

from carawaystair import manifest


class Tuning(typing.NamedTuple):
    """How a coordinator reacts.  Evidence is in nats, see ``detectors``.

    :param suspect: evidence from which an upstream is held and tested.
    :param eject: evidence from which it is ejected.
    :param clear: evidence below which a suspicion ends.
    :param span_s: bad attempts must arrive over at least this time: a short
        stall of an upstream is no gray failure.
    :param trickle: share of ordinary work that goes to an upstream under
        test where no copies of requests are to be had.
    :param hold_s: a hold without new evidence is softened after this.
    :param backoff_s: time from an ejection to the first trial.
    :param slow_start_s: time in which a returned upstream gets its share.
    :param trials: good trials before a return.
    :param scope_wait_s: how long to wait for word of other callers before
        an upstream is ejected for all of them.
    :param scope_good: good answers to others that limit an ejection to the
        callers that complain.
    :param least_s: latencies below this are never unusual.
    """

    suspect: float
    eject: float
    clear: float
    span_s: float
    trickle: float
    hold_s: float
    backoff_s: float
    slow_start_s: float
    trials: int
    scope_wait_s: float
    scope_good: int
    least_s: float


FAST = Tuning(
    suspect=3.5,
    eject=14.0,
    clear=1.0,
    span_s=0.4,
    trickle=0.1,
    hold_s=1.0,
    backoff_s=5.0,
    slow_start_s=8.0,
    trials=8,
    scope_wait_s=0.6,
    scope_good=3,
    least_s=0.02,
)
CONSERVATIVE = Tuning(
    suspect=7.0,
    eject=20.0,
    clear=1.0,
    span_s=2.0,
    trickle=0.2,
    hold_s=3.0,
    backoff_s=10.0,
    slow_start_s=20.0,
    trials=12,
    scope_wait_s=4.0,
    scope_good=6,
    least_s=0.04,
)


def of(service: manifest.Service) -> Tuning:
    """Return the tuning that a service asks for."""
    return FAST if service.detection == manifest.FAST else CONSERVATIVE
