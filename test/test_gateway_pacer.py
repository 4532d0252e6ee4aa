"""Pacing of bodies on the link of a host, in virtual time."""

import asyncio

from carawaystair.gateway import pacer as pacers
from test import fakes

MBPS = 5.0
SIZE = 90_000


def test_caller_that_leaves_at_its_turn_does_not_block_others():
    """Guards against a turn that is lost, so that no later body is sent, when
    its waiter is cancelled at the moment of the grant.
    """

    async def send(pacer, done, number):
        throttle = pacer.throttle('other')
        try:
            async for _chunk in throttle.chunks(b'x' * SIZE):
                pass
            done.append(number)
        finally:
            throttle.close()

    async def scenario():
        loop = asyncio.get_running_loop()
        pacer = pacers.Pacer('own', MBPS)
        done: list[int] = []
        tasks = [
            asyncio.ensure_future(send(pacer, done, number))
            for number in range(3)
        ]
        await asyncio.sleep(0.01)
        turn_at = pacer.timer.when()

        def suspend():
            # Both events are handled when the process continues.
            loop.virtual.time = turn_at + 0.001

        loop.call_at(turn_at - 0.002, suspend)
        loop.call_at(turn_at - 0.001, tasks[0].cancel)
        async with asyncio.timeout(5.0):
            await asyncio.gather(*tasks, return_exceptions=True)
        return done, pacer.futures, pacer.link.backlog_s(loop.time() + 1.0)

    done, futures, ahead_s = fakes.run(scenario())
    assert done == [1, 2]
    assert not futures
    assert ahead_s == 0.0


def test_traffic_within_a_host_is_not_paced():
    """It does not use the host's link."""

    async def scenario():
        pacer = pacers.Pacer('own', MBPS)
        return pacer.throttle('own'), pacers.Pacer('own', 0.0).throttle(
            'other'
        )

    assert fakes.run(scenario()) == (pacers.UNTHROTTLED, pacers.UNTHROTTLED)
