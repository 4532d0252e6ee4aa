"""Tests that a stop cuts off no request in flight."""

import asyncio

import pytest

from carawaystair import manifest
from test import pipes
from test import request_setup as setups

BULK = (manifest.Route('/bulk', 'portal', kind='bulk'),)


async def slow(upstream, seen, writer):
    """Answer after one second, bulk transfers after four."""
    await asyncio.sleep(4.0 if '/bulk' in seen.line else 1.0)
    size = 500_000 if '/bulk' in seen.line else 2
    writer.write(setups.reply(bytes(size)))


def test_stop():
    """Guards against deployments that break requests.

    A node stops while requests are in flight and others arrive.  Those in
    flight are finished.  Those that arrive on open connections are answered
    if they end before the stop, and refused otherwise.
    """

    async def scenario():
        upstream = setups.Upstream(9001, slow)
        async with setups.running(upstream, routes=BULK, drain_s=6.0) as setup:
            open_one, open_two = await setups.connect(), await setups.connect()
            await setups.ask(*open_one, Caraway_Deadline_Ms='3000000')
            await setups.ask(*open_two)
            tasks = [
                asyncio.create_task(setup.ask('/portal/x')),
                asyncio.create_task(setup.ask('/bulk/x')),
                asyncio.create_task(
                    setup.ask(method='POST', body=b'x', Idempotency_Key='k')
                ),
            ]
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            started = loop.time()
            stop = asyncio.create_task(setup.path.stop())
            await asyncio.sleep(0.1)
            with pytest.raises(ConnectionRefusedError):
                await setup.ask()
            late = await setups.ask(*open_one, Caraway_Deadline_Ms='2000')
            # No deadline may exceed the time that a stop waits.
            assert {
                float(seen.headers['caraway-deadline-ms']) <= 6000.0
                for seen in setup.runs
            } == {True}
            refused = await setups.ask(*open_two, '/bulk/x')
            answers = await asyncio.gather(*tasks)
            await stop
            return answers, late, refused, loop.time() - started

    answers, late, refused, took = pipes.run(scenario())
    assert all(answer.ended for answer in answers)
    assert {answer.outcome for answer in answers} == {'complete'}
    assert len(answers[1].body) == 500_000
    assert (late.outcome, late.headers['connection']) == ('complete', 'close')
    assert (refused.outcome, refused.code) == ('not-run', 'CS-3003')
    assert 3.8 < took < 4.5


def test_stop_has_an_end():
    """Guards against a node that can't be stopped.

    A request in flight does not end, and is broken off visibly after drain_s.
    """

    async def never(upstream, seen, writer):
        writer.write(setups.reply(bytes(500_000))[:300_000])
        await asyncio.sleep(1000)

    async def scenario():
        upstream = setups.Upstream(9001, never)
        async with setups.running(upstream, routes=BULK, drain_s=3.0) as setup:
            task = asyncio.create_task(setup.ask('/bulk/x'))
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            started = loop.time()
            await setup.path.stop()
            took = loop.time() - started
            return await task, took, setup.admission.held

    answer, took, held = pipes.run(scenario())
    assert not answer.ended
    assert 3.0 <= took < 4.0
    assert held == 0


def test_upstream_leaves():
    """Guards against upstream deployments that break requests or hang.

    An upstream that is leaving has requests in flight, and stops once its last
    connection is closed.  The requests end normally, and their connections are
    not pooled.
    """

    async def scenario():
        upstream = setups.Upstream(9001, slow)
        async with setups.running(upstream) as setup:
            await asyncio.gather(*(setup.ask() for _n in range(3)))
            await asyncio.sleep(0.5)
            task = asyncio.create_task(setup.ask())
            other = asyncio.create_task(setup.ask(method='POST', body=b'x'))
            await asyncio.sleep(0.5)
            setup.directory.put(setups.announce(upstream, state='draining'))
            await asyncio.sleep(0.1)
            early = upstream.gone
            answers = [await task, await other, await setup.ask()]
            await asyncio.sleep(0.1)
            return answers, early, upstream.gone

    answers, early, gone = pipes.run(scenario())
    outcomes = [answer.outcome for answer in answers]
    assert outcomes == ['complete', 'complete', 'not-run']
    assert (early, gone) == (1, 3)


def test_not_ready():
    """A node without a configuration refuses requests."""

    async def scenario():
        async with setups.running(setups.Upstream(9001)) as setup:
            setup.routing = None
            return await setup.ask(), setup.runs

    answer, runs = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('not-run', 'CS-3002')
    assert runs == []


def test_stop_waits_until_a_slow_caller_has_its_answer():
    """Guards against an answer that a stop cuts off while it is written."""
    body = b'x' * 48_000

    async def big(upstream, seen, writer):
        writer.write(setups.reply(body))

    async def scenario():
        upstream = setups.Upstream(9001, big)
        async with setups.running(upstream, drain_s=6.0) as setup:
            reader, writer = await setups.connect()
            writer.transport.pause_reading()
            head = b'GET /portal HTTP/1.1\r\nHost: h\r\nConnection: close'
            writer.write(head + b'\r\n\r\n')
            await asyncio.sleep(0.2)
            stopping = asyncio.create_task(setup.path.stop())
            # Not at a moment when the stop polls the listener.
            await asyncio.sleep(1.005)
            writer.transport.resume_reading()
            await reader.readuntil(b'\r\n\r\n')
            answer = await reader.readexactly(len(body))
            await stopping
            return answer

    assert pipes.run(scenario()) == body
