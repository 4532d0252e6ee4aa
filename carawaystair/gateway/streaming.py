"""Passes a long answer on, as fast as the other side takes it."""

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

# An answer that stands still for so long in its middle has broken off,
# seconds.  Links lose packets for some seconds and recover; upstreams that
# answer at all send what they have at once.
STALL_S = 8.0
BROKEN = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
    TimeoutError,
)


async def whole(
    answer: answers.Answer,
    exchange: exchanges.Exchange,
    extra: bytes,
    way: pacer.Throttle,
) -> None:
    """Write an answer that is held whole.

    :param extra: header lines to add.
    :param way: the way to the caller.
    """
    data = exchange.encode_answer(answer, codes.OK, extra)
    async for piece in way.pieces(data):
        exchange.write(piece)
        await exchange.wait_drained()


async def pass_on(
    attempt: attempts.Attempt,
    answer: answers.Answer,
    exchange: exchanges.Exchange,
    extra: bytes = b'',
    way: pacer.Throttle = pacer.UNTHROTTLED,
) -> str:
    """Pass a long answer on; return why it broke off, or nothing.

    A broken answer must never look whole, so the caller's connection is cut.

    :param extra: header lines to add.
    :param way: the way to the caller.
    """
    length = headers.value(answer.headers, b'content-length')
    whole = False
    try:
        # Held back, a long answer would take memory without a bound.
        await exchange.request.wait_turn()
        exchange.begin_answer(
            answer, None if length is None else int(length), extra
        )
        writer = exchange.request.writer
        await _write(answer.body, exchange, way)
        payload = attempt.payload
        while not payload.at_eof():
            async with asyncio.timeout(STALL_S):
                chunk = await payload.readany()
            await _write(chunk, exchange, way)
        if writer.chunked:
            await writer.write_eof()
        whole = True
        return ''
    except BROKEN as error:
        exchange.abort()
        return '%s: %s' % (codes.ANSWER_LOST.label, error)
    finally:
        if whole:
            attempt.release_connection(clock.now())
        else:
            attempt.abort()


async def _write(
    data: bytes, exchange: exchanges.Exchange, way: pacer.Throttle
) -> None:
    async for piece in way.pieces(data):
        await exchange.request.writer.write(piece, drain=False)
        await exchange.wait_drained()
