"""Which requests are refused because upstreams crash under them."""

import itertools
import random

import pytest

from carawaystair.load import crash_suspects

LIVES = ('u1/1', 'u2/1', 'u3/1', 'u4/1')


def fact(digest='d', life=LIVES[0], age_ms=0, cleared=False):
    return crash_suspects.Fact(digest, life, age_ms, cleared, 'r')


def learned(*facts, now=0.0):
    """Return what knows some facts."""
    suspects = crash_suspects.Suspects()
    for each in facts:
        suspects.add(each, now)
    return suspects


def crashes(count, digest='d'):
    """Return the facts of crashes of so many upstreams."""
    return [fact(digest, life) for life in LIVES[:count]]


def test_request_is_refused_once_three_upstreams_crashed_under_it():
    for count in range(len(LIVES) + 1):
        refused = learned(*crashes(count)).refuses('d', 0.0)
        assert refused == (count >= crash_suspects.CRASH_LIMIT)


def test_one_crash_that_is_told_many_times_counts_once():
    assert not learned(*[fact()] * 5).refuses('d', 0.0)


def test_two_starts_of_one_upstream_are_two_crashes():
    lives = ['u1/%d' % start for start in range(3)]
    assert learned(*(fact(life=n) for n in lives)).refuses('d', 0.0)


def test_request_that_ended_well_since_is_cleared():
    suspects = learned(*crashes(3))
    cleared = suspects.record_success('d', 1.0)
    assert all(suspects.add(each, 1.0) for each in cleared)
    assert suspects.standing('d', 1.0).crashes == 0
    assert not suspects.refuses('d', 1.0)


def test_crash_that_is_told_late_does_not_undo_its_clearing():
    suspects = learned(fact(cleared=True))
    assert not suspects.add(fact(), 1.0)
    assert suspects.standing('d', 1.0).crashes == 0


def test_good_answer_does_not_clear_of_later_crashes():
    suspects = learned(*crashes(1))
    for each in suspects.record_success('d', 1.0):
        suspects.add(each, 1.0)
    for life in LIVES[1:]:
        suspects.add(fact(life=life), 2.0)
    assert suspects.refuses('d', 2.0)


@pytest.mark.parametrize('seed', range(20))
def test_facts_in_any_order_and_number_come_to_the_same(seed):
    """Guards against processes that go on believing different things."""
    rng = random.Random(seed)
    facts = [
        fact(digest, life, cleared=cleared)
        for digest, life in itertools.product('ab', LIVES)
        for cleared in rng.sample((False, True), rng.randint(1, 2))
    ]
    standings = set()
    for _order in range(5):
        told = rng.choices(facts, k=30) + facts
        rng.shuffle(told)
        suspects = learned(*told)
        standings.add(
            tuple(
                suspects.standing(digest, 0.0)._replace(incarnations=())
                for digest in 'ab'
            )
        )
    assert len(standings) == 1


def test_request_whose_time_of_refusal_is_over_is_on_trial():
    suspects = learned(*crashes(3))
    hold_s = crash_suspects.HOLD_S
    assert suspects.refuses('d', hold_s - 1)
    assert not suspects.refuses('d', hold_s + 1)
    assert suspects.on_trial('d')
    suspects.add(fact(life=LIVES[3]), hold_s + 2)
    assert suspects.refuses('d', 3 * hold_s)
    assert not suspects.refuses('d', 3 * hold_s + 3)


def test_request_that_crashes_on_trial_again_and_again_is_refused_for_long():
    suspects = learned()
    for number in range(
        crash_suspects.CRASH_LIMIT + crash_suspects.MAX_DOUBLINGS
    ):
        suspects.add(fact(life='u%d/1' % number), 0.0)
    assert suspects.refuses('d', crash_suspects.LONG_HOLD_S - 1)
    assert not suspects.refuses('d', crash_suspects.LONG_HOLD_S + 1)


def test_crashes_of_upstreams_that_served_nothing_are_no_requests_fault():
    """Guards against a release that crashes at each request being taken for
    requests at fault, which would be refused when it is taken back.
    """
    fresh = [each._replace(proven=False) for each in crashes(4)]
    suspects = learned(*fresh[:3])
    assert not suspects.refuses('d', 0.0)
    suspects.add(fresh[3]._replace(proven=True), 0.0)
    assert suspects.refuses('d', 0.0)


def test_what_is_old_is_forgotten_and_not_taken_again():
    suspects = learned(*crashes(1))
    assert suspects.expire(crash_suspects.RETENTION_S - 1) == []
    assert suspects.expire(crash_suspects.RETENTION_S + 1) == ['d']
    day_ms = 10**9
    assert not suspects.add(fact(age_ms=day_ms), 0.0)


def test_memory_is_bounded_and_refused_requests_are_kept():
    suspects = learned(*crashes(3, 'refused'))
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


def test_processes_that_know_too_much_do_not_tell_each_other_for_ever(
    monkeypatch,
):
    """Guards against facts that each process drops and takes again."""
    monkeypatch.setattr(crash_suspects, 'MAX_SUSPECTS', 10)
    rng = random.Random(1)
    facts = [
        fact('d%d' % rng.randrange(40), rng.choice(LIVES), number)
        for number in range(200)
    ]
    ends = crash_suspects.Suspects(), crash_suspects.Suspects()
    told = [(rng.randrange(2), each) for each in facts]
    rounds = 0
    while told and rounds < 5:
        rounds += 1
        told = [
            (1 - end, each) for end, each in told if ends[end].add(each, 0.0)
        ]
    assert not told
    assert len(ends[0].crashes) == 10


@pytest.mark.parametrize(
    'odd',
    [
        fact(digest=''),
        fact(digest='d' * 1000),
        fact(life=''),
        fact(life='u' * 1000),
        fact(age_ms=-1),
        fact()._replace(request='r' * 1000),
    ],
)
def test_fact_that_can_not_be_is_refused(odd):
    suspects = learned(odd)
    assert not suspects.crashes
