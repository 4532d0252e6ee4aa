"""Deduplication of requests at the gateway."""

import asyncio
import contextlib
import types

import pytest

from carawaystair import decisions
from carawaystair.gateway import hops
from carawaystair.gateway import runs
from carawaystair.gateway import slots
from carawaystair.load import rejection
from carawaystair.request import answer as answers
from test import fakes


def _hop(number: int, idempotent: bool) -> hops.Hop:
    return hops.Hop(
        'a',
        '10.0.0.1',
        'u',
        's',
        'c',
        'r',
        9000,
        9000,
        0,
        idempotent,
        False,
        number > 1,
        False,
        False,
        number,
        'p',
    )


def _runs() -> runs.Runs:
    return runs.Runs(lambda _process: True, decisions.Recorder('h'))


async def _refuse():
    raise slots.Refused(rejection.BUSY)


@pytest.mark.parametrize('idempotent', [True, False])
def test_waiting_request_ends_with_its_caller_after_a_refusal(
    monkeypatch, idempotent
):
    """Guards against a run for a caller that left, in a slot that others need.

    The gateway refuses a request, which is sent again and waits.  The time
    for which the refusal is kept ends, and then the caller leaves.  If the
    run was forgotten with the refusal, nobody could cancel it.
    """
    monkeypatch.setattr(runs, 'KEEP_IDEMPOTENT_S', 0.02)
    monkeypatch.setattr(runs, 'KEEP_S', 0.02)
    ended = []

    async def work():
        try:
            await asyncio.sleep(5.0)
        except asyncio.CancelledError:
            ended.append('cancelled')
            raise

    async def scenario():
        loop = asyncio.get_running_loop()
        wrong = []
        loop.set_exception_handler(lambda _loop, error: wrong.append(error))
        found = _runs()
        with contextlib.suppress(slots.Refused):
            await found.run_once(_hop(1, idempotent), _refuse, lambda: False)
        waiting = asyncio.create_task(
            found.run_once(_hop(2, idempotent), work, lambda: False)
        )
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0.02)
        # Runs that are still in progress now would never be cancelled.
        return list(ended), wrong

    assert asyncio.run(scenario()) == (['cancelled'], [])


def test_run_is_joined_although_an_earlier_refusal_is_forgotten(monkeypatch):
    """Guards against a request that runs twice at the same time.

    It is refused and sent again, the refusal is forgotten, the connection is
    lost, and the sender resumes the request.  If the run was forgotten with
    the refusal, another one would start.
    """
    monkeypatch.setattr(runs, 'KEEP_IDEMPOTENT_S', 0.02)
    started = []
    answer = types.SimpleNamespace(rest=None)

    async def work():
        started.append(1)
        await asyncio.sleep(0.2)
        return answer

    async def scenario():
        found = _runs()
        with contextlib.suppress(slots.Refused):
            await found.run_once(_hop(1, True), _refuse, lambda: False)
        first = asyncio.create_task(
            found.run_once(_hop(2, True), work, lambda: True)
        )
        await asyncio.sleep(0.1)
        resumed = _hop(3, True)._replace(resumed=True)
        second = await found.run_once(resumed, work, lambda: False)
        return await first, second

    assert asyncio.run(scenario()) == (answer, answer)
    assert started == [1]


def test_resuming_a_cancelled_run_is_answered():
    """Guards against a sender that resumes a request until its deadline.

    A run is cancelled when its last waiter closes its connection; a third
    node does so also when its own sender's connection broke.  The sender then
    resumes the request.  If it joined the cancelled run, it would be
    cancelled itself and its connection closed without an answer.
    """

    async def scenario():
        found = _runs()
        hop = _hop(1, False)
        first = asyncio.ensure_future(
            found.run_once(hop, lambda: asyncio.sleep(10), lambda: False)
        )
        await asyncio.sleep(0.01)
        first.cancel()
        await asyncio.sleep(0.01)
        resumed = hop._replace(resumed=True, send_number=2)
        return await found.run_once(resumed, _refuse, lambda: False)

    with pytest.raises((answers.Failed, slots.Refused)) as raised:
        asyncio.run(scenario())
    assert raised.value.reason in hops.MAY_HAVE_RUN


def test_refusal_after_a_forgotten_run_promises_nothing(monkeypatch):
    """Guards against not-run for an idempotent request that ran before it was
    resumed.
    """
    monkeypatch.setattr(runs, 'KEEP_IDEMPOTENT_S', 0.02)
    answer = types.SimpleNamespace(rest=None)

    async def work():
        return answer

    async def scenario():
        found = _runs()
        first = await found.run_once(_hop(1, True), work, lambda: True)
        await asyncio.sleep(0.1)
        resumed = _hop(2, True)._replace(resumed=True)
        with pytest.raises(slots.Refused) as raised:
            await found.run_once(resumed, _refuse, lambda: False)
        return first, raised.value.reason

    first, reason = asyncio.run(scenario())
    assert first is answer
    assert reason in hops.MAY_HAVE_RUN


@pytest.mark.parametrize('full', [False, True])
@pytest.mark.parametrize('runs_s', [30.0, 280.0])
def test_long_request_that_is_resumed_runs_once(monkeypatch, runs_s, full):
    """Guards against a second run of a request that may run once, when its
    sender resumes it after minutes.
    """
    answer = types.SimpleNamespace(rest=None)
    started = []

    async def work():
        started.append(1)
        await asyncio.sleep(runs_s)
        return answer

    async def other():
        return answer

    async def scenario():
        found = _runs()
        hop = _hop(1, False)._replace(id='long', remaining_ms=300_000)
        first = asyncio.ensure_future(found.run_once(hop, work, lambda: True))
        await asyncio.sleep(200.0)
        if full and runs_s > 200.0:
            monkeypatch.setattr(runs, 'MAX_RUNS', 1)
        for number in range(3):
            short = _hop(1, True)._replace(id='short %d' % number)
            await found.run_once(short, other, lambda: False)
        resumed = hop._replace(resumed=True, send_number=2)
        with contextlib.suppress(slots.Refused):
            await found.run_once(resumed, work, lambda: False)
        await first
        return len(started)

    assert fakes.run(scenario()) == 1


def test_requests_are_forgotten_after_their_deadlines():
    """Guards against memory that grows with each request."""

    async def work():
        return types.SimpleNamespace(rest=None)

    async def scenario():
        found = _runs()
        for number in range(60):
            hop = _hop(1, bool(number % 2))
            hop = hop._replace(id=str(number), remaining_ms=200_000)
            await found.run_once(hop, work, lambda: False)
            await asyncio.sleep(20.0)
        return len(found.runs)

    # The last 200 s and 30 s of sends that are late, looked at each 90 s.
    assert fakes.run(scenario()) <= (200 + 30 + 90) / 20
