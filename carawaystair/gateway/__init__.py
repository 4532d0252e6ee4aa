"""Request path of a fleet whose nodes are gateways.

A request goes from its caller to the node on the caller's host, from there
to the gateway beside the chosen upstream, and from that to the upstream.
The gateway is the only way to its upstream; see ``docs/design/platform.md``.
"""

import typing

from carawaystair import decisions
from carawaystair.gateway import service
from carawaystair import interfaces
from carawaystair import kernel as kernels


def make(
    kernel: kernels.Kernel,
    membership,
    routing,
    recorder: decisions.Recorder,
    quarantine: interfaces.Quarantine,
    behind_s: typing.Callable[[], float] = lambda: 0.0,
    age_s: typing.Callable[[], float] = lambda: 0.0,
) -> service.Gateway:
    """Return the service that routes requests on a node with a gateway.

    :param membership: the membership service of the process.
    :param routing: returns the configuration in force.
    :param recorder: records events.
    :param quarantine: tracks requests that crash upstreams.
    :param behind_s: returns for how long a newer configuration has been
        known, seconds; 0.0 while there is none.
    :param age_s: returns how long ago the configuration in force was surely
        the newest one, seconds.
    """
    return service.Gateway(
        kernel, membership, routing, recorder, behind_s, quarantine, age_s
    )
