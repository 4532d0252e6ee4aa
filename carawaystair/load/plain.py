"""Plain stand-ins for the mechanisms of decisions, to show their worth.

An experiment plays the same load with a mechanism and without it.  Each
mechanism has a name here and says what stands for it when it is off.  Nothing
of this is used unless an experiment asks for it.
"""

import contextlib
import math
import typing
from unittest import mock

from carawaystair.load import estimating
from carawaystair.load import gate
from carawaystair.load import placing
from carawaystair.load import rejecting
from carawaystair.load import returning
from carawaystair.load import spreading
from carawaystair.load import trying
from carawaystair.load import valuing
from carawaystair.load import waiting


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


def _as_it_is(_line, wait_s: float, _now: float) -> float:
    return wait_s


# What is on when nothing is said, and what stands for it when it is off.
MECHANISMS = {
    # Learning from failures at all.
    'estimate': (Part(estimating.Estimate, 'see', _nothing),),
    # Fading of what is known.
    'fading': (Part(estimating, 'FADE_S', 1e9),),
    # Learning how upstreams are as a rule.
    'usual': (Part(estimating, 'LEARN_S', 1e12),),
    # The last word of gateways on what a request is worth.
    'last-word': (Part(gate.Gate, 'worth', _one),),
    # Upstreams that had no work get some.
    'trials': (Part(trying.Trials, 'due', _no),),
    # Asking those that nothing was heard of while requests fail.
    'spread': (Part(spreading, 'MOST_FAILING', math.inf),),
    # The same data centre first.
    'near': (Part(placing, 'NEAR', 0.0), Part(placing, 'NEAR_KB', 0.0)),
    # Drawing those by lot that are worth the same.
    'lot': (Part(placing, 'SAME', 0.0),),
    # Reckoning with slots that are in use.
    'crowded': (Part(placing, 'CROWDED_S', 0.0),),
    # The earlier of two answers in time.
    'haste': (Part(valuing, 'HASTE', 0.0),),
    # Sparing requests that can be repeated a failure.
    'repeat-loss': (Part(valuing, 'REPEAT_LOSS', 0.0),),
    # Goals, urgency and deadlines among those that wait.
    'order': (Part(waiting.Line, 'rank', _same),),
    # Rejecting what can't be served.
    'hopeless': (Part(rejecting, 'hopeless', _no),),
    # A bound for those that will be late.
    'late-room': (Part(rejecting, 'LATE_ROOM', math.inf),),
    # Reckoning with those in goal that are yet to come.
    'overtaking': (Part(waiting.Line, 'late_wait_s', _as_it_is),),
    # Return of the rejected by what the backlog needs.
    'return': (Part(returning, 'MOST_S', returning.LEAST_S),),
}


def unknown(names: typing.Iterable[str]) -> list[str]:
    """Return those names that no mechanism has."""
    return sorted(set(names) - set(MECHANISMS))


@contextlib.contextmanager
def installed(names: typing.Iterable[str]) -> typing.Iterator[None]:
    """Let plain parts stand for some mechanisms, for a while."""
    with contextlib.ExitStack() as stack:
        for part in _parts(names):
            patch = mock.patch.object(part.owner, part.name, part.plain)
            stack.enter_context(patch)
        yield


def install(names: typing.Iterable[str]) -> None:
    """Let plain parts stand for some mechanisms, in this whole process."""
    for part in _parts(names):
        setattr(part.owner, part.name, part.plain)


def _parts(names: typing.Iterable[str]) -> list[Part]:
    return [part for name in names for part in MECHANISMS[name]]
