"""Tests of the capacity floor of ejections."""

import hypothesis
from hypothesis import strategies

from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.outlier import floor

STATES = (interfaces.UP, interfaces.DRAINING)


def upstream(number, slots=5, state=interfaces.UP):
    name = 'u%d' % number
    return interfaces.Upstream(name, 's', '', '', '', slots, state=state)


def usable(_upstream):
    return True


def test_at_most_half_of_the_pool_may_be_ejected():
    pool = [upstream(number) for number in range(8)]
    wanted = [one.id for one in pool]
    allowed = floor.clamp(manifest.Service(), pool, wanted, usable)
    assert allowed == frozenset(wanted[:4])


def test_floor_as_large_as_the_pool_or_larger_allows_nothing():
    pool = [upstream(number) for number in range(8)]
    for config in (
        manifest.Service(floor_percent=100),
        manifest.Service(floor_percent=0, floor_slots=40),
        manifest.Service(floor_percent=0, floor_slots=4000),
    ):
        assert not floor.clamp(config, pool, ['u1'], usable)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 9),
            strategies.sampled_from(STATES),
            strategies.booleans(),
        ),
        max_size=12,
    ),
    strategies.integers(0, 100),
    strategies.integers(0, 60),
    strategies.randoms(),
)
def test_clamp_never_goes_below_the_floor(kinds, percent, slots, random):
    """Guards against ejections that count unusable upstreams as capacity.

    Some upstreams drain or are cold while others are ejected: each ejection
    seems allowed, and callers queue for the remaining capacity.
    """
    pool = [upstream(n, k[0], k[1]) for n, k in enumerate(kinds)]
    cold = {one.id for one, kind in zip(pool, kinds) if kind[2]}
    config = manifest.Service(floor_percent=percent, floor_slots=slots)
    wanted = random.sample([one.id for one in pool], len(pool))

    def usable(one):
        return one.state == interfaces.UP and one.id not in cold

    allowed = floor.clamp(config, pool, wanted, usable)
    known = sum(one.slots for one in pool)
    left = sum(
        one.slots
        for one in pool
        if one.state == interfaces.UP
        and one.id not in cold
        and one.id not in allowed
    )
    assert not allowed or left * 100 >= known * percent
    assert not allowed or left >= slots
