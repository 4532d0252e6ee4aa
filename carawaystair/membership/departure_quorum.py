"""Who must confirm a departure, and who must answer a host that starts.

Both are majorities of the control group, so that they share a process.
"""

import typing

from carawaystair import interfaces
from carawaystair import rendezvous

# Most processes that remember a departure where there is no control group, or
# too few of its hosts live.
MAX_KEEPERS = 5
# Key by which processes are chosen that stand in for control hosts.
STAND_INS = 'departures'

Peers = tuple[str, ...]


class View(typing.NamedTuple):
    """What a process knows of the others.

    :param own: its own ``ip:port``, as for all that follow.
    :param live: the live processes, itself included.
    :param group: the control hosts that vote; none if no group is known.
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

    They are the control hosts that vote.  Where too few of these live, some
    other processes stand in for the missing ones, the same for all hosts.
    Where no group is known, they are live control hosts and seeds, or others.
    """
    others = [member for member in view.live if member.peer != view.own]
    live = {member.peer for member in view.live}
    if view.group and (not others or are_most(view.group, live)):
        return view.group
    found = [
        member.peer
        for member in sorted(others, key=lambda m: (not m.control, m.host))
        if member.control or member.peer in view.seeds
    ]
    if view.group or not found:
        ranked = [m.peer for m in rendezvous.rank(STAND_INS, others)]
        found = list(dict.fromkeys((*found, *ranked)))
    return tuple(found[:MAX_KEEPERS]) or view.seeds or (view.own,)


def is_recalled(view: View, answered: set[str], own_answered: bool) -> bool:
    """Tell whether a host that starts knows all departures of its upstreams.

    Most of the control group have answered, so one at least of those that
    confirmed a departure.  Where no group is known, as many as most of the
    seeds; where there are no seeds either, the process itself.

    :param answered: the processes that have answered and have forgotten
        nothing.
    :param own_answered: whether this process has read what it kept itself.
    """
    if view.group:
        return are_most(view.group, answered)
    if not view.seeds:
        return own_answered
    return len(answered - {view.own}) > len(view.seeds) // 2
