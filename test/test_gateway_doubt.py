"""Gateways that are late with what shows that they have a request."""

import asyncio

import pytest

from test import gateway_setup as fleets
from test import pipes

# More than any sign of life is waited for.
LATE_S = 0.5
WORK_S = 0.7


async def asked(fleet, path: str, method: str) -> asyncio.Task:
    """Ask the first node; return once the only upstream runs it."""
    await fleet.ask('/read/warm')
    body = b'x' if method == 'POST' else b''
    asking = asyncio.ensure_future(fleet.ask(path, method, body=body))
    while not any(path in seen.line for seen in fleet.runs):
        await asyncio.sleep(0.01)
    return asking


def ran(fleet, path: str) -> int:
    """Return how often a request was run."""
    return sum(path in seen.line for seen in fleet.runs)


@pytest.mark.parametrize('stops', [False, True], ids=['steady', 'stopping'])
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_run_is_not_broken_off_while_its_gateways_signs_are_late(
    method, stops
):
    """Guards against 502 for a run in progress whose gateway has a full link,
    also while both nodes stop.
    """
    path = '/read/x' if method == 'GET' else '/pay/x'

    async def scenario():
        script = fleets.slow(WORK_S)
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await asked(fleet, path, method)
            asyncio.get_running_loop().queue(7001, LATE_S)
            if stops:
                for node in fleet.nodes:
                    asyncio.ensure_future(node.service.stop())
            answer = await asking
            gone = fleet.nodes[1].upstream.gone
            return answer.status, ran(fleet, path), gone

    assert pipes.run(scenario()) == (200, 1, 0)


@pytest.mark.parametrize('gap_s', [0.3, 0.6, 1.2])
def test_repeatable_run_is_found_again_after_its_gateway_was_cut_off(gap_s):
    """Guards against giving up a run that nothing can take the place of."""

    async def scenario():
        script = fleets.slow(2.0)
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await asked(fleet, '/read/x', 'GET')
            loop = asyncio.get_running_loop()
            loop.swallowing.add('127.0.0.1:7001')
            loop.reset(7001)
            await asyncio.sleep(gap_s)
            loop.swallowing.clear()
            answer = await asking
            return answer.status, ran(fleet, '/read/x')

    assert pipes.run(scenario()) == (200, 1)
