"""Requests that crash the upstreams that run them."""

import asyncio
import contextlib
import random

import pytest

from carawaystair import clock
from carawaystair import codes
from test import gateway_setup as fleets
from test import pipes

# Time after which a crashed upstream is back, seconds.
DOWN_S = 2.0
# Time after which a request crashes its upstream, seconds.
CRASH_S = 0.08
WORK_S = 0.3
# Size of a body that nodes do not buffer.
LONG_BYTES = 100_000
# The beginning of an answer that is streamed.
ANSWER_START = (
    b'HTTP/1.1 200 X\r\nX-Receipt: r\r\nContent-Length: 400000\r\n\r\n'
    + b'x' * 200_000
)
# Time after which facts about a request are known on all nodes, seconds.
DISSEMINATION_S = 3.0
# Upstreams that a request crashes before it is refused, and sends that may
# reach an upstream after all nodes know of that.
LIMIT = 3
MAX_LATER = 3


class CrashScenario:
    """A fleet whose upstreams crash when they run certain requests.

    :param fleet: the fleet.
    """

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.rng = random.Random(1)
        self.restarting: set[asyncio.Task] = set()
        # When upstreams crashed.
        self.crashed: list[float] = []
        # Whether upstreams crash whatever they run.
        self.all_crash = False
        # When requests that crash upstreams reached one.
        self.reached: list[float] = []
        for node in fleet.nodes:
            if node.upstream is not None:
                node.upstream.script = self.script

    async def script(self, upstream, seen, writer) -> None:
        """Work, or crash if the path says so."""
        if 'crash' not in seen.line and not self.all_crash:
            await asyncio.sleep(WORK_S)
            writer.write(fleets.good(upstream.name.encode()))
            return
        self.reached.append(clock.now())
        crashes = upstream.crashes
        if 'download' in seen.line:
            writer.write(ANSWER_START)
        await asyncio.sleep(CRASH_S)
        if upstream.crashes == crashes:
            self.crash(upstream)

    def crash(self, upstream) -> None:
        """Crash an upstream and start a new process in its place."""
        self.crashed.append(clock.now())
        upstream.crash()
        task = asyncio.ensure_future(self._restart(upstream))
        self.restarting.add(task)
        task.add_done_callback(self.restarting.discard)

    async def _restart(self, upstream) -> None:
        await asyncio.sleep(DOWN_S)
        await upstream.start()
        node = next(n for n in self.fleet.nodes if n.upstream is upstream)
        node.announce()

    async def ask(self, path: str, method: str = 'GET'):
        """Send a request to a random node; return its answer."""
        node = self.rng.randrange(len(self.fleet.nodes))
        body = b'x' if method == 'POST' else b''
        if path.endswith('/long'):
            body *= LONG_BYTES
        with contextlib.suppress(asyncio.IncompleteReadError):
            return await self.fleet.ask(path, method, node, body=body)
        return None

    async def keep_asking(self, path: str, seconds: float, pause_s: float):
        """Send requests at intervals; return the answers.

        :param path: path with a placeholder for the number of the request.
        """
        method = 'POST' if path.startswith('/pay/') else 'GET'
        asking = []
        for number in range(round(seconds / pause_s)):
            text = path % number if '%' in path else path
            asking.append(asyncio.ensure_future(self.ask(text, method)))
            await asyncio.sleep(pause_s)
        return await asyncio.gather(*asking)


def count_after(times: list[float], since: float) -> int:
    """Return how many of the times are after another one."""
    return sum(when > since for when in times)


@pytest.mark.parametrize(
    'path',
    ['/read/crash', '/pay/crash', '/pay/crash/long', '/read/crash/download'],
)
def test_request_that_crashed_three_upstreams_reaches_no_others(path):
    """Guards against a request that crashes one upstream after another."""

    async def scenario():
        async with fleets.running(*[fleets.serve] * 8) as fleet:
            crashes = CrashScenario(fleet)
            harmless = asyncio.ensure_future(
                crashes.keep_asking('/read/%d', 25.0, 0.1)
            )
            await asyncio.sleep(1.0)
            await crashes.keep_asking(path, 20.0, 0.5)
            return crashes, await harmless

    crashes, harmless = pipes.run(scenario())
    known_at = crashes.crashed[LIMIT - 1] + DISSEMINATION_S
    assert count_after(crashes.reached, known_at) <= MAX_LATER
    assert [answer.status for answer in harmless[-150:]] == [200] * 150


def refused_count(answers) -> int:
    """Return how many requests were refused because they crash upstreams."""
    code = codes.CRASHES_UPSTREAMS.label
    return sum(
        answer.headers.get('caraway-code') == code for answer in answers
    )


@pytest.mark.parametrize('path', ['/read/crash', '/pay/crash'])
def test_requests_that_ran_next_to_a_crashing_one_are_served(path):
    """Guards against harmless requests that are refused for having run on
    the same upstream.
    """

    async def scenario():
        async with fleets.running(*[fleets.serve] * 8) as fleet:
            crashes = CrashScenario(fleet)
            harmless = asyncio.gather(
                crashes.keep_asking('/read/%d', 25.0, 0.05),
                crashes.keep_asking('/read/popular', 25.0, 0.2),
                crashes.keep_asking('/pay/%d', 25.0, 0.2),
            )
            await asyncio.sleep(1.0)
            crashing = await crashes.keep_asking(path, 20.0, 0.5)
            return crashing, sum(await harmless, [])

    crashing, harmless = pipes.run(scenario())
    assert refused_count(crashing) > len(crashing) / 2
    assert {answer.status for answer in crashing[-10:]} == {503}
    assert refused_count(harmless) == 0


