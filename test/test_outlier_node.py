"""Tests of what a node does on its own evidence."""

import asyncio

from carawaystair import interfaces
from carawaystair.outlier import service
from carawaystair import routing
from carawaystair import timeline
from test import fakes


def upstream(number):
    name = 'u%d' % number
    return interfaces.Upstream(name, 's', '', '', '', 5)


def node(directory):
    me = fakes.member(1)
    return service.Outlier(
        members=fakes.Members(me, ()),
        directory=directory,
        routing=lambda: routing.Routing(),
        timeline=timeline.Timeline('host-001'),
    )


def attempt(name, outcome):
    return interfaces.Attempt('s', name, 'c', outcome, 0.1, 0.0)


def test_weight_falls_at_once_and_recovers():
    async def story():
        part = node(fakes.Directory(upstream(1), upstream(2)))
        assert part.weight('u1') == 1.0
        part.record(attempt('u1', interfaces.TIMEOUT))
        after = part.weight('u1')
        assert after < 0.5
        assert part.weight('u2') == 1.0
        await asyncio.sleep(2)
        later = part.weight('u1')
        part.record(attempt('u1', interfaces.GOOD))
        return after < later < part.weight('u1')

    assert fakes.run(story())


def test_all_upstreams_bad_at_one_node_leaves_the_floor():
    """One node's path is broken and every upstream looks dead from it.

    Symptom: the node has no upstream left.  Sequence: each fails five times.
    Cause: ejections were not clamped to the floor.
    """

    async def story():
        pool = [upstream(number) for number in range(8)]
        part = node(fakes.Directory(*pool))
        for one in pool * 5:
            part.record(attempt(one.id, interfaces.BROKEN))
        return len(part.ejected('s'))

    assert fakes.run(story()) == 4
