"""Requests that crash the upstreams that run them, held against the limit."""

import collections
import typing

from carawaystair import clock
from carawaystair import codes

# A request under which so many upstreams crashed reaches so many more at
# most, once that is known everywhere, which takes so long, seconds.
LIMIT = 3
MOST_LATER = 3
CONTACT_S = 3.0
# A run crashes its upstream after so long, ms; another process starts in its
# place so much later, seconds.
CRASH_MS = 60
DOWN_S = 1.5
REFUSAL = codes.CRASHES_UPSTREAMS.label


class Fatal:
    """What upstreams see of such requests.

    :param disturbed: tells whether a fault was near between two times.
    """

    def __init__(
        self, disturbed: typing.Callable[[float, float], bool]
    ) -> None:
        self.disturbed = disturbed
        # What an attempt asks for, by its marker.
        self.contents: dict[str, str] = {}
        # When a request reached upstreams, and when they crashed under it.
        self.reached: dict[str, list[float]] = collections.defaultdict(list)
        self.crashed: dict[str, list[float]] = collections.defaultdict(list)
        # When upstreams crashed so, and the host or upstream struck by it.
        self.falls: set[tuple[float, str]] = set()
        # Upstreams whose crash a request is waiting for, with its marker.
        self.running: dict[str, str] = {}

    def asks(self, marker: str, content: str) -> None:
        """Take note of an attempt."""
        self.contents[marker] = content

    def began(self, upstream: str, marker: str) -> None:
        """Take note that an upstream runs a request."""
        if marker in self.contents:
            self.reached[self.contents[marker]].append(clock.now())
            self.running.setdefault(upstream, marker)

    def fell(self, upstream: str) -> None:
        """Take note that an upstream crashed under what it ran."""
        marker = self.running.pop(upstream, None)
        if marker is not None:
            self.crashed[self.contents[marker]].append(clock.now())

    def broken(self) -> typing.Iterator[str]:
        """Yield what reached upstreams although it was known.

        A process that is struck by a fault may not have heard of it.
        """
        for content, crashed in self.crashed.items():
            if len(crashed) < LIMIT:
                continue
            known_at = crashed[LIMIT - 1] + CONTACT_S
            later = [
                at
                for at in self.reached[content]
                if at > known_at and not self.disturbed(crashed[0], at)
            ]
            if len(later) > MOST_LATER:
                words = content, len(later), len(crashed)
                yield '%s reached %d upstreams more; %d crashed' % words
