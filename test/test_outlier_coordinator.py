"""Tests of the coordinator's decisions on reports made by hand."""

import asyncio
import random

import pytest

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import manifest
from carawaystair.outlier import coordinator
from carawaystair.outlier import levels
from carawaystair.outlier import messages
from carawaystair.outlier import scope
from carawaystair.outlier import upstream_index
from carawaystair import plugins
from test import fakes

FACTORIES = plugins.load().collect('detectors')
POOL = tuple(
    interfaces.Upstream('u%d' % n, 's', '', '', 'dc-%d' % (n % 4), 5)
    for n in range(8)
)


class Routing:
    """A routing with one service and no drains."""

    def __init__(self, **changes):
        self.config = manifest.Service(detection='fast', **changes)

    def service(self, name):
        return self.config

    def drained(self, host, data_centre):
        return False


class Harness:
    """A coordinator and the reports of twenty nodes."""

    def __init__(self, pool=POOL, nodes=20, **changes):
        self.nodes = nodes
        directory = fakes.Directory(*pool)
        routing = Routing(**changes)
        self.index = upstream_index.UpstreamIndex(directory, lambda: routing)
        self.index.by_id('s')
        self.coordinator = coordinator.Coordinator(
            's',
            self.index,
            FACTORIES['siblings'](),
            random.Random(1),
            clock.now(),
        )
        self.coordinator.takeover_done = True

    def report(
        self, node, counts, upstream='u3', tested=0, good=0, customer_class=0
    ):
        cell = [0] * levels.CATEGORIES
        cell[0] = good
        for category, count in counts.items():
            cell[category] += count
        report = messages.Report(
            's',
            'host-%03d' % node,
            'dc-%d' % (node % 4),
            0,
            0,
            0,
            True,
            False,
            1.0,
            (messages.Cell(upstream, customer_class, tuple(cell), tested),),
        )
        self.coordinator.receive_report(
            report, '127.0.0.1:%d' % node, clock.now()
        )
        self.coordinator.tick(clock.now())

    async def report_healthy(self):
        """Report good answers of every upstream from every node."""
        for _round in range(20):
            await asyncio.sleep(4)
            for node in range(self.nodes):
                for upstream in self.index.by_id('s'):
                    self.report(node, {}, upstream, good=1)

    def events(self):
        return {event.kind for event in self.coordinator.store.events}


def run(body, **kwargs):
    async def _run():
        harness = Harness(**kwargs)
        await asyncio.sleep(5)
        await harness.report_healthy()
        await asyncio.sleep(2)
        await body(harness, asyncio.sleep)

    fakes.run(_run())


def test_reports_of_several_nodes_eject():
    async def body(harness, sleep):
        for node in range(6):
            harness.report(node, {levels.OVERDUE: 1})
            await sleep(0.1)
        assert 'upstream-ejected' in harness.events()

    run(body)


def test_floor_refuses_ejection_and_reports_it():
    """The floor is the whole pool; one upstream hangs for all callers."""

    async def body(harness, sleep):
        for node in range(12):
            harness.report(node, {levels.OVERDUE: 1})
            await sleep(0.1)
        assert 'ejection-refused-floor' in harness.events()
        assert 'upstream-ejected' not in harness.events()
        # It still gets a reduced weight.
        record = harness.coordinator.store.records['u3']
        assert 0.0 < record.weight < 1.0 and not record.out_of_service

    run(body, floor_percent=100)


def test_one_node_of_many_does_not_eject():
    """Guards against the ejection of a healthy upstream by one faulty node.

    One of twenty nodes reports twenty timeouts in two seconds; they must not
    be added up like reports of twenty nodes.
    """

    async def body(harness, sleep):
        for _attempt in range(20):
            harness.report(5, {levels.BROKEN: 1})
            await sleep(0.1)
        assert 'upstream-ejected' not in harness.events()

    run(body)


def test_failures_of_one_busy_node_suspect_its_path():
    """Guards against the ejection of a healthy upstream for one path.

    The node that carries half of the work, so that its failures count in full,
    loses its path to an upstream, while trials of other nodes succeed.
    """

    async def body(harness, sleep):
        harness.report(5, {}, 'u1', good=4000)
        for _attempt in range(2):
            harness.report(5, {levels.BROKEN: 1})
            await sleep(0.05)
        for node in range(4):
            harness.report(node, {}, tested=1, good=1)
        for _attempt in range(8):
            harness.report(5, {levels.BROKEN: 2})
            await sleep(0.05)
        assert 'path-suspected' in harness.events()
        assert 'upstream-ejected' not in harness.events()

    run(body)


