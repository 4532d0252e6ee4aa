"""Random runs against the reservations, with and without protections."""

import itertools

import pytest

from carawaystair import invariants
from carawaystair.reservations import identifiers
from carawaystair.reservations import planner
from carawaystair.reservations import windows
from test import fakes
from test import reservation_mutants
from test import reservation_storm

SECONDS = 45
# These show soon in random runs; the others have scenes of their own in
# test_reservations.py.
SHOWN = (
    'grant_with_half',
    'skip_recovery',
    'ignore_restart',
    'skip_window_wait',
    'halve_window',
    'release_any_token',
)


@pytest.fixture(autouse=True)
def small(monkeypatch):
    """Few partitions, short windows, hosts that are replaced soon."""
    monkeypatch.setattr(identifiers, 'PARTITIONS', 4)
    monkeypatch.setattr(planner, 'REPLACE_AFTER_S', 2.0)
    monkeypatch.setattr(windows, 'MARGIN_S', 15.0)


def blow(seed, data_centres):
    """Run one storm; a broken invariant ends it."""
    print('seed %d, %d data centres' % (seed, data_centres))
    storm = reservation_storm.Storm(seed, data_centres)
    fakes.run(storm.run(SECONDS))
    return storm


@pytest.mark.parametrize('data_centres', [3, 4, 5])
def test_no_key_is_granted_twice(data_centres):
    storm = blow(data_centres, data_centres)
    assert storm.answers['granted'] > 20


@pytest.mark.parametrize('name', SHOWN)
def test_every_protection_is_needed(name, monkeypatch):
    getattr(reservation_mutants, name)(monkeypatch)
    runs = itertools.product(range(1, 9), (3, 4, 5))
    with pytest.raises(invariants.InvariantBroken):
        for seed, data_centres in runs:
            blow(seed, data_centres)
