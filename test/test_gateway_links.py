"""Long bodies on links of low bandwidth, in virtual time."""

import asyncio
import json

import pytest

from carawaystair.gateway import hops
from carawaystair import manifest
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

MBPS = 5.0
BYTES_S = MBPS * 1e6 / 8
DOWNLOAD = 90_000
ROUTES = (
    manifest.Route(
        '/down/', 'portal', idempotent=True, kind=manifest.BULK, goal_ms=4000
    ),
    manifest.Route(
        '/up/', 'portal', idempotent=False, kind=manifest.BULK, goal_ms=4000
    ),
    manifest.Route('/read/', 'portal', idempotent=True, goal_ms=4000),
)


async def documents(upstream, seen, writer) -> None:
    """Answer after a while with as many bytes as the path says."""
    size = int(seen.line.split()[1].rpartition('/')[2])
    await asyncio.sleep(0.5 if '/read/' in seen.line else 0.05)
    writer.write(fleets.good(b'%d ' % len(seen.body) + b'x' * size))


def running(**options):
    """Run a node with callers and one with an upstream and a slow link."""
    loop = asyncio.get_running_loop()
    loop.links[7001] = pipes.Link(BYTES_S)
    loop.callers_links[7001] = pipes.Link(BYTES_S)
    options = {
        'slots': 20,
        'routes': ROUTES,
        'link_mbps': MBPS,
        **options,
    }
    return fleets.running(None, documents, **options)


