"""Tests of the bound on repeats where upstreams call other services."""

import asyncio
import random

from carawaystair import manifest
from test import gateway_setup as fleets
from test import pipes

WINDOW_S = 10.0
RATIO = 0.2
SLACK = 8
REQUESTS = 1200
SPACING_S = 0.02
# One request of so many makes a call; the others earn repeats as well.
CALLING = 4
ROUTES = (
    manifest.Route('/pay/', 'portal', idempotent=False),
    manifest.Route('/read/', 'portal', idempotent=True, max_attempts=3),
    manifest.Route('/inner/', 'other', idempotent=True, max_attempts=3),
)


def arrivals_while_all_callers_fail():
    """Return when each call arrived, with its id; reads call, then fail.

    A call of a second run has the id of that of the first one.
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
            asked = []
            for number in range(REQUESTS):
                calls = number % CALLING == 0
                path, method = (
                    ('/read/', 'GET') if calls else ('/pay/', 'POST')
                )
                one = fleet.ask(path, method, rng.randrange(8))
                asked.append(asyncio.ensure_future(one))
                await asyncio.sleep(SPACING_S)
            await asyncio.gather(*asked)

    pipes.run(scenario())
    return arrivals


def test_calls_of_repeated_runs_stay_within_the_bound():
    """Guards against repeats of one service that flood the one it calls."""
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
