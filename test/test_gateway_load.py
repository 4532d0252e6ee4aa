"""Gateways under load and before gray upstreams: who serves what, and how."""

import asyncio
import random

from carawaystair.gateway import nested_calls
from carawaystair.load import nesting
from carawaystair.load import retrying
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups


def test_full_gateway_refuses_at_once_and_another_one_serves():
    """Symptom: requests wait although another upstream is free.
    Sequence: one upstream has a slot taken; the next request meets it.
    Cause: load is nested at the gateway alone, so it must say so at once.
    """

    async def scenario():
        scripts = (fleets.slow(1.0), fleets.slow(1.0))
        async with fleets.running(*scripts, slots=1) as fleet:
            started = asyncio.get_running_loop().time()
            found = await asyncio.gather(
                fleet.ask('/read/a'), fleet.ask('/read/b')
            )
            took = asyncio.get_running_loop().time() - started
            return found, took

    found, took = pipes.run(scenario())
    assert {answer.body for answer in found} == {b'u9000', b'u9001'}
    assert took < 1.5


def test_request_that_cannot_be_served_in_time_is_refused_at_once():
    """Symptom: a request is held until its deadline and then fails.
    Sequence: the only slot is busy for longer than the deadline.
    Cause: the expected wait was not held against the deadline.
    """

    async def scenario():
        async with fleets.running(fleets.slow(2.0), slots=1) as fleet:
            first = asyncio.ensure_future(fleet.ask('/read/a'))
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            began = loop.time()
            answer = await fleet.ask('/tight/b')
            waited = loop.time() - began
            await first
            return answer, waited, len(fleet.runs)

    answer, waited, runs = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (503, 'not-run')
    assert float(answer.headers['retry-after']) > 0
    assert waited < 0.1
    assert runs == 1


def test_refusal_of_an_upstream_is_tried_elsewhere_and_told_as_not_run():
    async def shed(upstream, seen, writer):
        upstream.runs.pop()
        writer.write(setups.reply(b'full', 503, Caraway_Not_Run='1'))

    async def scenario():
        async with fleets.running(shed) as fleet:
            alone = await fleet.ask('/pay/a', 'POST', body=b'x')
        async with fleets.running(shed, fleets.serve) as fleet:
            both = [
                (await fleet.ask('/pay/a', 'POST', body=b'x')).status
                for _ in range(3)
            ]
        return alone, both

    alone, both = pipes.run(scenario())
    assert (alone.status, alone.outcome) == (503, 'not-run')
    assert both == [200, 200, 200]


def test_service_that_sheds_a_part_of_its_work_goes_on_serving():
    """Symptom: nearly all payouts are rejected for nine seconds.
    Sequence: all upstreams of a service shed a quarter of their requests.
    Cause: each shed request puts its upstream under suspicion; soon all
    stand under it, and the gateways refuse what upstreams would take.
    """
    rng = random.Random(5)

    async def script(upstream, seen, writer):
        if rng.random() < 0.25:
            mark = {'Caraway_Not_Run': '1'}
            writer.write(setups.reply(b'full', 503, **mark))
            return
        await fleets.slow(0.3)(upstream, seen, writer)

    async def scenario():
        async with fleets.running(*[script] * 4) as fleet:
            asked = []
            for step in range(200):
                one = fleet.ask('/pay/a', 'POST', node=step % 4, body=b'x')
                asked.append(asyncio.ensure_future(one))
                await asyncio.sleep(0.05)
            return [answer.status for answer in await asyncio.gather(*asked)]

    found = pipes.run(scenario())
    assert found.count(200) >= 0.9 * len(found)


def test_repeatable_request_that_fails_is_tried_elsewhere():
    async def scenario():
        async with fleets.running(fleets.fail, fleets.serve) as fleet:
            return [(await fleet.ask('/read/a')).status for _ in range(6)]

    assert pipes.run(scenario()) == [200] * 6


