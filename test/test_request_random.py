"""Randomised tests of the request path with faults of all kinds."""

import asyncio
import collections
import random

import pytest

from carawaystair import manifest
from test import pipes
from test import request_setup as setups

UPSTREAMS = 5
CALLERS = 8
ASKS = 40
BULK = (manifest.Route('/bulk', 'portal', kind='bulk'),)
BUNDLE = bytes(n * 7 % 253 for n in range(300_000))
FATES = (
    ('good', 60),
    ('slow', 8),
    ('hang', 3),
    ('error', 5),
    ('refuse', 5),
    ('close', 4),
    ('reset', 4),
    ('cut', 4),
    ('twice', 2),
    ('garbage', 2),
)


class World:
    """Upstreams that fail at random, and a record of what they ran.

    :param seed: seed of all randomness.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.ran: collections.Counter = collections.Counter()
        self.told: list = []
        self.upstreams = [
            setups.Upstream(9001 + n, self.script) for n in range(UPSTREAMS)
        ]
        self.calm = False

    async def script(self, upstream, seen, writer) -> None:
        """Answer one request, or fail."""
        marker = seen.headers['x-marker']
        fates, weights = zip(*FATES, strict=True)
        fate = self.random.choices(fates, weights)[0]
        fate = 'good' if self.calm else fate
        if fate == 'refuse':
            writer.write(setups.reply(b'', 503, Caraway_Outcome='not-run'))
            return
        self.ran[marker] += 1
        await asyncio.sleep(self.random.expovariate(200.0))
        if fate in ('slow', 'hang'):
            await asyncio.sleep(0.5 if fate == 'slow' else 30.0)
        if fate == 'close':
            writer.close()
        elif fate == 'reset':
            writer.transport.abort()
        elif fate == 'garbage':
            writer.write(b'HTTP/1.1 200 OK\r\nno colon\r\n\r\n')
        else:
            await self.answer(fate, seen, marker, writer)

    async def answer(self, fate, seen, marker, writer) -> None:
        """Answer with a bundle, or with the request's marker."""
        headers = {'X-Marker': marker}
        status, body = 200, ('<%s>' % marker).encode()
        if '/bulk' in seen.line:
            headers['ETag'] = '"b"'
            body = BUNDLE
            if 'range' in seen.headers:
                start = int(seen.headers['range'][6:].split('-')[0])
                span = 'bytes %d-%d/%d' % (start, len(body) - 1, len(body))
                headers['Content-Range'] = span
                status, body = 206, body[start:]
        if fate == 'error':
            status = 500
        data = setups.reply(body, status, **headers)
        if fate == 'cut':
            writer.write(data[: self.random.randrange(1, len(data))])
            await asyncio.sleep(0.001)
            writer.close()
        else:
            writer.write(data * (2 if fate == 'twice' else 1))

    async def caller(self, number: int, setup) -> None:
        """Send requests one after another; disconnect now and then."""
        for turn in range(ASKS):
            marker = 'm%d-%d' % (number, turn)
            kind = self.random.choice(('get', 'get', 'post', 'key', 'bulk'))
            task = asyncio.create_task(self.ask(setup, kind, marker))
            if self.random.random() < 0.05:
                await asyncio.sleep(self.random.uniform(0.0, 0.02))
                task.cancel()
            await asyncio.wait((task,))
            answer = None if task.cancelled() else task.result()
            self.told.append((kind, marker, answer))

    def ask(self, setup, kind: str, marker: str):
        """Send one request."""
        options = {'X_Marker': marker, 'Caraway_Deadline_Ms': '2000'}
        if kind in ('post', 'key'):
            options['method'] = 'POST'
            size = self.random.choice((10, 10, 100_000))
            options['body'] = marker.encode() * (size // len(marker))
        if kind == 'key':
            options['Idempotency_Key'] = marker
        path = '/bulk/x' if kind == 'bulk' else '/portal/x'
        return setup.ask(path, **options)

    async def inject_faults(self, setup) -> None:
        """Drain and restore upstreams, and let connections go silent."""
        while not self.calm:
            await asyncio.sleep(self.random.expovariate(5.0))
            upstream = self.random.choice(self.upstreams)
            if self.random.random() < 0.3:
                asyncio.get_running_loop().silence(upstream.port)
                continue
            state = self.random.choice(('up', 'draining', 'gone', 'up'))
            setup.directory.put(setups.announce(upstream, state=state))


@pytest.mark.parametrize('seed', range(1, 7))
def test_promises_hold(seed, capsys):
    """Guards against any violated promise, found at random.

    Upstreams, connections and callers fail at the same time.  Runs with the
    same seed are identical.
    """
    world = World(seed)

    async def scenario():
        async with setups.running(*world.upstreams, routes=BULK) as setup:
            injector = asyncio.create_task(world.inject_faults(setup))
            await asyncio.gather(
                *(world.caller(number, setup) for number in range(CALLERS))
            )
            world.calm = True
            await injector
            await asyncio.sleep(10.0)
            return setup

    setup = pipes.run(scenario())
    assert len(world.told) == CALLERS * ASKS
    for kind, marker, answer in world.told:
        runs = world.ran[marker]
        if kind in ('post', 'key'):
            assert runs <= 1, marker
        if answer is None or not answer.ended:
            continue
        if answer.outcome == 'not-run':
            assert runs == 0, marker
        elif answer.outcome == 'complete':
            assert answer.headers['x-marker'] == marker
            whole = BUNDLE if kind == 'bulk' else b'<%s>' % marker.encode()
            assert answer.body == whole
    assert 'failed.' not in capsys.readouterr().out
    targets = setup.path.selector.targets.values()
    assert all(t.in_flight == t.lingering == 0 for t in targets)
    assert all(not t.late_attempts and t.suspected is None for t in targets)
    assert setup.admission.held == setup.path.handler.keyed_bodies.bytes == 0
    assert not setup.sender.tasks and not setup.sender.cancellable_tasks
    complete = [a for _k, _m, a in world.told if a and a.outcome == 'complete']
    assert len(complete) > len(world.told) * 0.5
