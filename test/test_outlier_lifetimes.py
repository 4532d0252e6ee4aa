"""What is held against an upstream ends with its life."""

import asyncio

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.outlier import levels
from test import fakes
from test import test_outlier_coordinator as coordinators
from test import test_outlier_node as nodes


def test_ejection_ends_with_the_life():
    """Symptom: an upstream that has just started gets no work for what its
    former life did.
    Sequence: it is ejected on pooled evidence, starts again under its id.
    Cause: the ejection was that of the id; a restart only brought the next
    trial forward.
    """

    async def body(bench, sleep):
        for node in range(6):
            bench.report(node, {levels.OVERDUE: 1})
            await sleep(0.1)
        assert 'upstream-ejected' in bench.events()
        new = coordinators.POOL[3]._replace(incarnation=9)
        bench.index.directory.put(new)
        bench.part.tick(clock.now())
        assert bench.part.store.unhealthy() == ()
        assert bench.part.detector.evidence('u3', clock.now()) == 0.0
        assert 'u3' not in bench.part.pool.tables
        # What nodes still report of the former life counts for nothing.
        bench.report(0, {levels.OVERDUE: 3})
        bench.part.tick(clock.now())
        assert bench.part.store.unhealthy() == ()

    coordinators.run(body)


def test_suspicion_ends_with_the_life():
    async def body(bench, sleep):
        bench.report(0, {levels.OVERDUE: 1})
        assert bench.part.detector.evidence('u3', clock.now()) > 0.0
        new = coordinators.POOL[3]._replace(incarnation=9)
        bench.index.directory.put(new)
        bench.part.tick(clock.now())
        assert bench.part.detector.evidence('u3', clock.now()) == 0.0

    coordinators.run(body)


def test_what_a_node_holds_ends_with_the_life():
    """Symptom: as above, at one node.
    Sequence: it lowers the weight of an upstream, is told that it is
    ejected, then that it has started again.
    Cause: weights and leases were those of the id.
    """

    async def story():
        directory = fakes.Directory(*(nodes.upstream(n) for n in range(8)))
        part = nodes.node(directory)
        part.index.by_id('s')
        part.record(nodes.attempt('u1', interfaces.TIMEOUT))
        part.health.accept(nodes.state(nodes.entry('u1')))
        assert part.ejected('s') == {'u1'}
        assert part.weight('u1') < 0.5
        directory.put(nodes.upstream(1, incarnation=9))
        assert part.ejected('s') == frozenset()
        assert part.weight('u1') == 1.0

    fakes.run(story())


def test_ejection_by_a_node_alone_ends_with_the_life():
    async def story():
        directory = fakes.Directory(*(nodes.upstream(n) for n in range(8)))
        part = nodes.node(directory, detector='consecutive')
        part.index.by_id('s')
        for _time in range(4):
            part.record(nodes.attempt('u2', interfaces.BROKEN))
        for _time in range(5):
            part.record(nodes.attempt('u1', interfaces.BROKEN))
        assert part.ejected('s') == {'u1'}
        directory.put(nodes.upstream(1, incarnation=9))
        directory.put(nodes.upstream(2, incarnation=9))
        assert part.ejected('s') == frozenset()
        part.record(nodes.attempt('u2', interfaces.BROKEN))
        assert part.ejected('s') == frozenset()

    fakes.run(story())


def test_attempt_of_the_former_life_accuses_nobody():
    """Symptom: an upstream that has just started loses its share of work.
    Sequence: an attempt runs, the upstream starts again, the attempt ends
    badly.
    Cause: its outcome was taken for the new life's.
    """

    async def story():
        directory = fakes.Directory(*(nodes.upstream(n) for n in range(8)))
        part = nodes.node(directory)
        part.index.by_id('s')
        outbox = nodes.paced(part)
        began = clock.now()
        part.begin('s', 'u1', 'c', began)
        await asyncio.sleep(0.05)
        directory.put(nodes.upstream(1, incarnation=9))
        await asyncio.sleep(0.3)
        part.evidence.tick(clock.now())
        ended = nodes.attempt('u1', interfaces.BROKEN)
        part.record(ended._replace(started=began))
        assert part.weight('u1') == 1.0
        assert outbox.cells == {}
        # One of the new life counts.
        part.record(nodes.attempt('u1', interfaces.BROKEN))
        assert part.weight('u1') < 1.0

    fakes.run(story())
