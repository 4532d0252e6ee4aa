"""Which change of its members a control group makes by itself."""

import pytest

from carawaystair.control import group as groups
from carawaystair.control import growth


def member(number, standing=groups.VOTER):
    """Return a member."""
    name = '10.0.0.%d' % number
    return groups.Member(name, name + ':1', 'id%d' % number, standing)


def view(number, standing=groups.VOTER, caught_up=True, silent_s=0.1):
    """Return what a leader knows of a member."""
    return growth.View(member(number, standing), caught_up, silent_s)


def group_of(*views):
    """Return the group of the first host, which leads, and these."""
    members = [member(1), *(v.member for v in views)]
    return groups.Group('g', tuple(sorted(members)))


def standings(group):
    """Return the standing of each member."""
    return {m.name[-1]: m.standing for m in group.members}


def test_learner_that_caught_up_gets_a_vote_until_there_are_enough():
    views = [view(2), view(3), view(4, groups.LEARNER)]
    group = growth.next_group(group_of(*views), views, 5)
    assert standings(group)['4'] == groups.VOTER
    assert growth.next_group(group_of(*views), views, 3) is None


def test_learner_that_is_behind_gets_no_vote():
    views = [view(2), view(3), view(4, groups.LEARNER, caught_up=False)]
    assert growth.next_group(group_of(*views), views, 5) is None


def test_voter_that_is_gone_makes_room_for_a_learner():
    """Symptom: each replaced host brings the group closer to its end.
    Sequence: a host is gone for good, an empty one joins in its place.
    Cause: the group keeps counting the old one, and the new one never votes.
    """
    gone = view(5, caught_up=False, silent_s=60.0)
    views = [view(2), view(3), view(4), gone, view(6, groups.LEARNER)]
    group = group_of(*views)
    first = growth.next_group(group, views, 5)
    assert '5' not in standings(first)
    assert groups.one_step(group, first)
    views.remove(gone)
    second = growth.next_group(first, views, 5)
    assert standings(second)['6'] == groups.VOTER
    assert groups.one_step(first, second)


def test_voter_that_is_only_away_for_a_moment_keeps_its_vote():
    away = view(5, caught_up=False, silent_s=growth.GONE_S / 2)
    views = [view(2), view(3), view(4), away, view(6, groups.LEARNER)]
    assert growth.next_group(group_of(*views), views, 5) is None


def test_silent_voter_stays_when_nobody_could_take_its_place():
    views = [view(2), view(3, caught_up=False, silent_s=600.0)]
    assert growth.next_group(group_of(*views), views, 5) is None


def test_host_with_a_lost_disk_gets_its_vote_back_before_newcomers():
    views = [
        view(2),
        view(3, groups.LEARNER),
        view(4, groups.RETURNING),
    ]
    group = growth.next_group(group_of(*views), views, 3)
    assert standings(group)['4'] == groups.VOTER


def test_operators_alone_decide_where_growing_is_off():
    views = [view(2), view(3, groups.LEARNER)]
    assert growth.next_group(group_of(*views), views, 0) is None
    back = [view(2), view(3, groups.RETURNING)]
    group = growth.next_group(group_of(*back), back, 0)
    assert standings(group)['3'] == groups.VOTER


@pytest.mark.parametrize('silent_s', [1.0, growth.FORGET_S + 1])
def test_learner_that_is_gone_is_forgotten(silent_s):
    gone = view(3, groups.LEARNER, caught_up=False, silent_s=silent_s)
    views = [view(2), gone]
    group = growth.next_group(group_of(*views), views, 3)
    forgotten = group is not None and '3' not in standings(group)
    assert forgotten == (silent_s > growth.FORGET_S)
