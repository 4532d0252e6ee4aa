"""Tests of who confirms departures, and who must answer after a start."""

import itertools

import pytest

from carawaystair.membership import departure_quorum as quorum
from test import fakes


def peers(numbers):
    return tuple(fakes.member(number).peer for number in numbers)


def view(group=(), live=(), seeds=(), own=99):
    """Return what a process knows of others, all given by numbers."""
    members = tuple(fakes.member(number) for number in (own, *live))
    return quorum.View(
        fakes.member(own).peer, members, peers(group), peers(seeds)
    )


def subsets(numbers):
    return itertools.chain.from_iterable(
        itertools.combinations(numbers, size)
        for size in range(len(numbers) + 1)
    )


@pytest.mark.parametrize('size', [1, 2, 3, 4, 5])
@pytest.mark.parametrize('change', ['none', 'added', 'removed'])
def test_whoever_confirms_and_whoever_answers_share_a_process(size, change):
    """Guards against departures that are recalled from others only."""
    before = tuple(range(size))
    after = {
        'none': before,
        'added': (*before, size),
        'removed': before[1:] or before,
    }[change]
    confirmed = [s for s in subsets(before) if quorum.are_most(before, s)]
    for answered in subsets(after):
        if not quorum.is_recalled(view(after), set(peers(answered)), True):
            continue
        assert all(set(answered).intersection(some) for some in confirmed)


def test_control_group_confirms_whatever_the_seeds_are():
    found = quorum.keepers(view((0, 1, 2), live=(0, 1, 5, 6), seeds=(5, 6)))
    assert found == peers((0, 1, 2))


def test_process_that_knows_nobody_yet_asks_the_group_that_was_named():
    assert quorum.keepers(view((0, 1, 2))) == peers((0, 1, 2))


def test_same_processes_remember_for_all_hosts_without_control():
    """Guards against departures that each host leaves with others."""
    nodes = tuple(range(10, 40))
    chosen = {
        frozenset(
            quorum.keepers(view(live=[n for n in nodes if n != own], own=own))
        )
        for own in nodes
    }
    assert all(len(each) == quorum.MAX_KEEPERS for each in chosen)
    # A host does not count on itself, so there are as many sets and one more.
    assert len(frozenset().union(*chosen)) == quorum.MAX_KEEPERS + 1


def test_seeds_count_only_where_no_group_is_known():
    answered = set(peers((5, 6)))
    seeds = (5, 6, 7)
    assert quorum.is_recalled(view(seeds=seeds), answered, False)
    assert not quorum.is_recalled(view((0, 1, 2), seeds=seeds), answered, True)


@pytest.mark.parametrize('own_answered', [False, True])
def test_single_process_counts_on_itself(own_answered):
    assert quorum.keepers(view()) == peers((99,))
    assert quorum.is_recalled(view(), set(), own_answered) == own_answered