def test_requests_are_served_while_upstreams_crash_for_other_reasons():
    """Guards against harmless requests that are refused for such crashes."""

    async def scenario():
        async with fleets.running(*[fleets.serve] * 8) as fleet:
            crashes = CrashScenario(fleet)
            harmless = asyncio.gather(
                crashes.keep_asking('/read/%d', 30.0, 0.05),
                crashes.keep_asking('/read/popular', 30.0, 0.05),
            )
            for _round in range(6):
                await asyncio.sleep(4.0)
                for node in crashes.rng.sample(fleet.nodes, 4):
                    crashes.crash(node.upstream)
            return crashes, sum(await harmless, [])

    crashes, harmless = pipes.run(scenario())
    assert len(crashes.crashed) == 24
    assert refused_count(harmless) == 0


def test_reset_connections_are_not_taken_for_crashes():
    """Guards against requests refused for connections that were lost."""

    async def scenario():
        async with fleets.running(*[fleets.serve] * 4) as fleet:
            crashes = CrashScenario(fleet)
            harmless = asyncio.ensure_future(
                crashes.keep_asking('/read/popular', 10.0, 0.05)
            )
            loop = asyncio.get_running_loop()
            for number in range(9):
                await asyncio.sleep(1.0)
                loop.reset(fleet.nodes[number % 4].upstream.port)
            await harmless
            return [node.quarantine.list_suspects() for node in fleet.nodes]

    assert pipes.run(scenario()) == [[]] * 4


def test_upstream_that_leaves_is_not_taken_for_a_crash():
    async def scenario():
        async with fleets.running(None, fleets.slow(0.5)) as fleet:
            upstream = fleet.nodes[1].upstream
            asking = asyncio.ensure_future(fleet.ask('/read/a'))
            await asyncio.sleep(0.2)
            fleet.nodes[1].announce('draining')
            upstream.crash()
            await asking
            await asyncio.sleep(1.0)
            return fleet.nodes[0].quarantine.list_suspects()

    assert pipes.run(scenario()) == []


def test_crash_during_a_long_answer_counts():
    """Guards against a download that crashes one upstream after another."""

    async def start_and_crash(upstream, _seen, writer):
        writer.write(ANSWER_START)
        await asyncio.sleep(0.2)
        upstream.crash()

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            await fleet.ask('/read/warm')
            fleet.nodes[1].upstream.script = start_and_crash
            with contextlib.suppress(asyncio.IncompleteReadError):
                await fleet.ask('/read/long')
            await asyncio.sleep(1.0)
            return fleet.nodes[0].quarantine.list_suspects()

    (suspect,) = pipes.run(scenario())
    assert suspect.upstreams == ('u9001/1',)


def test_crash_counts_although_the_upstream_restarts_at_once():
    """Guards against unnoticed crashes when the address answers again."""

    async def scenario():
        async with fleets.running(None, fleets.slow(0.5)) as fleet:
            node = fleet.nodes[1]
            await fleet.ask('/read/warm')
            asking = asyncio.ensure_future(fleet.ask('/read/a'))
            await asyncio.sleep(0.2)
            node.upstream.crash()
            await node.upstream.start()
            await asyncio.sleep(1.0)
            before = fleet.nodes[0].quarantine.list_suspects()
            node.announce()
            await asking
            await asyncio.sleep(1.0)
            return before, fleet.nodes[0].quarantine.list_suspects()

    before, after = pipes.run(scenario())
    assert before == []
    assert [suspect.upstreams for suspect in after] == [('u9001/1',)]


def test_caller_is_refused_at_once_and_the_log_gives_the_reason():
    async def scenario():
        async with fleets.running(*[fleets.serve] * 4) as fleet:
            crashes = CrashScenario(fleet)
            await crashes.keep_asking('/read/%d', 2.0, 0.1)
            await crashes.keep_asking('/read/crash', 3.0, 0.5)
            began = clock.now()
            answer = await fleet.ask('/read/crash')
            took_s = clock.now() - began
            node = fleet.nodes[0]
            (event,) = node.events_of(answer.headers['caraway-request-id'])
            return answer, took_s, event, node.quarantine.list_suspects()

    answer, took_s, event, (suspect,) = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (503, codes.NOT_RUN)
    assert answer.code == codes.CRASHES_UPSTREAMS.label
    assert float(answer.headers['retry-after']) > 30
    assert took_s < 0.01
    assert event['digest'] == suspect.digest
    assert all(name in event['detail'] for name in suspect.upstreams)


def test_no_request_stays_refused_after_a_release_that_crashed_at_all():
    """Guards against an outage that outlasts its cause.

    A release of the upstream crashes at every request and is then replaced.
    """

    async def scenario():
        async with fleets.running(*[fleets.serve] * 8) as fleet:
            crashes = CrashScenario(fleet)
            harmless = asyncio.gather(
                crashes.keep_asking('/read/popular', 30.0, 0.1),
                crashes.keep_asking('/read/%d', 30.0, 0.1),
            )
            await asyncio.sleep(5.0)
            crashes.all_crash = True
            await asyncio.sleep(14.0)
            crashes.all_crash = False
            return crashes, sum(await harmless, [])

    crashes, harmless = pipes.run(scenario())
    assert len(crashes.crashed) > 24
    assert refused_count(harmless) == 0
