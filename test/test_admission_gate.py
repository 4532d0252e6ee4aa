"""The slots and the queue of one service on one node."""

import asyncio
import types

import pytest

from carawaystair.admission import controller
from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair import invariants
from carawaystair import manifest
from carawaystair import routing
from carawaystair import rows
from carawaystair import timeline
from test import fakes

SERVICE = 'portal'
SERVICE_S = 0.1


class _Health:
    """Health without ejections unless a test sets some."""

    def __init__(self):
        self.ejected_ids = frozenset()

    def ejected(self, _service):
        return self.ejected_ids

    def weight(self, _upstream):
        return 1.0


def _routing(queue=8, **customers):
    document = manifest.Manifest(
        1,
        'test',
        {'is-south': manifest.Place(('dc-0',))},
        {SERVICE: manifest.Service(queue=queue)},
        (),
        {name: manifest.Customer(*args) for name, args in customers.items()},
    )
    table = rows.from_manifest(document)
    return routing.Routing(rows.Version(1, 1), table)


def _upstream(number=0, slots=2, **kwargs):
    return interfaces.Upstream(
        'up-%d' % number, SERVICE, '127.0.0.1:1', 'h', 'dc-0', slots, **kwargs
    )


def _node(slots=2, queue=8, **customers):
    """Return the admission control of a single node with one upstream."""
    customers = customers or {'big': (1,), 'small': (1,)}
    current = _routing(queue, **customers)
    members = fakes.Members(fakes.member(0), ())
    upstream = _upstream(slots=slots)
    return controller.Admission(
        members,
        fakes.Directory(upstream),
        _Health(),
        lambda: current,
        timeline.Timeline('host-000'),
    )


async def _request(
    node, customer, done, timeout_s=9.0, bulk=False, hold_s=0.1
):
    """Run one request and append its result to ``done``."""
    deadline = clock.now() + timeout_s
    result = await node.admit(SERVICE, customer, deadline, bulk)
    if result.is_error():
        done.append((customer, result.error.code, clock.now()))
        return
    await asyncio.sleep(hold_s)
    result.ok.release(interfaces.GOOD, hold_s)
    done.append((customer, codes.OK, clock.now()))


def _start(node, customer, done, count=1, **kwargs):
    return [
        asyncio.create_task(_request(node, customer, done, **kwargs))
        for _number in range(count)
    ]


def _names(done, code=codes.OK):
    return [name for name, found, _time in done if found is code]


def test_runs_no_more_than_slots_and_queues_the_rest():
    async def _main():
        node, done = _node(), []
        await asyncio.gather(*_start(node, 'big', done, 6))
        return done

    done = fakes.run(_main())
    ends = [round(time, 3) for _name, _code, time in done]
    assert ends == [0.1, 0.1, 0.2, 0.2, 0.3, 0.3]


def test_small_customer_gets_slots_within_one_service_time():
    """Guards against a queue in order of arrival: while a dominant customer
    holds every slot and fills the queue, a small one would wait for its whole
    queue.
    """

    async def _main():
        node, done = _node(), []
        tasks = _start(node, 'big', done, 10)
        await asyncio.sleep(0.05)
        tasks += _start(node, 'small', done, 2)
        await asyncio.gather(*tasks)
        return done

    done = fakes.run(_main())
    assert _names(done)[2:4].count('small') >= 1
    ends = [time for name, _code, time in done if name == 'small']
    assert max(ends) <= 0.05 + 3 * SERVICE_S


def test_weights_share_out_slot_time():
    async def _main():
        node, done = _node(1, 100, big=(3,), small=(1,)), []
        tasks = _start(node, 'big', done, 40)
        tasks += _start(node, 'small', done, 40)
        await asyncio.sleep(4.05)
        for task in tasks:
            task.cancel()
        return _names(done)

    names = fakes.run(_main())
    assert len(names) == 40
    assert 28 <= names.count('big') <= 32


def test_long_requests_are_charged_for_their_time():
    async def _main():
        node, done = _node(1, 100), []
        tasks = _start(node, 'big', done, 40, hold_s=0.3)
        tasks += _start(node, 'small', done, 40)
        await asyncio.sleep(6.0)
        for task in tasks:
            task.cancel()
        return _names(done)

    names = fakes.run(_main())
    assert 2 <= names.count('small') / names.count('big') <= 4


