"""Invariants asserted inside the program.

In production a broken invariant is counted and written to the time line, and
the process goes on: stopping a node for a defect would turn a wrong number
into an outage.  Tests set :data:`RAISE`, so that the first one ends the run.
"""

import collections

# The invariants, by the names that docs/INVARIANTS.md explains.
FLOOR = 'floor'
ONE_OUTCOME = 'one-outcome'
VERSION_MONOTONE = 'version-monotone'
NO_WORK_AFTER_DRAIN = 'no-work-after-drain'
RESERVED_ONCE = 'reserved-once'
OWN_ANSWER = 'own-answer'
ONE_LEADER = 'one-leader'
COMMITTED_STAYS = 'committed-stays'
SLOT_ACCOUNTING = 'slot-accounting'

RAISE = False
BROKEN: collections.Counter = collections.Counter()
LISTENERS: list = []


class InvariantBroken(AssertionError):
    """An invariant does not hold; raised in tests only."""


def check(name: str, holds: bool, detail: str = '') -> bool:
    """Assert an invariant.

    :param name: one of the names above.
    :param holds: whether it holds.
    :param detail: the circumstances, for a person.
    :return: ``holds``.
    """
    if holds:
        return True
    BROKEN[name] += 1
    for listener in LISTENERS:
        listener(name, detail)
    if RAISE:
        raise InvariantBroken('%s: %s' % (name, detail))
    return False
