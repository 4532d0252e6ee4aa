"""Parameters of detection for the two settings of the manifest.

``fast`` and ``conservative`` trade speed against false ejections.
"""

import typing

from carawaystair import manifest


class Tuning(typing.NamedTuple):
    """Parameters of a coordinator.  Evidence is in nats, see ``detectors``.

    :param suspect_nats: evidence from which an upstream is suspected and
        tested.
    :param eject_nats: evidence from which it is ejected.
    :param clear_nats: evidence below which a suspicion ends.
    :param min_bad_span_s: bad attempts must arrive over at least this time: a
        short stall of an upstream is no gray failure.
    :param test_share: share of ordinary work that an upstream under test gets
        where no copies of requests are available.
    :param hold_s: a suspicion without new evidence is softened after this.
    :param backoff_s: time from an ejection to the first trial.
    :param slow_start_s: time in which a returned upstream regains its share.
    :param min_trials: good trials before a return.
    :param scope_wait_s: how long to wait for results of other callers before
        an upstream is ejected for all of them.
    :param scope_min_good: good answers to others that limit an ejection to the
        callers that fail.
    :param min_latency_s: latencies below this are never unusual.
    """

    suspect_nats: float
    eject_nats: float
    clear_nats: float
    min_bad_span_s: float
    test_share: float
    hold_s: float
    backoff_s: float
    slow_start_s: float
    min_trials: int
    scope_wait_s: float
    scope_min_good: int
    min_latency_s: float


FAST = Tuning(
    suspect_nats=3.5,
    eject_nats=14.0,
    clear_nats=1.0,
    min_bad_span_s=0.4,
    test_share=0.1,
    hold_s=1.0,
    backoff_s=5.0,
    slow_start_s=8.0,
    min_trials=8,
    scope_wait_s=0.6,
    scope_min_good=3,
    min_latency_s=0.02,
)
CONSERVATIVE = Tuning(
    suspect_nats=7.0,
    eject_nats=20.0,
    clear_nats=1.0,
    min_bad_span_s=2.0,
    test_share=0.2,
    hold_s=3.0,
    backoff_s=10.0,
    slow_start_s=20.0,
    min_trials=12,
    scope_wait_s=4.0,
    scope_min_good=6,
    min_latency_s=0.04,
)


def for_service(service: manifest.Service) -> Tuning:
    """Return the tuning for a service."""
    return FAST if service.detection == manifest.FAST else CONSERVATIVE
