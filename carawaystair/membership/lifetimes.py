"""The lifetimes of upstreams that a host has heard of.

An upstream may start again under its id.  It then knows nothing of before,
and the numbers of its announcements begin anew; only its incarnation tells
the lives apart.  What a former life said may still arrive, held up by a cut.

Symptom without this: an upstream that has just started drains or is gone,
because a late word of its former life is the last to arrive; or it is
refused until its numbers have passed those of its former life.
"""

import typing

from carawaystair import interfaces

# A word of a life that is over may arrive so late, seconds: a check-in that
# a cut has held up for some seconds, and its repetitions.  Not for ever: an
# upstream whose clock was set back is refused for this long.
REMEMBER_S = 30.0
MOST = 512
STATES = (interfaces.UP, interfaces.DRAINING, interfaces.GONE)


class Lifetime(typing.NamedTuple):
    """The newest lifetime of one upstream, as far as was heard.

    :param incarnation: which one.
    :param number: the highest number that its announcements bore.
    :param state: the last state that it came to.
    :param until: monotonic time up to which it is remembered.
    """

    incarnation: int
    number: int
    state: str
    until: float

    def newer(self, incarnation: int, number: int, state: str) -> bool:
        """Tell whether something was said before what was heard last.

        The lifetime decides first, the number within it second.  Within one
        life the state only moves towards gone, so that a renewal that was
        sent before a drain and arrives after it brings no work back.

        :param number: 0 where announcements bear none.
        """
        if incarnation != self.incarnation:
            return incarnation < self.incarnation
        if number and number < self.number:
            return True
        return STATES.index(state) < STATES.index(self.state)


class Lifetimes:
    """The newest lives by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, Lifetime] = {}

    def newer(
        self, name: str, incarnation: int, number: int, state: str
    ) -> bool:
        """Tell whether a later word of an upstream was heard."""
        life = self.by_id.get(name)
        return life is not None and life.newer(incarnation, number, state)

    def number(self, name: str) -> int:
        """Return the highest number of the life that is known, or 0."""
        life = self.by_id.get(name)
        return 0 if life is None else life.number

    def next(self, name: str, least: int) -> int:
        """Return the incarnation of an upstream that says none itself.

        One that was late goes on in the life that it had; one that left
        begins another.
        """
        life = self.by_id.get(name)
        if life is None:
            return least
        if life.state != interfaces.GONE:
            return life.incarnation
        return max(least, life.incarnation + 1)

    def note(
        self,
        name: str,
        incarnation: int,
        number: int,
        state: str,
        until: float,
    ) -> None:
        """Take note of what was said and taken.

        :param until: monotonic time up to which it is remembered.
        """
        life = self.by_id.pop(name, None)
        if life is not None and life.incarnation == incarnation:
            number = max(number, life.number)
        self.by_id[name] = Lifetime(incarnation, number, state, until)
        while len(self.by_id) > MOST:
            del self.by_id[next(iter(self.by_id))]

    def forget(self, now: float, kept: typing.Container[str]) -> None:
        """Drop the lives that nothing was heard of for long.

        :param kept: ids whose leases stand.
        """
        old = [
            name
            for name, life in self.by_id.items()
            if life.until <= now and name not in kept
        ]
        for name in old:
            del self.by_id[name]
