"""Decayed counts of attempts by level, for one upstream or for all.

The weight of new attempts grows instead of old ones being decayed (forward
decay; Cormode et al., 2009): adding an attempt never touches the rest of a
table, and tables with a common scale are added and subtracted cell by cell.
"""

import array
import math

from carawaystair.outlier import levels

# Time constant of the decay, seconds.
DECAY_S = 60.0
RESCALE = 1e9

# Columns: attempts at level 0 or worse, ... level 5, then server errors,
# attempts without an answer, and all attempts.
ERRORS = levels.LEVELS
NO_ANSWER = ERRORS + 1
ATTEMPTS = NO_ANSWER + 1
WIDTH = ATTEMPTS + 1
# A row for each class of customers and one for all of them.
ALL_CLASSES = levels.CUSTOMER_CLASSES
SIZE = WIDTH * (levels.CUSTOMER_CLASSES + 1)

COLUMNS = {
    **{level: (*range(level + 1), ATTEMPTS) for level in range(levels.LEVELS)},
    levels.ERROR: (ERRORS, ATTEMPTS),
    levels.BROKEN: (NO_ANSWER, ATTEMPTS),
    levels.UNRATED: (ATTEMPTS,),
    **{levels.unproven(one): (ATTEMPTS,) for one in range(levels.SLOW, 6)},
}


class DecayScale:
    """Weight of an attempt made now, common to a group of tables.

    :param now: monotonic time.
    """

    def __init__(self, now: float) -> None:
        self.zero = now

    def unit(self, now: float) -> float:
        """Return the weight of one attempt."""
        return math.exp((now - self.zero) / DECAY_S)


def empty_table() -> array.array:
    """Return an empty table."""
    return array.array('d', bytes(8 * SIZE))


def add(
    target: array.array, customer_class: int, category: int, amount: float
) -> None:
    """Add attempts.

    :param amount: their count times the unit of the scale.
    """
    for row in (customer_class * WIDTH, ALL_CLASSES * WIDTH):
        for column in COLUMNS[category]:
            # A retraction may have decayed less than what was added.
            target[row + column] = max(target[row + column] + amount, 0.0)


def merge(target: array.array, other: array.array, sign: float) -> None:
    """Add or subtract a whole table."""
    for index, value in enumerate(other):
        target[index] = max(target[index] + sign * value, 0.0)


def scale(target: array.array, factor: float) -> None:
    """Multiply a whole table."""
    for index, value in enumerate(target):
        target[index] = value * factor
