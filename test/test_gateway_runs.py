"""At most one run of a request, and none for nobody."""

import asyncio
import contextlib
import types

import pytest

from carawaystair import decisions
from carawaystair.gateway import hops
from carawaystair.gateway import runs
from carawaystair.gateway import slots
from carawaystair.load import rejecting
from carawaystair.request import answer as answers


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
    raise slots.Refused(rejecting.BUSY)


@pytest.mark.parametrize('idempotent', [True, False])
def test_request_that_waits_after_a_refusal_ends_with_its_caller(
    monkeypatch, idempotent
):
    """A gateway is asked, refuses, and is asked to let the request wait.

    Symptom: a request is run seconds after its caller left, for nobody, and
    takes the slot of another one.  Sequence: the gateway refuses it; it
    comes again and waits; the time for which the refusal is kept is over;
    the caller leaves.  Cause: with the refusal, the run in progress was
    forgotten, so that nobody could cancel it.
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
        loop.set_exception_handler(lambda _loop, what: wrong.append(what))
        here = _runs()
        with contextlib.suppress(slots.Refused):
            await here.run_once(_hop(1, idempotent), _refuse, lambda: False)
        waiting = asyncio.create_task(
            here.run_once(_hop(2, idempotent), work, lambda: False)
        )
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0.02)
        # What still runs now would only end with the process.
        return list(ended), wrong

    assert asyncio.run(scenario()) == (['cancelled'], [])


def test_run_is_joined_although_an_earlier_refusal_is_forgotten(monkeypatch):
    """A run must not be doubled by its sender's question for it.

    Symptom: one request runs twice at once.  Sequence: refused, sent again,
    the refusal is forgotten, the connection is lost, asked for again.
    Cause: the run in progress was forgotten with the refusal.
    """
    monkeypatch.setattr(runs, 'KEEP_IDEMPOTENT_S', 0.02)
    began = []
    answer = types.SimpleNamespace(rest=None)

    async def work():
        began.append(1)
        await asyncio.sleep(0.2)
        return answer

    async def scenario():
        here = _runs()
        with contextlib.suppress(slots.Refused):
            await here.run_once(_hop(1, True), _refuse, lambda: False)
        first = asyncio.create_task(
            here.run_once(_hop(2, True), work, lambda: True)
        )
        await asyncio.sleep(0.1)
        again = _hop(3, True)._replace(resumed=True)
        second = await here.run_once(again, work, lambda: False)
        return await first, second

    assert asyncio.run(scenario()) == (answer, answer)
    assert began == [1]


def test_who_asks_for_a_cancelled_run_is_told():
    """A run is cancelled when whoever waited for it closes its connection; a
    third node on the way does so also when its own sender's connection broke.
    The sender then asks again and waits for the cancelled run: the error of
    the run passed for the cancellation of the one who asked, whose connection
    was closed without a word, again and again until the time was over.
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
        again = hop._replace(resumed=True, send_number=2)
        return await found.run_once(again, _refuse, lambda: False)

    with pytest.raises((answers.Failed, slots.Refused)) as told:
        asyncio.run(scenario())
    assert told.value.reason in hops.MAY_HAVE_RUN


def test_refusal_after_a_run_that_was_forgotten_promises_nothing(monkeypatch):
    """Guards against not-run for a repeatable request that ran before it was
    asked for again.
    """
    monkeypatch.setattr(runs, 'KEEP_IDEMPOTENT_S', 0.02)
    answer = types.SimpleNamespace(rest=None)

    async def work():
        return answer

    async def scenario():
        here = _runs()
        first = await here.run_once(_hop(1, True), work, lambda: True)
        await asyncio.sleep(0.1)
        again = _hop(2, True)._replace(resumed=True)
        with pytest.raises(slots.Refused) as told:
            await here.run_once(again, _refuse, lambda: False)
        return first, told.value.reason

    first, reason = asyncio.run(scenario())
    assert first is answer
    assert reason in hops.MAY_HAVE_RUN
