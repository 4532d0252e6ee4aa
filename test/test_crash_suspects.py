"""Requests that are refused because upstreams crash while running them."""

import itertools
import random

import pytest

from carawaystair.load import crash_suspects

INCARNATIONS = ('u1/1', 'u2/1', 'u3/1', 'u4/1')


def fact(digest='d', incarnation=INCARNATIONS[0], age_ms=0, cleared=False):
    return crash_suspects.Fact(digest, incarnation, age_ms, cleared, 'r')


def suspects_with(*facts, now=0.0):
    """Return suspects with some facts added."""
    suspects = crash_suspects.Suspects()
    for each in facts:
        suspects.add(each, now)
    return suspects


def crashes(count, digest='d'):
    """Return the facts of crashes of several upstreams."""
    return [fact(digest, incarnation) for incarnation in INCARNATIONS[:count]]


def test_request_is_refused_after_three_crashes():
    for count in range(len(INCARNATIONS) + 1):
        refused = suspects_with(*crashes(count)).refuses('d', 0.0)
        assert refused == (count >= crash_suspects.CRASH_LIMIT)


def test_repeated_fact_of_one_crash_counts_once():
    assert not suspects_with(*[fact()] * 5).refuses('d', 0.0)


def test_two_starts_of_one_upstream_are_two_crashes():
    incarnations = ['u1/%d' % start for start in range(3)]
    assert suspects_with(*(fact(incarnation=n) for n in incarnations)).refuses(
        'd', 0.0
    )


def test_success_clears_a_request_of_earlier_crashes():
    suspects = suspects_with(*crashes(3))
    cleared = suspects.record_success('d', 1.0)
    assert all(suspects.add(each, 1.0) for each in cleared)
    assert suspects.standing('d', 1.0).crashes == 0
    assert not suspects.refuses('d', 1.0)


def test_late_fact_of_a_crash_does_not_undo_its_clearing():
    suspects = suspects_with(fact(cleared=True))
    assert not suspects.add(fact(), 1.0)
    assert suspects.standing('d', 1.0).crashes == 0


def test_success_does_not_clear_of_later_crashes():
    suspects = suspects_with(*crashes(1))
    for each in suspects.record_success('d', 1.0):
        suspects.add(each, 1.0)
    for incarnation in INCARNATIONS[1:]:
        suspects.add(fact(incarnation=incarnation), 2.0)
    assert suspects.refuses('d', 2.0)


@pytest.mark.parametrize('seed', range(20))
def test_facts_in_any_order_and_number_give_the_same_standing(seed):
    """Guards against processes whose states stay different."""
    rng = random.Random(seed)
    facts = [
        fact(digest, incarnation, cleared=cleared)
        for digest, incarnation in itertools.product('ab', INCARNATIONS)
        for cleared in rng.sample((False, True), rng.randint(1, 2))
    ]
    standings = set()
    for _order in range(5):
        received = rng.choices(facts, k=30) + facts
        rng.shuffle(received)
        suspects = suspects_with(*received)
        standings.add(
            tuple(
                suspects.standing(digest, 0.0)._replace(incarnations=())
                for digest in 'ab'
            )
        )
    assert len(standings) == 1


def test_request_is_on_trial_when_its_refusal_ends():
    suspects = suspects_with(*crashes(3))
    hold_s = crash_suspects.HOLD_S
    assert suspects.refuses('d', hold_s - 1)
    assert not suspects.refuses('d', hold_s + 1)
    assert suspects.on_trial('d')
    suspects.add(fact(incarnation=INCARNATIONS[3]), hold_s + 2)
    assert suspects.refuses('d', 3 * hold_s)
    assert not suspects.refuses('d', 3 * hold_s + 3)


def test_refusal_is_long_after_many_crashes_on_trial():
    suspects = suspects_with()
    for number in range(
        crash_suspects.CRASH_LIMIT + crash_suspects.MAX_DOUBLINGS
    ):
        suspects.add(fact(incarnation='u%d/1' % number), 0.0)
    assert suspects.refuses('d', crash_suspects.LONG_HOLD_S - 1)
    assert not suspects.refuses('d', crash_suspects.LONG_HOLD_S + 1)


def test_crashes_of_upstreams_that_served_nothing_blame_no_request():
    """Guards against blaming requests for a release that crashes at each of
    them: they would still be refused after it is rolled back.
    """
    fresh = [each._replace(proven=False) for each in crashes(4)]
    suspects = suspects_with(*fresh[:3])
    assert not suspects.refuses('d', 0.0)
    suspects.add(fresh[3]._replace(proven=True), 0.0)
    assert suspects.refuses('d', 0.0)


def test_old_facts_expire_and_are_not_accepted_again():
    suspects = suspects_with(*crashes(1))
    assert suspects.expire(crash_suspects.RETENTION_S - 1) == []
    assert suspects.expire(crash_suspects.RETENTION_S + 1) == ['d']
    day_ms = 10**9
    assert not suspects.add(fact(age_ms=day_ms), 0.0)


def test_suspects_are_bounded_and_refused_ones_are_kept():
    suspects = suspects_with(*crashes(3, 'refused'))
    for number in range(2 * crash_suspects.MAX_SUSPECTS):
        suspects.add(fact('d%d' % number), 1.0 + number / 1000)
    most = crash_suspects.MAX_SUSPECTS
    assert (
        most - most // crash_suspects.EVICTION_DIVISOR
        <= len(suspects.crashes)
        <= most
    )
    assert suspects.refuses('refused', 2.0)
    for number in range(100):
        suspects.add(fact('refused', 'v%d/1' % number), 3.0 + number)
    assert len(suspects.crashes['refused']) == crash_suspects.MAX_CRASHES
    for number in range(2 * crash_suspects.MAX_SUCCESSES):
        suspects.record_success('e%d' % number, 4.0)
    assert len(suspects.succeeded_at) == crash_suspects.MAX_SUCCESSES


def test_processes_at_their_limits_stop_exchanging_facts(
    monkeypatch,
):
    """Guards against facts that processes evict and accept again in turn."""
    monkeypatch.setattr(crash_suspects, 'MAX_SUSPECTS', 10)
    rng = random.Random(1)
    facts = [
        fact('d%d' % rng.randrange(40), rng.choice(INCARNATIONS), number)
        for number in range(200)
    ]
    processes = crash_suspects.Suspects(), crash_suspects.Suspects()
    received = [(rng.randrange(2), each) for each in facts]
    rounds = 0
    while received and rounds < 5:
        rounds += 1
        received = [
            (1 - process, each)
            for process, each in received
            if processes[process].add(each, 0.0)
        ]
    assert not received
    assert len(processes[0].crashes) == 10


@pytest.mark.parametrize(
    'malformed',
    [
        fact(digest=''),
        fact(digest='d' * 1000),
        fact(incarnation=''),
        fact(incarnation='u' * 1000),
        fact(age_ms=-1),
        fact()._replace(request='r' * 1000),
    ],
)
def test_malformed_fact_is_rejected(malformed):
    suspects = suspects_with(malformed)
    assert not suspects.crashes
