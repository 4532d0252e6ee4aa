"""Lets connections take turns in each iteration of the event loop."""

import asyncio
import collections
import typing

# Turns in one iteration of the event loop.
TURNS = 2


class Taker(typing.Protocol):
    """Something that takes turns."""

    def take_turn(self) -> None:
        """Take a turn; another one is taken after :meth:`Turns.wait`."""


class Turns:
    """Gives turns, first come, first served."""

    def __init__(self) -> None:
        self.waiting: collections.deque[Taker] = collections.deque()
        self.scheduled = False

    def wait(self, taker: Taker) -> None:
        """Let something take a turn when all that wait now have had one."""
        self.waiting.append(taker)
        self._schedule()

    def _schedule(self) -> None:
        if self.waiting and not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._give)

    def _give(self) -> None:
        self.scheduled = False
        try:
            for _turn in range(min(TURNS, len(self.waiting))):
                self.waiting.popleft().take_turn()
        finally:
            # A failure of one must not end the turns of the others.
            self._schedule()
