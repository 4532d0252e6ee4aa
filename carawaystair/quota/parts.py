"""How a customer's allowance is split into parts; free of input and output.

One part stays with the leader of control, the others are held by nodes.  Each
part counts its own window, and the parts sum up to what any window may hold.
"""

import math
import typing

import xxhash

from carawaystair import settings as settings_module

MS = 1000
# Customers are spread over so many slices; each has holders of its own.
SLICES = 16
# Shares of an allowance that the leader and each holder get.  After a start of
# the whole fleet, the leader alone grants until holders are assigned.
LEADER_SHARES = 4
HOLDER_SHARES = 3
# The place of the leader's part among all parts.
LEADER = 0


class Quota(typing.NamedTuple):
    """How requests of customers are counted, the same in the whole fleet.

    :param window_ms: length of the window, ms.
    :param overage: share by which a customer may exceed what a window allows.
    :param slack: requests by which it may do so beyond that.
    :param holders: parts of each allowance that nodes hold.
    """

    window_ms: int
    overage: float = 0.0
    slack: int = 0
    holders: int = 0

    def spare(self, most: int) -> int:
        """Return by how much a window may exceed its allowance.

        :param most: its allowance.
        """
        return math.floor(self.overage * most) + self.slack

    def recovery(self, most: int) -> int:
        """Return what a leader may grant that does not know earlier grants.

        Where nodes hold parts it is half of the spare, and no part of theirs.

        :param most: the allowance.
        """
        spare = self.spare(most)
        return spare // 2 if self.holders else spare

    def split(self, most: int) -> tuple[int, ...]:
        """Return the parts of an allowance, that of the leader first.

        They and :meth:`recovery` sum up to what any window may hold; without
        holders the whole spare is kept for the latter.

        :param most: the allowance.
        """
        if not self.holders:
            return (most,)
        shares = LEADER_SHARES + HOLDER_SHARES * self.holders
        leader = most * LEADER_SHARES // shares
        spare = self.spare(most) - self.recovery(most)
        return (
            leader,
            *map(
                sum,
                zip(
                    _shares(most - leader, self.holders),
                    # Who gets less of the one gets more of the other.
                    reversed(_shares(spare, self.holders)),
                ),
            ),
        )


def quota(settings: settings_module.Control) -> Quota:
    """Return how requests are counted, by the settings.

    :param settings: those of the control role, which nodes have as well.
    """
    return Quota(
        int(settings.quota_window_s * MS),
        settings.quota_overage,
        settings.quota_slack,
        settings.quota_holders,
    )


class Key(typing.NamedTuple):
    """One part of the allowances of a slice's customers.

    :param slice: number of the slice.
    :param part: number of the part, from 1; :data:`LEADER` is no key.
    """

    slice: int
    part: int


def names(found: typing.Iterable[Key]) -> str:
    """Return parts for the logs."""
    return ' '.join('%d.%d' % key for key in found)


def _shares(total: int, count: int) -> list[int]:
    """Split a number as evenly as can be, the smaller shares first."""
    least, more = divmod(total, count)
    return [least + (place >= count - more) for place in range(count)]


def slice_of(customer: str) -> int:
    """Return the slice that a customer belongs to."""
    return xxhash.xxh3_64_intdigest(customer.encode()) % SLICES


def keys(holders: int) -> list[Key]:
    """Return all parts that nodes may hold.

    :param holders: parts of each allowance that nodes hold.
    """
    return [
        Key(number, part)
        for number in range(SLICES)
        for part in range(1, holders + 1)
    ]
