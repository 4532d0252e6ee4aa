"""Writes answers to callers and nodes, long ones while they arrive."""

import aiohttp
from aiohttp import http_exceptions

from carawaystair import codes
from carawaystair.gateway import answer_memory
from carawaystair.gateway import pacer
from carawaystair.gateway import spool as spools
from carawaystair.request import answer as answers
from carawaystair.request import errors
from carawaystair.request import exchange as exchanges
from carawaystair.request import headers

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
    source: spools.Source,
    answer: answers.Answer,
    exchange: exchanges.Exchange,
    held: answer_memory.HeldAnswer,
    extra_headers: bytes = b'',
    throttle: pacer.Throttle = pacer.UNTHROTTLED,
) -> str:
    """Stream a long answer; return why it was interrupted, or ''.

    An incomplete answer must not look complete, so the connection is aborted.

    :param source: the rest of its body; not closed here.
    :param held: counts what is held of it.
    :param extra_headers: header lines to add.
    :param throttle: limits the rate.
    """
    length = headers.value(answer.headers, b'content-length')
    try:
        # Buffering a long answer until its turn would take unbounded memory.
        await exchange.request.wait_turn()
        source.start(held)
        exchange.begin_answer(
            answer, None if length is None else int(length), extra_headers
        )
        writer = exchange.request.writer
        held.take(len(answer.body))
        await _write(answer.body, exchange, held, throttle)
        while data := await source.read():
            await _write(data, exchange, held, throttle)
        if writer.chunked:
            await writer.write_eof()
        return ''
    except CONNECTION_ERRORS as error:
        exchange.abort()
        return '%s: %s' % (codes.ANSWER_LOST.label, errors.describe(error))


async def _write(
    data: bytes,
    exchange: exchanges.Exchange,
    held: answer_memory.HeldAnswer,
    throttle: pacer.Throttle,
) -> None:
    async for chunk in throttle.chunks(data):
        await exchange.request.writer.write(chunk, drain=False)
        await held.wait_drained()
        held.give(len(chunk))
