"""Tests of what a node does on its own evidence and with what it is told."""

import asyncio
import random

import pytest

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import service
from carawaystair import plugins
from carawaystair import timeline
from test import fakes

FACTORIES = plugins.load().collect('detectors')


class Routing:
    """A routing with one service."""

    def __init__(self, **changes):
        self.config = manifest.Service(**changes)

    def service(self, name):
        return self.config

    def drained(self, host, data_centre):
        return False


def upstream(number, **changes):
    name = 'u%d' % number
    return interfaces.Upstream(name, 's', '', '', '', 5, **changes)


def node(directory, **changes):
    me = fakes.member(1)
    transport = fakes.Network().transport(me.gossip)
    routing = Routing(**changes)
    return service.OutlierDetection(
        members=fakes.Members(me, ()),
        directory=directory,
        routing=lambda: routing,
        links=transport,
        datagrams=transport,
        timeline=timeline.Timeline('host-001'),
        factories=FACTORIES,
        rng=random.Random(1),
    )


def attempt(name, outcome, customer='c'):
    return interfaces.Attempt('s', name, customer, outcome, 0.1, clock.now())


def entry(name, kind=messages.EJECTED, serial=1, **changes):
    return messages.Entry(name, kind, serial, 10_000, **changes)


def state(*entries, epoch=1, host='host-001', full=False):
    return messages.State('s', host, epoch, full, entries)


def paced(part):
    """Give a node bounds for the empty route: 10 to 160 ms."""
    outbox = part.evidence.outboxes.outbox('s', clock.now())
    bounds = (10_000, 20_000, 40_000, 80_000, 160_000)
    row = messages.RouteBounds(levels.short_id(''), bounds)
    outbox.apply_pace(messages.Pace('s', 1, 60_000, 100, 3, (row,)))
    return outbox


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
        assert after < later < part.weight('u1')

    fakes.run(story())


def test_all_upstreams_bad_at_one_node_leaves_the_floor():
    """One node's path is broken and every upstream looks dead from it.

    Symptom: the node has no upstream left.  Sequence: each fails five times
    in a row.  Cause: ejections were not clamped to the floor.
    """

    async def story():
        pool = [upstream(number) for number in range(8)]
        part = node(fakes.Directory(*pool), detector='consecutive')
        for one in pool * 5:
            part.record(attempt(one.id, interfaces.BROKEN))
        assert len(part.ejected('s')) == 4

    fakes.run(story())


def test_two_coordinators_at_once_leave_the_floor():
    """A partition leaves two coordinators, each ejecting half of the pool.

    Symptom: no capacity is left at a node that hears both.  Sequence: each
    grants within its own bound.  Cause: the node added the grants up.
    """

    async def story():
        pool = [upstream(number) for number in range(8)]
        part = node(fakes.Directory(*pool))
        part.health.accept(state(*(entry('u%d' % n) for n in range(4))))
        second = (entry('u%d' % n) for n in range(4, 8))
        part.health.accept(state(*second, host='host-002'))
        assert len(part.ejected('s')) == 4

    fakes.run(story())


def test_stale_coordinator_is_not_heeded():
    """A coordinator that was cut off comes back and repeats old news.

    Symptom: an upstream that returned is out again.  Sequence: epoch 2
    takes over and returns it, then a state of epoch 1 arrives.  Cause: the
    node took the latest message for the newest.
    """

    async def story():
        part = node(fakes.Directory(upstream(1), upstream(2)))
        part.health.accept(state(entry('u1'), epoch=1))
        assert part.ejected('s') == {'u1'}
        part.health.accept(state(epoch=2, host='host-002', full=True))
        assert not part.ejected('s')
        part.health.accept(state(entry('u1', serial=9), epoch=1))
        assert not part.ejected('s')

    fakes.run(story())


def test_overtaken_datagram_changes_nothing():
    """The news of a return arrives before the older news of the ejection.

    Symptom: an upstream stays out until its lease ends.  Sequence: two
    datagrams change places on the way.  Cause: serials were not compared.
    """

    async def story():
        part = node(fakes.Directory(upstream(1), upstream(2)))
        part.health.accept(state(entry('u1', serial=1)))
        back = entry('u1', messages.RETURNING, 3, weight=1000)
        part.health.accept(state(back))
        part.health.accept(state(entry('u1', serial=2)))
        assert not part.ejected('s')

    fakes.run(story())


def test_lease_ends_when_nobody_renews_it():
    """The coordinator and its standby die after an ejection.

    Symptom: an upstream stays out for ever.  Sequence: ejection, then
    silence.  Cause: the ejection was a state, not a lease.
    """

    async def story():
        part = node(fakes.Directory(upstream(1), upstream(2)))
        part.health.accept(state(entry('u1')))
        await asyncio.sleep(9.9)
        assert part.ejected('s') == {'u1'}
        await asyncio.sleep(0.2)
        assert not part.ejected('s')

    fakes.run(story())


