"""Hedging: second runs of requests that take too long."""

import asyncio

from carawaystair.load import hedge_delay
from carawaystair import manifest
from test import gateway_setup as fleets
from test import pipes

TYPICAL_S = 0.3
ROUTES = (
    manifest.Route('/pay/', 'portal', idempotent=False, goal_ms=2000),
    manifest.Route('/read/', 'portal', idempotent=True, goal_ms=2000),
    manifest.Route(
        '/one/', 'portal', idempotent=True, goal_ms=2000, max_attempts=1
    ),
)


class HangingUpstreams:
    """Upstreams of which some begin to hang."""

    def __init__(self, hanging: int) -> None:
        self.hanging = hanging
        self.hangs = False

    def script(self, number: int):
        """Return the script of one upstream."""

        async def run(upstream, seen, writer):
            if self.hangs and number <= self.hanging:
                await asyncio.sleep(60.0)
            await asyncio.sleep(TYPICAL_S)
            writer.write(fleets.good(upstream.name.encode()))

        return run

    def running(self, upstreams: int, **options):
        """Run a node without an upstream and several with one."""
        scripts = [self.script(number + 1) for number in range(upstreams)]
        return fleets.running(None, *scripts, routes=ROUTES, **options)


async def ask_repeatedly(fleet, path: str, method: str, times: int):
    """Send requests one after the other; return statuses and durations."""
    loop = asyncio.get_running_loop()
    found = []
    for _time in range(times):
        began = loop.time()
        body = b'x' if method == 'POST' else b''
        answer = await fleet.ask(path, method, body=body)
        found.append((answer.status, loop.time() - began))
        await asyncio.sleep(0.2)
    return found


def play(path: str, method: str = 'GET', hanging: int = 1, **options):
    """Send requests while some of three upstreams hang.

    :return: statuses and durations, number of runs, number of runs that are
        left over, and number of hedges that answered.
    """
    upstreams = HangingUpstreams(hanging)

    async def scenario():
        async with upstreams.running(3, **options) as fleet:
            await ask_repeatedly(fleet, path, method, 6)
            before = len(fleet.runs)
            upstreams.hangs = True
            found = await ask_repeatedly(fleet, path, method, 6)
            await asyncio.sleep(1.0)
            left = sum(
                slots.queue.running
                for node in fleet.nodes
                for slots in node.service.executor.slots.values()
            )
            hedged = fleet.nodes[0].service.dispatcher.hedged
            return found, len(fleet.runs) - before, left, hedged

    return pipes.run(scenario())


def test_hanging_request_is_answered_by_another_upstream():
    """Guards against idempotent requests that stay with a hanging upstream
    until their callers leave.
    """
    found, _runs, left, hedged = play('/read/a')
    assert [status for status, _s in found] == [200] * 6
    assert (
        max(s for _status, s in found)
        < (hedge_delay.OVERDUE_FACTOR + 1.5) * TYPICAL_S
    )
    assert hedged > 0
    # The slower runs are cancelled.
    assert left == 0


def test_non_idempotent_request_is_never_hedged():
    found, runs, _left, hedged = play('/pay/a', 'POST')
    assert runs == len(found)
    assert hedged == 0


def test_route_with_one_attempt_is_not_hedged():
    found, runs, _left, hedged = play('/one/a')
    assert runs == len(found)
    assert hedged == 0


def test_hedges_stay_within_the_retry_budget():
    """All upstreams hang, so that each hedge would hang as well."""
    _found, runs, _left, _hedged = play(
        '/read/a', hanging=3, retry_ratio=0.0, retry_slack=0
    )
    assert runs == 6


def test_hedge_does_not_wait_for_a_slot():
    """While all other upstreams are full, a late request stays where it is."""
    upstreams = HangingUpstreams(1)

    async def scenario():
        async with upstreams.running(2, slots=1) as fleet:
            await ask_repeatedly(fleet, '/read/a', 'GET', 6)
            busy = asyncio.ensure_future(
                ask_repeatedly(fleet, '/pay/b', 'POST', 8)
            )
            await asyncio.sleep(0.1)
            await ask_repeatedly(fleet, '/read/c', 'GET', 4)
            await busy
            return [
                max(0, len(slots.queue.waiting))
                for node in fleet.nodes
                for slots in node.service.executor.slots.values()
            ]

    assert pipes.run(scenario()) == [0, 0]


def test_requests_of_typical_duration_run_once():
    """Also the first ones of a route, whose service time is not known yet."""
    upstreams = HangingUpstreams(0)

    async def scenario():
        async with upstreams.running(3) as fleet:
            found = await ask_repeatedly(fleet, '/read/a', 'GET', 10)
            return len(found), len(fleet.runs)

    count, runs = pipes.run(scenario())
    assert count == runs
