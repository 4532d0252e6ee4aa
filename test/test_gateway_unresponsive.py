"""Gateways whose signs of life arrive late or not at all."""

import asyncio
import math
import types

import pytest

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair.gateway import dispatches
from carawaystair.gateway import hops
from carawaystair.gateway import resuming
from carawaystair.request import answer as answers
from test import gateway_setup as fleets
from test import pipes

# Longer than the wait for any sign of life, seconds.
LATE_S = 0.5
WORK_S = 0.7


@pytest.mark.parametrize('stops', [False, True], ids=['steady', 'stopping'])
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_run_continues_while_its_gateways_signs_of_life_are_late(
    method, stops
):
    """Guards against 502 for a request that is running at a gateway with a
    full link, also while both nodes stop.
    """
    path = '/read/x' if method == 'GET' else '/pay/x'

    async def scenario():
        script = fleets.slow(WORK_S)
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(fleet, path, method)
            asyncio.get_running_loop().queue(7001, LATE_S)
            if stops:
                for node in fleet.nodes:
                    asyncio.ensure_future(node.service.stop())
            answer = await asking
            gone = fleet.nodes[1].upstream.gone
            return answer.status, fleets.run_count(fleet, path), gone

    assert pipes.run(scenario()) == (200, 1, 0)


@pytest.mark.parametrize('gap_s', [0.3, 0.6, 1.2])
def test_idempotent_run_is_resumed_after_its_gateway_was_cut_off(gap_s):
    """Guards against giving up a run when no other upstream is left."""

    async def scenario():
        script = fleets.slow(2.0)
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(fleet, '/read/x', 'GET')
            loop = asyncio.get_running_loop()
            loop.swallowing.add('127.0.0.1:7001')
            loop.reset(7001)
            await asyncio.sleep(gap_s)
            loop.swallowing.clear()
            answer = await asking
            return answer.status, fleets.run_count(fleet, '/read/x')

    assert pipes.run(scenario()) == (200, 1)


def test_request_at_a_silent_gateway_is_answered_by_another_upstream():
    """Guards against waiting for a silent gateway while others have room."""

    async def scenario():
        first = []

        async def script(upstream, seen, writer):
            if '/read/x' in seen.line:
                first.append(upstream)
            await asyncio.sleep(0.5 if len(first) == 1 else 0.05)
            writer.write(fleets.good(upstream.name.encode()))

        async with fleets.running(None, script, script) as fleet:
            for _ in range(4):
                await fleet.ask('/read/warm')
            loop = asyncio.get_running_loop()
            began = loop.time()
            asking = asyncio.ensure_future(fleet.ask('/read/x'))
            while not first:
                await asyncio.sleep(0.005)
            loop.queue(first[0].port - 2000, 8.0)
            answer = await asking
            await asyncio.sleep(1.0)
            left = sum(
                slots.queue.running
                for node in fleet.nodes
                for slots in node.service.executor.slots.values()
            )
            return answer.status, loop.time() - began - 1.0 < 2.0, left

    assert pipes.run(scenario()) == (200, True, 0)


class ScriptedAttempt:
    """One attempt of a scripted sender."""

    def __init__(self, number: int) -> None:
        self.hop = types.SimpleNamespace(send_number=number)
        self.via_detour = False
        self.first_sign_timeout_s = 0.0
        self.sent = True
        self.result = asyncio.get_running_loop().create_future()
        self.was_reset = False

    def reset(self) -> None:
        """Record that it was reset."""
        self.was_reset = True


class ScriptedSender:
    """Sends attempts whose answers a test decides."""

    def __init__(self) -> None:
        self.attempts = [ScriptedAttempt(1)]
        self.observer = None

    def resume_attempt(self, dispatch, lost, detour):
        """Return a further attempt."""
        self.attempts.append(ScriptedAttempt(len(self.attempts) + 1))
        return self.attempts[-1]

    async def answer(self, dispatch, target, attempt, observer):
        """Return what the test decides."""
        self.observer = observer
        return await asyncio.shield(attempt.result)