def test_second_loss_right_after_a_return():
    """A host dies just when an upstream has come back.

    Symptom: capacity falls below the floor.  Sequence: u0 returns with a
    small share, u1 to u3 are ejected, the host of u4 dies.  Cause: a
    returning upstream was counted as whole, or the clamp was not renewed.
    """

    async def story():
        pool = [upstream(number) for number in range(8)]
        directory = fakes.Directory(*pool)
        part = node(directory)
        returning = entry('u0', messages.RETURNING, weight=1000)
        out = [entry('u%d' % n, severity=9 - n) for n in (1, 2, 3)]
        part.health.accept(state(returning, *out))
        assert part.ejected('s') == {'u1', 'u2', 'u3'}
        directory.put(upstream(4)._replace(state=interfaces.GONE))
        assert len(part.ejected('s')) == 2

    fakes.run(story())


@pytest.mark.parametrize(
    'changes', [{'floor_percent': 100}, {'floor_slots': 4000}]
)
def test_floor_of_the_whole_pool_or_more(changes):
    """Ejections are granted by a coordinator with an older manifest."""

    async def story():
        pool = [upstream(number) for number in range(8)]
        part = node(fakes.Directory(*pool), **changes)
        part.health.accept(state(entry('u1'), entry('u2')))
        assert not part.ejected('s')
        # It still gets less work than its siblings.
        assert part.weight('u1') < part.weight('u3')

    fakes.run(story())


def test_ejection_for_one_data_centre_or_customer_only():
    async def story():
        part = node(fakes.Directory(*(upstream(n) for n in range(8))))
        mine, other = (
            entry('u1', data_centre='dc-1'),
            entry('u2', data_centre='dc-2'),
        )
        number = levels.customer_class('firm')
        one = entry('u3', customer_class=number)
        part.health.accept(state(mine, other, one))
        assert part.ejected('s') == {'u1'}
        assert part.weight('u3', 'firm') < 0.5
        assert part.weight('u3') == 1.0

    fakes.run(story())


def test_returning_upstream_gets_a_growing_share_of_work():
    """A small weight would keep it idle: the balancer prefers all others."""

    async def story():
        part = node(fakes.Directory(upstream(1), upstream(2)))
        back = entry('u1', messages.RETURNING, weight=1000)
        part.health.accept(state(back._replace(ttl_ms=20_000)))
        shares = []
        for _step in range(3):
            drawn = [part.weight('u1') for _request in range(1000)]
            shares.append(drawn.count(1.0) / 1000)
            await asyncio.sleep(9)
        assert 0.05 < shares[0] < 0.2
        assert shares[0] + 0.2 < shares[1] < shares[2] - 0.2

    fakes.run(story())


def test_pause_of_the_node_itself_accuses_nobody():
    """The process stands still for two seconds with requests in flight.

    Symptom: all upstreams look hung at once.  Sequence: requests start, the
    process pauses, the tick and the answers come late together.  Cause: the
    time of the pause was counted as latency.
    """

    async def story():
        part = node(fakes.Directory(*(upstream(n) for n in range(8))))
        outbox = paced(part)
        part.evidence.tick(clock.now())
        started = clock.now()
        for number in range(8):
            part.begin('s', 'u%d' % number, 'c', started)
        await asyncio.sleep(2.0)
        # The answers are handled before the tick notices the pause.
        for number in range(4):
            name = 'u%d' % number
            part.record(
                interfaces.Attempt(
                    's', name, 'c', interfaces.GOOD, 2.0, started
                )
            )
        assert not outbox.urgent
        part.evidence.tick(clock.now())
        assert all(part.weight('u%d' % n) == 1.0 for n in range(8))
        assert not outbox.urgent

    fakes.run(story())


def test_overdue_answer_shows_before_its_timeout():
    """An upstream hangs and its callers wait for seconds.

    Symptom: it gets work until the first timeouts.  Sequence: requests are
    sent, nothing returns.  Cause: only ended attempts were evidence.
    """

    async def story():
        part = node(fakes.Directory(upstream(1), upstream(2)))
        reports = []
        part.evidence.send_report = reports.append
        paced(part)
        part.begin('s', 'u1', 'c', clock.now())
        await asyncio.sleep(0.001)
        part.begin('s', 'u2', 'c', clock.now(), fresh=False)
        for _tick in range(12):
            await asyncio.sleep(0.025)
            part.evidence.tick(clock.now())
        assert part.weight('u1') < 0.2
        total = {'u1': [0] * levels.CATEGORIES, 'u2': [0] * levels.CATEGORIES}
        for report in reports:
            for cell in report.cells:
                pairs = zip(total[cell.upstream], cell.counts)
                total[cell.upstream] = [a + b for a, b in pairs]
        # One attempt is counted once, at the worst that it has come to.
        assert {n: c for n, c in enumerate(total['u1']) if c} == {
            levels.OVERDUE: 1
        }
        assert {n: c for n, c in enumerate(total['u2']) if c} == {
            levels.unproven(levels.OVERDUE): 1
        }

    fakes.run(story())
