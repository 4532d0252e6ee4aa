"""Retry budgets where upstreams call other services."""

import asyncio
import json
import random

from carawaystair import clock
from carawaystair import explain
from carawaystair import manifest
from test import gateway_setup as fleets
from test import pipes

WINDOW_S = 10.0
RATIO = 0.2
SLACK = 8
LARGE_SLACK = 50
REQUESTS = 1200
SPACING_S = 0.02
SPARSE_S = 0.2
# One request in this number makes a call; the others raise the budget only.
CALLING = 4
ROUTES = (
    manifest.Route('/pay/', 'portal', idempotent=False),
    manifest.Route('/read/', 'portal', idempotent=True, max_attempts=3),
    manifest.Route('/inner/', 'other', idempotent=True, max_attempts=3),
)


def arrivals_while_all_callers_fail():
    """Return the arrivals of nested calls, as pairs of time and id.

    Reads make a call and then fail.  A nested call of a second run has the
    same id as that of the first one.
    """
    arrivals = []
    fleet_of = []

    async def call_and_fail(upstream, seen, writer):
        if '/pay/' in seen.line:
            await fleets.serve(upstream, seen, writer)
            return
        name = seen.headers['caraway-request-id'] + '.1'
        node = upstream.port - 9000
        await fleet_of[0].ask('/inner/a', node=node, Caraway_Request_Id=name)
        await fleets.fail(upstream, seen, writer)

    async def note(upstream, seen, writer):
        name = seen.headers['caraway-request-id']
        arrivals.append((asyncio.get_running_loop().time(), name))
        await fleets.serve(upstream, seen, writer)

    async def scenario():
        rng = random.Random(3)
        options = {
            'routes': ROUTES,
            'services': ('portal',) * 6 + ('other',) * 2,
            'retry_ratio': RATIO,
            'retry_slack': SLACK,
        }
        scripts = [call_and_fail] * 6 + [note] * 2
        async with fleets.running(*scripts, **options) as fleet:
            fleet_of.append(fleet)
            requests = []
            for number in range(REQUESTS):
                calls = number % CALLING == 0
                path, method = (
                    ('/read/', 'GET') if calls else ('/pay/', 'POST')
                )
                one = fleet.ask(path, method, rng.randrange(8))
                requests.append(asyncio.ensure_future(one))
                await asyncio.sleep(SPACING_S)
            await asyncio.gather(*requests)

    pipes.run(scenario())
    return arrivals


def test_nested_calls_of_retries_stay_within_the_budget():
    """Guards against retries of one service that overload the one it calls."""
    arrivals = arrivals_while_all_callers_fail()
    seen = set()
    beyond = []
    for when, name in arrivals:
        if name in seen:
            beyond.append(when)
        seen.add(name)
    last_s = REQUESTS * SPACING_S - WINDOW_S
    for start in range(int(last_s)):
        end = start + WINDOW_S
        names = {name for when, name in arrivals if start <= when < end}
        extra = sum(start <= when < end for when in beyond)
        assert extra <= RATIO * len(names) + SLACK


