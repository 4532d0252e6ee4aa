"""What a process remembers of the departures of other hosts' upstreams."""

import collections
import typing

from carawaystair.membership import messages

MS = 1000
# Limits on the departures of one host, and on the hosts; the oldest are
# dropped.
MAX_DEPARTURES = 512
MAX_HOSTS = 10_000


class Remembered(typing.NamedTuple):
    """A departure and the time up to which it is remembered.

    :param departure: its remaining time is that of when it was received.
    :param expires_at: monotonic time.
    """

    departure: messages.Departure
    expires_at: float


class DepartureMemory:
    """Departures by host and id of the upstream."""

    def __init__(self) -> None:
        # The hosts in the order of their last departures.  What a host has is
        # replaced by each change and never changed itself.
        self.by_host: collections.OrderedDict[str, dict[str, Remembered]] = (
            collections.OrderedDict()
        )

    def add(
        self, host: str, departure: messages.Departure, now: float
    ) -> None:
        """Remember a departure.

        :param now: monotonic time in seconds.
        """
        known = self._unexpired(host, now)
        earlier = known.pop(departure.id, None)
        expires_at = now + departure.remaining_ms / MS
        if earlier is not None:
            departure = _merge(earlier.departure, departure)
            expires_at = max(expires_at, earlier.expires_at)
        known[departure.id] = Remembered(departure, expires_at)
        if len(known) > MAX_DEPARTURES:
            del known[next(iter(known))]
        self.by_host[host] = known
        self.by_host.move_to_end(host)
        self._drop_hosts(now)

    def of_host(self, host: str, now: float) -> tuple[messages.Departure, ...]:
        """Return the departures of a host with their remaining times.

        :param now: monotonic time in seconds.
        """
        return tuple(
            item.departure._replace(
                remaining_ms=int((item.expires_at - now) * MS)
            )
            for item in self._unexpired(host, now).values()
        )

    def snapshot(self) -> dict[str, dict[str, Remembered]]:
        """Return all that is held, expired or not; it does not change."""
        return dict(self.by_host)

    def by_hosts(
        self, now: float
    ) -> dict[str, tuple[messages.Departure, ...]]:
        """Return the departures of all hosts with their remaining times.

        :param now: monotonic time in seconds.
        """
        every = ((host, self.of_host(host, now)) for host in self.by_host)
        return {host: departures for host, departures in every if departures}

    def _unexpired(self, host: str, now: float) -> dict[str, Remembered]:
        return {
            name: item
            for name, item in self.by_host.get(host, {}).items()
            if item.expires_at - now >= 1 / MS
        }

    def _drop_hosts(self, now: float) -> None:
        """Drop the oldest hosts without departures, and those too many."""
        while True:
            host = next(iter(self.by_host))
            if len(self.by_host) <= MAX_HOSTS and self._unexpired(host, now):
                return
            del self.by_host[host]


def _merge(
    known: messages.Departure, new: messages.Departure
) -> messages.Departure:
    """Return what two departures of one upstream tell together.

    One without an incarnation is of the last known one.
    """
    if known.incarnation and new.incarnation:
        if known.incarnation != new.incarnation:
            return max(known, new, key=lambda each: each.incarnation)
    return new._replace(
        incarnation=max(known.incarnation, new.incarnation),
        state=max(known.state, new.state),
    )
