"""What a message, a datagram and an open link cost."""

import asyncio
import itertools
import resource
import socket
import time
import typing

from bench import figures
from carawaystair import datagrams
from carawaystair import keys
from carawaystair import links
from carawaystair import wire

TITLE = 'Messages, datagrams and links: processor time and memory'

PAYLOAD = 'x' * 120
# Messages in flight at once; more would only measure the queue.
WINDOW = 50
KEY = b'k' * 32


@wire.register(65010)
class Load(typing.NamedTuple):
    """A message of this experiment."""

    number: int
    payload: str = PAYLOAD


@wire.register(65011)
class Taken(typing.NamedTuple):
    """Its answer."""

    number: int


def addresses(count: int) -> list[str]:
    """Return loopback addresses that nobody uses right now."""
    probes = [socket.socket() for _each in range(count)]
    for probe in probes:
        probe.bind(('127.0.0.1', 0))
    found = ['127.0.0.1:%d' % probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return found


async def answered(count: int, held: typing.Sequence[keys.Key] = ()) -> float:
    """Return processor seconds of ``count`` questions with answers.

    :param held: keys of the links, none for plain ones.
    """
    one, two = (links.Links(a, held=held) for a in addresses(2))
    await one.start()
    await two.start()

    async def _take(_sender, load: Load) -> Taken:
        return Taken(load.number)

    two.handle(Load, _take)
    await one.call(two.address, Load(0), 5.0)
    begin = time.process_time()
    for start in range(0, count, WINDOW):
        calls = [
            one.call(two.address, Load(number), 5.0)
            for number in range(start, start + WINDOW)
        ]
        await asyncio.gather(*calls)
    spent = time.process_time() - begin
    await one.stop()
    await two.stop()
    return spent


async def thrown(
    count: int, signing: typing.Sequence[bytes] = (KEY,)
) -> float:
    """Return processor seconds of ``count`` datagrams, both ends.

    :param signing: keys of the datagrams, none for plain ones.
    """
    one, two = (datagrams.Datagrams(a, keys=signing) for a in addresses(2))
    await one.start()
    await two.start()
    heard = itertools.count(1)
    reached = asyncio.Event()
    last = 0

    def _take(_sender, _load: Load) -> None:
        nonlocal last
        last = next(heard)
        reached.set()

    two.handle(Load, _take)
    begin = time.process_time()
    for number in range(count):
        one.send(two.address, Load(number))
        while number - last > WINDOW:
            reached.clear()
            await asyncio.wait_for(reached.wait(), 5.0)
    spent = time.process_time() - begin
    await one.stop()
    await two.stop()
    return spent


async def memory(peers: int) -> float:
    """Return bytes of this process for each of ``peers`` open links."""
    hub, *others = (links.Links(a) for a in addresses(peers + 1))
    for link in (hub, *others):
        await link.start()

    async def _take(_sender, load: Load) -> Taken:
        return Taken(load.number)

    hub.handle(Load, _take)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for other in others:
        await other.call(hub.address, Load(1), 5.0)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for link in (hub, *others):
        await link.stop()
    return (after - before) * 1024.0


def run(seed: int, quick: bool) -> list:
    """Measure at three sizes."""
    del seed
    scale = 10 if quick else 1
    counts = [n // scale for n in (1000, 2000, 4000)]
    # Both ends are in this process: an end costs half.  A question and its
    # answer are two messages, so each message has one quarter at each end.
    asked = [(n, asyncio.run(answered(n)) * 1e6 / 4) for n in counts]
    sent = [(n, asyncio.run(thrown(n)) * 1e6 / 2) for n in counts]
    held = [(n, asyncio.run(memory(n))) for n in (16, 32, 64)]
    sample = wire.encode(Load(1), '127.0.0.1:10000', 7, False, 1 << 60)
    empty = wire.encode(Load(1, ''), '127.0.0.1:10000', 7, False, 1 << 60)
    return [
        figures.fit('links.cpu_us.by_messages', 'us/message end', asked),
        figures.fit('datagrams.cpu_us.by_messages', 'us/end', sent),
        figures.fit('links.bytes.by_links', 'bytes/link, both ends', held),
        figures.Figure('wire.sample', len(sample), 'bytes'),
        figures.Figure('wire.header', len(empty) - 3, 'bytes'),
    ]
