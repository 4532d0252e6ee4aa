"""A caller that holds on to one connection until the process is gone.

A library opens another connection, and repeats what may be repeated, when a
kept one turns out closed.  A gateway that stops and closes connections with
requests on them would go unnoticed behind it.
"""

import asyncio
import http.client
import io
import typing

from soak import watch as watches
from standin import content

# A connection is made in this time, seconds; the platform's callers give it
# as long.
CONNECT_S = 1.0
HEAD_BYTES = 64 * 1024
# Pieces of a body that comes slowly, and bytes of each.
SLOW_PIECES = 5
SLOW_PIECE_BYTES = 1000


class Connection(typing.NamedTuple):
    """An open connection to a node.

    :param reader: what comes.
    :param writer: what goes.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """Sends one request after the other on one connection.

    :param address: ``ip:port`` of a node.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.connection: Connection | None = None

    async def ask(
        self, asked: watches.Asked, path: str, headers: dict[str, str]
    ) -> watches.Told:
        """Send a request; the connection stays unless the node ends it."""
        stays = False
        try:
            if self.connection is None:
                self.connection = await self._open()
            told, stays = await self._exchange(asked, path, headers)
        except (OSError, EOFError, ValueError, http.client.HTTPException):
            # Refused, closed or broken off before the whole answer came.
            return watches.Told(0)
        finally:
            if not stays:
                self.close()
        return told

    def close(self) -> None:
        """Let the connection go."""
        if self.connection is not None:
            self.connection.writer.close()
        self.connection = None

    async def _open(self) -> Connection:
        ip, _colon, port = self.address.rpartition(':')
        async with asyncio.timeout(CONNECT_S):
            opened = await asyncio.open_connection(
                ip, int(port), limit=HEAD_BYTES
            )
        return Connection(*opened)

    async def _exchange(
        self, asked: watches.Asked, path: str, headers: dict[str, str]
    ) -> tuple[watches.Told, bool]:
        """Return what came, and whether the connection may stay."""
        reader, writer = self.connection
        head = _head(asked, self.address, path, headers)
        if not asked.body_s:
            writer.write(head + b'x' * _body_size(asked))
            return await self._read(asked, reader)
        writer.write(head)
        sending = asyncio.ensure_future(_send_slowly(asked, writer))
        try:
            return await self._read(asked, reader)
        finally:
            sending.cancel()

    async def _read(
        self, asked: watches.Asked, reader: asyncio.StreamReader
    ) -> tuple[watches.Told, bool]:
        """Read an answer; see :meth:`_exchange`."""
        line = await reader.readuntil(b'\n')
        status = int(line.split()[1])
        head = http.client.parse_headers(
            io.BytesIO(await reader.readuntil(b'\r\n\r\n'))
        )
        told = watches.Told(
            status,
            head.get('Caraway-Outcome', ''),
            await _body(reader, head),
            head.get(content.MARKER, ''),
            asked.marker,
            code=head.get('Caraway-Code', ''),
            **watches.stated_in(head),
        )
        return told, head.get('Connection', '').lower() != 'close'


def _head(
    asked: watches.Asked, address: str, path: str, headers: dict[str, str]
) -> bytes:
    """Return the head of a request as it goes over the wire."""
    length = str(_body_size(asked))
    fields = {'Host': address, 'Content-Length': length, **headers}
    lines = ['%s %s HTTP/1.1' % (asked.method, path)]
    lines += ['%s: %s' % field for field in fields.items()]
    return '\r\n'.join([*lines, '', '']).encode()


def _body_size(asked: watches.Asked) -> int:
    """Return the bytes of the body of a request."""
    if asked.body_s:
        return SLOW_PIECES * SLOW_PIECE_BYTES
    return int(asked.method == 'POST')


async def _send_slowly(
    asked: watches.Asked, writer: asyncio.StreamWriter
) -> None:
    """Send the body of a request in pieces."""
    for _piece in range(SLOW_PIECES):
        await asyncio.sleep(asked.body_s / SLOW_PIECES)
        writer.write(b'x' * SLOW_PIECE_BYTES)


async def _body(reader: asyncio.StreamReader, head) -> bytes:
    """Return the body of an answer."""
    if head.get('Transfer-Encoding', '').lower() != 'chunked':
        length = head.get('Content-Length')
        if length is None:
            return await reader.read()
        return await reader.readexactly(int(length))
    pieces = []
    while size := int(await reader.readuntil(b'\r\n'), 16):
        pieces.append(await reader.readexactly(size))
        await reader.readuntil(b'\r\n')
    await reader.readuntil(b'\r\n')
    return b''.join(pieces)