def test_repeat_goes_where_sound_work_was_seen_lately():
    """Symptom: searches fail although half of the upstreams are sound.
    Sequence: a search meets a gray upstream; its repeat goes to one that has
    turned gray, too, since it did its last sound work.
    Cause: only work that may run once is kept from upstreams of which no
    sound work was seen lately; a last repeat must not fail either.
    """

    async def scenario():
        turned = False

        async def turning(upstream, seen, writer):
            await (fleets.fail if turned else fleets.serve)(
                upstream, seen, writer
            )

        scripts = (None, fleets.fail, fleets.slow(0.6), turning)
        async with fleets.running(*scripts) as fleet:
            for step in range(40):
                name = 'r%d' % step
                # Two that fail, one of them with sound work longer ago.
                turned = step > 10
                before = len(fleet.nodes[1].upstream.runs)
                answer = await fleet.ask('/read/a', Caraway_Request_Id=name)
                assert answer.status == 200 or step < 3
                failed = len(fleet.nodes[1].upstream.runs) > before
                if failed and step > 20:
                    return fleet.nodes[2].events_of(name)
                await asyncio.sleep(0.5)

    story = pipes.run(scenario())
    told = [event.get('reason', event['event']) for event in story]
    assert told == ['began', 'ended']


def test_request_that_failed_is_no_trial_for_another_suspect():
    """Symptom: calls fail although sound upstreams have room.
    Sequence: a call is a trial for a gray upstream and fails; its repeat
    meets another gray one.
    Cause: the repeat is let through as a trial, too.
    """

    async def scenario():
        scripts = (fleets.fail, fleets.fail, fleets.serve)
        async with fleets.running(*scripts) as fleet:
            found = []
            for _ in range(40):
                found.append((await fleet.ask('/read/a')).status)
                await asyncio.sleep(0.3)
            return found

    found = pipes.run(scenario())
    # Both gray ones are unknown to begin with.
    assert found[3:].count(500) == 0


def test_wait_for_short_work_is_not_judged_by_long_work():
    """Symptom: a call is refused or sent to a gray upstream though a sound
    one would have served it in time.
    Sequence: upstreams do long work mostly; a short call has little time.
    Cause: the mean of all work is held against its deadline.
    """

    async def script(upstream, seen, writer):
        short = seen.line.startswith('GET /tight')
        await asyncio.sleep(0.02 if short else 1.0)
        writer.write(fleets.good(b'ok'))

    async def scenario():
        async with fleets.running(script, slots=1) as fleet:
            await fleet.ask('/read/a')
            await fleet.ask('/tight/a')
            long = asyncio.ensure_future(fleet.ask('/read/b'))
            await asyncio.sleep(0.9)
            answer = await fleet.ask('/tight/b')
            await long
            return answer.status

    assert pipes.run(scenario()) == 200


def test_work_that_can_not_be_repeated_avoids_an_upstream_that_failed():
    """Symptom: payouts fail one after another at one upstream.
    Sequence: it turns gray: fails all, while others are sound.
    Cause: nobody holds its failures against it.
    """

    async def scenario():
        async with fleets.running(fleets.fail, fleets.serve) as fleet:
            found = []
            for _ in range(10):
                answer = await fleet.ask('/pay/a', 'POST', body=b'x')
                found.append(answer.status)
            return found

    found = pipes.run(scenario())
    assert found.count(500) <= 1
    assert set(found) <= {200, 500}


def test_calls_have_the_rank_of_the_request_that_waits_for_them():
    budgets = retrying.Budgets(0.2, 0.0, 10.0, 'h')
    nested = nested_calls.NestedCalls(nesting.Payer(budgets))
    nested.run_started('a', 's', 2, False)
    assert nested.running_parent('a.1') == 'a'
    assert nested.rank('a.1', 1) == 2
    assert nested.rank('a.1', 3) == 3
    assert nested.rank('b.1', 1) == 1
    nested.run_ended('a')
    assert nested.running_parent('a.1') == ''
    assert nested.rank('a.1', 1) == 1
