"""The client's side of one HTTP connection, over aiohttp's parser.

Only what a proxy needs, and stricter than a client library has to be: an
answer is whole only when its parser says so, what arrives unasked spoils the
connection, and a malformed body ends whoever reads it.
"""

import asyncio
import collections

import aiohttp
from aiohttp import http
from aiohttp import streams

from carawaystair.request import protocol

# Bounds of an upstream's answer head.
MAX_LINE_BYTES = 16 * 1024
MAX_HEADERS = 128
# A body that nobody reads makes the connection stop at twice as much.
READ_BUFFER_BYTES = 64 * 1024

Head = tuple[http.RawResponseMessage, streams.StreamReader]


class ClientProtocol(protocol.Protocol):
    """One connection to an upstream.

    :param loop: the event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        # Heads of answers that nobody has taken yet.
        self.heads: collections.deque[Head] = collections.deque()
        self.payload = streams.EMPTY_PAYLOAD
        # Why no more will come.
        self.error: BaseException | None = None
        # Whether a request is on its way.
        self.awaiting_answer = False
        # Whether the answer ends with the connection.
        self.ends_with_close = False
        # Whether another request may follow.
        self.keep_alive = True
        self.head_waiter: asyncio.Future | None = None

    # Requests

    def expect(self, bodiless: bool) -> None:
        """Get ready for the answer to a request that will be sent.

        :param bodiless: whether the answer has no body whatever it says.
        """
        self.awaiting_answer = True
        self._parser = http.HttpResponseParser(
            self,
            self.loop,
            READ_BUFFER_BYTES,
            payload_exception=aiohttp.ClientPayloadError,
            response_with_body=not bodiless,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
        )

    @property
    def reusable(self) -> bool:
        """Tell whether the last answer was read to its exact end.

        Then, and only then, what comes next can only be the answer to what
        is sent next.
        """
        return (
            self.keep_alive
            and not self.heads
            and self.error is None
            and self.payload.is_eof()
            and self.open
        )

    def close(self) -> None:
        """Close the connection in the normal way."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Break the connection."""
        if self.transport is not None:
            self.transport.abort()

    def fail(self, error: BaseException) -> None:
        """Break the connection, and tell so whoever reads from it.

        After a plain abort an answer that has no length would look whole.
        """
        self._fail(error)

    # Answers

    async def head(self, until: float) -> Head:
        """Wait for the head of an answer.

        :param until: monotonic time at which to give up.
        :return: the head and its body.
        :raises TimeoutError: when nothing came by then.
        """
        if not self.heads and self.error is None:
            await self._wait(until)
        if self.heads:
            return self.heads.popleft()
        raise self.error

    async def _wait(self, until: float) -> None:
        """Wait for a head, with one timer a connection.

        A timer for every wait would cost more than the wait itself; this
        one is moved on when it rings too early.
        """
        ready = self.head_waiter = self.loop.create_future()
        self._set_timer(until)
        try:
            if not await ready:
                raise TimeoutError
        finally:
            if self.head_waiter is ready:
                self.head_waiter = None

    def _on_timer(self) -> None:
        self.timer = None
        if self.head_waiter is None:
            return
        if self.loop.time() < self.timer_until:
            self._set_timer(self.timer_until)
        else:
            self._wake(False)

    def _wake(self, came: bool) -> None:
        ready = self.head_waiter
        if ready is not None and not ready.done():
            ready.set_result(came)

    # What asyncio calls

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        if not self.awaiting_answer:
            # Nobody asked: the next caller would read it as its own.
            self._fail(aiohttp.ClientConnectionError('bytes out of turn'))
            return
        try:
            messages, upgraded, _tail = self._parser.feed_data(data)
        except Exception as error:
            self._fail(error)
            return
        for message, payload in messages:
            self.payload = payload
            if message.should_close:
                self.keep_alive = False
            self.ends_with_close = not (
                message.chunked or 'Content-Length' in message.headers
            )
            self.heads.append((message, payload))
        if upgraded:
            self._fail(http.HttpProcessingError(message='another protocol'))
        elif messages:
            self._wake(True)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection.

        A close may be the end of an answer without a length; a reset never
        is, since what was lost with it is not known.
        """
        ended = exc is None and self.error is None
        if ended and self.ends_with_close and not self.payload.is_eof():
            self.payload.feed_eof()
        super().connection_lost(exc)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._end(exc or aiohttp.ServerDisconnectedError())

    def _fail(self, error: BaseException) -> None:
        """End the connection for what came on it."""
        self._end(error)
        self.abort()

    def _end(self, error: BaseException) -> None:
        if self.error is not None:
            return
        self.error = error
        if not self.payload.is_eof():
            self.payload.set_exception(error)
        self._wake(True)
