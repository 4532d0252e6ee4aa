"""Streams long answers to callers, and resumes them at other upstreams.

With back-pressure, the upstream is read only as fast as the caller reads, so
that a transfer uses bounded memory.  When the answer breaks off, the rest is
requested from another upstream with ``Range`` and ``If-Range`` (RFC 9110
13.1.5), which is safe only if both have the same strong ETag.  Otherwise, the
caller's connection is aborted: an incomplete answer must never look complete.
"""

import asyncio
import re
import typing

import aiohttp
from aiohttp import http_exceptions

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.request import answer as answers
from carawaystair.request import attempt as attempts
from carawaystair.request import call as calls
from carawaystair.request import exchange as exchanges
from carawaystair.request import headers
from carawaystair.request import shared_permit as shared_permits

# An answer that can be resumed counts as broken off when the upstream sends
# nothing for this time.
RESUMABLE_STALL_S = 2.0
# The same for an answer that can't be resumed.
STALL_TIMEOUT_S = 30.0
MAX_RESUMES = 5
# How long a resume waits for the retry budget, and how often it is checked.
BUDGET_WAIT_S = 2.0
BUDGET_POLL_S = 0.1
CONTENT_RANGE = re.compile(rb'bytes (\d+)-(\d+)/(\d+)')
UPSTREAM_ERRORS = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
    TimeoutError,
)


class ByteRange(typing.NamedTuple):
    """The bytes of a representation that an answer carries.

    :param start: offset of the first byte.
    :param end: offset after the last byte, None while unknown.
    :param tag: the strong ETag, or empty when the answer can't be resumed.
    """

    start: int
    end: int | None
    tag: bytes


class TransferError(Exception):
    """Raised when the caller reads nothing, or would get wrong bytes."""


def byte_range(call: calls.Call, answer: answers.Answer) -> ByteRange:
    """Return the range of bytes that an answer carries."""
    tag = headers.value(answer.headers, b'etag') or b''
    plain = call.method == 'GET' and call.idempotent
    if not plain or not tag.startswith(b'"'):
        tag = b''
    length = headers.value(answer.headers, b'content-length')
    end = None if length is None else int(length)
    if answer.status == 200:
        return ByteRange(0, end, tag)
    part = CONTENT_RANGE.fullmatch(
        headers.value(answer.headers, b'content-range') or b''
    )
    if answer.status != 206 or part is None:
        return ByteRange(0, end, b'')
    return ByteRange(int(part[1]), int(part[2]) + 1, tag)


