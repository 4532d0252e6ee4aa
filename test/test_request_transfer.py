"""Tests that long answers arrive complete or visibly broken."""

import asyncio

import pytest

from carawaystair import manifest
from test import pipes
from test import request_setup as setups

BODY = bytes(n * n % 251 for n in range(1_000_000))
BULK = (manifest.Route('/bulk', 'portal', kind='bulk'),)


def serving(
    body=BODY, etag='"v1"', cut=None, stall=False, checks_etag=True, **more
):
    """Return a script that serves a body with ranges, perhaps broken off.

    :param cut: bytes after which complete answers end early.
    :param stall: whether it sends nothing after that instead of closing.
    :param checks_etag: whether it respects ``If-Range``.
    """

    async def script(upstream, seen, writer):
        headers = {'ETag': etag, **more}
        part = seen.headers.get('range')
        same = not checks_etag or seen.headers.get('if-range') == etag
        if part is not None and same:
            start = int(part.split('=')[1].split('-')[0])
            total = '%d-%d/%d' % (start, len(body) - 1, len(body))
            headers['Content-Range'] = 'bytes ' + total
            writer.write(setups.reply(body[start:], 206, **headers))
            return
        data = setups.reply(body, **headers)
        writer.write(data if cut is None else data[:cut])
        await writer.drain()
        if stall:
            await asyncio.sleep(1000)
        if cut is not None:
            await asyncio.sleep(0.1)
            writer.close()

    return script


def fetch(*scripts, **options):
    """Send a request for a long answer; the first upstream is tried first."""

    async def scenario():
        upstreams = [
            setups.Upstream(9001 + n, script)
            for n, script in enumerate(scripts)
        ]
        async with setups.running(*upstreams, routes=BULK) as setup:
            for target in setup.path.selector.candidates(
                'portal', 0.0
            ).candidates.targets:
                target.observe(target.upstream.address[-1] != '1', 0.0)
            started = asyncio.get_running_loop().time()
            answer = await setup.ask('/bulk/x', **options)
            setup.took = asyncio.get_running_loop().time() - started
            await asyncio.sleep(5.0)
            held = setup.admission.held
            return answer, setup, held

    answer, setup, held = pipes.run(scenario())
    assert held == 0
    assert all(t.in_flight == 0 for t in setup.path.selector.targets.values())
    return answer, setup


@pytest.mark.parametrize('stall', [False, True])
def test_resumes_at_another_upstream(stall):
    """Guards against a download that is lost with its upstream.

    The upstream breaks off or goes silent in the middle.  Another one has the
    same strong ETag, so that the rest is requested from it.
    """
    cut = 400_000
    answer, setup = fetch(serving(cut=cut, stall=stall), serving())
    assert answer.ended and answer.body == BODY
    assert answer.outcome == 'complete'
    assert setup.took < 4.0
    first, second = setup.runs
    assert second.headers['if-range'] == '"v1"'
    assert second.headers['range'].endswith('-999999')
    assert setup.outcomes()['timeout' if stall else 'broken'] == 1


@pytest.mark.parametrize(
    'other',
    [
        serving(etag='"v2"'),
        serving(etag='"v2"', checks_etag=False),
        serving(body=BODY[:-1]),
        serving(Content_Encoding='gzip'),
    ],
)
def test_revisions_are_never_mixed(other):
    """Guards against an answer with bytes of two revisions.

    The upstream breaks off, and the other one has another revision, length or
    encoding.  The caller's connection must be aborted.
    """
    answer, _setup = fetch(serving(cut=400_000), other)
    assert not answer.ended
    assert len(answer.body) < len(BODY)
    assert BODY.startswith(answer.body)


@pytest.mark.parametrize('etag', ['W/"v1"', ''])
def test_breaks_visibly(etag):
    """Without a strong ETag, a broken answer breaks for the caller, too."""
    answer, setup = fetch(serving(cut=400_000, etag=etag), serving())
    assert not answer.ended
    assert len(setup.runs) == 1


def test_non_idempotent_is_not_resumed():
    """Guards against a second run of a request that may run only once.

    Its long answer breaks off; requesting the rest would run it again.
    """
    answer, setup = fetch(serving(cut=400_000), serving(), method='POST')
    assert not answer.ended
    assert len(setup.runs) == 1


def test_callers_range_is_resumed():
    """A range that the caller requested is resumed within that range."""

    async def broken(upstream, seen, writer):
        data = setups.reply(
            BODY[500_000:900_000],
            206,
            ETag='"v1"',
            Content_Range='bytes 500000-899999/1000000',
        )
        writer.write(data[:300_000])
        await asyncio.sleep(0.1)
        writer.close()

    async def rest(upstream, seen, writer):
        low, high = seen.headers['range'].split('=')[1].split('-')
        assert high == '899999'
        span = 'bytes %s-%s/1000000' % (low, high)
        body = BODY[int(low) : int(high) + 1]
        writer.write(setups.reply(body, 206, ETag='"v1"', Content_Range=span))

    answer, _setup = fetch(broken, rest, Range='bytes=500000-899999')
    assert answer.ended and answer.body == BODY[500_000:900_000]


def test_chunks_without_length():
    """A long chunked answer is forwarded; one that ends early breaks."""

    def script(end):
        async def chunked(upstream, seen, writer):
            writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n')
            writer.write(b'\r\n%x\r\n%b\r\n' % (len(BODY), BODY) + end)
            await writer.drain()
            writer.close()

        return chunked

    answer, _setup = fetch(script(b'0\r\n\r\n'))
    assert answer.ended and answer.body == BODY
    answer, _setup = fetch(script(b''))
    assert not answer.ended


def test_memory_is_bounded():
    """Guards against slow callers that use up the memory of a node.

    A caller requests a long answer and does not read it.  The upstream is read
    no faster than the caller reads, and the caller is disconnected in the end.
    """

    async def scenario():
        upstream = setups.Upstream(9001, serving(body=bytes(30_000_000)))
        async with setups.running(upstream, routes=BULK) as setup:
            reader, writer = await setups.connect()
            writer.transport.pause_reading()
            writer.write(b'GET /bulk/x HTTP/1.1\r\nHost: h\r\n\r\n')
            await asyncio.sleep(5.0)
            made = asyncio.get_running_loop().made
            read_bytes = made[1].peer.written - made[1].peer.queued
            stalled = setup.admission.held
            await asyncio.sleep(40.0)
            return read_bytes, stalled, setup.admission.held

    read_bytes, stalled, held = pipes.run(scenario())
    assert read_bytes < 1_000_000
    assert (stalled, held) == (1, 0)


def test_head_and_bodiless_statuses():
    """HEAD, 204 and 304 have no body; lengths are forwarded where allowed."""

    async def script(upstream, seen, writer):
        status = int(seen.line.split('/')[2].split()[0])
        if seen.line.startswith('HEAD'):
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n')
        else:
            line = 'HTTP/1.1 %d X\r\nETag: "v1"\r\n\r\n'
            writer.write((line % status).encode())

    async def scenario():
        upstream = setups.Upstream(9001, script)
        async with setups.running(upstream, routes=BULK):
            reader, writer = await setups.connect()
            return [
                await setups.ask(reader, writer, '/bulk/200', 'HEAD'),
                await setups.ask(reader, writer, '/bulk/204'),
                await setups.ask(reader, writer, '/bulk/304'),
                await setups.ask(reader, writer, '/bulk/200', 'HEAD'),
            ], upstream.connections

    answers, connections = pipes.run(scenario())
    lengths = [answer.headers.get('content-length') for answer in answers]
    assert lengths == ['1000000', None, None, '1000000']
    assert connections == 1
