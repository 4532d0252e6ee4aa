"""Sends datagrams to many processes without blocking the event loop."""

import asyncio
import collections
import itertools
import typing

import mode

# Datagrams sent in one go, about a millisecond of work; then waiting requests
# get their turn.
BURST_DATAGRAMS = 40
PAUSE_S = 0.002
# Datagrams in the queue; the oldest are dropped, and later states repair the
# loss.
MAX_QUEUE = 20_000


class PacedSender(mode.Service):
    """Sends datagrams in bursts with pauses between them.

    :param transport: the datagrams of this process.
    """

    def __init__(self, transport: typing.Any, **kwargs) -> None:
        super().__init__(**kwargs)
        self.transport = transport
        self.queue = collections.deque(maxlen=MAX_QUEUE)
        self.wake = asyncio.Event()
        self.sent = 0

    def send(self, addresses: typing.Iterable[str], messages) -> None:
        """Send messages to each address, the first burst at once."""
        pairs = [
            (address, message) for address in addresses for message in messages
        ]
        now = [] if self.queue else pairs[:BURST_DATAGRAMS]
        for address, message in now:
            self._send(address, message)
        self.queue.extend(itertools.islice(pairs, len(now), None))
        if self.queue:
            self.wake.set()

    def _send(self, address: str, message) -> None:
        self.sent += 1
        self.transport.send(address, message)

    @mode.Service.task
    async def _drain(self) -> None:
        """Send the queue, a burst at a time."""
        while not self.should_stop:
            await self.wake.wait()
            await asyncio.sleep(PAUSE_S)
            for _index in range(min(BURST_DATAGRAMS, len(self.queue))):
                self._send(*self.queue.popleft())
            if not self.queue:
                self.wake.clear()
