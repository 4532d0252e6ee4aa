"""Quarantine of requests that crash upstreams, shared by the whole fleet.

A node that sees an upstream of its host crash reports the requests that
were running there to all other processes.  The rules for when a request is
refused are in ``load.crash_suspects``; this package detects crashes,
distributes the facts, writes logs and metrics, and serves the operators' API.
"""

from carawaystair.quarantine import service


def make(kernel, members) -> service.Quarantine:
    """Return the quarantine of one process.

    :param kernel: the process; its links carry the facts.
    :param members: the members of the fleet.
    """
    return service.Quarantine(
        kernel.settings.node,
        members,
        kernel.links,
        kernel.recorder,
    )
