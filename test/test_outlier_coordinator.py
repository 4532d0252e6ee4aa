"""Tests of the coordinator's judgement, with reports made by hand."""

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
    """A routing with one service, drained nowhere."""

    def __init__(self, **changes):
        self.config = manifest.Service(detection='fast', **changes)

    def service(self, name):
        return self.config

    def drained(self, host, data_centre):
        return False


class Bench:
    """A coordinator and the reports of twenty nodes."""

    def __init__(self, pool=POOL, nodes=20, **changes):
        self.nodes = nodes
        directory = fakes.Directory(*pool)
        routing = Routing(**changes)
        self.index = upstream_index.UpstreamIndex(directory, lambda: routing)
        self.index.by_id('s')
        self.part = coordinator.Coordinator(
            's',
            self.index,
            FACTORIES['siblings'](),
            random.Random(1),
            clock.now(),
        )
        self.part.takeover_done = True

    def report(self, node, counts, upstream='u3', tested=0, good=0, kind=0):
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
            (messages.Cell(upstream, kind, tuple(cell), tested),),
        )
        self.part.receive_report(report, '127.0.0.1:%d' % node, clock.now())
        self.part.tick(clock.now())

    async def healthy(self):
        """Let every node report good answers of every upstream."""
        for _round in range(20):
            await asyncio.sleep(4)
            for node in range(self.nodes):
                for upstream in self.index.by_id('s'):
                    self.report(node, {}, upstream, good=1)

    def events(self):
        return {event.kind for event in self.part.store.events}


def run(body, **kwargs):
    async def _run():
        bench = Bench(**kwargs)
        await asyncio.sleep(5)
        await bench.healthy()
        await asyncio.sleep(2)
        await body(bench, asyncio.sleep)

    fakes.run(_run())


def test_four_nodes_convince():
    async def body(bench, sleep):
        for node in range(6):
            bench.report(node, {levels.OVERDUE: 1})
            await sleep(0.1)
        assert 'upstream-ejected' in bench.events()

    run(body)


def test_floor_refuses_and_says_so():
    """The floor is the whole pool; one upstream hangs for everybody."""

    async def body(bench, sleep):
        for node in range(12):
            bench.report(node, {levels.OVERDUE: 1})
            await sleep(0.1)
        assert 'ejection-refused-floor' in bench.events()
        assert 'upstream-ejected' not in bench.events()
        # It is still steered around as far as a weight can.
        record = bench.part.store.records['u3']
        assert 0.0 < record.weight < 1.0 and not record.out_of_service

    run(body, floor_percent=100)


def test_one_node_of_many_does_not_convince():
    """One of twenty nodes reports failure after failure.

    Symptom: a healthy upstream is ejected.  Sequence: a node with a fault
    of its own reports twenty timeouts in two seconds.  Cause: its reports
    were added up like those of twenty nodes.
    """

    async def body(bench, sleep):
        for _attempt in range(20):
            bench.report(5, {levels.BROKEN: 1})
            await sleep(0.1)
        assert 'upstream-ejected' not in bench.events()

    run(body)


def test_busy_node_alone_is_blamed_for_its_path():
    """The node that carries half of the work loses its path to an upstream.

    Symptom: a healthy upstream is ejected.  Sequence: its failures count in
    full since it is so busy, while trials of other nodes go well.  Cause:
    nobody asked who complains.
    """

    async def body(bench, sleep):
        bench.report(5, {}, 'u1', good=4000)
        for _attempt in range(2):
            bench.report(5, {levels.BROKEN: 1})
            await sleep(0.05)
        for node in range(4):
            bench.report(node, {}, tested=1, good=1)
        for _attempt in range(8):
            bench.report(5, {levels.BROKEN: 2})
            await sleep(0.05)
        assert 'path-suspected' in bench.events()
        assert 'upstream-ejected' not in bench.events()

    run(body)


def test_old_connections_hold_but_do_not_eject():
    """Answers are overdue on old connections only.

    Symptom: a healthy upstream is ejected when a firewall forgets its
    connections.  Sequence: ten nodes find their connection silent.  Cause:
    they were counted like failures of the upstream.
    """

    async def body(bench, sleep):
        for node in range(10):
            bench.report(node, {levels.unproven(levels.OVERDUE): 1})
            await sleep(0.05)
        assert 'upstream-suspected' in bench.events()
        assert 'upstream-ejected' not in bench.events()

    run(body)