def test_unproven_connections_suspect_but_do_not_eject():
    """Guards against the ejection of a healthy upstream for lost connections.

    A firewall drops its state, and ten nodes find their old connections
    silent; these must not count like failures of the upstream.
    """

    async def body(harness, sleep):
        for node in range(10):
            harness.report(node, {levels.unproven(levels.OVERDUE): 1})
            await sleep(0.05)
        assert 'upstream-suspected' in harness.events()
        assert 'upstream-ejected' not in harness.events()

    run(body)


def test_slow_service_ejects_no_upstream():
    """Every upstream slows down, by chance the same one first three times."""

    async def body(harness, sleep):
        names = ['u3', 'u3', *(one.id for one in POOL)] * 8
        for turn, name in enumerate(names):
            harness.report(turn % 20, {levels.LATE: 1}, name)
            await sleep(0.02)
        assert 'upstream-ejected' not in harness.events()

    run(body)


@pytest.mark.parametrize('seed', range(4))
def test_common_cause_ejects_no_upstream(seed):
    """Guards against the ejection of the upstreams that were hit first.

    A dependency of all upstreams slows down at once: 40 late answers a second
    at random over eight upstreams.  The first ones must not be compared with
    siblings of a second ago.
    """

    async def body(harness, sleep):
        rng = random.Random(seed)
        for _turn in range(120):
            name = 'u%d' % rng.randrange(8)
            harness.report(rng.randrange(20), {levels.OVERDUE: 1}, name)
            await sleep(0.025)
        assert 'upstream-ejected' not in harness.events()

    run(body)


def test_customer_slow_everywhere_ejects_no_upstream():
    """One customer's queries are slow at every upstream."""

    async def body(harness, sleep):
        for turn in range(60):
            name = 'u%d' % (turn % 8)
            harness.report(turn % 20, {levels.LATE: 1}, name, customer_class=4)
            await sleep(0.02)
        await sleep(6)
        before = len(harness.coordinator.store.events)
        for turn in range(20):
            harness.report(turn, {levels.LATE: 1}, 'u3', customer_class=4)
            await sleep(0.05)
        new = harness.coordinator.store.events[before:]
        assert 'upstream-ejected' not in {event.kind for event in new}

    run(body)


def test_failure_for_one_customer_class_limits_the_scope():
    """An upstream fails one class of customers and serves the others."""

    async def body(harness, sleep):
        for turn in range(12):
            harness.report(turn, {levels.OVERDUE: 1}, customer_class=4)
            harness.report(turn, {}, tested=1, good=1, customer_class=2)
            await sleep(0.05)
        unhealthy = harness.coordinator.store.unhealthy()
        assert unhealthy[0].scope == scope.Scope(scope.CUSTOMER, '4')
        assert not unhealthy[0].out_of_service

    run(body)


def test_health_endpoint_alone_neither_ejects_nor_clears():
    """Endpoints report a working upstream unhealthy and a hung one healthy."""

    async def body(harness, sleep):
        for node in range(20):
            harness.report(node, {levels.REPORTED_UNHEALTHY: 1}, 'u1')
            await sleep(0.2)
        assert not harness.events()
        for node in range(6):
            harness.report(
                node, {levels.OVERDUE: 1, levels.REPORTED_HEALTHY: 1}
            )
            await sleep(0.1)
        record = harness.coordinator.store.records['u3']
        assert record.state == 'ejected'

    run(body)


def test_flapping_lengthens_the_next_ejection():
    """An upstream recovers for its trial and fails again, several times."""

    async def body(harness, sleep):
        waits = []
        for _flap in range(4):
            for node in range(10):
                harness.report(node, {levels.OVERDUE: 1})
                await sleep(0.06)
            record = harness.coordinator.store.records['u3']
            assert record.state == 'ejected'
            waits.append(record.backoff_until - record.state_since)
            await sleep(record.backoff_until - clock.now() + 0.1)
            harness.coordinator.tick(clock.now())
        assert all(b > 1.5 * a for a, b in zip(waits, waits[1:]))

    run(body)


def test_scope_prefers_a_confirmed_group():
    """All failures come from one data centre; other customers work there."""
    episode = scope.Episode(0.0)
    for number in range(4):
        source = scope.Source('host-%d' % number, 'dc-1', '4')
        episode.add(source, 1.0, 0.0)

    def share(kind, group):
        return 0.25

    assert episode.scope(2, share).kind == scope.UNKNOWN
    episode.add(scope.Source('host-9', 'dc-1', '2'), 0.0, 3.0)
    assert episode.scope(2, share) == scope.Scope(scope.CUSTOMER, '4')
