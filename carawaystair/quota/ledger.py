"""The grants of the last window, by customer; free of input and output.

A request counts in every window that holds a moment between its sending and
its arrival at an upstream.  Its grant lies between the two, so no window of
this length holds more requests than :meth:`Ledger.take` allows grants in it.

Times are in milliseconds on the clock of this host, which must go on while the
host is suspended.
"""

import collections
import itertools
import math
import typing

MS = 1000


class Grant(typing.NamedTuple):
    """One granted request.

    :param customer: name of the customer.
    :param id: identifies the request; unique in the fleet.
    :param age_ms: how long ago it was granted, ms.
    """

    customer: str
    id: str
    age_ms: int = 0


class Verdict(typing.NamedTuple):
    """The decision on a request.

    :param granted: whether it may run.
    :param retry_ms: when another request may be granted, ms from now.
    """

    granted: bool
    retry_ms: int = 0


def allowance(rate_per_s: float, burst: int, window_ms: int) -> int:
    """Return how many requests any window may hold.

    Every sequence that a token bucket of this rate and size lets through
    stays within it.
    """
    return math.floor(rate_per_s * window_ms / MS) + burst


class Ledger:
    """Grants of the last window.

    :param window_ms: length of the window, ms.
    """

    def __init__(self, window_ms: int) -> None:
        self.window_ms = window_ms
        # Times of grants by request, oldest first, by customer.
        self.grants: dict[str, collections.OrderedDict[str, int]] = {}
        # Refusals since the last grant, by customer: each is told a later
        # time to return than the one before.
        self.refusals: collections.Counter = collections.Counter()

    def take(
        self, customer: str, request: str, most: int, now_ms: int
    ) -> Verdict:
        """Grant a request if the window has room for it.

        :param most: grants that a window may hold.
        """
        grants = self._current(customer, now_ms)
        if request in grants:
            return Verdict(True)
        if len(grants) < most:
            grants[request] = now_ms
            self.grants[customer] = grants
            self.refusals.pop(customer, None)
            return Verdict(True)
        return Verdict(False, retry_ms=self._retry_ms(customer, most, now_ms))

    def _retry_ms(self, customer: str, most: int, now_ms: int) -> int:
        """Return when a request that is refused now may be granted.

        Of several that are refused, each gets the time of another grant that
        leaves the window, so that they don't return all at once.
        """
        grants = self.grants.get(customer)
        if not grants:
            return self.window_ms
        # A lowered limit leaves more grants in the window than it allows.
        excess = max(len(grants) - most, 0)
        place = (excess + self.refusals[customer]) % len(grants)
        self.refusals[customer] += 1
        at_ms = next(
            at for index, at in enumerate(grants.values()) if index == place
        )
        return max(at_ms + self.window_ms - now_ms, 1)

    def room_ms(self, customer: str, most: int, now_ms: int) -> int:
        """Return when the window has room, if nothing is given back, ms.

        :param most: grants that a window may hold.
        """
        grants = self._current(customer, now_ms)
        if most <= 0:
            return self.window_ms
        if len(grants) < most:
            return 0
        place = len(grants) - most
        at_ms = next(itertools.islice(grants.values(), place, None))
        return at_ms + self.window_ms + 1 - now_ms

    def give_back(self, customer: str, request: str) -> None:
        """Remove the grant of a request that was surely not run."""
        grants = self.grants.get(customer)
        if grants is not None:
            grants.pop(request, None)

    def record(self, grants: typing.Iterable[Grant], now_ms: int) -> None:
        """Add grants of another host.

        Where a grant is known already, the earlier time holds: it is the one
        that surely lies before the request's arrival at its upstream.
        """
        touched = set()
        for grant in grants:
            known = self.grants.setdefault(
                grant.customer, collections.OrderedDict()
            )
            at_ms = now_ms - grant.age_ms
            known[grant.id] = min(known.get(grant.id, at_ms), at_ms)
            touched.add(grant.customer)
        for customer in touched:
            known = self.grants[customer]
            ordered = sorted(known.items(), key=lambda item: item[1])
            self.grants[customer] = collections.OrderedDict(ordered)

    def current(self, now_ms: int) -> list[Grant]:
        """Return all grants of the window that ends now."""
        self.evict(now_ms)
        return [
            Grant(customer, request, now_ms - at_ms)
            for customer, grants in self.grants.items()
            for request, at_ms in grants.items()
        ]

    def used(self, customer: str, now_ms: int) -> int:
        """Return how many grants a customer has in the current window."""
        return len(self._current(customer, now_ms))

    def evict(self, now_ms: int) -> None:
        """Forget the grants that have left the window."""
        for customer in list(self.grants):
            if not self._current(customer, now_ms):
                del self.grants[customer]
                self.refusals.pop(customer, None)

    def _current(
        self, customer: str, now_ms: int
    ) -> collections.OrderedDict[str, int]:
        """Return a customer's grants without those that left the window."""
        grants = self.grants.get(customer)
        if grants is None:
            return collections.OrderedDict()
        while grants:
            request, at_ms = next(iter(grants.items()))
            if now_ms - at_ms <= self.window_ms:
                break
            del grants[request]
        return grants
