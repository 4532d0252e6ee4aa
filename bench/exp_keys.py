"""What keys cost: encrypted links and signed datagrams against plain ones."""

import asyncio
import contextlib
import statistics
import time
import typing

from bench import exp_links
from bench import figures
from carawaystair import keys
from carawaystair import links

TITLE = 'Keys: processor time and bytes with and without'

# Runs of each kind, in turns, so that a busy machine hits both alike.
ROUNDS = 9
QUICK_ROUNDS = 2
MESSAGES = 1500
DATAGRAMS = 4000
LINKS = 24
SAMPLE_MESSAGES = 100


class _Relay:
    """Passes one link on and counts its bytes, both ways."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.count = 0

    async def open(self, reader, writer) -> None:
        """Take a connection and pass it on."""
        ip, port = self.target.split(':')
        onward, back = await asyncio.open_connection(ip, int(port))
        await asyncio.gather(
            self._pass(reader, back), self._pass(onward, writer)
        )

    async def _pass(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.count += len(data)
                writer.write(data)
        writer.close()


async def _bytes(held: typing.Sequence[keys.Key]) -> tuple[float, float]:
    """Return bytes of a first message with its handshake, and of one more."""
    here, there, between = exp_links.addresses(3)
    one, two = links.Links(here, held=held), links.Links(there, held=held)
    await one.start()
    await two.start()
    relay = _Relay(there)
    ip, port = between.split(':')
    server = await asyncio.start_server(relay.open, ip, int(port))

    async def _take(_sender, load) -> exp_links.Taken:
        return exp_links.Taken(load.number)

    two.handle(exp_links.Load, _take)
    await one.call(between, exp_links.Load(0), 5.0)
    first = relay.count
    for number in range(SAMPLE_MESSAGES):
        await one.call(between, exp_links.Load(number), 5.0)
    more = (relay.count - first) / SAMPLE_MESSAGES
    await one.stop()
    await two.stop()
    server.close()
    return first - more, more


async def _handshakes(held: typing.Sequence[keys.Key]) -> float:
    """Return processor seconds to open :data:`LINKS` links, both ends."""
    every = exp_links.addresses(LINKS + 1)
    hub, *others = (links.Links(a, held=held) for a in every)
    for link in (hub, *others):
        await link.start()

    async def _take(_sender, load) -> exp_links.Taken:
        return exp_links.Taken(load.number)

    hub.handle(exp_links.Load, _take)
    begin = time.process_time()
    for other in others:
        await other.call(hub.address, exp_links.Load(1), 5.0)
    spent = time.process_time() - begin
    for link in (hub, *others):
        await link.stop()
    return spent


def _ratio(name: str, unit_us: float, pairs: list) -> list[figures.Figure]:
    """Return the ratio with and without keys, and the time it adds."""
    ratios = [keyed / plain for keyed, plain in pairs]
    added = [(keyed - plain) * 1e6 / unit_us for keyed, plain in pairs]
    return [
        figures.bootstrap('keys.%s.cpu_ratio' % name, 'ratio', ratios),
        figures.bootstrap('keys.%s.cpu_added' % name, 'us', added),
    ]


def run(seed: int, quick: bool) -> list:
    """Measure with and without keys, in turns."""
    del seed
    rounds = QUICK_ROUNDS if quick else ROUNDS
    held = [keys.generate()]
    signing = [held[0].datagram_bytes()]

    def _pairs(measure, with_keys) -> list[tuple[float, float]]:
        return [
            (asyncio.run(measure(with_keys)), asyncio.run(measure(())))
            for _round in range(rounds)
        ]

    asked = _pairs(lambda k: exp_links.answered(MESSAGES, k), held)
    sent = _pairs(lambda k: exp_links.thrown(DATAGRAMS, k), signing)
    opened = _pairs(_handshakes, held)
    keyed, plain = asyncio.run(_bytes(held)), asyncio.run(_bytes(()))
    plain_us = statistics.median(p for _k, p in asked) * 1e6 / MESSAGES
    return [
        *_ratio('question', MESSAGES, asked),
        *_ratio('datagram', DATAGRAMS, sent),
        *_ratio('open', LINKS, opened),
        figures.Figure('keys.question.cpu_plain', plain_us, 'us'),
        figures.Figure(
            'keys.question.bytes_added', keyed[1] - plain[1], 'bytes'
        ),
        figures.Figure('keys.open.bytes_added', keyed[0] - plain[0], 'bytes'),
    ]
