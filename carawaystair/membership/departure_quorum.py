"""Who must confirm a departure, and who must answer a host that starts.

Both are majorities of the control group, so that they share a process.
"""

import typing

from carawaystair import interfaces
from carawaystair import rendezvous

# Most processes that remember a departure in a fleet without control hosts.
MAX_KEEPERS = 5
# Key by which these are chosen.
RANK_KEY = 'departures'

Peers = tuple[str, ...]


class View(typing.NamedTuple):
    """What a process knows of the others.

    :param own: its own ``ip:port``, as for all that follow.
    :param live: the live processes, itself included.
    :param group: the control hosts that vote; none in a fleet without them.
    :param seeds: the seeds but itself.
    """

    own: str
    live: tuple[interfaces.Member, ...]
    group: Peers
    seeds: Peers


def are_most(
    group: typing.Collection[str], answered: typing.Collection[str]
) -> bool:
    """Tell whether most of a group are among those that have answered."""
    present = set(group).intersection(answered)
    return len(present) > len(set(group)) // 2


def keepers(view: View) -> Peers:
    """Return the processes of which most must confirm a departure.

    They are the control hosts that vote, whether they live or not: only these
    have disks.  In a fleet without control hosts they are live seeds, or some
    other processes, the same for all hosts.
    """
    if view.group:
        return view.group
    others = [member for member in view.live if member.peer != view.own]
    found = [
        member.peer
        for member in sorted(others, key=lambda m: (not m.control, m.host))
        if member.control or member.peer in view.seeds
    ]
    found = found or [m.peer for m in rendezvous.rank(RANK_KEY, others)]
    return tuple(found[:MAX_KEEPERS]) or view.seeds or (view.own,)


def is_recalled(view: View, answered: set[str], own_answered: bool) -> bool:
    """Tell whether a host that starts knows all departures of its upstreams.

    Most of the control group have answered, so one at least of those that
    confirmed a departure.  Where there is none, as many as most of the seeds;
    where there are no seeds either, the process itself.

    :param answered: the processes that have answered and have forgotten
        nothing.
    :param own_answered: whether this process has read what it kept itself.
    """
    if view.group:
        return are_most(view.group, answered)
    if not view.seeds:
        return own_answered
    return len(answered - {view.own}) > len(view.seeds) // 2
