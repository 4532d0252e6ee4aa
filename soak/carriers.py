"""Ways in processes of their own, for plays of many hosts.

The soak's own process has callers, upstreams and the watch; the traffic
between dozens of hosts would take more than one core besides.  A carrier
opens ways as it is told, one command a line on its standard input, and ends
with it.
"""

import asyncio
import json
import random
import sys
import typing

from soak import ways as ways_module
from standin import fleet as fleets

# A fleet has a carrier for so many hosts, and none when it has fewer.
HOSTS = 10
ENDS_S = 5.0


class Way:
    """A way that a carrier opens; as :class:`ways.Way` from outside.

    :param address: where it listens.
    :param target: where it leads.
    :param carrier: opens it.
    :param link: names the link of its host, which its ways share.
    :param bytes_per_s: what that link carries.
    """

    def __init__(
        self,
        address: str,
        target: str,
        carrier: 'Carrier',
        link: str,
        bytes_per_s: float,
    ) -> None:
        self.address = address
        self.target = target
        self.carrier = carrier
        self.link = link
        self.bytes_per_s = bytes_per_s

    async def open(self, datagrams: bool = False) -> None:
        """Start to pass on what comes."""
        words = self.target, self.link, self.bytes_per_s, datagrams
        self._tell('open', *words)
        await self.carrier.done()

    async def close(self) -> None:
        """Stop, and reset what is open."""
        self._tell('close')
        await self.carrier.done()

    def set(self, spoil: ways_module.Spoil) -> None:
        """Put a fault in force."""
        self._tell('set', spoil.delay_s, spoil.loss, sorted(spoil.cut))

    def reset(self) -> None:
        """Reset all connections that are open now."""
        self._tell('reset')

    def silence(self) -> None:
        """Let nothing more pass on the connections that are open now."""
        self._tell('silence')

    def fill(self, for_s: float) -> None:
        """Fill the link of its host, in both directions."""
        self._tell('fill', for_s)

    def _tell(self, what: str, *words) -> None:
        self.carrier.tell(what, self.address, *words)


class Carrier:
    """The process that opens some ways, seen from the soak."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None
        self.turn = asyncio.Lock()

    async def start(self) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'soak.carriers'),
            cwd=fleets.ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )

    def tell(self, *words) -> None:
        """Send a command."""
        self.process.stdin.write(json.dumps(words).encode() + b'\n')

    async def done(self) -> None:
        """Wait until all commands so far are carried out.

        :raises EOFError: when the process is gone.
        """
        async with self.turn:
            self.tell('done', '')
            await self.process.stdout.readuntil(b'\n')

    async def stop(self) -> None:
        """End the process, and with it its ways."""
        self.process.stdin.close()
        async with asyncio.timeout(ENDS_S):
            await self.process.wait()


class Opened:
    """The ways of this process, by address."""

    def __init__(self) -> None:
        self.ways: dict[str, ways_module.Way] = {}
        self.links: dict[str, ways_module.Lanes] = {}
        self.rng = random.Random()

    async def take(self, what: str, address: str, *words) -> None:
        """Carry out a command."""
        await getattr(self, '_' + what)(address, *words)

    async def _open(
        self,
        address: str,
        target: str,
        link: str,
        bytes_per_s: float,
        datagrams: bool,
    ) -> None:
        lanes = self.links.setdefault(
            link, ways_module.open_lanes(bytes_per_s)
        )
        way = ways_module.Way(address, target, self.rng, lanes)
        self.ways[address] = way
        await way.open(datagrams)

    async def _close(self, address: str) -> None:
        await self.ways.pop(address).close()

    async def _set(
        self,
        address: str,
        delay_s: float,
        loss: float,
        cut: typing.Sequence[str],
    ) -> None:
        self.ways[address].set(
            ways_module.Spoil(delay_s, loss, frozenset(cut))
        )

    async def _reset(self, address: str) -> None:
        self.ways[address].reset()

    async def _silence(self, address: str) -> None:
        self.ways[address].silence()

    async def _fill(self, address: str, for_s: float) -> None:
        self.ways[address].fill(for_s)

    async def _done(self, _address: str) -> None:
        sys.stdout.write('\n')
        sys.stdout.flush()


async def carry() -> None:
    """Carry out commands until standard input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    opened = Opened()
    while line := await reader.readline():
        await opened.take(*json.loads(line))


if __name__ == '__main__':
    asyncio.run(carry())
