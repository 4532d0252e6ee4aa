"""Hands over what arrives on a socket of pyzmq, within asyncio.

The asynchronous sockets of pyzmq make futures and callbacks for each message
that comes or goes, which cost more than all else that a node does while many
hosts start.
"""

import asyncio
import typing

import zmq

# Messages taken in one turn of the event loop; others wait meanwhile.
BURST = 50
# As plain numbers: enumerations are slow to combine.
_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)
_DONTWAIT = int(zmq.DONTWAIT)

Take = typing.Callable[['Reader', list[bytes]], None]
Failed = typing.Callable[[BaseException], None]


class Reader:
    """One socket and who takes what arrives on it.

    The descriptor of a socket wakes up once, when something is to be done,
    and each send may take that wakeup for itself: an answer that arrived
    just before would lie unread.  So whoever sends has to look, too.

    :param socket: a socket that does not know of asyncio.
    :param take: called with the reader and the frames of each message.
    :param failed: called when that raises; nothing is read any more.
    """

    def __init__(self, socket: zmq.Socket, take: Take, failed: Failed) -> None:
        self.socket = socket
        self.take = take
        self.failed = failed
        self.loop = asyncio.get_running_loop()
        self.descriptor = socket.getsockopt(zmq.FD)
        self.closed = False
        # Whether it will read in a later turn of the event loop.
        self.soon = False
        self.loop.add_reader(self.descriptor, self._read)
        self._look()

    def send(self, frames: typing.Sequence[bytes]) -> bool:
        """Send one message; tell whether there was room for it."""
        try:
            self.socket.send_multipart(frames, _DONTWAIT)
        except zmq.ZMQError:
            return False
        finally:
            self._look()
        return True

    def close(self) -> None:
        """Read no more and close the socket."""
        if not self.closed:
            self.closed = True
            self.loop.remove_reader(self.descriptor)
            self.socket.close(0)

    def _look(self) -> None:
        """Read soon, if something is there."""
        if not self.closed and not self.soon and self._waits():
            self.soon = True
            self.loop.call_soon(self._read)

    def _waits(self) -> bool:
        return bool(self.socket.getsockopt(_EVENTS) & _POLLIN)

    def _read(self) -> None:
        """Take what is there, but let others have their turn."""
        self.soon = False
        try:
            for _message in range(BURST):
                if self.closed or not self._waits():
                    return
                self.take(self, self.socket.recv_multipart(_DONTWAIT))
        except Exception as error:
            self.close()
            self.failed(error)
            return
        self._look()
