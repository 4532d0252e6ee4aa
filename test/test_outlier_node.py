"""Tests of a node's own reactions and of its handling of leases."""

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


def make_node(directory, **changes):
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


def set_bounds(detection):
    """Give a node bounds for the empty route, 10 to 160 ms."""
    outbox = detection.evidence.outboxes.outbox('s', clock.now())
    bounds = (10_000, 20_000, 40_000, 80_000, 160_000)
    row = messages.RouteBounds(levels.short_id(''), bounds)
    outbox.apply_pace(messages.Pace('s', 1, 60_000, 100, 3, (row,)))
    return outbox


def test_weight_falls_at_once_and_recovers():
    async def scenario():
        detection = make_node(fakes.Directory(upstream(1), upstream(2)))
        assert detection.weight('u1') == 1.0
        detection.record(attempt('u1', interfaces.TIMEOUT))
        after = detection.weight('u1')
        assert after < 0.5
        assert detection.weight('u2') == 1.0
        await asyncio.sleep(2)
        later = detection.weight('u1')
        detection.record(attempt('u1', interfaces.GOOD))
        assert after < later < detection.weight('u1')

    fakes.run(scenario())


def test_ejections_by_one_node_keep_the_floor():
    """Guards against a node without any upstream left.

    The node's path is broken, and each upstream fails five times in a row; its
    own ejections must be clamped to the floor as well.
    """

    async def scenario():
        pool = [upstream(number) for number in range(8)]
        detection = make_node(fakes.Directory(*pool), detector='consecutive')
        for one in pool * 5:
            detection.record(attempt(one.id, interfaces.BROKEN))
        assert len(detection.ejected('s')) == 4

    fakes.run(scenario())


def test_two_coordinators_at_once_keep_the_floor():
    """Guards against a loss of all capacity at a node with two coordinators.

    During a partition each of them ejects half of the pool, within its own
    bound; the node must not add the grants up.
    """

    async def scenario():
        pool = [upstream(number) for number in range(8)]
        detection = make_node(fakes.Directory(*pool))
        detection.health.accept(state(*(entry('u%d' % n) for n in range(4))))
        second = (entry('u%d' % n) for n in range(4, 8))
        detection.health.accept(state(*second, host='host-002'))
        assert len(detection.ejected('s')) == 4

    fakes.run(scenario())


def test_stale_coordinator_is_ignored():
    """Guards against an upstream that is ejected again after its return.

    Epoch 2 takes over and returns it, then a state of epoch 1 arrives from a
    coordinator that was cut off; the latest message is not the newest state.
    """

    async def scenario():
        detection = make_node(fakes.Directory(upstream(1), upstream(2)))
        detection.health.accept(state(entry('u1'), epoch=1))
        assert detection.ejected('s') == {'u1'}
        detection.health.accept(state(epoch=2, host='host-002', full=True))
        assert not detection.ejected('s')
        detection.health.accept(state(entry('u1', serial=9), epoch=1))
        assert not detection.ejected('s')

    fakes.run(scenario())


def test_overtaken_datagram_is_ignored():
    """Guards against an upstream that stays ejected until its lease ends.

    The datagrams of its ejection and of its return change places on the way,
    so serials must be compared.
    """

    async def scenario():
        detection = make_node(fakes.Directory(upstream(1), upstream(2)))
        detection.health.accept(state(entry('u1', serial=1)))
        back = entry('u1', messages.RETURNING, 3, weight=1000)
        detection.health.accept(state(back))
        detection.health.accept(state(entry('u1', serial=2)))
        assert not detection.ejected('s')

    fakes.run(scenario())


def test_lease_ends_without_renewal():
    """Guards against an upstream that stays ejected for ever.

    The coordinator and its standby die after an ejection.
    """

    async def scenario():
        detection = make_node(fakes.Directory(upstream(1), upstream(2)))
        detection.health.accept(state(entry('u1')))
        await asyncio.sleep(9.9)
        assert detection.ejected('s') == {'u1'}
        await asyncio.sleep(0.2)
        assert not detection.ejected('s')

    fakes.run(scenario())


def test_host_loss_after_a_return_keeps_the_floor():
    """Guards against capacity below the floor after a second loss.

    u0 returns with a small share, u1 to u3 are ejected, then the host of u4
    dies: a returning upstream must not count as capacity, and the clamp must
    be renewed.
    """

    async def scenario():
        pool = [upstream(number) for number in range(8)]
        directory = fakes.Directory(*pool)
        detection = make_node(directory)
        returning = entry('u0', messages.RETURNING, weight=1000)
        out = [entry('u%d' % n, severity=9 - n) for n in (1, 2, 3)]
        detection.health.accept(state(returning, *out))
        assert detection.ejected('s') == {'u1', 'u2', 'u3'}
        directory.put(upstream(4)._replace(state=interfaces.GONE))
        assert len(detection.ejected('s')) == 2

    fakes.run(scenario())


