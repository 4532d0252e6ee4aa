"""The newest lifetime of each upstream that has announced itself to a host.

A lifetime is the time from one start of an upstream to the next.  An upstream
may restart under its id.  It has then no memory of its previous lifetime, and
the numbers of its announcements start again; only its incarnation separates
the lifetimes.  Announcements of the previous lifetime may still arrive,
delayed by a network partition.

Without this check, an upstream that has just started would be taken for
draining or gone if a delayed announcement of its previous lifetime arrived
last; or it would be refused until its numbers exceeded the previous ones.
"""

import typing

from carawaystair import interfaces

# Time in seconds for which a lifetime is remembered after its last
# announcement.  It covers an announcement that a network partition delays for
# some seconds, and its retries.  It is limited, since an upstream whose clock
# was set back is refused for this long.
RETENTION_S = 30.0
MAX_LIFETIMES = 512
# An upstream passes through its states in this order.
STATE_ORDER = (interfaces.UP, interfaces.DRAINING, interfaces.GONE)


class Lifetime(typing.NamedTuple):
    """The newest known lifetime of one upstream.

    :param incarnation: incarnation of the upstream in this lifetime.
    :param number: highest number of its announcements; 0 if they have none.
    :param state: state in its last announcement.
    :param expires_at: monotonic time up to which it is remembered.
    """

    incarnation: int
    number: int
    state: str
    expires_at: float

    def is_newer_than(self, incarnation: int, number: int, state: str) -> bool:
        """Tell whether an announcement is older than the last one known.

        The incarnation decides first, then the number.  Within one lifetime
        the state only moves towards ``gone``, so that a renewal that was
        sent before a drain and arrives after it does not bring new requests
        to the upstream.

        :param number: number of the announcement; 0 if it has none.
        """
        if incarnation != self.incarnation:
            return incarnation < self.incarnation
        if number and number < self.number:
            return True
        return STATE_ORDER.index(state) < STATE_ORDER.index(self.state)


class Lifetimes:
    """The newest known lifetimes by id of the upstream."""

    def __init__(self) -> None:
        self.by_id: dict[str, Lifetime] = {}

    def has_newer(
        self, name: str, incarnation: int, number: int, state: str
    ) -> bool:
        """Tell whether a newer announcement of an upstream is known."""
        lifetime = self.by_id.get(name)
        return lifetime is not None and lifetime.is_newer_than(
            incarnation, number, state
        )

    def last_number(self, name: str) -> int:
        """Return the highest known number of an upstream, or 0."""
        lifetime = self.by_id.get(name)
        return 0 if lifetime is None else lifetime.number

    def last_incarnation(self, name: str) -> int:
        """Return the newest known incarnation of an upstream, or 0."""
        lifetime = self.by_id.get(name)
        return 0 if lifetime is None else lifetime.incarnation

    def has_left(self, name: str) -> bool:
        """Tell whether the newest known lifetime of an upstream is over."""
        lifetime = self.by_id.get(name)
        return lifetime is not None and lifetime.state == interfaces.GONE

    def update(
        self,
        name: str,
        incarnation: int,
        number: int,
        state: str,
        expires_at: float,
    ) -> None:
        """Record an announcement that was accepted.

        :param expires_at: monotonic time up to which it is remembered.
        """
        lifetime = self.by_id.pop(name, None)
        if lifetime is not None and lifetime.incarnation == incarnation:
            number = max(number, lifetime.number)
            if lifetime.state == interfaces.GONE:
                # A repeated removal binds as long as the first one.
                expires_at = max(expires_at, lifetime.expires_at)
        self.by_id[name] = Lifetime(incarnation, number, state, expires_at)
        while len(self.by_id) > MAX_LIFETIMES:
            del self.by_id[next(iter(self.by_id))]

    def drop_expired(self, now: float, kept: typing.Container[str]) -> None:
        """Drop the lifetimes that have expired.

        :param now: monotonic time in seconds.
        :param kept: ids of upstreams that have a lease.
        """
        expired = [
            name
            for name, lifetime in self.by_id.items()
            if lifetime.expires_at <= now and name not in kept
        ]
        for name in expired:
            del self.by_id[name]
