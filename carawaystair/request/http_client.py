"""The client side of an HTTP connection, over aiohttp's parser.

It has only what a proxy needs and is stricter than a client library: an
answer is complete only when the parser says so, unexpected data makes the
connection unusable, and a malformed body raises an error in its reader.
"""

import asyncio
import collections

import aiohttp
from aiohttp import http
from aiohttp import streams

from carawaystair.request import errors
from carawaystair.request import protocol

# Bounds of an upstream's answer head.
MAX_LINE_BYTES = 16 * 1024
MAX_HEADERS = 128
# Bytes in a row without a whole head or more of a body, such as blank lines or
# the extension of a chunk; a whole head has no more.
MAX_IDLE_BYTES = MAX_LINE_BYTES * MAX_HEADERS
NO_PROGRESS = 'bytes without progress of an answer'
# Reading pauses when twice this much of a body is buffered.
READ_BUFFER_BYTES = 64 * 1024

Head = tuple[http.RawResponseMessage, streams.StreamReader]


class ClientProtocol(protocol.Protocol):
    """One connection to an upstream.

    :param loop: the event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        # Heads of answers that have not been returned yet.
        self.heads: collections.deque[Head] = collections.deque()
        self.payload = streams.EMPTY_PAYLOAD
        # The error that ended the connection.
        self.error: BaseException | None = None
        # Whether a request was sent whose answer has not been read.
        self.awaiting_answer = False
        # Whether the end of the connection ends the answer.
        self.ends_with_close = False
        # Whether the upstream allows another request.
        self.keep_alive = True
        # See MAX_IDLE_BYTES.
        self.idle_bytes = 0
        self.head_waiter: asyncio.Future | None = None

    # Requests

    def expect(self, bodiless: bool) -> None:
        """Prepare for the answer to a request that is about to be sent.

        :param bodiless: whether the answer has no body, whatever its headers
            say.
        """
        self.awaiting_answer = True
        self.idle_bytes = 0
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
        """Return whether another request may be sent on the connection.

        That is safe only after the last answer was read to its exact end:
        then, the next answer belongs to the next request.
        """
        return (
            self.keep_alive
            and not self.heads
            and self.error is None
            and self.payload.is_eof()
            and self.open
        )

    def close(self) -> None:
        """Close the connection after writing buffered data."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def discard(self) -> None:
        """Abort the connection; nobody reads what has arrived on it."""
        self.heads.clear()
        self.abort()

    def fail(self, error: BaseException) -> None:
        """Abort the connection and raise an error in its readers.

        After a plain abort, an answer without a length would look complete.
        """
        self._fail(error)

    # Answers

    async def head(self, until: float) -> Head:
        """Wait for the head of an answer.

        :param until: monotonic time at which to give up.
        :return: the head and the reader of the body.
        :raises TimeoutError: when it has not arrived by then.
        """
        if not self.heads and self.error is None:
            await self._wait(until)
        if self.heads:
            return self.heads.popleft()
        raise self.error

    async def _wait(self, until: float) -> None:
        """Wait for a head, using the connection's timer.

        Creating a timer for every wait would cost more than the wait
        itself.  This one is set again when it fires too early.
        """
        waiter = self.head_waiter = self.loop.create_future()
        self._set_timer(until)
        try:
            if not await waiter:
                raise TimeoutError
        finally:
            if self.head_waiter is waiter:
                self.head_waiter = None

    def _on_timer(self) -> None:
        self.timer = None
        if self.head_waiter is None:
            return
        if self.loop.time() < self.timer_until:
            self._set_timer(self.timer_until)
        else:
            self._wake(False)

    def _wake(self, arrived: bool) -> None:
        waiter = self.head_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(arrived)

    # Callbacks from asyncio

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if not self.awaiting_answer:
            # The data would be taken for the answer to the next request.
            self._fail(aiohttp.ClientConnectionError('bytes out of turn'))
            return
        broken = None
        payload, size = self.payload, self.payload.total_bytes
        try:
            messages, upgraded, _tail = self._parser.feed_data(data)
        except Exception as error:
            broken = errors.unparsable(error)
        if broken is not None:
            self._fail(broken)
            return
        progress = bool(messages) or payload.total_bytes > size
        self.idle_bytes = 0 if progress else self.idle_bytes + len(data)
        if self.idle_bytes > MAX_IDLE_BYTES:
            self._fail(http.HttpProcessingError(message=NO_PROGRESS))
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
        """Handle the end of the connection.

        A close may end an answer without a length.  A reset never does,
        since data may have been lost with it.
        """
        ended = exc is None and self.error is None
        if ended and self.ends_with_close and not self.payload.is_eof():
            self.payload.feed_eof()
        super().connection_lost(exc)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._end(exc or aiohttp.ServerDisconnectedError())
        # Both refer to this connection, which would keep what it holds until
        # the next collection of garbage.
        self._parser = None
        self.payload = streams.EMPTY_PAYLOAD

    def _fail(self, error: BaseException) -> None:
        """Abort the connection because of an error."""
        self._end(error)
        self.abort()

    def _end(self, error: BaseException) -> None:
        if self.error is not None:
            return
        self.error = error
        if not self.payload.is_eof():
            self.payload.set_exception(error)
        self._wake(True)
