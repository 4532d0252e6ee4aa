"""Tests that ejections and evidence end when an upstream restarts."""

import asyncio

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.outlier import levels
from test import fakes
from test import test_outlier_coordinator as coordinators
from test import test_outlier_node as nodes


def test_ejection_ends_with_a_restart():
    """Guards against a restarted upstream that gets no work.

    It is ejected on pooled evidence and starts again under the same id; the
    ejection must not be that of the id.
    """

    async def body(harness, sleep):
        for node in range(6):
            harness.report(node, {levels.OVERDUE: 1})
            await sleep(0.1)
        assert 'upstream-ejected' in harness.events()
        new = coordinators.POOL[3]._replace(incarnation=9)
        harness.index.directory.put(new)
        harness.coordinator.tick(clock.now())
        assert harness.coordinator.store.unhealthy() == ()
        assert harness.coordinator.detector.evidence('u3', clock.now()) == 0.0
        assert 'u3' not in harness.coordinator.pool.tables
        # Reports on the earlier incarnation no longer count.
        harness.report(0, {levels.OVERDUE: 3})
        harness.coordinator.tick(clock.now())
        assert harness.coordinator.store.unhealthy() == ()

    coordinators.run(body)


def test_suspicion_ends_with_a_restart():
    async def body(harness, sleep):
        harness.report(0, {levels.OVERDUE: 1})
        assert harness.coordinator.detector.evidence('u3', clock.now()) > 0.0
        new = coordinators.POOL[3]._replace(incarnation=9)
        harness.index.directory.put(new)
        harness.coordinator.tick(clock.now())
        assert harness.coordinator.detector.evidence('u3', clock.now()) == 0.0

    coordinators.run(body)


def test_weight_and_lease_of_a_node_end_with_a_restart():
    """Guards against a restarted upstream that gets no work from one node.

    The node has lowered its weight and holds a lease of its ejection; both
    must not be those of the id.
    """

    async def scenario():
        directory = fakes.Directory(*(nodes.upstream(n) for n in range(8)))
        detection = nodes.make_node(directory)
        detection.index.by_id('s')
        detection.record(nodes.attempt('u1', interfaces.TIMEOUT))
        detection.health.accept(nodes.state(nodes.entry('u1')))
        assert detection.ejected('s') == {'u1'}
        assert detection.weight('u1') < 0.5
        directory.put(nodes.upstream(1, incarnation=9))
        assert detection.ejected('s') == frozenset()
        assert detection.weight('u1') == 1.0

    fakes.run(scenario())


def test_local_ejection_ends_with_a_restart():
    async def scenario():
        directory = fakes.Directory(*(nodes.upstream(n) for n in range(8)))
        detection = nodes.make_node(directory, detector='consecutive')
        detection.index.by_id('s')
        for _time in range(4):
            detection.record(nodes.attempt('u2', interfaces.BROKEN))
        for _time in range(5):
            detection.record(nodes.attempt('u1', interfaces.BROKEN))
        assert detection.ejected('s') == {'u1'}
        directory.put(nodes.upstream(1, incarnation=9))
        directory.put(nodes.upstream(2, incarnation=9))
        assert detection.ejected('s') == frozenset()
        detection.record(nodes.attempt('u2', interfaces.BROKEN))
        assert detection.ejected('s') == frozenset()

    fakes.run(scenario())


def test_attempt_from_before_a_restart_is_no_evidence():
    """Guards against a restarted upstream that loses its share of work.

    An attempt is running when the upstream restarts, and then fails; its
    outcome must not count for the new incarnation.
    """

    async def scenario():
        directory = fakes.Directory(*(nodes.upstream(n) for n in range(8)))
        detection = nodes.make_node(directory)
        detection.index.by_id('s')
        outbox = nodes.set_bounds(detection)
        began = clock.now()
        detection.begin('s', 'u1', 'c', began)
        await asyncio.sleep(0.05)
        directory.put(nodes.upstream(1, incarnation=9))
        await asyncio.sleep(0.3)
        detection.evidence.tick(clock.now())
        ended = nodes.attempt('u1', interfaces.BROKEN)
        detection.record(ended._replace(started=began))
        assert detection.weight('u1') == 1.0
        assert outbox.cells == {}
        # A failure of the new incarnation counts.
        detection.record(nodes.attempt('u1', interfaces.BROKEN))
        assert detection.weight('u1') < 1.0

    fakes.run(scenario())
