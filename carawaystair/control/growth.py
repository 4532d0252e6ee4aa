"""Which change of its members the control group needs next.

Symptom without it: a group of the first three hosts can't bear the loss of
two disks, a host that takes the place of another never votes, and each lost
host brings the group closer to its end until an operator acts.

The decision is apart from messages and time, so that it can be replayed.
"""

import typing

from carawaystair.control import group as groups

# A voter that was silent for so long makes room for a learner that waits;
# seconds.  A process that is only started again is back sooner: a start
# takes about one second.
GONE_S = 3.0
# A learner that was silent for so long is forgotten, seconds.  Longer than a
# host takes to come back, so that it need not ask for its place again.
FORGET_S = 30.0


class View(typing.NamedTuple):
    """What the leader knows of one other member.

    :param member: the member.
    :param caught_up: whether it answers and has all that is committed.
    :param silent_s: seconds since it last answered.
    """

    member: groups.Member
    caught_up: bool
    silent_s: float


def next_group(
    group: groups.Group, others: typing.Sequence[View], grow_to: int
) -> groups.Group | None:
    """Return the group after the next change, or None when none is needed.

    Each change is one step, see ``group.one_step``.

    :param others: the members but for the leader.
    :param grow_to: voters wanted; 0 when operators alone decide on members,
        and only a host with a lost disk gets its own vote back.
    """
    fit = [view.member for view in others if view.caught_up]
    returning = [m for m in fit if m.standing == groups.RETURNING]
    voters = len(group.voters())
    if not grow_to:
        return _promoted(group, returning)
    waiting = returning + [m for m in fit if m.standing == groups.LEARNER]
    if voters < grow_to:
        return _promoted(group, waiting) or _forgotten(group, others)
    if waiting:
        return _without_gone(group, others)
    return _forgotten(group, others)


def _promoted(
    group: groups.Group, waiting: list[groups.Member]
) -> groups.Group | None:
    if not waiting:
        return None
    return group.put(waiting[0]._replace(standing=groups.VOTER))


def _without_gone(
    group: groups.Group, others: typing.Sequence[View]
) -> groups.Group | None:
    gone = [
        view
        for view in others
        if view.member.standing == groups.VOTER and view.silent_s > GONE_S
    ]
    if not gone:
        return None
    longest = max(gone, key=lambda view: view.silent_s)
    return group.drop(longest.member.name)


def _forgotten(
    group: groups.Group, others: typing.Sequence[View]
) -> groups.Group | None:
    old = (
        view.member
        for view in others
        if view.member.standing != groups.VOTER and view.silent_s > FORGET_S
    )
    member = next(old, None)
    return None if member is None else group.drop(member.name)
