"""Lets requests wait for one of the places of a process.

``load.request_room`` decides who gets them.
"""

import asyncio
import contextlib
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair.load import request_room
from carawaystair import metrics
from carawaystair.request import validation

# A request that has waited for so long is refused, seconds.
MAX_WAIT_S = 1.0


class Places:
    """The places of a process.

    :param limit: number of places.
    """

    def __init__(self, limit: float) -> None:
        self.room = request_room.RequestRoom(limit)
        self.refused = 0

    @contextlib.asynccontextmanager
    async def take(self, deadline: float) -> typing.AsyncIterator[None]:
        """Hold a place.

        :param deadline: monotonic time of the request's own deadline.
        :raises validation.Refused: when no place is free in time.
        """
        entered = asyncio.get_running_loop().create_future()
        if not self.room.enter(entered):
            await self._wait(entered, deadline)
        try:
            yield
        finally:
            self._leave()

    async def _wait(self, entered: asyncio.Future, deadline: float) -> None:
        try:
            until = min(clock.now() + MAX_WAIT_S, deadline)
            async with asyncio.timeout_at(until):
                await entered
        except BaseException as error:
            self.room.give_up(entered)
            if entered.done() and not entered.cancelled():
                # It got a place in the meantime.
                self._leave()
            if not isinstance(error, TimeoutError):
                raise
            self.refused += 1
            raise validation.Refused(
                codes.MEMORY_FULL,
                'as many requests as this node takes',
                retry_after_s=MAX_WAIT_S,
            ) from None

    def _leave(self) -> None:
        following = self.room.leave()
        while following is not None and following.done():
            following = self.room.leave()
        if following is not None:
            following.set_result(None)

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the metrics."""
        room = self.room
        yield metrics.Sample('requests_in_progress', room.entered)
        yield metrics.Sample('requests_waiting_for_place', len(room.waiting))
        yield metrics.Sample('requests_without_place_total', self.refused)
