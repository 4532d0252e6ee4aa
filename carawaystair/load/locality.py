"""Preference for upstreams in the data centre of the caller's node.

Traffic between data centres costs its owner money, and time on narrow links.
By default it only decides between upstreams that are nearly equal.  A
deployment can ask for more: requests then leave their data centre only where
that serves the caller, which is when the upstreams at home are gone, likely to
fail or full.

Staying at home never makes a request wait: the preference does not count for
the value of waiting.
"""

import typing

# Offers that upstreams at home may refuse before those of other data centres
# are asked on equal terms.
MAX_REFUSED_AT_HOME = 3
# Longest wait at home for which no other upstream is asked, seconds: several
# round trips between data centres.
MAX_WAIT_S = 0.05
# Expected occupancy from which upstreams of other data centres count as full,
# and the share of the requests that are offered to them all the same.
FULL_OCCUPANCY = 0.95
FULL_ASKED_SHARE = 0.1
# Share of the trial requests that go to any data centre.  Upstreams at a data
# centre without callers are known by these.
FAR_TRIAL_SHARE = 0.05


class Locality(typing.NamedTuple):
    """How much of a request's value is given up to stay at home.

    :param home_first: whether requests leave their data centre only where
        that serves the caller.
    :param bonus: value given up for any request, 0 to 1.
    :param bonus_per_kb: further value for each KB of the request and its
        answer.
    :param max_bonus: the maximum of both.
    """

    home_first: bool = False
    bonus: float = 0.01
    bonus_per_kb: float = 0.002
    max_bonus: float = 0.15

    def home_bonus(self, size: float) -> float:
        """Return the bonus of upstreams at home.

        :param size: size of the request and its answer in bytes.
        """
        return min(
            self.bonus + self.bonus_per_kb * size / 1024, self.max_bonus
        )


DEFAULT = Locality()
