"""Adaptive concurrency around the announced slots."""

import asyncio

import pytest

from carawaystair.admission import limiter
from carawaystair import clock
from carawaystair import interfaces
from test import fakes
from test import test_admission_gate as gate_tests


def _window(subject, now, good=0.05, sheds=0, bound=True, quiet=False):
    """Let one window of answers pass and return the factor."""
    for number in range(limiter.WINDOW_ANSWERS):
        if number < sheds:
            subject.record_shed()
        else:
            subject.record_answer(good, quiet, bound)
    return subject.update(now)


def test_sheds_bring_the_limit_down_and_their_end_brings_it_back():
    """Symptom: most requests are shed by upstreams, again and again.

    Sequence: upstreams announce five slots and truly have two.
    Cause: the announced number is believed whatever answers show.
    """
    subject = limiter.Limiter(0.0)
    down = [_window(subject, now, sheds=60) for now in range(10)]
    assert down[-1] == pytest.approx(0.9**10)
    steady = [_window(subject, now, sheds=10) for now in range(10)]
    assert steady[-1] == down[-1]
    back = [_window(subject, now) for now in range(20)]
    assert back[-1] == 1.0


def test_more_than_announced_only_on_proof_of_low_latency():
    subject = limiter.Limiter(0.0)
    assert _window(subject, 1.0) == 1.0
    _window(subject, 2.0, bound=False, quiet=True)
    grown = [_window(subject, 3.0 + number) for number in range(40)]
    assert grown[0] == pytest.approx(1.05)
    assert grown[-1] == limiter.FACTOR_MAX
    assert _window(subject, 50.0, good=0.1) == 1.0
    assert _window(subject, 51.0) == 1.0
    assert _window(subject, 51.0 + limiter.HOLD_S) > 1.0


def test_few_sheds_end_the_use_of_more_than_announced():
    subject = limiter.Limiter(0.0)
    _window(subject, 1.0, bound=False, quiet=True)
    assert _window(subject, 2.0) > 1.0
    assert _window(subject, 3.0, sheds=3) == 1.0


def test_a_slower_service_keeps_its_announced_slots():
    """Symptom: a service whose answers got slower loses half its slots.

    Sequence: a release doubles the time of every answer.
    Cause: higher latency is taken for queueing inside the upstreams.
    """
    subject = limiter.Limiter(0.0)
    _window(subject, 1.0, bound=False, quiet=True)
    slow = [_window(subject, 2.0 + n, good=0.2) for n in range(20)]
    assert min(slow) == 1.0


def test_a_shed_does_not_burn_through_the_queue():
    """Symptom: a whole queue is refused within milliseconds.

    Sequence: an upstream sheds at once; its slot goes to the next in turn,
    who is shed too, and so on.
    Cause: the slot that the upstream does not have is free again at once.
    """

    async def _main():
        node, done, shed = gate_tests._node(1, 100), [], []
        await asyncio.gather(*gate_tests._start(node, 'big', done, 3))

        async def _shed():
            deadline = clock.now() + 9
            result = await node.admit(
                gate_tests.SERVICE, 'big', deadline, False
            )
            result.ok.release(interfaces.SHED, 0.001)
            shed.append(clock.now())

        begun = clock.now()
        await asyncio.gather(*(_shed() for _number in range(5)))
        return [time - begun for time in shed]

    assert fakes.run(_main()) == pytest.approx([0, 0.1, 0.2, 0.3, 0.4])


def test_the_limit_of_a_gate_follows_but_keeps_one_slot():
    async def _main():
        node = gate_tests._node(4)
        for _round in range(40 * limiter.WINDOW_ANSWERS):
            deadline = clock.now() + 9
            permit = node.try_admit(gate_tests.SERVICE, 'x', deadline, False)
            await asyncio.sleep(0.01)
            permit.release(interfaces.SHED, 0.01)
        return node.gates[gate_tests.SERVICE].limit

    assert fakes.run(_main()) == 1
