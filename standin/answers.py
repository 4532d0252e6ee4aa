"""What a stand-in upstream sends back, whole or spoilt."""

import asyncio
import socket
import struct

from aiohttp import web

from standin import content
from standin import faults

CHUNK_BYTES = 64 * 1024
# SO_LINGER on with 0 s: a close sends a reset instead of a plain end.
LINGER_RESET = struct.pack('ii', 1, 0)


def reset(request: web.Request) -> None:
    """Reset the connection that a request came on."""
    if request.transport is None:
        return
    sock = request.transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    request.transport.abort()


def ranged(request: web.Request, tag: str, size: int) -> slice | None:
    """Return the part that a request asks for (RFC 9110, 13.1.5 and 14.2).

    :return: None when the whole is to be sent.
    """
    if 'Range' not in request.headers:
        return None
    if request.headers.get('If-Range', tag) != tag:
        return None
    try:
        part = request.http_range
    except ValueError:
        return None
    start, stop, _step = part.indices(size)
    return slice(start, stop) if start < stop else None


def bundle(
    request: web.Request, name: str, size: int, revision: int
) -> tuple[web.StreamResponse, bytes]:
    """Return the head and body of the answer about a bundle."""
    body = content.bundle(name, size, revision)
    tag = content.etag(name, size, revision)
    headers = {'ETag': tag, 'Accept-Ranges': 'bytes'}
    part = ranged(request, tag, size)
    if part is None:
        return web.StreamResponse(headers=headers), body
    headers['Content-Range'] = 'bytes %d-%d/%d' % (
        part.start,
        part.stop - 1,
        size,
    )
    return web.StreamResponse(status=206, headers=headers), body[part]


async def send(
    request: web.Request,
    response: web.StreamResponse,
    body: bytes,
    fate: str,
    bytes_per_s: float = 0.0,
) -> None:
    """Send an answer, or as much of it as its fate allows.

    :param bytes_per_s: pace of the transfer, 0 for as fast as it goes.
    """
    try:
        await write(request, response, body, fate, bytes_per_s)
    except ConnectionError:
        # The caller is gone; the run counts all the same.
        pass


async def write(
    request: web.Request,
    response: web.StreamResponse,
    body: bytes,
    fate: str,
    bytes_per_s: float,
) -> None:
    """Send as :func:`send` does; raises when the caller is gone."""
    response.content_length = len(body)
    await response.prepare(request)
    if request.method == 'HEAD':
        return
    spoilt = fate in (faults.RESET, faults.TRUNCATE, faults.STALL)
    end = len(body) // 2 if spoilt else len(body)
    for start in range(0, end, CHUNK_BYTES):
        chunk = body[start : min(start + CHUNK_BYTES, end)]
        await response.write(chunk)
        if bytes_per_s:
            await asyncio.sleep(len(chunk) / bytes_per_s)
    if fate == faults.STALL:
        await asyncio.Event().wait()
    if fate == faults.TRUNCATE:
        request.transport.close()
    if fate == faults.RESET:
        reset(request)