def arrivals_of_many_callers(first_run_s):
    """Return the arrivals of nested calls, as pairs of time and id.

    All requests of three services call a fourth one, and all fail.  Then all
    nodes restart and the same happens again.

    :param first_run_s: duration before the restart, seconds.
    """
    callers = ('portal', 'shop', 'desk')
    arrivals = []
    fleet_of = []

    async def call_and_fail(upstream, seen, writer):
        name = seen.headers['caraway-request-id'] + '.1'
        node = upstream.port - 9000
        await fleet_of[-1].ask('/inner/a', node=node, Caraway_Request_Id=name)
        await fleets.fail(upstream, seen, writer)

    async def note(upstream, seen, writer):
        name = seen.headers['caraway-request-id']
        arrivals.append((asyncio.get_running_loop().time(), name))
        await fleets.fail(upstream, seen, writer)

    async def run_fleet(name, length_s, options):
        scripts = [call_and_fail] * 6 + [note] * 2
        async with fleets.running(*scripts, **options) as fleet:
            fleet_of.append(fleet)
            requests = []
            for number in range(int(length_s / SPARSE_S)):
                one = fleet.ask(
                    '/%s/' % callers[number % 3],
                    node=number % 8,
                    Caraway_Request_Id='%s%d' % (name, number),
                )
                requests.append(asyncio.ensure_future(one))
                await asyncio.sleep(SPARSE_S)
            await asyncio.gather(*requests)

    async def scenario():
        options = {
            'routes': tuple(
                manifest.Route(
                    '/%s/' % prefix, service, idempotent=True, max_attempts=3
                )
                for prefix, service in (
                    *zip(callers, callers, strict=True),
                    ('inner', 'other'),
                )
            ),
            'services': tuple(sorted(callers * 2)) + ('other',) * 2,
            'retry_ratio': RATIO,
            'retry_slack': LARGE_SLACK,
        }
        await run_fleet('a', first_run_s, options)
        await run_fleet('b', WINDOW_S, options)

    pipes.run(scenario())
    return arrivals


def test_services_that_call_the_same_one_share_its_slack():
    """Guards against a slack that each calling service uses on its own."""
    arrivals = arrivals_of_many_callers(2 * WINDOW_S)
    seen = set()
    beyond = []
    for when, name in arrivals:
        if name in seen:
            beyond.append(when)
        seen.add(name)
    first_s = arrivals[0][0]
    for start in range(int(2 * WINDOW_S)):
        begin = first_s + start
        end = begin + WINDOW_S
        names = {name for when, name in arrivals if begin <= when < end}
        extra = sum(begin <= when < end for when in beyond)
        assert extra <= RATIO * len(names) + LARGE_SLACK


def retry_counts(fleet):
    """Return the retries that gateways counted and that upstreams received."""
    budgets = [
        n.service.executor.retry_budgets.for_service('portal')
        for n in fleet.nodes
    ]
    ids = [seen.headers['caraway-request-id'] for seen in fleet.runs]
    counted = sum(budget.total_retries for budget in budgets)
    return counted, len(ids) - len(set(ids))


def refusal_reasons(fleet):
    """Return the reasons for which gateways refused requests."""
    lines = [json.loads(one) for n in fleet.nodes for one in n.lines.lines]
    return {one['reason'] for one in lines if one['event'] == 'declining'}


def test_retry_without_budget_for_its_nested_calls_leaves_the_slack():
    """Guards against retries that did not start but used up the slack."""

    async def scenario():
        scripts = (fleets.fail, fleets.serve, fleets.serve)
        options = {'retry_ratio': 0.0, 'retry_slack': LARGE_SLACK}
        async with fleets.running(*scripts, **options) as fleet:
            for node in fleet.nodes:
                budget = node.service.executor.nested_calls.budget
                budget.record_refusal('other', clock.now())
                budget.counts.record_run('portal')
                for _call in range(LARGE_SLACK):
                    budget.counts.record_call('portal', 'other')
            for _time in range(6):
                await fleet.ask('/read/a')
            return refusal_reasons(fleet), retry_counts(fleet)

    reasons, counted = pipes.run(scenario())
    assert 'spent' in reasons
    assert counted == (0, 0)


def test_retry_that_finds_no_slot_leaves_the_slack():
    """Guards against a slack that is used up by offers to busy gateways."""

    async def scenario():
        scripts = (fleets.fail, fleets.slow(1.5), fleets.slow(1.5))
        options = {
            'retry_ratio': 0.0,
            'retry_slack': LARGE_SLACK,
            'slots': 1,
        }
        async with fleets.running(*scripts, **options) as fleet:
            requests = []
            for _time in range(20):
                requests.append(asyncio.ensure_future(fleet.ask('/read/a')))
                await asyncio.sleep(0.2)
            await asyncio.gather(*requests)
            return refusal_reasons(fleet), retry_counts(fleet)

    reasons, (counted, received) = pipes.run(scenario())
    assert 'busy' in reasons
    assert counted == received > 0


