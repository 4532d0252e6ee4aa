"""A short randomised run of a whole fleet of processes."""

import asyncio

from bench import soak

SEED = 11
SECONDS = 8.0


def test_promises_are_kept_while_processes_fail(capsys):
    """Kills, freezes, gray upstreams and leaves, several at once.

    Symptom: work runs twice, an answer is not whole, or a request said not
    to have run did run.  Sequence: the seed's.  Cause: any of the parts.
    """
    kept = asyncio.run(soak.soak(SEED, SECONDS))
    with capsys.disabled():
        print('\n' + soak.show(kept))
    assert kept.found == ((), (), (), ())
    assert kept.broken == {}
    assert kept.behind == ()
    assert kept.verdicts['whole'] > 0
