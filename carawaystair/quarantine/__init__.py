"""Requests that crash upstreams, known to all processes of the fleet.

A gateway that sees its upstream crash tells the others which requests that
was running.  What that means is decided in ``load.crash_suspects``; here is
how it spreads, how it is told in logs and metrics, and how an operator sees
it.
"""

from carawaystair.quarantine import service


def make(kernel, members) -> service.Quarantine:
    """Return the quarantine of one process.

    :param kernel: the process, whose links are used.
    :param members: the members of the fleet.
    """
    return service.Quarantine(
        kernel.settings.node,
        members,
        kernel.links,
        kernel.recorder,
    )
