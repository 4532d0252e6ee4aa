"""Tests of requests with an idempotency key, which run at most once."""

import asyncio

import expression

from carawaystair import codes
from test import pipes
from test import request_setup as setups
from test import stubs

KEY = {'Idempotency_Key': 'k-1', 'Caraway_Customer': 'acme'}


def with_key(setup, body=b'pay', **headers):
    """Send a request with the key."""
    return setup.ask(method='POST', body=body, **{**KEY, **headers})


def test_answer_is_replayed():
    """A repeated key gets the stored answer; another body is refused."""

    async def scenario():
        async with setups.running(setups.Upstream(9001)) as setup:
            answers = [
                await with_key(setup),
                await with_key(setup),
                await with_key(setup, body=b'more'),
                await with_key(setup, Caraway_Customer='other'),
                await with_key(setup, Idempotency_Key='k-2'),
            ]
            return answers, setup

    answers, setup = pipes.run(scenario())
    first, again, reused, other, second = answers
    assert first.body == again.body == b'u9001'
    assert again.outcome == 'complete'
    assert (reused.outcome, reused.code) == ('not-run', 'CS-5001')
    assert other.outcome == second.outcome == 'complete'
    assert len(setup.runs) == 3
    assert setup.path.handler.keyed_bodies.bytes == setup.admission.held == 0


def test_caller_repeats_while_it_runs():
    """Guards against a second run of a request whose caller was disconnected.

    The caller repeats it while it runs and after it has ended.  The key is
    reserved before the first byte is sent, and the run continues to its end,
    whose answer is stored.
    """

    async def script(upstream, seen, writer):
        await asyncio.sleep(1.0)
        writer.write(setups.reply(b'paid'))

    async def scenario():
        upstream = setups.Upstream(9001, script)
        async with setups.running(upstream) as setup:
            task = asyncio.create_task(with_key(setup))
            await asyncio.sleep(0.2)
            task.cancel()
            await asyncio.sleep(0.2)
            during = await with_key(setup)
            await asyncio.sleep(1.0)
            return during, await with_key(setup), setup

    during, after, setup = pipes.run(scenario())
    assert (during.outcome, during.code) == ('unknown', 'CS-5006')
    assert during.headers['retry-after'] == '1'
    assert (after.outcome, after.body) == ('complete', b'paid')
    assert len(setup.runs) == 1


def test_long_answer_of_a_caller_that_left():
    """Guards against an attempt that never ends.

    The caller of a keyed request leaves before its long answer arrives, which
    must then be aborted.
    """

    async def script(upstream, seen, writer):
        await asyncio.sleep(1.0)
        writer.write(setups.reply(bytes(500_000)))

    async def scenario():
        upstream = setups.Upstream(9001, script)
        async with setups.running(upstream) as setup:
            task = asyncio.create_task(with_key(setup))
            await asyncio.sleep(0.2)
            task.cancel()
            await asyncio.sleep(2.0)
            targets = setup.path.selector.targets.values()
            return [target.in_flight for target in targets], upstream.gone

    assert pipes.run(scenario()) == ([0], 1)


def test_unknown_outcome_keeps_the_key():
    """Guards against a second run after an unknown outcome.

    The upstream dies after it received the request, and the caller repeats it
    with the same key, which must stay reserved.
    """

    async def script(upstream, seen, writer):
        writer.close()

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, script) for n in range(2)]
        async with setups.running(*upstreams) as setup:
            return [await with_key(setup) for _n in range(3)], setup

    answers, setup = pipes.run(scenario())
    assert [a.outcome for a in answers] == ['unknown'] * 3
    assert [a.code for a in answers] == ['CS-4003', 'CS-5006', 'CS-5006']
    assert len(setup.runs) == 1


def test_not_run_releases_the_key():
    """A request that was not run may be repeated with its key."""

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(upstream) as setup:
            upstream.server.close()
            refused = await with_key(setup)
            await upstream.start()
            return refused, await with_key(setup)

    refused, answer = pipes.run(scenario())
    assert (refused.outcome, refused.code) == ('not-run', 'CS-4002')
    assert (answer.outcome, answer.body) == ('complete', b'u9001')


def test_no_majority():
    """Nothing is sent when the key can't be reserved."""

    class Unreachable(stubs.Reservations):
        async def reserve(self, *details):
            return expression.Error(codes.Failure(codes.KEY_NO_MAJORITY))

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(
            upstream, reservations=Unreachable()
        ) as setup:
            return await with_key(setup), setup.runs

    answer, runs = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('not-run', 'CS-5002')
    assert runs == []


def test_long_answer_is_not_stored():
    """A repeat after an answer that was too long to store says that it ran."""

    async def script(upstream, seen, writer):
        writer.write(setups.reply(bytes(200_000)))

    async def scenario():
        upstream = setups.Upstream(9001, script)
        async with setups.running(upstream) as setup:
            return await with_key(setup), await with_key(setup), setup.runs

    answer, again, runs = pipes.run(scenario())
    assert len(answer.body) == 200_000
    assert (again.outcome, again.code) == ('unknown', 'CS-5007')
    assert len(runs) == 1
