"""Plain stand-ins for the mechanisms of decisions, to show their worth.

An experiment plays the same load with a mechanism and without it.  Each
mechanism has a name here and says what stands for it when it is off.  Nothing
of this is used unless an experiment asks for it.
"""

import contextlib
import math
import typing

from carawaystair.gateway import dispatches
from carawaystair.gateway import gateway_client
from carawaystair.gateway import slots
from carawaystair.gateway import transit
from carawaystair.load import exploration
from carawaystair.load import failure_estimate
from carawaystair.load import hedge_delay
from carawaystair.load import locality
from carawaystair.load import rejection
from carawaystair.load import request_value
from carawaystair.load import retry_after
from carawaystair.load import slot_queue
from carawaystair.load import trial_requests
from carawaystair.load import upstream_gate
from carawaystair.load import upstream_selection
from carawaystair.request import http_server


class Part(typing.NamedTuple):
    """One thing that is replaced.

    :param owner: the class or module that has it.
    :param name: its name there.
    :param plain: what stands for it.
    """

    owner: typing.Any
    name: str
    plain: typing.Any


def _nothing(*_arguments) -> None:
    """Do nothing."""


def _no(*_arguments) -> bool:
    return False


def _same(*_arguments) -> tuple:
    """Rank all requests alike: the first to come is the first to go."""
    return ()


def _one(*_arguments) -> float:
    return 1.0


def _zero(*_arguments) -> float:
    return 0.0


def _as_they_are(_selector, untried: list, _best: float) -> list:
    return untried


def _as_it_is(_line, wait_s: float, _now: float, _request) -> float:
    return wait_s


def _as_it_came(hop, _now_ms: int):
    return hop


def _last_by_kind(trip: dispatches.Dispatch) -> bool:
    return not trip.call.idempotent or trip.sent > 0


# What is on when nothing is said, and what stands for it when it is off.
MECHANISMS = {
    # Learning from failures at all.
    'estimate': (Part(failure_estimate.Estimate, 'observe', _nothing),),
    # Fading of what is known.
    'fading': (Part(failure_estimate, 'DECAY_S', 1e9),),
    # Learning how upstreams are as a rule.
    'usual': (Part(failure_estimate, 'TYPICAL_DECAY_S', 1e12),),
    # The last word of gateways on what a request is worth.
    'last-word': (Part(upstream_gate.Gate, 'expected_value', _one),),
    # Upstreams that had no work get some.
    'trials': (Part(trial_requests.Trials, 'due', _no),),
    # Leaving trials of those that fail to what may be repeated.
    'leave-trials': (
        Part(trial_requests, 'RETRYABLE_ONLY_PROBABILITY', math.inf),
    ),
    # Asking those that nothing was heard of while requests fail.
    'spread': (Part(exploration, 'MAX_FAILURE_SHARE', math.inf),),
    # The same data centre first.
    'near': (
        Part(locality.Locality, 'home_bonus', _zero),
        Part(upstream_selection.UpstreamSelector, '_nearest', _as_they_are),
    ),
    # The same data centre the more, the more bytes are sent.
    'near-bytes': (Part(locality.Locality, 'bytes_bonus', _zero),),
    # Ways through a third node.
    'detour': (Part(upstream_selection, 'DETOUR_VALUE_SHARE', 0.0),),
    # Drawing those by lot that are worth the same.
    'lot': (Part(upstream_selection, 'EQUAL_VALUE_MARGIN', 0.0),),
    # Reckoning with slots that are in use.
    'crowded': (Part(upstream_selection, 'FULL_SLOTS_WAIT_S', 0.0),),
    # The earlier of two answers in time.
    'haste': (Part(request_value, 'EARLINESS_SHARE', 0.0),),
    # Reckoning with what a second run is worth.
    'again': (
        Part(upstream_selection.UpstreamSelector, '_retry_value', _one),
    ),
    # Goals, urgency and deadlines among those that wait.
    'order': (Part(slot_queue.SlotQueue, 'rank', _same),),
    # Rejecting what can't be served.
    'hopeless': (Part(rejection, 'would_miss', _no),),
    # A bound for those that will be late.
    'late-room': (Part(rejection, 'LATE_PER_SLOT', math.inf),),
    # Reckoning with those in goal that are yet to come.
    'overtaking': (
        Part(slot_queue.SlotQueue, 'late_expected_wait_s', _as_it_is),
    ),
    # Reckoning with upstreams that warm up.
    'cold': (Part(slot_queue, 'WARMUP_FACTOR', 1.0),),
    # What waits leaves an upstream that turns gray.
    'turn-away': (Part(slots.Slots, 'evict_waiting', _nothing),),
    # The last run that a route allows is spared a failure.
    'last-run': (
        Part(dispatches.Dispatch, 'final_attempt', property(_last_by_kind)),
    ),
    # Requests sent ahead run side by side.
    'side-by-side': (
        Part(http_server.Connection, '_start_pipelined', _nothing),
    ),
    # Bodies go out when a gateway has a slot for them.
    'ask-body': (Part(gateway_client, 'EXPECT_CONTINUE_BYTES', math.inf),),
    # What is sent between nodes ages on its way.
    'age': (Part(transit, 'deduct_transit_time', _as_it_came),),
    # A second run of what is late.
    'hedge': (Part(hedge_delay, 'MIN_DELAY_S', 1e9),),
    # Return of the rejected by what the backlog needs.
    'return': (Part(retry_after, 'MAX_S', retry_after.MIN_S),),
}


def unknown(names: typing.Iterable[str]) -> list[str]:
    """Return those names that no mechanism has."""
    return sorted(set(names) - set(MECHANISMS))


@contextlib.contextmanager
def installed(names: typing.Iterable[str]) -> typing.Iterator[None]:
    """Let plain parts stand for some mechanisms, for a while."""
    parts = _parts(names)
    real = [part._replace(plain=vars(part.owner)[part.name]) for part in parts]
    _put(parts)
    try:
        yield
    finally:
        _put(real)


def install(names: typing.Iterable[str]) -> None:
    """Let plain parts stand for some mechanisms, in this whole process."""
    _put(_parts(names))


def _put(parts: typing.Iterable[Part]) -> None:
    for part in parts:
        setattr(part.owner, part.name, part.plain)


def _parts(names: typing.Iterable[str]) -> list[Part]:
    return [part for name in names for part in MECHANISMS[name]]