async def timed(asking, done: list, name) -> setups.Answer:
    """Wait for an answer; append the request's name and duration."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await asking
    done.append((name, loop.time() - began))
    return answer


async def first_interim_s() -> float:
    """Send a request as a node does; return when the first interim answer
    arrives, seconds.
    """
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection('127.0.0.1', 7001)
    hop = hops.Hop(
        id='sign %r' % loop.time(),
        host='h0',
        upstream='u9001',
        service='portal',
        caller_service='shop',
        route='/read/',
        remaining_ms=8000,
        goal_ms=4000,
        priority=0,
        idempotent=True,
        nested=False,
        may_wait=True,
        retry=False,
        caller_retried=False,
        send_number=1,
        process='',
    )
    began = loop.time()
    line = hops.header_line(hop)
    writer.write(b'GET /read/10 HTTP/1.1\r\nHost: x\r\n%b\r\n' % line)
    try:
        first, _headers = await setups.read_head(reader)
        assert first.startswith('HTTP/1.1 102'), first
        return loop.time() - began
    finally:
        writer.close()


def ten_downloads(fleet) -> list[asyncio.Task]:
    """Send requests for ten long answers to the first node at once."""
    return [
        asyncio.ensure_future(fleet.ask('/down/%d' % DOWNLOAD))
        for _ in range(10)
    ]


def test_interim_answers_do_not_wait_behind_downloads():
    """Guards against gateways that seem silent.

    On links of 5 Mbit/s a gateway sent ten answers of 90 KB at once, and the
    interim answers of all other requests were queued behind them for over a
    second.  Twelve nodes took it for silent and resumed their requests.
    """

    async def scenario():
        async with running() as fleet:
            await fleet.ask('/read/10')
            downloads = ten_downloads(fleet)
            interim = []
            for _ in range(8):
                await asyncio.sleep(0.1)
                interim.append(await first_interim_s())
            answers = await asyncio.gather(*downloads)
            resumed = fleet.nodes[0].service.client.resumed
            events = [json.loads(line) for line in fleet.nodes[1].lines.lines]
            return interim, answers, resumed, events

    interim, answers, resumed, events = pipes.run(scenario())
    paced = [event for event in events if event['event'] == 'paced']
    assert {event['bytes'] for event in paced} == {DOWNLOAD + 2}
    assert paced[-1]['total_ms'] > 1000
    assert max(interim) < 0.15
    assert resumed == 0
    assert [answer.status for answer in answers] == [200] * 10
    assert {len(answer.body) for answer in answers} == {DOWNLOAD + 2}


def test_downloads_are_sent_one_after_the_other():
    """If ten answers of 90 KB shared a link of 5 Mbit/s, all would be late."""

    async def scenario():
        done: list = []
        async with running() as fleet:
            await fleet.ask('/read/10')
            tasks = []
            for number in range(10):
                asking = fleet.ask('/down/%d' % DOWNLOAD)
                task = timed(asking, done, number)
                tasks.append(asyncio.ensure_future(task))
                await asyncio.sleep(0.005)
            await asyncio.gather(*tasks)
        return done

    done = pipes.run(scenario())
    assert [number for number, _took in done] == list(range(10))
    for number, took_s in done:
        # Downloads before it at nine tenths of the bandwidth, and its run.
        link_s = (number + 1) * (DOWNLOAD + 1000) / (0.9 * BYTES_S)
        assert took_s < link_s + 0.15


def test_short_answer_overtakes_long_ones():
    """Guards against a short answer that waits for long ones before it."""

    async def scenario():
        done: list = []
        async with running() as fleet:
            await fleet.ask('/read/10')
            downloads = ten_downloads(fleet)
            await asyncio.sleep(0.02)
            await timed(fleet.ask('/read/400'), done, 'read')
            await asyncio.gather(*downloads)
        return done[0][1]

    assert pipes.run(scenario()) < 0.5 + 0.1


@pytest.mark.parametrize('size', [300_000, 1_000_000])
def test_streamed_answer_leaves_bandwidth_to_others(size):
    """Guards against a single answer that fills the link."""

    async def scenario():
        async with running() as fleet:
            await fleet.ask('/read/10')
            download = asyncio.ensure_future(fleet.ask('/down/%d' % size))
            interim = []
            for _ in range(3):
                await asyncio.sleep(0.1)
                interim.append(await first_interim_s())
            return interim, await download

    interim, answer = pipes.run(scenario())
    assert max(interim) < 0.15
    assert (answer.status, len(answer.body)) == (200, size + 2)


@pytest.mark.parametrize('size', [60_000, 300_000])
def test_requests_do_not_wait_behind_uploads(size):
    """Guards against uploads that fill the link of a caller's node and delay
    its other requests for over a second.
    """

    async def scenario():
        async with running() as fleet:
            await fleet.ask('/read/10')
            body = b'y' * size
            uploads = [
                asyncio.ensure_future(fleet.ask('/up/10', 'POST', body=body))
                for _ in range(8)
            ]
            await asyncio.sleep(0.2)
            done: list = []
            await timed(fleet.ask('/read/10'), done, 'read')
            answers = await asyncio.gather(*uploads)
            resumed = fleet.nodes[0].service.client.resumed
            return done[0][1], resumed, answers

    took_s, resumed, answers = pipes.run(scenario())
    assert took_s < 0.5 + 0.15
    assert resumed == 0
    assert [answer.status for answer in answers] == [200] * 8
    assert {answer.body for answer in answers} == {b'%d ' % size + b'x' * 10}


def test_caller_that_leaves_returns_its_share_of_the_link():
    """Guards against an answer that is delayed by those of callers that left:
    ten of them delayed one for most of a second.
    """

    async def scenario():
        done: list = []
        async with running() as fleet:
            await fleet.ask('/read/10')
            leaving = ten_downloads(fleet)
            await asyncio.sleep(0.3)
            for task in leaving:
                task.cancel()
            await asyncio.sleep(0.05)
            await timed(fleet.ask('/down/%d' % DOWNLOAD), done, 'download')
            await asyncio.sleep(5.0)
            queue = next(
                iter(fleet.nodes[1].service.executor.slots.values())
            ).queue
            return done[0][1], queue.running

    took_s, running_now = pipes.run(scenario())
    # The time for its own bytes and for those that were on the link already.
    assert took_s < DOWNLOAD / (0.9 * BYTES_S) + 0.25
    assert running_now == 0


def test_caller_that_does_not_read_does_not_delay_others():
    """Guards against a turn on the link that is held until its bytes are
    read.
    """

    async def scenario():
        done: list = []
        async with running() as fleet:
            await fleet.ask('/read/10')
            _reader, writer = await asyncio.open_connection(
                '127.0.0.1', 8000, limit=2**10
            )
            writer.write(b'GET /down/2000000 HTTP/1.1\r\nHost: x\r\n\r\n')
            await asyncio.sleep(3.0)
            await timed(fleet.ask('/down/%d' % DOWNLOAD), done, 'download')
            writer.close()
            return done[0][1]

    assert pipes.run(scenario()) < DOWNLOAD / (0.9 * BYTES_S) + 0.3


def test_stop_delivers_answers_that_wait_for_the_link():
    """A gateway that stops sends, within its drain time, the answers that its
    link has not carried yet.
    """

    async def scenario():
        async with running() as fleet:
            await fleet.ask('/read/10')
            downloads = ten_downloads(fleet)
            await asyncio.sleep(0.2)
            await fleet.nodes[1].service.stop()
            return await asyncio.gather(*downloads)

    answers = pipes.run(scenario())
    assert [answer.status for answer in answers] == [200] * 10
