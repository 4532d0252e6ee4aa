"""Shares of customers, and what was shed, on the way through gateways."""

import asyncio

from carawaystair import manifest
from test import gateway_setup as fleets
from test import pipes

KEY = 'sesame-4711'
CUSTOMERS = {
    'large': manifest.Customer(keys=(KEY,)),
    'small': manifest.Customer(keys=('other',)),
}
ROUTES = (
    manifest.Route(
        '/pay/', 'portal', idempotent=False, goal_ms=1500, timeout_ms=20000
    ),
)


def ask(fleet, number, key=KEY):
    """Ask the first node to pay."""
    return fleet.ask(
        '/pay/%d' % number,
        'POST',
        body=b'x',
        Authorization='Bearer ' + key,
        Caraway_Deadline_Ms='20000',
    )


def played(scenario, *scripts, **options):
    """Run a scenario on a fleet whose callers need keys."""

    async def _play():
        async with fleets.running(
            *scripts, routes=ROUTES, customers=CUSTOMERS, **options
        ) as fleet:
            return await scenario(fleet)

    return pipes.run(_play())


def shedding_from_to(first, last):
    """Return a script that sheds the arrivals with these numbers."""
    arrivals = []

    async def script(upstream, seen, writer):
        arrivals.append(asyncio.get_running_loop().time())
        if first <= len(arrivals) <= last:
            writer.write(fleets.setups.reply(b'', 503, Caraway_Not_Run='1'))
            return
        await fleets.serve(upstream, seen, writer)

    return script, arrivals


def test_shed_requests_wait_for_the_budget_and_run_once():
    """Guards against rejecting what upstreams shed while its deadline is far,
    and against sends beyond the budget.  Upstreams shed what arrives for some
    seconds, of ten requests a second: many more than the fifth that may be
    sent again in ten seconds.
    """
    script, arrivals = shedding_from_to(101, 150)

    async def scenario(fleet):
        tasks = []
        for number in range(250):
            tasks.append(asyncio.create_task(ask(fleet, number)))
            await asyncio.sleep(0.1)
        found = await asyncio.gather(*tasks)
        lines = b''.join(fleet.nodes[0].lines.lines)
        return found, lines

    found, lines = played(
        scenario, script, script, script, retry_ratio=0.2, retry_slack=0
    )
    assert b'"awaited-budget"' in lines
    assert all(answer.status in (200, 503) for answer in found)
    # What waits has a place of its own in the budget: nearly all are served.
    assert sum(answer.status == 200 for answer in found) >= 0.95 * len(found)
    bodies = [answer for answer in found if answer.status == 200]
    assert len(arrivals) - 50 == len(bodies)
    # No more than a fifth of 100 requests in any ten seconds.
    assert len(arrivals) - len(found) <= 0.2 * 100 * 2.5


def test_small_customer_is_served_before_the_backlog_of_a_large_one():
    """Guards against a customer that fills the queue of an upstream and takes
    the room of another one.
    """

    async def scenario(fleet):
        order = []

        async def one(number, key):
            answer = await ask(fleet, number, key)
            order.append((key, answer.status))

        large = [asyncio.create_task(one(n, KEY)) for n in range(8)]
        await asyncio.sleep(0.2)
        await one(9, 'other')
        await asyncio.gather(*large)
        samples = list(fleet.nodes[0].service.request_metrics.samples())
        return order, samples

    order, samples = played(scenario, fleets.slow(0.5), slots=1)
    place = [key for key, _status in order].index('other')
    # One request ran, and one may have begun before it.
    assert place <= 2
    assert order[place][1] == 200
    seconds = {
        dict(sample.labels)['customer']: sample.value
        for sample in samples
        if sample.name == 'gateway_customer_seconds_total'
    }
    assert seconds['large'] > seconds['small'] >= 0.5


def test_stopping_node_rejects_what_waits_for_the_budget():
    """Guards against a stop that waits for, or cuts off, requests that are
    held for the retry budget: they are told that they were not run.
    """
    script, _arrivals = shedding_from_to(31, 99)

    async def scenario(fleet):
        for number in range(30):
            await ask(fleet, number)
        tasks = [
            asyncio.create_task(ask(fleet, number)) for number in range(30, 40)
        ]
        await asyncio.sleep(1.0)
        dispatcher = fleet.nodes[0].service.dispatcher
        waiting = sum(map(len, dispatcher.budget_waits.priorities.values()))
        dispatcher.stop(asyncio.get_running_loop().time())
        found = await asyncio.gather(*tasks)
        return waiting, found, dispatcher.budget_waits.priorities

    waiting, found, left = played(
        scenario, script, script, script, retry_ratio=0.2, retry_slack=0
    )
    assert waiting and not left
    assert {(one.status, one.outcome) for one in found} == {(503, 'not-run')}
