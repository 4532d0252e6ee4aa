"""The body of a caller's request: held here, or passed on as it comes."""

import asyncio
import typing

from aiohttp import http
from aiohttp import streams

from carawaystair import codes
from carawaystair.request import call as calls
from carawaystair.request import errors
from carawaystair.request import http_server
from carawaystair.request import validation

# Bodies up to this length are held before anything is sent: a slow caller
# then takes up no upstream, and the request can be tried again.
MAX_BUFFERED_BYTES = 64 * 1024
# Of longer ones so much is read first, which tells them apart.
PREFIX_BYTES = 16 * 1024
# Bodies of keyed requests are held complete, because the key stands for what
# the body says; all of them together may take this much memory.
MAX_KEYED_BYTES = 64 * 1024 * 1024
# Methods that get no Content-Length: 0 when there is no body.
BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))

BODY_ERRORS = (errors.BodyError, ConnectionError)


class PartialBody(typing.NamedTuple):
    """A body as far as it was read.

    :param data: its bytes.
    :param complete: whether they are all.
    """

    data: bytes
    complete: bool


class KeyedBodies:
    """Holds complete the bodies of keyed requests, in bounded memory."""

    def __init__(self) -> None:
        self.bytes = 0

    async def read(
        self,
        content: streams.StreamReader,
        length: int | None,
        limit: int,
        deadline: float,
    ) -> bytes:
        """Read a body complete; raises :class:`validation.Refused`.

        :param length: its length, None when it comes in chunks.
        :param limit: bytes at most.
        """
        # What a body in chunks will need is not known: it must fit whatever
        # it turns out to be.
        most = limit if length is None else length
        if self.bytes + most > MAX_KEYED_BYTES:
            raise validation.Refused(codes.MEMORY_FULL)
        self.bytes += most
        try:
            body = await read(content, limit, limit, deadline)
        finally:
            self.bytes -= most
        self.bytes += len(body.data)
        return body.data

    def release(self, body: bytes) -> None:
        """Forget a body."""
        self.bytes -= len(body)


def declared_length(request: http_server.Request) -> int | None:
    """Return the length of a request's body, None when it is in chunks."""
    length = request.headers.get('Content-Length')
    if length is not None:
        return int(length)
    return None if 'Transfer-Encoding' in request.headers else 0


def check_length(length: int | None, limit: int) -> None:
    """Refuse a body that declares to be longer than its service allows."""
    if length is not None and length > limit:
        raise validation.Refused(codes.BODY_TOO_LARGE, '%d bytes' % length)


def expects_continue(request: http_server.Request) -> bool:
    """Tell whether the caller waits for ``100 Continue``."""
    value = request.headers.get('Expect')
    if value is None:
        return False
    if value.lower() != '100-continue':
        raise validation.Refused(codes.EXPECTATION_UNKNOWN)
    return request.version >= http.HttpVersion11


async def read_start(
    content: streams.StreamReader, limit: int, deadline: float
) -> PartialBody:
    """Read a body, or as much of a long one as is held."""
    if content.is_eof():
        data = content.read_nowait(-1)
        if len(data) > limit:
            raise validation.Refused(codes.BODY_TOO_LARGE)
        return PartialBody(data, True)
    return await read(content, MAX_BUFFERED_BYTES, limit, deadline)


async def read(
    content: streams.StreamReader, enough: int, limit: int, deadline: float
) -> PartialBody:
    """Read a body; raises :class:`validation.Refused`.

    :param enough: stop when more bytes than this are here.
    :param limit: bytes at most.
    :param deadline: monotonic time by which they must be here.
    """
    chunks = []
    size = 0
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
    """Return the end of a head.

    :param length: bytes of the body, None when it comes in chunks.
    """
    if length is None:
        return b'Transfer-Encoding: chunked\r\n\r\n'
    return b'Content-Length: %d\r\n\r\n' % length


class Source(typing.NamedTuple):
    """A body that is passed on as it comes.

    :param stream: where it is read from.
    :param length: its length, None when it comes in chunks.
    :param prefix: the part that was read already.
    :param limit: bytes at most.
    """

    stream: streams.StreamReader
    length: int | None
    prefix: bytes
    limit: int


def source(call: calls.Call) -> Source:
    """Return the body of a request that is not held here."""
    limit = call.match.service.max_body
    return Source(call.stream, call.length, call.body_prefix, limit)


class Pump:
    """Passes a body on to an upstream, as fast as that takes it.

    :param source: the body.
    :param proto: the upstream's connection.
    """

    def __init__(self, source: Source, proto) -> None:
        self.source = source
        self.proto = proto
        self.writer = http.StreamWriter(proto, asyncio.get_running_loop())
        self.task: asyncio.Task | None = None
        # What went wrong on the caller's side, if anything did.
        self.refusal: validation.Refused | None = None

    def framing(self) -> bytes:
        """Return the end of the head, which tells how long the body is."""
        return framing(self.source.length)

    def start(self) -> None:
        """Send the body from a task of its own; the head has gone out."""
        if self.source.length is None:
            self.writer.enable_chunking()
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Pass the body on; on any fault the connection is cut.

        Cutting it is what keeps an upstream from taking half a body for a
        complete one.
        """
        limit = self.source.limit
        passed = len(self.source.prefix)
        content = self.source.stream
        try:
            if passed:
                await self.send(self.source.prefix)
            while not content.at_eof():
                chunk = await content.readany()
                passed += len(chunk)
                if passed > limit:
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
        """Pass some bytes on."""
        await self.writer.write(data)

    def abort(self) -> None:
        """Break the upstream's connection."""
        if self.proto.transport is not None:
            self.proto.transport.abort()

    @property
    def finished(self) -> bool:
        """Tell whether the complete body was passed on."""
        task = self.task
        return task is not None and task.done() and not task.cancelled()
