"""The messages about requests that crash upstreams.

Wire numbers 160 to 179.
"""

import typing

from carawaystair.load import crash_suspects
from carawaystair import wire


@wire.register(160)
class Tell(typing.NamedTuple):
    """Facts that the sender has just learnt; answered by :class:`Told`.

    :param facts: the facts.
    :param wants_all: whether the answer is to carry all facts that the
        receiver knows.
    """

    facts: tuple[crash_suspects.Fact, ...]
    wants_all: bool = False


@wire.register(161)
class Told(typing.NamedTuple):
    """Acknowledges the facts of a :class:`Tell`.

    :param facts: all facts that the sender knows, if they were asked for.
    """

    facts: tuple[crash_suspects.Fact, ...] = ()
