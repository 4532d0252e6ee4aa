"""Long bodies on links that carry little, in virtual time."""

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
    """Answer with as many bytes as the path says, after a while."""
    size = int(seen.line.split()[1].rpartition('/')[2])
    await asyncio.sleep(0.5 if '/read/' in seen.line else 0.05)
    writer.write(fleets.good(b'%d ' % len(seen.body) + b'x' * size))


def running(**options):
    """Run a node with callers and one with an upstream and a thin link."""
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


async def timed(asking, done: list, what) -> setups.Answer:
    """Ask; note what was asked once it is answered, and how long it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await asking
    done.append((what, loop.time() - began))
    return answer


async def first_sign_s() -> float:
    """Hand a request over as a node does; return when its first sign of life
    is here.
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
        repeat=False,
        caller_repeated=False,
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
    """Ask the first node for ten long answers at once."""
    return [
        asyncio.ensure_future(fleet.ask('/down/%d' % DOWNLOAD))
        for _ in range(10)
    ]


def test_signs_of_life_do_not_stand_behind_downloads():
    """On links of 5 Mbit/s twelve nodes took a gateway for silent at the same
    moment and asked again for their requests. It had sent ten answers of 90
    KB at once, and the signs of life of all other requests stood behind them
    on its link, for over a second.
    """

    async def scenario():
        async with running() as fleet:
            await fleet.ask('/read/10')
            downloads = ten_downloads(fleet)
            signs = []
            for _ in range(8):
                await asyncio.sleep(0.1)
                signs.append(await first_sign_s())
            answers = await asyncio.gather(*downloads)
            resumed = fleet.nodes[0].service.client.resumed
            told = [json.loads(line) for line in fleet.nodes[1].lines.lines]
            return signs, answers, resumed, told

    signs, answers, resumed, told = pipes.run(scenario())
    paced = [line for line in told if line['event'] == 'paced']
    assert {line['bytes'] for line in paced} == {DOWNLOAD + 2}
    assert paced[-1]['total_ms'] > 1000
    assert max(signs) < 0.15
    assert resumed == 0
    assert [answer.status for answer in answers] == [200] * 10
    assert {len(answer.body) for answer in answers} == {DOWNLOAD + 2}


def test_downloads_are_done_one_after_the_other():
    """Were ten answers of 90 KB to share a link of 5 Mbit/s, all of them would
    be late together.
    """

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
        # What stands before it at nine tenths of the link, and its run.
        link_s = (number + 1) * (DOWNLOAD + 1000) / (0.9 * BYTES_S)
        assert took_s < link_s + 0.15


def test_short_answer_passes_long_ones():
    """A short answer waited for every answer of 90 KB before it."""

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
def test_answer_that_is_not_held_whole_leaves_room_too(size):
    """A single answer that is passed on as it comes filled the link, too."""

    async def scenario():
        async with running() as fleet:
            await fleet.ask('/read/10')
            download = asyncio.ensure_future(fleet.ask('/down/%d' % size))
            signs = []
            for _ in range(3):
                await asyncio.sleep(0.1)
                signs.append(await first_sign_s())
            return signs, await download

    signs, answer = pipes.run(scenario())
    assert max(signs) < 0.15
    assert (answer.status, len(answer.body)) == (200, size + 2)


@pytest.mark.parametrize('size', [60_000, 300_000])
def test_requests_do_not_stand_behind_uploads(size):
    """Uploads filled the way out of a caller's node: requests that it handed
    over stood behind them for over a second.
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


def test_caller_that_leaves_gives_its_turn_back():
    """The bytes of ten callers who had given up stood before those of one who
    stayed, for most of a second.
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
            await timed(fleet.ask('/down/%d' % DOWNLOAD), done, 'stays')
            await asyncio.sleep(5.0)
            line = next(
                iter(fleet.nodes[1].service.executor.slots.values())
            ).queue
            return done[0][1], line.running

    took_s, running_now = pipes.run(scenario())
    # Its own bytes, and what was on the link already.
    assert took_s < DOWNLOAD / (0.9 * BYTES_S) + 0.25
    assert running_now == 0


def test_reader_that_stands_still_does_not_hold_up_others():
    """Were a turn held until its bytes are read, one caller that reads
    nothing would keep all others from their answers.
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
            await timed(fleet.ask('/down/%d' % DOWNLOAD), done, 'reads')
            writer.close()
            return done[0][1]

    assert pipes.run(scenario()) < DOWNLOAD / (0.9 * BYTES_S) + 0.3


def test_stop_delivers_the_answers_that_wait_for_the_link():
    """A gateway that stops has answers in hand that its link has not carried
    yet; they go out within the time that it has.
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