def resumed(scenario):
    """Run a scenario with a request whose first attempt is unresponsive."""

    async def run():
        sender = ScriptedSender()
        call = types.SimpleNamespace(id='a', deadline=clock.now() + 9.0)
        upstream = types.SimpleNamespace(id='u', state='up')
        dispatch = types.SimpleNamespace(call=call, hedge_early=None)
        target = types.SimpleNamespace(upstream=upstream)
        resumption = resuming.Resumption(
            sender,
            dispatch,
            dispatches.LostConnection(target, 'p', False),
            math.inf,
            decisions.Recorder('h'),
        )
        asking = asyncio.ensure_future(
            resumption.answer(sender.attempts[0], None)
        )
        await asyncio.sleep(0.01)
        return await scenario(sender, asking, upstream)

    return pipes.run(run())


def test_refusal_of_an_earlier_attempt_promises_nothing():
    """Guards against 503 not-run for a request that a later attempt runs."""

    async def scenario(sender, asking, _upstream):
        old, new = sender.attempts
        old.result.set_exception(dispatches.Declined('busy', None))
        await asyncio.sleep(0.05)
        assert not asking.done()
        new.result.set_result('answer')
        return await asking

    assert resumed(scenario) == 'answer'


def test_refusal_of_the_latest_attempt_counts():
    async def scenario(sender, asking, _upstream):
        old, new = sender.attempts
        new.result.set_exception(dispatches.Declined('busy', None))
        with pytest.raises(dispatches.Declined):
            await asking
        return old.was_reset

    assert resumed(scenario)


def test_sign_of_life_ends_the_other_attempts():
    """Guards against an answer that crosses a full link twice."""

    async def scenario(sender, asking, _upstream):
        old, new = sender.attempts
        sender.observer.on_sign_of_life(old)
        await asyncio.sleep(1.0)
        assert len(sender.attempts) == 2
        old.result.set_result('answer')
        return await asking, old.was_reset, new.was_reset

    assert resumed(scenario) == ('answer', False, True)


def test_open_attempts_are_bounded_and_end_with_their_host():
    """Guards against attempts that load a full link further, and against
    waiting for a host that has died until the deadline.
    """

    async def scenario(sender, asking, upstream):
        for _ in range(20):
            for attempt in list(sender.attempts):
                sender.observer.on_silence(attempt)
            await asyncio.sleep(0.1)
        count = len(sender.attempts)
        upstream.state = 'gone'
        with pytest.raises(answers.Failed):
            await asyncio.wait_for(asking, 2 * resuming.GONE_TIMEOUT_S)
        return count

    assert resumed(scenario) == resuming.MAX_OPEN_ATTEMPTS


def test_answer_is_not_dropped_when_another_attempt_shows_a_sign_of_life():
    """Both happen in the same iteration of the event loop."""

    async def scenario(sender, asking, _upstream):
        old, new = sender.attempts
        new.result.set_result('answer')
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        sender.observer.on_sign_of_life(old)
        # A long answer is streamed to one attempt; the other one fails.
        old.result.set_exception(
            answers.Failed(
                'error', codes.ANSWER_LOST, True, hops.ALREADY_STREAMED
            )
        )
        return await asyncio.wait_for(asking, 5.0)

    assert resumed(scenario) == 'answer'


def test_timeout_of_later_attempts_is_bounded():
    """Guards against a timeout that grows without limit."""

    async def scenario(sender, asking, upstream):
        sender.attempts[0].result.set_exception(
            answers.Failed('broken', codes.ANSWER_LOST, True)
        )
        for _ in range(12):
            await asyncio.sleep(0.36)
            result = sender.attempts[-1].result
            if not result.done():
                result.set_exception(
                    answers.Failed('refused', codes.CONNECT_FAILED, False)
                )
        await asyncio.sleep(0.2)
        asking.cancel()
        return max(a.first_sign_timeout_s for a in sender.attempts)

    assert resumed(scenario) < 3.0


def test_second_answer_does_not_reset_a_released_connection():
    """Guards against resetting a connection that others use by now."""

    async def scenario(sender, asking, upstream):
        old, new = sender.attempts
        old.result.set_result('answer')
        new.result.set_result('answer')
        await asking
        return old.was_reset, new.was_reset

    assert resumed(scenario) == (False, False)
