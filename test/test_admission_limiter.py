"""Adaptive concurrency limit around the announced slots."""

import asyncio

import pytest

from carawaystair.admission import limiter
from carawaystair import clock
from carawaystair import interfaces
from test import fakes
from test import test_admission_gate as gate_tests


def _window(adaptive, now, good=0.05, sheds=0, saturated=True, low_load=False):
    """Record one window of answers; return the factor."""
    for number in range(limiter.WINDOW_ANSWERS):
        if number < sheds:
            adaptive.record_shed()
        else:
            adaptive.record_answer(good, low_load, saturated)
    return adaptive.update(now)


def test_sheds_lower_the_limit_and_it_recovers_without_them():
    """Guards against trusting the announced slots whatever the answers show:
    where upstreams have two of five announced slots, most requests are shed.
    """
    adaptive = limiter.Limiter(0.0)
    down = [_window(adaptive, now, sheds=60) for now in range(10)]
    assert down[-1] == pytest.approx(0.9**10)
    steady = [_window(adaptive, now, sheds=10) for now in range(10)]
    assert steady[-1] == down[-1]
    back = [_window(adaptive, now) for now in range(20)]
    assert back[-1] == 1.0


def test_limit_exceeds_announced_slots_only_at_low_latency():
    adaptive = limiter.Limiter(0.0)
    assert _window(adaptive, 1.0) == 1.0
    _window(adaptive, 2.0, saturated=False, low_load=True)
    grown = [_window(adaptive, 3.0 + number) for number in range(40)]
    assert grown[0] == pytest.approx(1.05)
    assert grown[-1] == limiter.FACTOR_MAX
    assert _window(adaptive, 50.0, good=0.1) == 1.0
    assert _window(adaptive, 51.0) == 1.0
    assert _window(adaptive, 51.0 + limiter.HOLD_S) > 1.0


def test_few_sheds_return_the_limit_to_the_announced_slots():
    adaptive = limiter.Limiter(0.0)
    _window(adaptive, 1.0, saturated=False, low_load=True)
    assert _window(adaptive, 2.0) > 1.0
    assert _window(adaptive, 3.0, sheds=3) == 1.0


def test_slower_service_keeps_its_announced_slots():
    """Guards against mistaking a slower release for queueing inside the
    upstreams, which would cost the service half of its slots.
    """
    adaptive = limiter.Limiter(0.0)
    _window(adaptive, 1.0, saturated=False, low_load=True)
    slow = [_window(adaptive, 2.0 + n, good=0.2) for n in range(20)]
    assert min(slow) == 1.0


def test_shed_request_does_not_empty_the_queue():
    """Guards against a queue that is shed within milliseconds: a slot that the
    upstream does not have must not go to the next request at once.
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


def test_limit_of_a_gate_keeps_one_slot():
    async def _main():
        node = gate_tests._node(4)
        for _round in range(40 * limiter.WINDOW_ANSWERS):
            deadline = clock.now() + 9
            permit = node.try_admit(gate_tests.SERVICE, 'x', deadline, False)
            await asyncio.sleep(0.01)
            permit.release(interfaces.SHED, 0.01)
        return node.gates[gate_tests.SERVICE].limit

    assert fakes.run(_main()) == 1
