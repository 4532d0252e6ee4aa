"""Short randomised runs of a control group; ``make soak`` has long ones."""

import pytest

from test import raft_runs


@pytest.mark.parametrize(
    'size,seed', [(3, 1), (3, 2), (3, 3), (5, 4), (5, 5), (1, 6)]
)
def test_promises_are_kept(size, seed):
    """Everything fails, again and again, while operators race.

    Symptom: a committed change is lost, two leaders win a term, versions go
    back, two submissions win on one parent, an id gets two answers.
    Sequence: fixed by the seed, see ``raft_runs``.  Cause: any defect of
    the log or of its storage.
    """
    kept = raft_runs.run(seed, 60.0, size)
    assert kept.accepted > 10 and kept.reads > 10
    assert sum(kept.faults.values()) > 10


@pytest.mark.parametrize('seed', range(12))
def test_promises_hold_while_disks_are_full(seed):
    """Guards against broken promises of hosts that go on after a full disk."""
    kept = raft_runs.run(seed, 60.0, kind=raft_runs.FullDisks)
    assert kept.accepted > 5 and kept.faults['_full_disk']
