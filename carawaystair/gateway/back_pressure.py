"""Distinguishes a node that reads slowly from one that is lost.

A node that does not read closes the TCP window of its connection.  The
system's timeout for unacknowledged data counts a closed window like a lost
host, although the peer's system answers each probe of the window.

So the node that reads a long answer sends heartbeats meanwhile: blank lines,
which HTTP skips before a request.  The gateway that writes it offers this in
the head of the answer.  From the first heartbeat on, it relies on them
instead of the system's timeout, until the connection carries the next
request.  Peers of earlier versions send none, and the system's timeout holds.
"""

import asyncio

from carawaystair import clock
from carawaystair.gateway import send_attempts
from carawaystair import logs
from carawaystair.request import exchange as exchanges
from carawaystair.request import http_server

# Offers a node to send heartbeats while it reads the answer.
OFFER = b'%b: 1\r\n' % send_attempts.HEARTBEATS
# A reader that has sent no heartbeat and taken no data for this time is lost,
# seconds: the system's timeout and one interval.
LOST_S = (
    send_attempts.UNACKNOWLEDGED_TIMEOUT_S + send_attempts.HEARTBEAT_INTERVAL_S
)
# While there is nothing to send, a process that is merely suspended for a
# while loses nothing, seconds.
LOST_IDLE_S = 4.0
# The system's timeout while heartbeats are sent, seconds.  It bounds what is
# left after the last of them.
RELAXED_TIMEOUT_S = 2 * exchanges.CALLER_STALL_TIMEOUT_S

LOG = logs.get('gateway')


class PeerWatch:
    """Aborts a connection between nodes once its reader is lost.

    :param connection: the connection that a long answer is written to.
    """

    def __init__(self, connection: http_server.Connection) -> None:
        self.connection = connection
        self.unsent_bytes = 0
        # When it last took data; when a heartbeat was received, if ever.
        self.progress_at = clock.now()
        self.heard_at: float | None = None
        self.ended = False
        self.timer: asyncio.TimerHandle | None = None
        connection.peer_watch = self
        self._set_timer()

    def heard(self) -> None:
        """Note a heartbeat."""
        if self.heard_at is None:
            http_server.set_user_timeout(
                self.connection.transport, RELAXED_TIMEOUT_S
            )
        self.heard_at = clock.now()

    def end(self) -> None:
        """Note that the whole answer was written.

        The reader is watched on until it has taken what is buffered here.
        """
        self.ended = True

    def close(self) -> None:
        """Return to the system's timeout: all that was sent has arrived."""
        self.connection.peer_watch = None
        if self.timer is not None:
            self.timer.cancel()
        if self.heard_at is not None and self.connection.open:
            http_server.set_user_timeout(
                self.connection.transport,
                self.connection.bounds.ack_timeout_s,
            )

    def _set_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            send_attempts.HEARTBEAT_INTERVAL_S, self._check
        )

    def _check(self) -> None:
        self.timer = None
        if not self.connection.open and not self._closing_with_data():
            return
        now = clock.now()
        unsent = self.connection.transport.get_write_buffer_size()
        if unsent != self.unsent_bytes:
            self.unsent_bytes, self.progress_at = unsent, now
        if self.ended and not unsent:
            return
        if self.heard_at is not None and is_lost(
            now - max(self.heard_at, self.progress_at), unsent
        ):
            LOG.warning('The reader of an answer is lost.', unsent=unsent)
            self.connection.transport.abort()
            return
        self._set_timer()

    def _closing_with_data(self) -> bool:
        transport = self.connection.transport
        return transport is not None and transport.get_write_buffer_size() > 0


def is_lost(silent_s: float, unsent_bytes: int) -> bool:
    """Return whether a reader counts as lost.

    :param silent_s: time since its last heartbeat or progress, seconds.
    :param unsent_bytes: bytes that it has not taken yet.
    """
    return silent_s > (LOST_S if unsent_bytes else LOST_IDLE_S)
