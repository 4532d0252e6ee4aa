"""Upstreams that restart under the same id, behind gateways."""

import asyncio
import random

import pytest

from carawaystair import clock
from carawaystair.gateway import upstream_pool
from carawaystair import interfaces
from carawaystair.load import upstream_selection
from carawaystair import routing as routings
from carawaystair import rows
from test import fakes
from test import gateway_setup as fleets
from test import pipes

# How long an upstream hangs when the path asks for it, seconds.
HANG_S = 60.0


async def serve_or_hang(upstream, seen, writer):
    """Answer at once, or hang if the path says so."""
    if 'hang' in seen.line:
        await asyncio.sleep(HANG_S)
    writer.write(fleets.good(upstream.name.encode()))


def paths_run(fleet):
    """Return the paths of the requests that upstreams ran."""
    return [seen.line.split()[1] for seen in fleet.runs]


def events_named(node, name):
    """Return the events of one name in a node's log."""
    lines = [fakes.json.loads(line) for line in node.lines.lines]
    return [line for line in lines if line['event'] == name]


def test_kept_connections_end_with_the_instance():
    """Guards against requests sent on connections of an ended instance.

    An upstream answers on a kept connection, restarts, and gets the next
    request at once.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            upstream = fleet.nodes[1].upstream
            await fleet.ask('/read/a')
            await fleet.ask('/pay/b', 'POST', body=b'x')
            before = upstream.connections
            fleet.nodes[1].announce(incarnation=9)
            await asyncio.sleep(0.05)
            gone = upstream.gone
            answer = await fleet.ask('/pay/c', 'POST', body=b'x')
            return before, gone, upstream.connections, answer.status

    before, gone, after, status = pipes.run(scenario())
    assert (gone, after, status) == (before, before + 1, 200)


def test_connection_in_use_is_not_kept_for_the_next_instance():
    """Guards against requests sent on connections of an ended instance.

    A request runs while the upstream's next instance is announced; its answer
    is read whole, and the next request follows.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(0.5)) as fleet:
            upstream = fleet.nodes[1].upstream
            started_ms = clock.wall_ms()
            await asyncio.sleep(0.05)
            asking = asyncio.create_task(fleet.ask('/read/a'))
            await asyncio.sleep(0.1)
            fleet.nodes[1].announce(incarnation=started_ms)
            first = await asking
            await fleet.ask('/pay/b', 'POST', body=b'x')
            return first.status, upstream.connections, paths_run(fleet)

    status, connections, ran = pipes.run(scenario())
    assert (status, connections) == (200, 2)
    assert ran == ['/read/a', '/pay/b']


def test_non_idempotent_run_ends_as_unknown_with_its_instance():
    """Guards against a run that is waited for until its deadline, or repeated.

    The connection of the run goes silent, and the upstream restarts under its
    id.  The run must not be taken for one of the new instance.
    """

    async def scenario():
        async with fleets.running(None, serve_or_hang, None) as fleet:
            await fleet.ask('/read/warm')
            began = clock.now()
            asking = asyncio.create_task(
                fleet.ask('/pay/hang', 'POST', body=b'x')
            )
            await asyncio.sleep(0.2)
            asyncio.get_running_loop().silence(fleet.nodes[1].upstream.port)
            fleet.nodes[1].announce(incarnation=clock.wall_ms())
            answer = await asking
            took_s = clock.now() - began
            next_one = await fleet.ask('/pay/next', 'POST', body=b'x')
            return answer, took_s, next_one.status, paths_run(fleet)

    answer, took_s, status, ran = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')
    assert took_s < 2.0
    assert status == 200
    assert ran.count('/pay/hang') == 1


def test_resuming_a_run_of_an_ended_instance_runs_nothing():
    """Guards against a request that runs twice.

    The connection between the nodes is lost, the upstream restarts, and the
    sender resumes the request.  The new instance knows of no run.
    """

    async def scenario():
        async with fleets.running(None, serve_or_hang, None) as fleet:
            await fleet.ask('/read/warm')
            asking = asyncio.create_task(
                fleet.ask('/pay/hang', 'POST', body=b'x')
            )
            await asyncio.sleep(0.2)
            loop = asyncio.get_running_loop()
            loop.silence(fleet.nodes[1].gateway)
            fleet.nodes[1].announce(incarnation=clock.wall_ms())
            answer = await asking
            return answer, paths_run(fleet)

    answer, ran = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')
    assert ran.count('/pay/hang') == 1


