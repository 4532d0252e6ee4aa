"""Requests that crash the upstreams that run them."""

import asyncio
import contextlib
import random

import pytest

from carawaystair import clock
from carawaystair import codes
from test import gateway_setup as fleets
from test import pipes

# An upstream is back so long after it crashed, seconds.
DOWN_S = 2.0
# A request crashes an upstream so long after it began, seconds.
CRASH_S = 0.08
WORK_S = 0.3
# A body that nodes do not hold.
LONG_BYTES = 100_000
# The beginning of an answer that is passed on as it comes.
BEGUN = (
    b'HTTP/1.1 200 X\r\nX-Receipt: r\r\nContent-Length: 400000\r\n\r\n'
    + b'x' * 200_000
)
# What is known of a request is known everywhere after so long, seconds.
CONTACT_S = 3.0
# Upstreams that a request crashes before it is refused, and sends that may
# reach one after that is known everywhere.
LIMIT = 3
MOST_LATER = 3


class Stage:
    """A fleet whose upstreams crash under some requests.

    :param fleet: the fleet.
    """

    def __init__(self, fleet) -> None:
        self.fleet = fleet
        self.rng = random.Random(1)
        self.restarting: set[asyncio.Task] = set()
        # When each upstream crashed, and when a request that crashes one
        # reached one.
        self.crashed: list[float] = []
        # Whether upstreams crash whatever they run.
        self.all_crash = False
        self.reached: list[float] = []
        for node in fleet.nodes:
            if node.upstream is not None:
                node.upstream.script = self.script

    async def script(self, upstream, seen, writer) -> None:
        """Work, or crash when the path says so."""
        if 'crash' not in seen.line and not self.all_crash:
            await asyncio.sleep(WORK_S)
            writer.write(fleets.good(upstream.name.encode()))
            return
        self.reached.append(clock.now())
        life = upstream.crashes
        if 'download' in seen.line:
            writer.write(BEGUN)
        await asyncio.sleep(CRASH_S)
        if upstream.crashes == life:
            self.crash(upstream)

    def crash(self, upstream) -> None:
        """Crash an upstream; another process starts in its place."""
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
        """Ask any node; return its answer."""
        node = self.rng.randrange(len(self.fleet.nodes))
        body = b'x' if method == 'POST' else b''
        if path.endswith('/long'):
            body *= LONG_BYTES
        with contextlib.suppress(asyncio.IncompleteReadError):
            return await self.fleet.ask(path, method, node, body=body)
        return None

    async def keep_asking(self, path: str, seconds: float, pause_s: float):
        """Ask again and again; return the answers.

        :param path: with a place for the number of the request.
        """
        method = 'POST' if path.startswith('/pay/') else 'GET'
        asking = []
        for number in range(round(seconds / pause_s)):
            text = path % number if '%' in path else path
            asking.append(asyncio.ensure_future(self.ask(text, method)))
            await asyncio.sleep(pause_s)
        return await asyncio.gather(*asking)


def later(times: list[float], since: float) -> int:
    """Return how many times lie behind another one."""
    return sum(when > since for when in times)


@pytest.mark.parametrize(
    'path',
    ['/read/crash', '/pay/crash', '/pay/crash/long', '/read/crash/download'],
)
def test_request_that_crashed_three_upstreams_reaches_no_more(path):
    """Guards against a request that ends one upstream after the other."""

    async def scenario():
        async with fleets.running(*[fleets.serve] * 8) as fleet:
            stage = Stage(fleet)
            sound = asyncio.ensure_future(
                stage.keep_asking('/read/%d', 25.0, 0.1)
            )
            await asyncio.sleep(1.0)
            await stage.keep_asking(path, 20.0, 0.5)
            return stage, await sound

    stage, sound = pipes.run(scenario())
    known_at = stage.crashed[LIMIT - 1] + CONTACT_S
    assert later(stage.reached, known_at) <= MOST_LATER
    assert [answer.status for answer in sound[-150:]] == [200] * 150


def refused(answers) -> int:
    """Return how many answers refuse a request for crashes under it."""
    code = codes.CRASHES_UPSTREAMS.label
    return sum(
        answer.headers.get('caraway-code') == code for answer in answers
    )