def test_full_queue_drops_from_the_longest_flow():
    """Guards against a customer that fills the queue and so shuts out a small
    one that has nothing waiting.
    """

    async def _main():
        node, done = _node(queue=4), []
        tasks = _start(node, 'big', done, 7)
        await asyncio.sleep(0)
        tasks += _start(node, 'small', done, 1)
        await asyncio.gather(*tasks)
        return node, done

    node, done = fakes.run(_main())
    assert _names(done, codes.QUEUE_FULL) == ['big']
    assert _names(done, codes.CUSTOMER_QUEUE_FULL) == ['big']
    assert _names(done).count('small') == 1
    assert [event.kind for event in node.timeline.ring].count('queue-full')


def test_request_is_refused_at_once_if_it_would_miss_its_deadline():
    """Guards against ignoring the queue ahead of a request: if it drains only
    after the deadline, the caller must be refused in time to ask elsewhere.
    """

    async def _main():
        node, done = _node(1, 100), []
        await asyncio.gather(*_start(node, 'big', done, 4))
        before = clock.now()
        tasks = _start(node, 'big', done, 8)
        await asyncio.sleep(0.01)
        tasks += _start(node, 'big', done, 1, timeout_s=0.3)
        await asyncio.gather(*tasks)
        assert node.retry_after(SERVICE) >= 1
        return [d for d in done if d[1] is codes.DEADLINE_SHORT], before

    refused, before = fakes.run(_main())
    assert [round(time - before, 3) for _n, _c, time in refused] == [0.01]


def test_waiting_request_is_refused_once_it_would_miss_its_deadline():
    """Guards against starting requests whose caller has given up, behind one
    that takes unexpectedly long.
    """

    async def _main():
        node, done = _node(1, 100), []
        await asyncio.gather(*_start(node, 'big', done, 2))
        before = clock.now()
        tasks = _start(node, 'big', done, 1, hold_s=5.0)
        await asyncio.sleep(0)
        tasks += _start(node, 'small', done, 1, timeout_s=0.5)
        await asyncio.gather(*tasks)
        return done[2], before

    (name, code, time), before = fakes.run(_main())
    assert (name, code) == ('small', codes.DEADLINE_PASSED)
    assert time - before == pytest.approx(0.4, abs=0.01)


def test_wrong_estimate_does_not_refuse_all_requests():
    """Guards against an idle service that refuses everything: after a few very
    slow answers, only further answers can correct the estimate.
    """

    async def _main():
        node, done = _node(2), []
        await asyncio.gather(*_start(node, 'big', done, 2, hold_s=5.0))
        for _round in range(80):
            tasks = _start(node, 'small', done, 1, timeout_s=1.0)
            await asyncio.gather(*tasks)
        return _names(done[2:])

    assert len(fakes.run(_main())) == 80


@pytest.mark.parametrize('granted', (False, True))
def test_caller_that_goes_away_frees_its_place(granted):
    """Guards against slots that are lost when a waiting caller goes away, in
    one case just as its request gets a slot.
    """

    async def _main():
        node, done = _node(1), []
        tasks = _start(node, 'big', done, 1)
        await asyncio.sleep(0)
        waiting = _start(node, 'small', done, 1)
        await asyncio.sleep(0.05)
        gate = node.gates[SERVICE]
        if granted:
            gate.set_share(2)
        waiting[0].cancel()
        await asyncio.gather(*tasks, *waiting, return_exceptions=True)
        return gate.queue.size, gate.running, done

    size, running, done = fakes.run(_main())
    assert (size, running, _names(done)) == (0, 0, ['big'])


def test_permit_is_released_only_once():
    async def _main():
        node = _node(1)
        permit = node.try_admit(SERVICE, 'big', clock.now() + 1, False)
        permit.release(interfaces.GOOD, 0.1)
        permit.release(interfaces.GOOD, 0.1)

    with pytest.raises(invariants.InvariantBroken):
        fakes.run(_main())


