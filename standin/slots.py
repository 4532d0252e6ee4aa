"""Slots of a stand-in upstream, with a bounded FIFO queue behind them."""

import asyncio
import collections

TAKEN = 'taken'
FULL = 'full'
LATE = 'late'


class Slots:
    """A number of requests run at once; others wait in order.

    :param count: requests that run at once.
    :param bound: requests that may wait.
    """

    def __init__(self, count: int, bound: int) -> None:
        self.count = count
        self.bound = bound
        self.busy = 0
        self.waiting: collections.deque[asyncio.Future] = collections.deque()

    async def take(self, timeout_s: float | None = None) -> str:
        """Wait for a slot.

        :param timeout_s: how long at most, None for no limit.
        :return: :data:`TAKEN`, :data:`FULL` when the queue is, or
            :data:`LATE` when the time ran out.
        """
        if self.busy < self.count:
            self.busy += 1
            return TAKEN
        if len(self.waiting) >= self.bound:
            return FULL
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            done, _pending = await asyncio.wait([turn], timeout=timeout_s)
        except asyncio.CancelledError:
            self.withdraw(turn)
            raise
        if done:
            return TAKEN
        self.withdraw(turn)
        return LATE

    def withdraw(self, turn: asyncio.Future) -> None:
        """Give up a turn, which may have been granted a moment ago."""
        if turn.done():
            self.release()
        else:
            self.waiting.remove(turn)

    def release(self) -> None:
        """Give a slot to the first who waits, or leave it free."""
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.busy -= 1
