"""Tests of the time line."""

import asyncio

from carawaystair import timeline
from test import fakes


def test_cause_stands_before_effect_although_wall_clocks_disagree():
    """A merged time line must not show an effect before its cause.

    Symptom: the ejection stands before the report that led to it.
    Sequence: the reporter's wall clock is ahead of the coordinator's.
    Cause: events ordered by wall clock alone.
    """

    async def scenario():
        ahead, behind = timeline.Timeline('a'), timeline.Timeline('b')
        ahead.clock.last = 30_000 + fakes.WALL_START_MS << 16
        report = ahead.record('upstream-suspected')
        behind.clock.merge(report.time)
        await asyncio.sleep(0.01)
        behind.record('upstream-ejected')
        return timeline.merge(behind.ring, ahead.ring)

    kinds = [event.kind for event in fakes.run(scenario())]
    assert kinds == ['upstream-suspected', 'upstream-ejected']


def test_clock_far_ahead_does_not_drag_others_along():
    async def scenario():
        hybrid = timeline.HybridClock()
        hybrid.merge((fakes.WALL_START_MS + 10**9) << 16)
        return timeline.wall_ms(hybrid.tick())

    assert fakes.run(scenario()) == fakes.WALL_START_MS


def test_ring_is_bounded_and_read_in_pages():
    async def scenario():
        line = timeline.Timeline('a', capacity=10)
        for number in range(25):
            line.record('k', text=str(number))
        return line

    line = fakes.run(scenario())
    assert line.total == 25
    first = line.since(0, 4)
    second = line.since(first[-1].time, 100)
    texts = [event.text for event in first + second]
    assert texts == [str(n) for n in range(15, 25)]
