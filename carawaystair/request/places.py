"""Lets requests wait for one of the places of a process.

``load.request_room`` decides who gets them.
"""

import asyncio
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair.load import request_room
from carawaystair import metrics
from carawaystair.request import validation

# A request that has waited for so long is refused, seconds.
MAX_WAIT_S = 1.0


class Place:
    """The place of one request, held while it is entered as a context.

    :param places: the places of the process.
    :param deadline: monotonic time of the request's own deadline.
    """

    __slots__ = ('deadline', 'entered', 'places')

    def __init__(self, places: 'Places', deadline: float) -> None:
        self.places = places
        self.deadline = deadline
        # Done once it has the place that it waits for.
        self.entered: asyncio.Future | None = None

    async def __aenter__(self) -> None:
        """Take a place.

        :raises validation.Refused: when none is free in time.
        """
        if not self.places.room.enter(self):
            self.entered = asyncio.get_running_loop().create_future()
            await self._wait()

    async def __aexit__(self, *_error) -> None:
        """Give the place back."""
        self.places.leave()

    async def _wait(self) -> None:
        places, entered = self.places, self.entered
        try:
            until = min(clock.now() + MAX_WAIT_S, self.deadline)
            async with asyncio.timeout_at(until):
                await entered
        except BaseException as error:
            places.room.give_up(self)
            if entered.done() and not entered.cancelled():
                # It got a place in the meantime.
                places.leave()
            if not isinstance(error, TimeoutError):
                raise
            places.refused += 1
            raise validation.Refused(
                codes.MEMORY_FULL,
                'as many requests as this node takes',
                retry_after_s=MAX_WAIT_S,
            ) from None


class Places:
    """The places of a process.

    :param limit: number of places.
    """

    def __init__(self, limit: float) -> None:
        self.room = request_room.RequestRoom(limit)
        self.refused = 0

    def take(self, deadline: float) -> Place:
        """Return a place to enter.

        :param deadline: monotonic time of the request's own deadline.
        """
        return Place(self, deadline)

    def leave(self) -> None:
        """Give a place to the first that waits for one, if any."""
        following = self.room.leave()
        while following is not None and following.entered.done():
            following = self.room.leave()
        if following is not None:
            following.entered.set_result(None)

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the metrics."""
        room = self.room
        yield metrics.Sample('requests_in_progress', room.entered)
        yield metrics.Sample('requests_waiting_for_place', len(room.waiting))
        yield metrics.Sample('requests_without_place_total', self.refused)
