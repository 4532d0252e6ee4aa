"""The body of a caller's request: buffered, or streamed to the upstream."""

import asyncio
import typing

from aiohttp import http
from aiohttp import streams

from carawaystair import codes
from carawaystair.request import call as calls
from carawaystair.request import errors
from carawaystair.request import http_server
from carawaystair.request import validation

# Bodies up to this length are buffered before anything is sent: a slow caller
# then occupies no upstream, and the request can be retried.
MAX_BUFFERED_BYTES = 64 * 1024
# The part of longer bodies that is read first, for the request's digest.
PREFIX_BYTES = 16 * 1024
# What is buffered of a long body while its node stops; its part of what the
# process receives has room for that.
MAX_HELD_BYTES = 256 * 1024
# Memory for the bodies of all keyed requests.  They are buffered whole,
# because a repeat of the key is compared with the body.
MAX_KEYED_BYTES = 64 * 1024 * 1024
# Methods that get no Content-Length: 0 when there is no body.
BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))

BODY_ERRORS = (errors.BodyError, ConnectionError)


class PartialBody(typing.NamedTuple):
    """The part of a body that has been read.

    :param data: the bytes.
    :param complete: whether they are the whole body.
    """

    data: bytes
    complete: bool


class KeyedBodies:
    """Bounds the memory for the bodies of keyed requests."""

    def __init__(self) -> None:
        self.bytes = 0

    async def read(
        self,
        content: streams.StreamReader,
        length: int | None,
        limit: int,
        deadline: float,
    ) -> bytes:
        """Read a whole body.

        :param length: its length, None when it is chunked.
        :param limit: maximum length.
        :param deadline: monotonic time by which it must have arrived.
        :raises validation.Refused: when it can't be read or buffered.
        """
        # The length of a chunked body is unknown in advance, so the maximum
        # is reserved for it.
        reserved = limit if length is None else length
        if self.bytes + reserved > MAX_KEYED_BYTES:
            raise validation.Refused(codes.MEMORY_FULL)
        self.bytes += reserved
        try:
            body = await read(content, limit, limit, deadline)
        finally:
            self.bytes -= reserved
        self.bytes += len(body.data)
        return body.data

    def release(self, body: bytes) -> None:
        """Give back the memory of a body."""
        self.bytes -= len(body)


def declared_length(request: http_server.Request) -> int | None:
    """Return the length of a request's body, None when it is chunked."""
    length = request.headers.get('Content-Length')
    if length is not None:
        return int(length)
    return None if 'Transfer-Encoding' in request.headers else 0


def check_length(length: int | None, limit: int) -> None:
    """Refuse a body whose declared length exceeds the service's limit."""
    if length is not None and length > limit:
        raise validation.Refused(codes.BODY_TOO_LARGE, '%d bytes' % length)


def expects_continue(request: http_server.Request) -> bool:
    """Return whether the caller waits for ``100 Continue``."""
    value = request.headers.get('Expect')
    if value is None:
        return False
    if value.lower() != '100-continue':
        raise validation.Refused(codes.EXPECTATION_UNKNOWN)
    return request.version >= http.HttpVersion11


class Reader(typing.Protocol):
    """What reads a body: that of a connection, or a bounded one."""

    async def readany(self) -> bytes:
        """Return what has arrived, or wait for some."""

    def at_eof(self) -> bool:
        """Return whether all was read."""

    def exception(self) -> BaseException | None:
        """Return the error that ended the body, if any."""


async def read_start(
    content: streams.StreamReader,
    limit: int,
    deadline: float,
    enough: int = MAX_BUFFERED_BYTES,
) -> PartialBody:
    """Read a whole body, or the beginning of a long one."""
    if content.is_eof():
        data = content.read_nowait(-1)
        if len(data) > limit:
            raise validation.Refused(codes.BODY_TOO_LARGE)
        return PartialBody(data, True)
    return await read(content, enough, limit, deadline)


async def read(
    content: Reader,
    enough: int,
    limit: int,
    deadline: float,
    start: bytes = b'',
) -> PartialBody:
    """Read a body or its beginning.

    :param enough: stop once more bytes than this were read.
    :param limit: maximum length of the body.
    :param deadline: monotonic time by which it must have arrived.
    :param start: what was read of it before.
    :raises validation.Refused: when it is too long, late or malformed.
    """
    chunks = [start]
    size = len(start)
    try:
        async with asyncio.timeout_at(deadline):
            while not content.at_eof() and size <= enough:
                chunks.append(await content.readany())
                size += len(chunks[-1])
                if size > limit:
                    raise validation.Refused(codes.BODY_TOO_LARGE)
    except TimeoutError:
        raise validation.Refused(codes.BODY_LATE) from None
    except BODY_ERRORS as error:
        raise validation.Refused(codes.BODY_MALFORMED, str(error)) from None
    return PartialBody(b''.join(chunks), content.at_eof())


def framing(length: int | None) -> bytes:
    """Return the last lines of a request head, which declare the body.

    :param length: bytes of the body, None when it is chunked.
    """
    if length is None:
        return b'Transfer-Encoding: chunked\r\n\r\n'
    return b'Content-Length: %d\r\n\r\n' % length


class Source(typing.NamedTuple):
    """A body that is streamed to the upstream.

    :param stream: the reader of its rest.
    :param length: its length, None when it is chunked.
    :param prefix: the part that was already read.
    :param limit: maximum length.
    """

    stream: Reader
    length: int | None
    prefix: bytes
    limit: int


def source(call: calls.Call) -> Source:
    """Return the streamed body of a request."""
    limit = call.match.service.max_body
    return Source(call.stream, call.length, call.body_prefix, limit)


class Pump:
    """Streams a body to an upstream, with back-pressure.

    :param source: the body.
    :param proto: the protocol of the upstream's connection.
    """

    def __init__(self, source: Source, proto) -> None:
        self.source = source
        self.proto = proto
        self.writer = http.StreamWriter(proto, asyncio.get_running_loop())
        self.task: asyncio.Task | None = None
        # The failure on the caller's side, if there was one.
        self.refusal: validation.Refused | None = None

    def framing(self) -> bytes:
        """Return the last lines of the head, which declare the body."""
        return framing(self.source.length)

    def start(self) -> None:
        """Start a task that sends the body; the head was sent before."""
        if self.source.length is None:
            self.writer.enable_chunking()
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Send the body; abort the connection on any failure.

        Otherwise, the upstream could take a truncated body for a whole one.
        """
        limit = self.source.limit
        sent = len(self.source.prefix)
        content = self.source.stream
        try:
            if sent:
                await self.send(self.source.prefix)
            while not content.at_eof():
                chunk = await content.readany()
                sent += len(chunk)
                if sent > limit:
                    raise validation.Refused(codes.BODY_TOO_LARGE)
                await self.send(chunk)
            await self.writer.write_eof()
        except validation.Refused as refused:
            self.refusal = refused
            self.abort()
        except BODY_ERRORS as error:
            if content.exception() is not None:
                self.refusal = validation.Refused(
                    codes.BODY_MALFORMED, str(error)
                )
            self.abort()
        except asyncio.CancelledError:
            self.abort()
            raise

    async def send(self, data: bytes) -> None:
        """Send some bytes."""
        await self.writer.write(data)

    def abort(self) -> None:
        """Abort the upstream's connection."""
        if self.proto.transport is not None:
            self.proto.transport.abort()

    @property
    def finished(self) -> bool:
        """Return whether the whole body was sent."""
        task = self.task
        return task is not None and task.done() and not task.cancelled()