def test_unknown_customers_share_one_flow():
    async def _main():
        node, done = _node(1, 100), []
        tasks = _start(node, 'small', done, 1)
        await asyncio.sleep(0)
        for number in range(20):
            tasks += _start(node, 'unknown-%d' % number, done, 1)
        tasks += _start(node, 'small', done, 5)
        await asyncio.gather(*tasks)
        return _names(done), node.gates[SERVICE].flows

    names, kept = fakes.run(_main())
    assert names.index('small', 9) <= 11
    assert sorted(kept) == [manifest.OTHER, 'small']


def test_customer_limit_holds_while_slots_are_free():
    async def _main():
        node, done = _node(4, big=(1, 2), small=(1,)), []
        tasks = _start(node, 'big', done, 4) + _start(node, 'small', done, 2)
        await asyncio.gather(*tasks)
        return [(name, round(time, 3)) for name, _code, time in done]

    done = fakes.run(_main())
    assert done.count(('big', 0.1)) == 2
    assert done.count(('small', 0.1)) == 2


def test_long_transfers_leave_slots_to_short_requests():
    """Guards against long transfers that hold every slot for seconds while
    short requests wait.
    """

    async def _main():
        node, done = _node(4), []
        tasks = _start(node, 'big', done, 6, bulk=True, hold_s=5.0)
        await asyncio.sleep(0.05)
        tasks += _start(node, 'small', done, 2)
        await asyncio.sleep(2 * SERVICE_S + 0.05)
        names = _names(done)
        for task in tasks:
            task.cancel()
        return names

    assert fakes.run(_main()) == ['small', 'small']


def test_long_transfers_leave_the_slots_that_short_requests_need():
    """Guards against a fixed reserve: short requests that use four of eight
    slots would queue whenever a batch of downloads begins.
    """

    async def _main():
        node, done = _node(8, 100), []
        for _round in range(20):
            await asyncio.gather(*_start(node, 'small', done, 5))
        tasks = _start(node, 'big', done, 9, bulk=True, hold_s=5.0)
        await asyncio.sleep(0)
        running = node.gates[SERVICE].running_bulk
        for task in tasks:
            task.cancel()
        return running

    assert 3 <= fakes.run(_main()) <= 5


def test_fraction_of_a_slot_is_used_for_that_part_of_the_time():
    async def _main():
        node, done = _node(1, 100), []
        tasks = _start(node, 'big', done, 1)
        await asyncio.sleep(0)
        node.gates[SERVICE].set_share(0.25)
        tasks += _start(node, 'big', done, 30, timeout_s=99.0)
        await asyncio.sleep(8.0)
        for task in tasks:
            task.cancel()
        return len(_names(done))

    assert 18 <= fakes.run(_main()) <= 22


def test_follows_ejections_directory_and_configuration():
    async def _main():
        node = _node(4)
        async with node:
            node.try_admit(SERVICE, 'big', 9.0, False)
            gate = node.gates[SERVICE]
            limits = [gate.limit]
            node.directory.put(_upstream(1, 4))
            limits.append(gate.limit)
            node.health.ejected_ids = frozenset(('up-0',))
            current = _routing(3, big=(5,))
            node.routing = lambda: current
            await asyncio.sleep(1.0)
            limits.append(gate.limit)
            return limits, gate.queue_limit, gate.flows['big'].weight

    limits, queue, weight = fakes.run(_main())
    assert (limits, queue, weight) == ([4, 8, 4], 3, 5)


def test_missing_upstream_and_stop_are_reported_at_once():
    async def _main():
        node, done = _node(1), []
        async with node:
            _start(node, 'big', done, 2)
            await asyncio.sleep(0.01)
        node.directory.put(_upstream(0, state=interfaces.GONE))
        await asyncio.gather(*_start(node, 'big', done, 1))
        return [code for _name, code, _time in done]

    assert fakes.run(_main()) == [codes.LEAVING, codes.NO_UPSTREAM]


def test_make_takes_the_parts_of_a_node():
    kernel = types.SimpleNamespace(timeline=timeline.Timeline('host-000'))
    other = _node()
    node = controller.make(
        kernel, other.members, other.directory, other.health, other.routing
    )
    assert node.timeline is kernel.timeline
