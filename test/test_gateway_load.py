"""Placement and queueing at gateways under load and with failing upstreams."""

import asyncio
import random

from carawaystair.gateway import call_tracker
from carawaystair.load import nested_call_budget
from carawaystair.load import retry_budget
from carawaystair import manifest
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups


def test_full_gateway_refuses_at_once_and_another_one_serves():
    """Guards against requests that wait although another upstream is free.

    Only the gateway knows the load of its upstream, so it must refuse at once
    when the slot is taken.
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
    """Guards against requests that are held until their deadlines and fail.

    The only slot is busy for longer than the request's deadline.
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


def test_request_shed_by_an_upstream_is_retried_elsewhere_or_not_run():
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


def test_service_that_sheds_a_part_of_its_load_is_still_used():
    """Guards against rejecting nearly all non-idempotent requests.

    All upstreams of a service shed a quarter of their requests.  If shedding
    made an upstream suspect, soon all would be, and the gateways would refuse
    what the upstreams would take.
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
            requests = []
            for step in range(200):
                one = fleet.ask('/pay/a', 'POST', node=step % 4, body=b'x')
                requests.append(asyncio.ensure_future(one))
                await asyncio.sleep(0.05)
            return [
                answer.status for answer in await asyncio.gather(*requests)
            ]

    found = pipes.run(scenario())
    assert found.count(200) >= 0.9 * len(found)


def test_idempotent_request_that_fails_is_retried_elsewhere():
    async def scenario():
        async with fleets.running(fleets.fail, fleets.serve) as fleet:
            return [(await fleet.ask('/read/a')).status for _ in range(6)]

    assert pipes.run(scenario()) == [200] * 6


def test_retry_goes_to_an_upstream_that_succeeded_recently():
    """Guards against idempotent requests that fail although half of the
    upstreams are healthy.

    A request fails at one upstream, and its retry, which is its last, would
    go to another that has begun to fail since its last success.
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
                # Two upstreams fail; one of them succeeded until recently.
                turned = step > 10
                before = len(fleet.nodes[1].upstream.runs)
                answer = await fleet.ask('/read/a', Caraway_Request_Id=name)
                assert answer.status == 200 or step < 3
                failed = len(fleet.nodes[1].upstream.runs) > before
                if failed and step > 20:
                    return fleet.nodes[2].events_of(name)
                await asyncio.sleep(0.5)

    events = pipes.run(scenario())
    names = [event.get('reason', event['event']) for event in events]
    assert names == ['began', 'ended']


def test_retry_is_not_used_as_a_trial_of_another_suspect():
    """Guards against requests that fail although healthy upstreams have room.

    A request is a trial of a failing upstream and fails, and its retry is let
    through as a trial of another failing one.
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
    # Nothing is known of the failing upstreams at first.
    assert found[3:].count(500) == 0


def test_wait_for_short_requests_is_not_judged_by_long_ones():
    """Guards against refusing a request that would be served in time.

    Upstreams mostly run long requests; a short one has little time.  The mean
    service time of all requests must not be compared with its deadline.
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


def test_non_idempotent_requests_avoid_an_upstream_that_failed():
    """Guards against requests that fail one after another at one upstream
    while others are healthy.
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


def test_nested_calls_have_the_priority_of_the_waiting_request():
    budgets = retry_budget.Budgets(0.2, 0.0, 10.0, 'h')
    nested = call_tracker.NestedCallTracker(
        nested_call_budget.NestedCallBudget(budgets)
    )
    nested.run_started('a', 's', 2, False)
    assert nested.running_parent('a.1') == 'a'
    assert nested.rank('a.1', 1) == 2
    assert nested.rank('a.1', 3) == 3
    assert nested.rank('b.1', 1) == 1
    nested.run_ended('a')
    assert nested.running_parent('a.1') == ''
    assert nested.rank('a.1', 1) == 1


def test_nested_call_waits_for_a_sound_upstream():
    """Guards against orders lost by calls that went to gray upstreams.

    Of the called service one upstream is busy for a second and the other one
    resets what it gets.  A call that is a second late harms nobody; if it
    fails, the work of the order that waits for it is lost.
    """

    async def busy(upstream, seen, writer):
        await asyncio.sleep(1.0 if 'long' in seen.line else 0.05)
        await fleets.serve(upstream, seen, writer)

    async def reset(upstream, seen, writer):
        writer.transport.abort()

    async def order(upstream, seen, writer):
        node = upstream.port - 9000
        name = seen.headers['caraway-request-id'] + '.1'
        answer = await fleet_of[0].ask(
            '/inner/x', node=node, Caraway_Request_Id=name
        )
        reply = fleets.serve if answer.status == 200 else fleets.fail
        await reply(upstream, seen, writer)

    fleet_of = []
    routes = (
        manifest.Route('/pay/', 'portal', idempotent=False, goal_ms=3000),
        manifest.Route('/inner/', 'other', idempotent=True, goal_ms=500),
    )

    async def scenario():
        async with fleets.running(
            order,
            busy,
            reset,
            routes=routes,
            services=('portal', 'other', 'other'),
            slots=1,
            retry_ratio=0.0,
            retry_slack=0,
        ) as fleet:
            fleet_of.append(fleet)
            # The upstreams show how they are.
            for number in range(40):
                await fleet.ask('/inner/%d' % number)
                await asyncio.sleep(0.1)
            statuses = []
            for number in range(10):
                long = asyncio.ensure_future(fleet.ask('/inner/long'))
                await asyncio.sleep(0.1)
                answer = await fleet.ask('/pay/%d' % number, 'POST')
                statuses.append(answer.status)
                await long
                await asyncio.sleep(0.3)
            return statuses

    statuses = pipes.run(scenario())
    assert statuses.count(200) >= 8
