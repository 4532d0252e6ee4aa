"""Datagrams between processes over UDP, for heartbeats and probes."""

import asyncio
import hashlib
import hmac
import typing

import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import freshness
from carawaystair import logs
from carawaystair import timeline
from carawaystair import traffic
from carawaystair import wire

# Stays below the usual path MTU, so that no datagram is cut in pieces.
MAX_BYTES = 1400
TAG_BYTES = 16
# At most one log line a second about refused datagrams: a stranger must not
# be able to fill the disk.
LOG_EVERY_S = 1.0

LOG = logs.get('datagrams')


def tag(key: bytes, data: bytes) -> bytes:
    """Return the authenticator of a datagram (keyed BLAKE2b)."""
    return hashlib.blake2b(data, key=key, digest_size=TAG_BYTES).digest()


class _Protocol(asyncio.DatagramProtocol):
    """Passes datagrams on to their owner."""

    def __init__(self, owner: 'Datagrams') -> None:
        self.owner = owner

    def datagram_received(self, data: bytes, _addr) -> None:
        self.owner.received(data)


class Datagrams(mode.Service):
    """The datagrams of one process.

    :param address: ``ip:port`` at which others reach this process.
    :param hybrid: the clock that travels with every datagram.
    :param keys: shared keys; the first signs, any verifies, so that keys can
        be changed without a stop.  Empty for none.
    :param bind: ``ip:port`` to bind where that is another one.
    """

    def __init__(
        self,
        address: str,
        hybrid: timeline.HybridClock | None = None,
        keys: typing.Sequence[bytes] = (),
        bind: str = '',
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.address = address
        self.bind = bind or address
        self.hybrid = hybrid or timeline.HybridClock()
        self.keys = tuple(keys)
        self.handlers: dict[type, typing.Callable] = {}
        self.endpoint: asyncio.DatagramTransport | None = None
        self.sent = 0
        self.sent_bytes = 0
        self.traffic = traffic.Traffic()
        self.fresh = freshness.Freshness()
        self.refused = 0
        self.strangers = 0
        self.replayed = 0
        self.logged = 0.0

    async def on_start(self) -> None:
        """Bind the socket."""
        ip, port = self.bind.rsplit(':', 1)
        loop = asyncio.get_running_loop()
        self.endpoint, _protocol = await loop.create_datagram_endpoint(
            lambda: _Protocol(self), local_addr=(ip, int(port))
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self.endpoint is not None:
            self.endpoint.close()

    def use(self, keys: typing.Sequence[bytes]) -> None:
        """Take other keys, as the constructor does."""
        self.keys = tuple(keys)

    def handle(self, kind: type, handler: typing.Callable) -> None:
        """Give datagrams of ``kind`` to ``handler(sender, message)``."""
        self.handlers[kind] = handler

    def send(self, to: str, message) -> None:
        """Send one message in one datagram; it may be lost."""
        data = wire.encode(message, self.address, 0, False, self.hybrid.tick())
        if self.keys:
            data = tag(self.keys[0], data) + data
        if len(data) > MAX_BYTES or self.endpoint is None:
            self.refused += 1
            return
        ip, port = to.rsplit(':', 1)
        self.endpoint.sendto(data, (ip, int(port)))
        self.sent += 1
        self.sent_bytes += len(data)
        self.traffic.count(type(message), to, len(data))

    def received(self, data: bytes) -> None:
        """Check, decode and hand over one datagram."""
        if self.keys:
            mark, data = data[:TAG_BYTES], data[TAG_BYTES:]
            if not self._authentic(mark, data):
                self.strangers += 1
                self._refuse('wrong authenticator')
                return
        found = wire.read(data)
        if isinstance(found, codes.Failure):
            self._refuse(found.sentence())
            return
        header = found.header
        # Without a key anyone could name any sender.
        if self.keys and not self.fresh.accept(header.sender, header.time):
            self.replayed += 1
            self._refuse('sent again, long after its time')
            return
        self.hybrid.merge(header.time)
        handler = self.handlers.get(type(found.message))
        if handler is not None:
            handler(header.sender, found.message)

    def _authentic(self, mark: bytes, data: bytes) -> bool:
        """Tell whether any key accounts for an authenticator."""
        return any(
            hmac.compare_digest(mark, tag(key, data)) for key in self.keys
        )

    def _refuse(self, why: str) -> None:
        self.refused += 1
        if clock.now() - self.logged >= LOG_EVERY_S:
            self.logged = clock.now()
            LOG.warning('Refused a datagram.', why=why, total=self.refused)