def test_whole_service_slow_accuses_nobody():
    """Every upstream slows down, first by chance the same one thrice."""

    async def body(bench, sleep):
        names = ['u3', 'u3', *(one.id for one in POOL)] * 8
        for turn, name in enumerate(names):
            bench.report(turn % 20, {levels.LATE: 1}, name)
            await sleep(0.02)
        assert 'upstream-ejected' not in bench.events()

    run(body)


@pytest.mark.parametrize('seed', range(4))
def test_common_cause_accuses_nobody(seed):
    """Whatever all upstreams depend on slows down within an instant.

    Symptom: the upstreams that chance hit first are ejected.  Sequence: 40
    late answers a second, spread over eight upstreams at random.  Cause: the
    first ones were compared with siblings of a second ago.
    """

    async def body(bench, sleep):
        rng = random.Random(seed)
        for _turn in range(120):
            name = 'u%d' % rng.randrange(8)
            bench.report(rng.randrange(20), {levels.OVERDUE: 1}, name)
            await sleep(0.025)
        assert 'upstream-ejected' not in bench.events()

    run(body)


def test_customer_slow_everywhere_accuses_nobody():
    """One customer's queries are slow at whatever upstream they reach."""

    async def body(bench, sleep):
        for turn in range(60):
            name = 'u%d' % (turn % 8)
            bench.report(turn % 20, {levels.LATE: 1}, name, kind=4)
            await sleep(0.02)
        await sleep(6)
        before = len(bench.part.store.events)
        for turn in range(20):
            bench.report(turn, {levels.LATE: 1}, 'u3', kind=4)
            await sleep(0.05)
        new = bench.part.store.events[before:]
        assert 'upstream-ejected' not in {event.kind for event in new}

    run(body)


def test_slow_for_one_customer_at_one_upstream():
    """An upstream fails one class of customers and serves the others."""

    async def body(bench, sleep):
        for turn in range(12):
            bench.report(turn, {levels.OVERDUE: 1}, kind=4)
            bench.report(turn, {}, tested=1, good=1, kind=2)
            await sleep(0.05)
        held = bench.part.store.unhealthy()
        assert held[0].scope == scope.Scope(scope.CUSTOMER, '4')
        assert not held[0].out_of_service

    run(body)


def test_health_endpoint_alone_neither_ejects_nor_clears():
    """Health endpoints say ill of a working upstream, well of a hung one."""

    async def body(bench, sleep):
        for node in range(20):
            bench.report(node, {levels.REPORTED_UNHEALTHY: 1}, 'u1')
            await sleep(0.2)
        assert not bench.events()
        for node in range(6):
            bench.report(node, {levels.OVERDUE: 1, levels.REPORTED_HEALTHY: 1})
            await sleep(0.1)
        record = bench.part.store.records['u3']
        assert record.state == 'ejected'

    run(body)


def test_flapping_lengthens_the_next_ejection():
    """An upstream recovers for its trial and fails again, over and over."""

    async def body(bench, sleep):
        waits = []
        for _flap in range(4):
            for node in range(10):
                bench.report(node, {levels.OVERDUE: 1})
                await sleep(0.06)
            record = bench.part.store.records['u3']
            assert record.state == 'ejected'
            waits.append(record.backoff_until - record.state_since)
            await sleep(record.backoff_until - clock.now() + 0.1)
            bench.part.tick(clock.now())
        assert all(b > 1.5 * a for a, b in zip(waits, waits[1:]))

    run(body)


def test_scope_names_the_group_that_is_known():
    """All complaints come from one data centre; one customer is clear."""
    episode = scope.Episode(0.0)
    for number in range(4):
        source = scope.Source('host-%d' % number, 'dc-1', '4')
        episode.add(source, 1.0, 0.0)

    def share(kind, group):
        return 0.25

    assert episode.scope(2, share).kind == scope.UNKNOWN
    episode.add(scope.Source('host-9', 'dc-1', '2'), 0.0, 3.0)
    assert episode.scope(2, share) == scope.Scope(scope.CUSTOMER, '4')
