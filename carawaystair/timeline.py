"""The time line: a bounded ring of typed events in every process.

Events carry a hybrid logical clock (Kulkarni et al., 2014): milliseconds of
the wall clock in the upper 48 bits and a counter in the lower 16.  The clock
travels with every message, so that merged events of several processes stand
in causal order even when their wall clocks disagree.
"""

import collections
import itertools
import typing

from carawaystair import clock

COUNTER_BITS = 16
DEFAULT_CAPACITY = 8_000
# A peer whose wall clock runs far ahead must not drag ours along for ever:
# times further ahead than this are not merged.
MAX_DRIFT_MS = 60_000


class Event(typing.NamedTuple):
    """One thing that happened in one process.

    :param time: hybrid logical clock, see the module.
    :param host: the host whose process saw it.
    :param kind: the event's name, such as ``upstream-ejected``.
    :param service: the service concerned, or empty.
    :param upstream: the upstream concerned, or empty.
    :param request: the request concerned, or empty.
    :param version: the configuration version concerned, or empty.
    :param text: one sentence for a person.
    """

    time: int
    host: str
    kind: str
    service: str = ''
    upstream: str = ''
    request: str = ''
    version: str = ''
    text: str = ''


class HybridClock:
    """A hybrid logical clock."""

    def __init__(self) -> None:
        self.last = 0

    def tick(self) -> int:
        """Return the time of a local event, later than all before."""
        self.last = max(self.last + 1, clock.wall_ms() << COUNTER_BITS)
        return self.last

    def merge(self, remote: int) -> None:
        """Take note of the time that a message carried."""
        limit = (clock.wall_ms() + MAX_DRIFT_MS) << COUNTER_BITS
        if self.last < remote <= limit:
            self.last = remote


class Timeline:
    """The events of this process, the newest ``capacity`` of them.

    :param host: name of this process's host.
    :param capacity: events kept; older ones are dropped and counted.
    """

    def __init__(self, host: str, capacity: int = DEFAULT_CAPACITY) -> None:
        self.host = host
        self.clock = HybridClock()
        self.ring = collections.deque(maxlen=capacity)
        self.total = 0
        # Called with each event.
        self.listeners: list[typing.Callable[[Event], None]] = []

    def record(
        self,
        kind: str,
        text: str = '',
        service: str = '',
        upstream: str = '',
        request: str = '',
        version: str = '',
    ) -> Event:
        """Add an event that happens now."""
        event = Event(
            self.clock.tick(),
            self.host,
            kind,
            service,
            upstream,
            request,
            version,
            text,
        )
        self.ring.append(event)
        self.total += 1
        for listener in self.listeners:
            listener(event)
        return event

    def since(self, time: int = 0, limit: int = 1000) -> tuple[Event, ...]:
        """Return the oldest ``limit`` events later than ``time``."""
        later = (event for event in self.ring if event.time > time)
        return tuple(itertools.islice(later, limit))


def wall_ms(time: int) -> int:
    """Return the wall-clock part of a hybrid time, in ms since 1970."""
    return time >> COUNTER_BITS


def clock_text(time: int) -> str:
    """Return a hybrid time as a person reads it, ``HH:MM:SS.mmm`` in UTC."""
    seconds, ms = divmod(wall_ms(time), 1000)
    minutes, second = divmod(seconds, 60)
    hours, minute = divmod(minutes, 60)
    return '%02d:%02d:%02d.%03d' % (hours % 24, minute, second, ms)


def merge(*rings: typing.Iterable[Event]) -> list[Event]:
    """Merge the events of several processes in causal order."""
    return sorted(itertools.chain(*rings), key=lambda e: (e.time, e.host))
