"""Bodies that callers are still sending when their node stops.

A request is accepted by its head, and its body may take as long as it likes.
Once its node stops, a request that becomes whole too late can't be answered
any more, so it is refused while that is still true of it: nothing has run.
"""

import asyncio
import math
import typing

from aiohttp import streams

from carawaystair import clock
from carawaystair import codes
from carawaystair.load import stopping
from carawaystair.request import http_server
from carawaystair.request import validation

OVERDUE = 'its body comes too late'


class Arrival:
    """A body that is arriving; used like the reader of its connection.

    :param content: the reader of the connection.
    :param deadline: monotonic time of the request's deadline.
    :param expected_s: returns the expected duration of its run, seconds.
    """

    __slots__ = (
        'begun',
        'content',
        'deadline',
        'due_at',
        'expected_s',
        'timeout',
    )

    def __init__(
        self,
        content: streams.StreamReader,
        deadline: float,
        expected_s: typing.Callable[[], float],
    ) -> None:
        self.content = content
        self.deadline = deadline
        self.expected_s = expected_s
        # Whether an upstream may have a part of it.
        self.begun = False
        # By when it must be whole; None as long as its node does not stop.
        self.due_at: float | None = None
        # Set while somebody waits for more of it.
        self.timeout: asyncio.Timeout | None = None

    def set_end(self, accept_until: float, ends_at: float) -> None:
        """Set the time by which it must be whole, as its node stops.

        :param accept_until: monotonic time until which requests are accepted.
        :param ends_at: monotonic time at which the process ends.
        """
        whole_by = stopping.whole_by(
            ends_at, self.expected_s(), self.deadline, self.begun
        )
        if math.isinf(whole_by):
            return
        self.due_at = max(whole_by, accept_until)
        if self.timeout is not None:
            self.timeout.reschedule(self.due_at)

    @property
    def is_overdue(self) -> bool:
        """Return whether it should have been whole before."""
        return self.due_at is not None and clock.now() > self.due_at

    async def readany(self) -> bytes:
        """Return what has arrived, or wait for some.

        :raises validation.Refused: when the rest comes too late.
        """
        try:
            async with asyncio.timeout_at(self.due_at) as self.timeout:
                return await self.content.readany()
        except TimeoutError:
            raise validation.Refused(codes.LEAVING, OVERDUE) from None
        finally:
            self.timeout = None

    def read_nowait(self, size: int) -> bytes:
        """Return what has arrived."""
        return self.content.read_nowait(size)

    def is_eof(self) -> bool:
        """Return whether all has arrived."""
        return self.content.is_eof()

    def at_eof(self) -> bool:
        """Return whether all was read."""
        return self.content.at_eof()

    def exception(self) -> BaseException | None:
        """Return the error that ended it, if any."""
        return self.content.exception()

    def set_exception(self, error: BaseException) -> None:
        """Let whoever reads it fail."""
        self.content.set_exception(error)


class Arrivals:
    """The bodies that the callers of a node are sending."""

    def __init__(self) -> None:
        self.arrivals: dict[http_server.Request, Arrival] = {}
        # Set while the node stops: until when requests are accepted, and when
        # the process ends.
        self.accept_until = math.inf
        self.ends_at = math.inf

    def begin(
        self,
        request: http_server.Request,
        deadline: float,
        expected_s: typing.Callable[[], float],
    ) -> Arrival:
        """Return the reader of a body, see :class:`Arrival`."""
        arrival = Arrival(request.content, deadline, expected_s)
        self.arrivals[request] = arrival
        self._bound(arrival)
        return arrival

    def pass_on(self, request: http_server.Request) -> None:
        """Note that an upstream may get a part of a body before the rest."""
        arrival = self.arrivals.get(request)
        if arrival is not None:
            arrival.begun = True
            self._bound(arrival)

    def is_late(self, request: http_server.Request) -> bool:
        """Return whether a request becomes whole after none is accepted.

        :raises validation.Refused: when that is too late for any run.
        """
        arrival = self.arrivals.get(request)
        if arrival is not None and arrival.is_overdue and not arrival.begun:
            raise validation.Refused(codes.LEAVING, OVERDUE)
        whole_at = request.whole_at
        if whole_at is None:
            whole_at = clock.now()
        return whole_at > self.accept_until

    def end(self, request: http_server.Request) -> None:
        """Forget the body of a request."""
        self.arrivals.pop(request, None)

    def stop(self, accept_until: float, ends_at: float) -> None:
        """Bound the time of all bodies, as the node stops.

        :param accept_until: monotonic time until which requests are accepted.
        :param ends_at: monotonic time at which the process ends.
        """
        self.accept_until, self.ends_at = accept_until, ends_at
        for arrival in self.arrivals.values():
            self._bound(arrival)

    def _bound(self, arrival: Arrival) -> None:
        if not math.isinf(self.ends_at):
            arrival.set_end(self.accept_until, self.ends_at)
