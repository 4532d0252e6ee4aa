"""What is received of a connection at once, by this process and the system.

All connections of a process share one buffer that they receive into.  By
default each receives into new memory of 256 KB, and what a parser leaves of
that is held for each connection.

The system, too, holds what arrives until it is read.  Without a bound of its
own that grows to some MB for each connection.
"""

import asyncio
import os
import socket
import ssl
import typing

# Most that is received at once, bytes.
READ_BYTES = 16 * 1024
VIEW = memoryview(bytearray(READ_BYTES))
# What the system is asked to hold of a connection, which it doubles.  Callers
# are near; nodes in other data centres need a longer window, and get what the
# system chooses.
NEAR_BYTES = 64 * 1024
SYSTEM_CHOICE = 0
# Connections that are accepted in one iteration of the event loop.  Those that
# are refused have their descriptors until the next one.
ACCEPTS = 16


class SharedBuffer(asyncio.BufferedProtocol):
    """Receives into the shared buffer; a base of protocols."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared buffer; it is read before the next callback."""
        return VIEW

    def buffer_updated(self, nbytes: int) -> None:
        """Hand over what was received."""
        self.data_received(bytes(VIEW[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take received data."""
        raise NotImplementedError


async def listen(
    factory: typing.Callable[[], asyncio.BaseProtocol],
    address: str,
    system_bytes: int,
    backlog: int = 100,
    tls: ssl.SSLContext | None = None,
) -> asyncio.Server:
    """Return a server that listens.

    :param factory: returns the protocol of a new connection.
    :param address: ``ip:port``.
    :param system_bytes: what the system is asked to hold of a connection;
        ``SYSTEM_CHOICE`` leaves that to it.
    :param backlog: connections that may wait to be accepted.
    :param tls: for connections with TLS.
    :raises OSError: when it can't be bound.
    """
    ip, _colon, port = address.rpartition(':')
    server = await asyncio.get_running_loop().create_server(
        factory, ip.strip('[]'), int(port), backlog=ACCEPTS, ssl=tls
    )
    for listening in server.sockets:
        with socket.socket(fileno=os.dup(listening.fileno())) as raw:
            raw.listen(backlog)
            if system_bytes:
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, system_bytes
                )
    return server
