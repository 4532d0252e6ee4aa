"""Tests of the stop of a process from its signal on."""

import asyncio
import os
import signal

from carawaystair import clock
from carawaystair import shutdown as shutdowns


def test_signal_counts_from_its_arrival_although_the_loop_is_busy():
    """Guards against a stop that is counted from when the loop is free."""

    async def scenario():
        shutdown = shutdowns.Shutdown()
        with shutdowns.requested_by_signals(shutdown):
            before = clock.now()
            os.kill(os.getpid(), signal.SIGTERM)
            # The loop has not run since.
            at = shutdown.requested_at
            assert at is not None
            assert before <= at <= clock.now()
            assert not shutdown.event.is_set()
            await shutdown.event.wait()
        return shutdown

    assert asyncio.run(scenario()).requested


def test_further_signals_give_a_stop_no_more_time():
    """Guards against a stop that begins anew with each signal."""

    async def scenario():
        shutdown = shutdowns.Shutdown()
        with shutdowns.requested_by_signals(shutdown):
            os.kill(os.getpid(), signal.SIGTERM)
            first = shutdown.requested_at
            await asyncio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGINT)
            assert shutdown.request() == first

    asyncio.run(scenario())
