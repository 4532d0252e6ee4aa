"""A crowd of clients that don't behave, as a process of its own.

``python -m standin.crowd KIND IP:PORT CONNECTIONS [PATH]``: each connection
sends what its kind says, as fast as it is taken, and is opened again when it
is closed.  PATH is that of heartbeats.  The crowd goes on until the process is
ended.
"""

import asyncio
import contextlib
import itertools
import sys
import typing

PIECE = 64 * 1024
RETRY_S = 0.05
TRICKLE_S = 1.0

Parts = typing.Iterator[bytes]


class Kind(typing.NamedTuple):
    """What one connection of a crowd sends.

    :param parts: returns the parts, perhaps without end.
    :param trickles: whether it then sends a byte each ``TRICKLE_S``.
    :param reads: whether it reads its answers.
    """

    parts: typing.Callable[[], Parts]
    trickles: bool = False
    reads: bool = True


def head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request."""
    first = '%s %s HTTP/1.1' % (method, path), 'Host: shop.example'
    return '\r\n'.join((*first, *lines, '', '')).encode()


def chunked(size: int) -> bytes:
    """Return one chunk."""
    return b'%x\r\n%b\r\n' % (size, bytes(size))


def _order(*lines: str) -> bytes:
    return head('POST', '/orders/x', *lines)


LOOKUP = head('GET', '/lookups/x')
CHUNKS = _order('Transfer-Encoding: chunked')


def _endless(first: bytes, rest: bytes) -> typing.Callable[[], Parts]:
    return lambda: itertools.chain((first,), itertools.repeat(rest))


def _stops(first: bytes, part: bytes, size: int) -> Kind:
    """Return a kind that stops short after ``size`` bytes on the wire."""
    count = max(size // len(part), 1)
    return Kind(
        lambda: itertools.chain((first,), itertools.repeat(part, count))
    )


# The beginning of a connection between processes (ZMTP 3.0, as a DEALER), up
# to the length of its first frame.
GREETING = b'\xff' + bytes(8) + b'\x7f\x03\x00NULL' + bytes(16 + 1 + 31)
READY = b'\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER'
FRAME = b''.join((GREETING, b'\x04', bytes((len(READY),)), READY, b'\x02'))
ONE_BYTE_CHUNKS = chunked(1) * (PIECE // 8)
HEADS = b''.join(
    b'X-%d: %b\r\n' % (n, bytes(64).hex().encode()) for n in range(400)
)


def kinds(path: str) -> dict[str, Kind]:
    """Return all kinds by name.

    :param path: of heartbeats.
    """
    heartbeat = head('PUT', path, 'Transfer-Encoding: chunked')
    return {
        'silent': Kind(lambda: iter(())),
        'blank-lines': Kind(_endless(b'\r\n', b'\r\n' * (PIECE // 2))),
        'newlines': Kind(_endless(b'\n', b'\n' * PIECE)),
        'long-line': Kind(_endless(b'GET /', b'x' * PIECE)),
        'many-lines': Kind(_endless(head('GET', '/')[:-2], HEADS)),
        'stops-short': _stops(CHUNKS, chunked(PIECE), 1024**2),
        'stops-late': _stops(CHUNKS, chunked(PIECE), 8 * 1024**2),
        'byte-chunks': _stops(CHUNKS, ONE_BYTE_CHUNKS, 5 * 1024**2),
        'few-byte-chunks': _stops(CHUNKS, ONE_BYTE_CHUNKS, 180 * 1024),
        'line-ends': _stops(
            CHUNKS,
            b'10000\r\n' + b'\r\n' * (PIECE // 2) + b'\r\n',
            8 * 1024**2,
        ),
        'announced': Kind(
            _endless(_order('Content-Length: 10737418240'), bytes(PIECE))
        ),
        'endless': Kind(_endless(CHUNKS, chunked(PIECE))),
        'trickle': _stops(
            _order('Content-Length: 62914560'), bytes(PIECE), 8 * 1024**2
        )._replace(trickles=True),
        'small-bodies': _stops(
            _order('Content-Length: 65000'), bytes(64000), 1
        ),
        'unread': Kind(_endless(b'', LOOKUP * 50), reads=False),
        'heartbeats': Kind(_endless(heartbeat, chunked(PIECE))),
        'many-heartbeats': Kind(
            _endless(
                b'',
                head('PUT', path, 'Content-Length: 0') * 50,
            )
        ),
        'huge-frame': Kind(
            _endless(FRAME + (2**40).to_bytes(8, 'big'), bytes(PIECE))
        ),
        'many-frames': Kind(
            _endless(FRAME[:-1], (b'\x01\xff' + bytes(255)) * (PIECE // 257))
        ),
        'large-frame': Kind(
            _endless(FRAME + (2**28).to_bytes(8, 'big'), bytes(PIECE))
        ),
    }


async def connection(kind: Kind, ip: str, port: int) -> None:
    """Send on one connection after another."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(ip, port)
            tasks = [asyncio.create_task(_send(kind, writer))]
            if kind.reads:
                tasks.append(asyncio.create_task(_discard(reader)))
            else:
                reader._transport.pause_reading()
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                writer.transport.abort()
        await asyncio.sleep(RETRY_S)


async def _discard(reader: asyncio.StreamReader) -> None:
    """Read until the other side closes."""
    while await reader.read(PIECE):
        pass


async def _send(kind: Kind, writer: asyncio.StreamWriter) -> None:
    """Send what a kind says, then stay."""
    for part in kind.parts():
        writer.write(part)
        await writer.drain()
    while True:
        await asyncio.sleep(TRICKLE_S)
        if kind.trickles:
            writer.write(b'x')
            await writer.drain()


async def crowd(kind: str, address: str, count: int, path: str) -> None:
    """Keep a number of connections going."""
    ip, _colon, port = address.rpartition(':')
    sent = kinds(path)[kind]
    await asyncio.gather(
        *(connection(sent, ip, int(port)) for _one in range(count))
    )


if __name__ == '__main__':
    arguments = [*sys.argv[1:], '/'][:4]
    asyncio.run(
        crowd(arguments[0], arguments[1], int(arguments[2]), arguments[3])
    )
