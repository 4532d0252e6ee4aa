"""Reads long answers: at the pace of their reader, or of their upstream.

An upstream that waits for a slow reader has a slot that serves nobody, and
cuts off an answer that is not read for some seconds.
"""

import asyncio
import collections
import math
import typing

from carawaystair import clock
from carawaystair.gateway import answer_memory
from carawaystair.request import attempt as attempts

# An answer that makes no progress for this time is taken to be interrupted,
# seconds.  Links recover from packet loss within some seconds, and an upstream
# that has begun to answer sends its data without long pauses.
STALL_TIMEOUT_S = 8.0


class Source(typing.Protocol):
    """The rest of a long answer."""

    def start(self, held: answer_memory.HeldAnswer) -> None:
        """Begin to read.

        :param held: counts what is held of the answer.
        """

    async def read(self) -> bytes:
        """Return the next bytes; none at the end.

        :raises TimeoutError: when it makes no progress.
        :raises ConnectionError: or another error of the connection.
        """

    def close(self) -> None:
        """Release the connection, or abort it before the end."""


class Direct:
    """Reads an answer at the pace of its reader.

    :param attempt: the attempt that gets the answer.
    :param on_end: called when its connection is released or aborted.
    :param until: monotonic time at which to stop reading; an upstream may send
        bytes without end.
    """

    def __init__(
        self,
        attempt: attempts.Attempt,
        on_end: typing.Callable[[], None] | None = None,
        until: float = math.inf,
    ) -> None:
        self.attempt = attempt
        self.on_end = on_end
        self.until = until
        self.held: answer_memory.HeldAnswer | None = None
        self.complete = False
        self.released = False

    def start(self, held: answer_memory.HeldAnswer) -> None:
        """Begin to read."""
        self.held = held

    async def read(self) -> bytes:
        """Return the next bytes; none at the end."""
        return await self.read_piece(answer_memory.MAX_PIECE_BYTES)

    async def read_piece(self, size: int) -> bytes:
        """Return some bytes that arrive from the upstream; none at the end.

        :param size: most bytes to return.
        :raises TimeoutError: when none arrive in time.
        """
        payload = self.attempt.payload
        while not payload.at_eof():
            now = clock.now()
            if now >= self.until:
                raise TimeoutError('the time of the request is over')
            async with asyncio.timeout_at(
                min(now + STALL_TIMEOUT_S, self.until)
            ):
                data = await payload.read(size)
            if data:
                self.held.take(len(data))
                return data
        self.complete = True
        return b''

    def close(self) -> None:
        """Release the connection, or abort it before the end."""
        self.release()

    def release(self) -> None:
        """Release or abort the connection once.

        Afterwards it may carry another request.
        """
        if self.released:
            return
        self.released = True
        if self.complete:
            self.attempt.release_connection(clock.now())
        else:
            self.attempt.abort()
        if self.on_end is not None:
            self.on_end()


class Spool(Direct):
    """Reads an answer at the pace of its upstream, as far as there is room.

    :param attempt: the attempt that gets the answer.
    :param on_end: called when its connection is released or aborted.
    :param until: monotonic time at which to stop reading.
    """

    def __init__(
        self,
        attempt: attempts.Attempt,
        on_end: typing.Callable[[], None] | None = None,
        until: float = math.inf,
    ) -> None:
        super().__init__(attempt, on_end, until)
        self.pieces: collections.deque[bytes] = collections.deque()
        self.arrived = asyncio.Event()
        self.error: Exception | None = None
        self.task: asyncio.Task | None = None

    def start(self, held: answer_memory.HeldAnswer) -> None:
        """Begin to read."""
        super().start(held)
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            while data := await self.read_piece(await self.held.wait_room()):
                self.pieces.append(data)
                self.arrived.set()
        except Exception as error:
            # Raised by read, after what arrived before it.  Its traceback
            # would make a reference cycle.
            self.error = error.with_traceback(None)
        finally:
            self.release()
            self.arrived.set()

    async def read(self) -> bytes:
        """Return the next bytes; none at the end."""
        while not self.pieces and not self.released:
            self.arrived.clear()
            await self.arrived.wait()
        if self.pieces:
            return self.pieces.popleft()
        if self.error is not None:
            raise self.error
        if not self.complete:
            raise ConnectionAbortedError('answer was not read whole')
        return b''

    def close(self) -> None:
        """Release the connection, or abort it before the end."""
        if self.task is not None:
            self.task.cancel()
        self.release()
