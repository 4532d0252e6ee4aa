"""The messages about requests that crash upstreams.

Wire numbers 160 to 179.
"""

import typing

from carawaystair.load import crashing
from carawaystair import wire


@wire.register(160)
class Tell(typing.NamedTuple):
    """Facts that are new to the sender; answered by a Told.

    :param facts: the facts.
    :param wants_all: whether the sender wants all that the other one knows.
    """

    facts: tuple[crashing.Fact, ...]
    wants_all: bool = False


@wire.register(161)
class Told(typing.NamedTuple):
    """The answer to a Tell: its facts arrived.

    :param facts: what was asked for.
    """

    facts: tuple[crashing.Fact, ...] = ()
