"""Messages between gateways, wire numbers 200 to 219."""

import typing

from carawaystair import wire


@wire.register(200)
class AskRunTimes(typing.NamedTuple):
    """Asks a gateway how long the runs of a service have taken there.

    :param service: the service.
    """

    service: str


@wire.register(201)
class RunTimesSeen(typing.NamedTuple):
    """How long the runs of a service have taken at a gateway.

    :param service: the service.
    :param routes: number of ended runs and duration of the longest, ms, by
        route.
    """

    service: str
    routes: dict[str, tuple[int, int]]