def test_idempotent_run_continues_elsewhere():
    """Guards against an idempotent request that is lost with an instance
    although another upstream is free.
    """

    async def scenario():
        async def hang_first(upstream, seen, writer):
            if len(fleet.runs) == 1:
                await asyncio.sleep(HANG_S)
            writer.write(fleets.good(upstream.name.encode()))

        scripts = (None, hang_first, hang_first)
        async with fleets.running(*scripts) as fleet:
            asking = asyncio.create_task(fleet.ask('/read/a'))
            await asyncio.sleep(0.2)
            first = next(
                n for n in fleet.nodes if n.upstream and n.upstream.runs
            )
            asyncio.get_running_loop().silence(first.upstream.port)
            first.announce(incarnation=clock.wall_ms())
            answer = await asking
            others = [
                n.upstream.name.encode()
                for n in fleet.nodes
                if n.upstream and n is not first
            ]
            return answer.status, answer.body in others, len(fleet.runs)

    assert pipes.run(scenario()) == (200, True, 2)


def test_waiting_requests_are_refused_as_not_run_and_continue():
    """Guards against losing a request that waits for an ended instance.

    One request runs and one waits when the upstream restarts.
    """

    async def scenario():
        async with fleets.running(None, serve_or_hang, slots=1) as fleet:
            await fleet.ask('/read/warm')
            running = asyncio.create_task(
                fleet.ask('/pay/hang', 'POST', body=b'x')
            )
            await asyncio.sleep(0.1)
            waiting = asyncio.create_task(
                fleet.ask('/pay/next', 'POST', body=b'x')
            )
            await asyncio.sleep(0.1)
            fleet.nodes[1].announce(incarnation=clock.wall_ms(), slots=1)
            first, second = await asyncio.gather(running, waiting)
            return first, second, paths_run(fleet)

    first, second, ran = pipes.run(scenario())
    assert (first.status, first.outcome) == (502, 'unknown')
    assert ran.count('/pay/hang') == 1
    if second.status == 200:
        assert ran.count('/pay/next') == 1
    else:
        assert second.outcome == 'not-run'
        assert ran.count('/pay/next') == 0


def test_run_on_a_connection_of_the_new_instance_continues():
    """Guards against a run that is aborted by the first heartbeat of the
    instance that runs it.

    The upstream restarts, and a request reaches it on a new connection before
    its first heartbeat arrives.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(1.0)) as fleet:
            started_ms = clock.wall_ms()
            await asyncio.sleep(0.1)
            asking = asyncio.create_task(
                fleet.ask('/pay/a', 'POST', body=b'x')
            )
            await asyncio.sleep(0.2)
            fleet.nodes[1].announce(incarnation=started_ms)
            answer = await asking
            return answer.status, paths_run(fleet)

    assert pipes.run(scenario()) == (200, ['/pay/a'])


def test_failures_durations_and_slots_end_with_the_instance():
    """Guards against a restarted upstream that gets no non-idempotent
    requests, or more than it has slots for, because of its previous instance.

    The upstream fails, changes its number of slots and restarts.
    """

    async def scenario():
        async with fleets.running(None, fleets.fail) as fleet:
            await fleet.ask('/read/a')
            executor = fleet.nodes[1].service.executor
            name = fleet.nodes[1].upstream.name
            before = executor.report(name)
            budget = executor.retry_budgets.for_service('portal')
            fleet.nodes[1].announce(incarnation=9, slots=2)
            after = executor.report(name)
            selector = fleet.nodes[0].service.pool.selector
            state = selector.states.get(name)
            ejected = fleet.nodes[0].service.ejected('portal')
            kept = executor.retry_budgets.for_service('portal') is budget
            return before, after, state and state.report, ejected, kept

    before, after, seen, ejected, kept = pipes.run(scenario())
    assert before.likely_failing
    assert not after.likely_failing
    assert (after.running, after.waiting) == (0, 0)
    assert after.idle_ms == 60_000
    assert (seen, ejected, kept) == (None, frozenset(), True)


def test_start_and_end_of_an_instance_are_logged():
    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            await fleet.ask('/read/a')
            fleet.nodes[1].announce(incarnation=9)
            fleet.nodes[1].membership.registry.remove('u9001', 9)
            node = fleet.nodes[1]
            return (
                events_named(node, 'life-began'),
                events_named(node, 'life-ended'),
            )

    began, ended = pipes.run(scenario())
    assert [line['incarnation'] for line in began] == [1, 9]
    assert [line['incarnation'] for line in ended] == [1, 9]
    assert began[0]['upstream'] == 'u9001'


# At the callers' nodes

REPORT = upstream_selection.LoadReport('p', True, 3, 2, 5, 900, 400, 10)


def test_report_of_an_ended_instance_does_not_count_for_the_next():
    """Guards against a restarted upstream that is taken for full and failing.

    A gateway reports on the previous instance, and the announcement of the
    new one arrives before the report.
    """
    selector = upstream_selection.UpstreamSelector(random.Random(1))
    selector.record_report('a', REPORT._replace(incarnation=5), 1.0)
    selector.start_incarnation('a', 9)
    assert selector.state('a').report is None
    selector.record_report('a', REPORT._replace(incarnation=5), 2.0)
    assert selector.state('a').report is None
    fresh = REPORT._replace(likely_failing=False, incarnation=9)
    selector.record_report('a', fresh, 3.0)
    selector.record_report('a', REPORT._replace(incarnation=5), 4.0)
    assert selector.state('a').report == fresh


def test_report_of_a_new_instance_replaces_what_was_known():
    """The gateway may know the new instance before the directory does."""
    selector = upstream_selection.UpstreamSelector(random.Random(1))
    selector.record_report('a', REPORT._replace(incarnation=5), 1.0)
    former = selector.state('a')
    former.in_flight = 3
    fresh = REPORT._replace(likely_failing=False, incarnation=9)
    selector.record_report('a', fresh, 2.0)
    selector.start_incarnation('a', 9)
    assert selector.state('a').report == fresh
    assert selector.state('a').in_flight == 0


def upstream(**changes):
    """Return an upstream of a directory."""
    return interfaces.Upstream(
        'a', 'portal', '127.0.0.1:7001', 'h1', 'a', 5, incarnation=5
    )._replace(**changes)


def make_pool(directory):
    """Return the upstream pool of a caller's node."""
    return upstream_pool.UpstreamPool(
        'a',
        directory,
        lambda: routings.Routing(rows.NONE, {}),
        random.Random(1),
    )


