"""How far a node knows to be behind the accepted configuration.

A node that serves by an old version looks healthy from outside: it is ready
and answers.  It hears of newer versions long before it has them, so what it
was told and when says how late it is.
"""

import collections
import typing

from carawaystair import clock
from carawaystair import rows

# Versions remembered that this node was told of and lacks.  Beyond them the
# lag is still right, since the oldest one decides; 0.15 s apart they last
# for 38 s.
MOST_HEARD = 256


class Heard(typing.NamedTuple):
    """A version that this node was told of.

    :param version: the version.
    :param at: monotonic time at which it was first told of it.
    """

    version: rows.Version
    at: float


class Counts(typing.NamedTuple):
    """What a node read to keep up, since its process started.

    :param steps: steps that were read.
    :param tables_begun: whole tables whose first piece was read.
    :param tables_read: whole tables that were read to the end.
    """

    steps: int = 0
    tables_begun: int = 0
    tables_read: int = 0


class Lag:
    """The versions that a node was told of and does not have yet."""

    def __init__(self) -> None:
        self.heard: collections.deque[Heard] = collections.deque()
        self.newest = rows.NONE
        self.held = rows.NONE

    def told(self, version: rows.Version) -> None:
        """Take note that a version exists."""
        if version <= max(self.newest, self.held):
            return
        self.newest = version
        if len(self.heard) < MOST_HEARD:
            self.heard.append(Heard(version, clock.now()))

    def hold(self, version: rows.Version) -> None:
        """Take note of the version that this node has now."""
        self.held = version
        while self.heard and self.heard[0].version <= version:
            self.heard.popleft()

    def vouched(self, asked_at: float) -> None:
        """Forget what was told before control was asked.

        A quorum said that nothing newer than the version held was accepted.
        What tells of a newer one was wrong, and must not keep this node from
        saying for sure what its configuration has and has not.

        :param asked_at: monotonic time of the question.
        """
        while self.heard and self.heard[0].at <= asked_at:
            self.heard.popleft()
        self.newest = self.heard[-1].version if self.heard else self.held

    def seconds(self) -> float:
        """Return for how long a newer version is known, 0.0 if none is."""
        return clock.now() - self.heard[0].at if self.heard else 0.0