@pytest.mark.parametrize('path', ['/read/crash', '/pay/crash'])
def test_requests_that_ran_beside_one_that_crashes_are_served(path):
    """Guards against sound requests refused for the company they kept."""

    async def scenario():
        async with fleets.running(*[fleets.serve] * 8) as fleet:
            stage = Stage(fleet)
            sound = asyncio.gather(
                stage.keep_asking('/read/%d', 25.0, 0.05),
                stage.keep_asking('/read/popular', 25.0, 0.2),
                stage.keep_asking('/pay/%d', 25.0, 0.2),
            )
            await asyncio.sleep(1.0)
            crashing = await stage.keep_asking(path, 20.0, 0.5)
            return crashing, sum(await sound, [])

    crashing, sound = pipes.run(scenario())
    assert refused(crashing) > len(crashing) / 2
    assert {answer.status for answer in crashing[-10:]} == {503}
    assert refused(sound) == 0


def test_requests_are_served_whose_upstreams_crash_for_another_cause():
    """Guards against sound requests refused for crashes that they met."""

    async def scenario():
        async with fleets.running(*[fleets.serve] * 8) as fleet:
            stage = Stage(fleet)
            sound = asyncio.gather(
                stage.keep_asking('/read/%d', 30.0, 0.05),
                stage.keep_asking('/read/popular', 30.0, 0.05),
            )
            for _spell in range(6):
                await asyncio.sleep(4.0)
                for node in stage.rng.sample(fleet.nodes, 4):
                    stage.crash(node.upstream)
            return stage, sum(await sound, [])

    stage, sound = pipes.run(scenario())
    assert len(stage.crashed) == 24
    assert refused(sound) == 0


def test_reset_connections_are_no_crash():
    """Guards against requests refused for connections lost on their way."""

    async def scenario():
        async with fleets.running(*[fleets.serve] * 4) as fleet:
            stage = Stage(fleet)
            sound = asyncio.ensure_future(
                stage.keep_asking('/read/popular', 10.0, 0.05)
            )
            loop = asyncio.get_running_loop()
            for number in range(9):
                await asyncio.sleep(1.0)
                loop.reset(fleet.nodes[number % 4].upstream.port)
            await sound
            return [node.quarantine.list_suspects() for node in fleet.nodes]

    assert pipes.run(scenario()) == [[]] * 4


def test_upstream_that_leaves_is_no_crash():
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


def test_crash_in_the_middle_of_a_long_answer_counts():
    """Guards against a download that ends one upstream after the other."""

    async def begin_and_crash(upstream, _seen, writer):
        writer.write(BEGUN)
        await asyncio.sleep(0.2)
        upstream.crash()

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            await fleet.ask('/read/warm')
            fleet.nodes[1].upstream.script = begin_and_crash
            with contextlib.suppress(asyncio.IncompleteReadError):
                await fleet.ask('/read/long')
            await asyncio.sleep(1.0)
            return fleet.nodes[0].quarantine.list_suspects()

    (suspect,) = pipes.run(scenario())
    assert suspect.upstreams == ('u9001/1',)


def test_crash_behind_which_another_upstream_starts_at_once_counts():
    """Guards against a crash unseen because its address answers again."""

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


def test_caller_is_told_at_once_and_logs_tell_why():
    async def scenario():
        async with fleets.running(*[fleets.serve] * 4) as fleet:
            stage = Stage(fleet)
            await stage.keep_asking('/read/%d', 2.0, 0.1)
            await stage.keep_asking('/read/crash', 3.0, 0.5)
            began = clock.now()
            answer = await fleet.ask('/read/crash')
            took_s = clock.now() - began
            node = fleet.nodes[0]
            (told,) = node.events_of(answer.headers['caraway-request-id'])
            return answer, took_s, told, node.quarantine.list_suspects()

    answer, took_s, told, (suspect,) = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (503, codes.NOT_RUN)
    assert answer.code == codes.CRASHES_UPSTREAMS.label
    assert float(answer.headers['retry-after']) > 30
    assert took_s < 0.01
    assert told['digest'] == suspect.digest
    assert all(name in told['detail'] for name in suspect.upstreams)


def test_release_that_crashes_at_everything_leaves_no_request_refused():
    """Guards against an outage that lasts on once its cause is mended."""

    async def scenario():
        async with fleets.running(*[fleets.serve] * 8) as fleet:
            stage = Stage(fleet)
            sound = asyncio.gather(
                stage.keep_asking('/read/popular', 30.0, 0.1),
                stage.keep_asking('/read/%d', 30.0, 0.1),
            )
            await asyncio.sleep(5.0)
            stage.all_crash = True
            await asyncio.sleep(14.0)
            stage.all_crash = False
            return stage, sum(await sound, [])

    stage, sound = pipes.run(scenario())
    assert len(stage.crashed) > 24
    assert refused(sound) == 0
