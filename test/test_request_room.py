"""Requests that wait for one of the places of a process."""

import asyncio
import collections

import pytest

from carawaystair import codes
from carawaystair.load import request_room
from carawaystair.request import places
from carawaystair.request import validation
from test import fakes

WORK_S = 0.05


def test_caller_with_one_request_waits_for_one_of_each_connection():
    """Guards against connections that ask without end and starve others."""
    room = request_room.RequestRoom(4)
    served = collections.Counter()
    running = [name for name in range(20) if room.enter(name)]
    room.enter('ordinary')
    for _turn in range(60):
        ended = running.pop(0)
        served[ended] += 1
        running.append(room.leave())
        # A crowd asks again at once.
        if ended != 'ordinary':
            assert not room.enter(ended)
        if served['ordinary']:
            break
    assert served['ordinary'] == 1
    assert max(served.values()) <= 2


def test_pipelined_requests_wait_while_places_are_few():
    """Guards against connections that take several places each."""
    room = request_room.RequestRoom(4)
    assert room.may_pipeline
    room.enter(1)
    room.enter(2)
    assert not room.may_pipeline
    room.leave()
    assert room.may_pipeline


async def work(taken, deadline, work_s, noted) -> None:
    """Work in a place."""
    async with taken.take(deadline):
        noted.append(len(noted))
        await asyncio.sleep(work_s)


def test_request_without_a_place_is_refused_before_it_runs():
    """Guards against requests that wait until their deadline passes."""

    async def scenario():
        taken, noted = places.Places(1), []
        first = asyncio.create_task(work(taken, 100.0, 10.0, noted))
        await asyncio.sleep(0)
        with pytest.raises(validation.Refused) as refused:
            await work(taken, 100.0, 0.0, noted)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await work(taken, 100.0, 0.0, noted)
        return refused.value, noted, taken.room.entered

    refused, noted, left = fakes.run(scenario())
    assert (refused.code, refused.retry_after_s) == (codes.MEMORY_FULL, 1.0)
    assert (len(noted), left) == (2, 0)


def test_places_of_cancelled_requests_are_free_again():
    """Guards against places that are lost with the callers that leave."""

    async def scenario():
        taken, noted = places.Places(2), []
        tasks = [
            asyncio.create_task(work(taken, 100.0, WORK_S, noted))
            for _task in range(12)
        ]
        await asyncio.sleep(WORK_S / 2)
        for task in tasks[1::2]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return taken.room.entered, len(taken.room.waiting), len(noted)

    assert fakes.run(scenario()) == (0, 0, 7)