def test_new_instance_is_cold_at_callers_nodes():
    """Guards against a restarted upstream that gets the load of a warm one.

    It was known for long, restarts, and announces a warm-up time.
    """

    async def _run():
        first = upstream(warmup_s=3.0)
        directory = fakes.Directory(first)
        pool = make_pool(directory)
        target = pool.target(first)
        await asyncio.sleep(10.0)
        assert not pool._candidate(first, clock.now()).warming_up
        second = upstream(incarnation=9, warmup_s=3.0)
        directory.put(second)
        assert pool._candidate(second, clock.now()).warming_up
        return target

    fakes.run(_run())


@pytest.mark.parametrize('announced_first', [True, False])
def test_id_that_moves_to_another_host_gets_a_new_target(announced_first):
    """Guards against a request that runs at two hosts.

    It was sent to the gateway of one host, the id moves to another host, the
    connection is lost, and the sender resumes the request.  The gateway of
    the new instance knows of no run.
    """

    async def _run():
        first = upstream()
        directory = fakes.Directory(first)
        pool = make_pool(directory)
        target = pool.target(first)
        second = upstream(incarnation=9, host='h2', address='127.0.0.1:7002')
        if announced_first:
            directory.put(second)
        other = pool.target(second)
        assert other is not target
        assert target.upstream.state == interfaces.GONE
        assert other.upstream == second
        # A report on the previous instance arrives late.
        late = REPORT._replace(incarnation=5)
        pool.selector.record_report('a', late, clock.now())
        assert pool.selector.state('a').report is None

    fakes.run(_run())


def test_answer_without_length_that_a_restart_cuts_never_looks_complete():
    """Guards against a partial answer that looks complete.

    An answer that ends with its connection is on its way when the upstream
    restarts and the connection is aborted.
    """

    async def script(upstream, seen, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nX-Receipt: r\r\n\r\nhalf of it')
        await asyncio.sleep(HANG_S)

    async def scenario():
        async with fleets.running(None, script) as fleet:
            asking = asyncio.create_task(
                fleet.ask('/pay/a', 'POST', body=b'x')
            )
            await asyncio.sleep(0.3)
            fleet.nodes[1].announce(incarnation=clock.wall_ms())
            return await asking

    answer = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')


def test_end_of_an_earlier_instance_on_another_host_changes_nothing():
    """Guards against losing what a node knows of an upstream.

    An id continues on another host, for another service; then its former
    host announces that it is gone.
    """

    async def _run():
        current = upstream(incarnation=9)
        directory = fakes.Directory(current)
        pool = make_pool(directory)
        target = pool.target(current)
        former = upstream(host='h0', service='other', state='gone')
        for callback in directory.callbacks:
            callback(former)
        assert pool.targets == {'a': target}
        assert target.upstream is current

    fakes.run(_run())
