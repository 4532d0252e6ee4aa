"""Random faults in a fleet of reservations, with and without mutants."""

import itertools

import pytest

from carawaystair import invariants
from carawaystair.reservations import identifiers
from carawaystair.reservations import planner
from carawaystair.reservations import windows
from test import fakes
from test import reservation_mutants
from test import reservation_random_faults

SECONDS = 45
# Mutants that random runs reveal quickly; the others have scenarios of their
# own in test_reservations.py.
MUTANTS = (
    'grant_with_half',
    'skip_recovery',
    'ignore_restart',
    'skip_window_wait',
    'halve_window',
    'release_any_token',
)


@pytest.fixture(autouse=True)
def small_fleet(monkeypatch):
    """Use few partitions, short windows and quick replacement of hosts."""
    monkeypatch.setattr(identifiers, 'PARTITIONS', 4)
    monkeypatch.setattr(planner, 'REPLACE_AFTER_S', 2.0)
    monkeypatch.setattr(windows, 'MARGIN_S', 15.0)


def run_faults(seed, data_centres):
    """Run random faults with one seed; a broken invariant raises."""
    print('seed %d, %d data centres' % (seed, data_centres))
    faults = reservation_random_faults.RandomFaults(seed, data_centres)
    fakes.run(faults.run(SECONDS))
    return faults


@pytest.mark.parametrize('data_centres', [3, 4, 5])
def test_no_key_is_granted_twice(data_centres):
    faults = run_faults(data_centres, data_centres)
    assert faults.results['granted'] > 20


@pytest.mark.parametrize('name', MUTANTS)
def test_every_protection_is_needed(name, monkeypatch):
    getattr(reservation_mutants, name)(monkeypatch)
    runs = itertools.product(range(1, 9), (3, 4, 5))
    with pytest.raises(invariants.InvariantBroken):
        for seed, data_centres in runs:
            run_faults(seed, data_centres)