@pytest.mark.parametrize(
    'changes', [{'floor_percent': 100}, {'floor_slots': 4000}]
)
def test_floor_of_the_whole_pool_allows_no_ejection(changes):
    """Ejections are granted by a coordinator with an older manifest."""

    async def scenario():
        pool = [upstream(number) for number in range(8)]
        detection = make_node(fakes.Directory(*pool), **changes)
        detection.health.accept(state(entry('u1'), entry('u2')))
        assert not detection.ejected('s')
        # It still gets less work than its siblings.
        assert detection.weight('u1') < detection.weight('u3')

    fakes.run(scenario())


def test_ejection_for_one_data_centre_or_customer_only():
    async def scenario():
        detection = make_node(
            fakes.Directory(*(upstream(n) for n in range(8)))
        )
        mine, other = (
            entry('u1', data_centre='dc-1'),
            entry('u2', data_centre='dc-2'),
        )
        number = levels.customer_class('firm')
        one = entry('u3', customer_class=number)
        detection.health.accept(state(mine, other, one))
        assert detection.ejected('s') == {'u1'}
        assert detection.weight('u3', 'firm') < 0.5
        assert detection.weight('u3') == 1.0

    fakes.run(scenario())


def test_returning_upstream_gets_a_growing_share_of_work():
    """A small weight would leave it idle: the balancer prefers all others."""

    async def scenario():
        detection = make_node(fakes.Directory(upstream(1), upstream(2)))
        back = entry('u1', messages.RETURNING, weight=1000)
        detection.health.accept(state(back._replace(ttl_ms=20_000)))
        shares = []
        for _step in range(3):
            drawn = [detection.weight('u1') for _request in range(1000)]
            shares.append(drawn.count(1.0) / 1000)
            await asyncio.sleep(9)
        assert 0.05 < shares[0] < 0.2
        assert shares[0] + 0.2 < shares[1] < shares[2] - 0.2

    fakes.run(scenario())


def test_pause_of_the_node_is_no_evidence():
    """Guards against evidence from a pause of the node itself.

    The process stands still for two seconds with requests in flight, so that
    the tick and the answers come late together and all upstreams look hung;
    the pause must not count as latency.
    """

    async def scenario():
        detection = make_node(
            fakes.Directory(*(upstream(n) for n in range(8)))
        )
        outbox = set_bounds(detection)
        detection.evidence.tick(clock.now())
        started = clock.now()
        for number in range(8):
            detection.begin('s', 'u%d' % number, 'c', started)
        await asyncio.sleep(2.0)
        # The answers are handled before the tick notices the pause.
        for number in range(4):
            name = 'u%d' % number
            detection.record(
                interfaces.Attempt(
                    's', name, 'c', interfaces.GOOD, 2.0, started
                )
            )
        assert not outbox.urgent
        detection.evidence.tick(clock.now())
        assert all(detection.weight('u%d' % n) == 1.0 for n in range(8))
        assert not outbox.urgent

    fakes.run(scenario())


def test_overdue_attempt_is_reported_before_its_timeout():
    """Guards against a hung upstream that gets work until the first timeouts.

    Its callers wait for seconds; attempts in flight must be evidence, too.
    """

    async def scenario():
        detection = make_node(fakes.Directory(upstream(1), upstream(2)))
        reports = []
        detection.evidence.send_report = reports.append
        set_bounds(detection)
        detection.begin('s', 'u1', 'c', clock.now())
        await asyncio.sleep(0.001)
        detection.begin('s', 'u2', 'c', clock.now(), fresh=False)
        for _tick in range(12):
            await asyncio.sleep(0.025)
            detection.evidence.tick(clock.now())
        assert detection.weight('u1') < 0.2
        total = {'u1': [0] * levels.CATEGORIES, 'u2': [0] * levels.CATEGORIES}
        for report in reports:
            for cell in report.cells:
                pairs = zip(total[cell.upstream], cell.counts)
                total[cell.upstream] = [a + b for a, b in pairs]
        # One attempt is counted once, at the highest level that it has
        # reached.
        assert {n: c for n, c in enumerate(total['u1']) if c} == {
            levels.OVERDUE: 1
        }
        assert {n: c for n, c in enumerate(total['u2']) if c} == {
            levels.unproven(levels.OVERDUE): 1
        }

    fakes.run(scenario())