def test_log_tells_which_sends_are_repeats_and_who_paid():
    """Guards against repeats whose payer can't be found after the fact."""

    async def scenario(**options):
        scripts = (fleets.fail, fleets.fail, fleets.fail)
        async with fleets.running(*scripts, **options) as fleet:
            for _time in range(30):
                await fleet.ask('/read/a')
                await asyncio.sleep(0.5)
            return [
                json.loads(one)
                for node in fleet.nodes
                for one in node.lines.lines
            ]

    for options, payer in (
        ({'retry_ratio': 0.0, 'retry_slack': LARGE_SLACK}, 'slack'),
        ({'retry_ratio': 0.5, 'retry_slack': 0}, 'sender'),
    ):
        lines = pipes.run(scenario(**options))
        began = [one for one in lines if one['event'] == 'began']
        began.sort(key=lambda one: one['number'])
        ids = [one['id'] for one in began]
        told = {
            (one['id'] in ids[:place], one['repeat'], one['paid'])
            for place, one in enumerate(began)
        }
        assert told == {(False, '', ''), (True, 'send', payer)}
        assert {one['paid_ms'] >= 0 for one in began if one['repeat']} == {
            payer == 'slack'
        }
        assert 'charged to the ' + payer in ' '.join(
            map(explain.sentence, began)
        )


def test_new_process_does_not_spend_what_the_previous_one_may_have_spent():
    """Guards against nodes that retry right after a start: they don't know
    what their previous processes have spent in the same window.
    """

    async def scenario(pause_s):
        scripts = (fleets.fail, fleets.fail)
        options = {'retry_ratio': 0.5, 'retry_slack': 0}
        async with fleets.running(*scripts, **options) as fleet:
            for _time in range(30):
                await fleet.ask('/read/a')
                await asyncio.sleep(pause_s)
            ids = [seen.headers['caraway-request-id'] for seen in fleet.runs]
            return len(ids) - len(set(ids))

    assert pipes.run(scenario(0.1)) == 0
    assert pipes.run(scenario(0.5)) > 0


def test_call_of_a_repeat_that_was_given_up_is_a_repeat():
    """Guards against calls that nobody pays for and that earn retries: an
    upstream goes on with a repeat whose caller has left, and calls others.
    """
    fleet_of = []

    async def call_late(upstream, seen, writer):
        if upstream.name == 'u9000':
            await fleets.fail(upstream, seen, writer)
            return
        await asyncio.sleep(1.0)
        name = seen.headers['caraway-request-id'] + '.1'
        await fleet_of[0].ask('/inner/a', node=1, Caraway_Request_Id=name)

    async def scenario():
        options = {
            'routes': ROUTES,
            'services': ('portal', 'portal', 'other'),
            'retry_ratio': 0.0,
            'retry_slack': LARGE_SLACK,
        }
        scripts = (call_late, call_late, fleets.serve)
        async with fleets.running(*scripts, **options) as fleet:
            fleet_of.append(fleet)
            for _time in range(4):
                await fleet.ask('/read/a', Caraway_Deadline_Ms='400')
                await asyncio.sleep(2.0)
            return [
                one
                for node in fleet.nodes
                for one in map(json.loads, node.lines.lines)
                if one['event'] == 'began'
            ]

    began = pipes.run(scenario())
    repeats = {one['id'] for one in began if one['repeat'] == 'send'}
    calls = [one for one in began if one['service'] == 'other']
    of_repeats = [one for one in calls if one['id'][:-2] in repeats]
    assert of_repeats
    assert {(one['repeat'], one['paid']) for one in of_repeats} == {
        ('call', 'slack')
    }