class Transfer:
    """Streams one long answer to the caller.

    :param sender: starts and ends attempts.
    :param call: the request.
    :param answer: the beginning of the answer.
    :param exchange: writes to the caller.
    :param permit: the permit of the request, if it has one.
    """

    def __init__(
        self,
        sender: typing.Any,
        call: calls.Call,
        answer: answers.Answer,
        exchange: exchanges.Exchange,
        permit: shared_permits.SharedPermit | None,
    ) -> None:
        self.sender = sender
        self.call = call
        self.answer = answer
        self.exchange = exchange
        self.permit = permit
        self.range = byte_range(call, answer)
        self.attempt: attempts.Attempt | None = answer.rest
        self.bytes_sent = 0
        self.tried: list[str] = []

    async def run(self) -> bool:
        """Stream the answer.

        :return: whether it is complete; if not, the caller's connection was
            aborted.
        """
        length = headers.value(self.answer.headers, b'content-length')
        try:
            self.exchange.begin_answer(
                self.answer, None if length is None else int(length)
            )
            await self._write(self.answer.body)
            await self._stream()
            return True
        except UPSTREAM_ERRORS:
            self.exchange.abort()
            return False
        except TransferError:
            self.exchange.abort()
            return False
        finally:
            # The caller has left or stopped reading: cancel the request.
            if self.attempt is not None:
                self.sender.cancel(
                    self.attempt, interfaces.CANCELLED, self.permit
                )

    async def _stream(self) -> None:
        while True:
            try:
                await self._read()
            except UPSTREAM_ERRORS as error:
                self._record_broken(error)
                if not await self._resume():
                    raise
            else:
                break
        if self.range.end is not None and self._next_byte < self.range.end:
            raise ConnectionError('fewer bytes than were announced')
        if self.attempt is not None:
            self.sender.finish(self.attempt)
            self.attempt = None
        if self.exchange.request.writer.chunked:
            await self.exchange.request.writer.write_eof()

    async def _read(self) -> None:
        """Stream the answer of the current attempt to its end."""
        if self.attempt is None:
            return
        payload = self.attempt.payload
        stall_s = RESUMABLE_STALL_S if self.range.tag else STALL_TIMEOUT_S
        while not payload.at_eof():
            async with asyncio.timeout(stall_s):
                chunk = await payload.readany()
            await self._write(chunk)

    async def _write(self, chunk: bytes) -> None:
        self.bytes_sent += len(chunk)
        if self.range.end is not None and self._next_byte > self.range.end:
            raise TransferError('more bytes than were announced')
        try:
            await self.exchange.request.writer.write(chunk, drain=False)
            await self.exchange.wait_drained()
        except ConnectionError as error:
            raise TransferError(str(error)) from error

    # Resuming

    def _record_broken(self, error: BaseException) -> None:
        """Record that the answer of the current attempt broke off."""
        attempt, self.attempt = self.attempt, None
        stalled = isinstance(error, TimeoutError)
        outcome = interfaces.TIMEOUT if stalled else interfaces.BROKEN
        now = clock.now()
        self.sender.report_evidence(attempt, outcome, now - attempt.started)
        attempt.target.observe(1.0, now)
        if not stalled:
            call = self.call
            self.sender.crash_detector.connection_broke(
                attempt.target, call.digest, call.id
            )
        self.tried.append(attempt.target.upstream.id)
        self.sender.abort(attempt)

    async def _resume(self) -> bool:
        """Request the rest elsewhere; return whether an upstream sends it."""
        if not self.range.tag:
            return False
        while len(self.tried) <= MAX_RESUMES:
            target = self._target()
            if target is None or not await self._wait_budget():
                return False
            if await self._request_rest(target):
                return True
            self.tried.append(target.upstream.id)
        return False

    def _target(self):
        selector = self.sender.selector
        target = selector.choose(self.call, self.tried)
        return target or selector.choose(self.call)

    async def _wait_budget(self) -> bool:
        """Wait for the retry budget; return whether a resume is allowed."""
        if not self.sender.quarantine.may_retry(self.call.digest):
            return False
        budget = self.sender.budget(self.call.service)
        until = clock.now() + BUDGET_WAIT_S
        while not budget.spend():
            if clock.now() >= until:
                return False
            await asyncio.sleep(BUDGET_POLL_S)
        return True

    async def _request_rest(self, target) -> bool:
        """Request the rest from one upstream; return whether it sends it."""
        timeout_s = self.call.match.service.timeout_ms / 1000
        call = self.call._replace(
            head=without_conditions(self.call.head),
            deadline=clock.now() + timeout_s,
        )
        end = '' if self.range.end is None else self.range.end - 1
        extra = 'Range: bytes=%d-%s\r\nIf-Range: ' % (self._next_byte, end)
        attempt = self.sender.start(
            call, target, extra.encode() + self.range.tag + b'\r\n'
        )
        try:
            await self.sender.dispatch(attempt)
            answer = await attempt.answer(clock.now() + RESUMABLE_STALL_S)
        except TimeoutError:
            self.sender.cancel(attempt, interfaces.TIMEOUT)
            return False
        except answers.Failed as failed:
            self.sender.fail(attempt, failed)
            return False
        except BaseException:
            self.sender.cancel(attempt, interfaces.CANCELLED, self.permit)
            raise
        self.sender.complete(attempt, answer)
        if not self._continues(call, answer):
            if answer.rest is not None:
                self.sender.abort(attempt)
            return False
        self.attempt = answer.rest
        await self._write(answer.body)
        return True

    @property
    def _next_byte(self) -> int:
        """Return the offset of the next byte for the caller."""
        return self.range.start + self.bytes_sent

    def _continues(self, call: calls.Call, answer: answers.Answer) -> bool:
        """Return whether an answer is exactly the rest for the caller."""
        if answer.status != 206:
            return False
        rest = byte_range(call, answer)
        if rest.tag != self.range.tag or rest.start != self._next_byte:
            return False
        if self.range.end is None:
            part = headers.value(answer.headers, b'content-range')
            total = int(CONTENT_RANGE.fullmatch(part)[3])
            self.range = self.range._replace(end=total)
        encoding = headers.value(answer.headers, b'content-encoding')
        first = headers.value(self.answer.headers, b'content-encoding')
        return rest.end == self.range.end and encoding == first


def without_conditions(head: bytes) -> bytes:
    """Return a request head without the caller's range and conditions."""
    first, *rest = head.split(b'\r\n')
    kept = (
        line
        for line in rest
        if not line.lower().startswith((b'range:', b'if-'))
    )
    return b'\r\n'.join((first, *kept))
