"""Writes answers to callers and nodes, long ones while they arrive."""

import asyncio

import aiohttp
from aiohttp import http_exceptions

from carawaystair import clock
from carawaystair import codes
from carawaystair.gateway import pacer
from carawaystair.request import answer as answers
from carawaystair.request import attempt as attempts
from carawaystair.request import exchange as exchanges
from carawaystair.request import headers

# An answer that makes no progress for this time is taken to be interrupted,
# seconds.  Links recover from packet loss within some seconds, and an upstream
# that has begun to answer sends its data without long pauses.
STALL_TIMEOUT_S = 8.0
CONNECTION_ERRORS = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
    TimeoutError,
)


async def write_whole(
    answer: answers.Answer,
    exchange: exchanges.Exchange,
    extra_headers: bytes,
    throttle: pacer.Throttle,
) -> None:
    """Write an answer that is buffered whole.

    :param extra_headers: header lines to add.
    :param throttle: limits the rate.
    """
    data = exchange.encode_answer(answer, codes.OK, extra_headers)
    async for chunk in throttle.chunks(data):
        exchange.write(chunk)
        await exchange.wait_drained()


async def stream(
    attempt: attempts.Attempt,
    answer: answers.Answer,
    exchange: exchanges.Exchange,
    extra_headers: bytes = b'',
    throttle: pacer.Throttle = pacer.UNTHROTTLED,
) -> str:
    """Stream a long answer; return why it was interrupted, or ''.

    An incomplete answer must not look complete, so the connection is aborted.

    :param extra_headers: header lines to add.
    :param throttle: limits the rate.
    """
    length = headers.value(answer.headers, b'content-length')
    complete = False
    try:
        # Buffering a long answer until its turn would take unbounded memory.
        await exchange.request.wait_turn()
        exchange.begin_answer(
            answer, None if length is None else int(length), extra_headers
        )
        writer = exchange.request.writer
        await _write(answer.body, exchange, throttle)
        payload = attempt.payload
        while not payload.at_eof():
            async with asyncio.timeout(STALL_TIMEOUT_S):
                chunk = await payload.readany()
            await _write(chunk, exchange, throttle)
        if writer.chunked:
            await writer.write_eof()
        complete = True
        return ''
    except CONNECTION_ERRORS as error:
        exchange.abort()
        return '%s: %s' % (codes.ANSWER_LOST.label, error)
    finally:
        if complete:
            attempt.release_connection(clock.now())
        else:
            attempt.abort()


async def _write(
    data: bytes, exchange: exchanges.Exchange, throttle: pacer.Throttle
) -> None:
    async for chunk in throttle.chunks(data):
        await exchange.request.writer.write(chunk, drain=False)
        await exchange.wait_drained()
