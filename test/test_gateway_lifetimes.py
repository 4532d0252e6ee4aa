"""Upstreams that start again under their id, behind gateways."""

import asyncio
import random

import pytest

from carawaystair import clock
from carawaystair.gateway import upstream_pool
from carawaystair import interfaces
from carawaystair.load import placing
from carawaystair import routing as routings
from carawaystair import rows
from test import fakes
from test import gateway_setup as fleets
from test import pipes

# What an upstream does with requests, by what stands in their path.
HANG_S = 60.0


async def serve_or_hang(upstream, seen, writer):
    """Answer at once, or never when the path says so."""
    if 'hang' in seen.line:
        await asyncio.sleep(HANG_S)
    writer.write(fleets.good(upstream.name.encode()))


def paths(fleet):
    """Return the paths of the requests that upstreams ran."""
    return [seen.line.split()[1] for seen in fleet.runs]


def told(node, name):
    """Return the events of one name in a node's log."""
    lines = [fakes.json.loads(line) for line in node.lines.lines]
    return [line for line in lines if line['event'] == name]


def test_kept_connections_end_with_the_life():
    """Symptom: a payout is sent on a connection of a life that has ended.
    Sequence: an upstream answers on a kept connection, starts again, and is
    asked at once.
    Cause: connections were kept with the id.
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


def test_connection_in_use_is_not_kept_for_the_next_life():
    """Symptom: as above.
    Sequence: a request runs while the upstream's new life is announced, its
    answer is read whole, the next request follows.
    Cause: its connection was given back to the new life.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(0.5)) as fleet:
            upstream = fleet.nodes[1].upstream
            born = clock.wall_ms()
            await asyncio.sleep(0.05)
            asking = asyncio.create_task(fleet.ask('/read/a'))
            await asyncio.sleep(0.1)
            fleet.nodes[1].announce(incarnation=born)
            first = await asking
            await fleet.ask('/pay/b', 'POST', body=b'x')
            return first.status, upstream.connections, paths(fleet)

    status, connections, ran = pipes.run(scenario())
    assert (status, connections) == (200, 2)
    assert ran == ['/read/a', '/pay/b']


def test_run_that_may_run_once_ends_as_unknown_with_its_life():
    """Symptom: a payout is waited for until its time is over, or is made a
    second time.
    Sequence: it runs, its connection goes silent, the upstream starts again
    under its id.
    Cause: the run was taken for one of the new life.
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
            return answer, took_s, next_one.status, paths(fleet)

    answer, took_s, status, ran = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')
    assert took_s < 2.0
    assert status == 200
    assert ran.count('/pay/hang') == 1


def test_question_for_a_run_of_the_former_life_runs_nothing():
    """Symptom: a payout is made twice.
    Sequence: it runs; the connection between the nodes is lost, the upstream
    starts again, and the sender asks its gateway once more.
    Cause: the new life knows of no run.
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
            return answer, paths(fleet)

    answer, ran = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')
    assert ran.count('/pay/hang') == 1


def test_run_that_may_run_twice_goes_on_elsewhere():
    """Symptom: a lookup is lost although another upstream is free.
    Sequence: as above, with a request that may be repeated.
    Cause: as above.
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


def test_requests_that_wait_are_told_not_run_and_go_on():
    """Symptom: a payout that waits for a slot of a life that ended is lost.
    Sequence: one runs, one waits, the upstream starts again.
    Cause: the line was that of the id.
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
            return first, second, paths(fleet)

    first, second, ran = pipes.run(scenario())
    assert (first.status, first.outcome) == (502, 'unknown')
    assert ran.count('/pay/hang') == 1
    if second.status == 200:
        assert ran.count('/pay/next') == 1
    else:
        assert second.outcome == 'not-run'
        assert ran.count('/pay/next') == 0


def test_run_on_a_connection_of_the_new_life_goes_on():
    """Symptom: a payout is cut off by the first heartbeat of the life that
    runs it.
    Sequence: the upstream starts again; a request reaches it on a new
    connection before its first heartbeat does.
    Cause: each run in progress was taken for one of the former life.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(1.0)) as fleet:
            born = clock.wall_ms()
            await asyncio.sleep(0.1)
            asking = asyncio.create_task(
                fleet.ask('/pay/a', 'POST', body=b'x')
            )
            await asyncio.sleep(0.2)
            fleet.nodes[1].announce(incarnation=born)
            answer = await asking
            return answer.status, paths(fleet)

    assert pipes.run(scenario()) == (200, ['/pay/a'])


def test_suspicion_durations_and_slots_end_with_the_life():
    """Symptom: an upstream that has just started gets no work that may run
    once, or more than it takes, for what its former life did.
    Sequence: it fails, has other slots, starts again.
    Cause: what was believed was kept with the id.
    """

    async def scenario():
        async with fleets.running(None, fleets.fail) as fleet:
            await fleet.ask('/read/a')
            executor = fleet.nodes[1].service.executor
            name = fleet.nodes[1].upstream.name
            before = executor.report(name)
            budget = executor.retry_budgets.of('portal')
            fleet.nodes[1].announce(incarnation=9, slots=2)
            after = executor.report(name)
            board = fleet.nodes[0].service.pool.board
            view = board.views.get(name)
            ejected = fleet.nodes[0].service.ejected('portal')
            kept = executor.retry_budgets.of('portal') is budget
            return before, after, view and view.report, ejected, kept

    before, after, seen, ejected, kept = pipes.run(scenario())
    assert before.suspect
    assert not after.suspect
    assert (after.running, after.waiting) == (0, 0)
    assert after.idle_ms == 60_000
    assert (seen, ejected, kept) == (None, frozenset(), True)


def test_life_that_ends_and_begins_is_told():
    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            await fleet.ask('/read/a')
            fleet.nodes[1].announce(incarnation=9)
            fleet.nodes[1].membership.registry.remove('u9001', 9)
            node = fleet.nodes[1]
            return told(node, 'life-began'), told(node, 'life-ended')

    began, ended = pipes.run(scenario())
    assert [line['incarnation'] for line in began] == [1, 9]
    assert [line['incarnation'] for line in ended] == [1, 9]
    assert began[0]['upstream'] == 'u9001'


# At the callers' nodes

REPORT = placing.Report('p', True, 3, 2, 5, 900, 400, 10)


def test_report_of_a_former_life_is_not_the_new_ones():
    """Symptom: an upstream that has just started is taken for full and gray.
    Sequence: a gateway answers for the former life; on its way the answer is
    overtaken by the news of the new one.
    Cause: a report named the upstream and not its life.
    """
    board = placing.Board(random.Random(1))
    board.heard('a', REPORT._replace(incarnation=5), 1.0)
    board.renew('a', 9)
    assert board.view('a').report is None
    board.heard('a', REPORT._replace(incarnation=5), 2.0)
    assert board.view('a').report is None
    fresh = REPORT._replace(suspect=False, incarnation=9)
    board.heard('a', fresh, 3.0)
    board.heard('a', REPORT._replace(incarnation=5), 4.0)
    assert board.view('a').report == fresh


def test_report_of_a_new_life_ends_what_was_known():
    """The gateway may know of the new life before the directory does."""
    board = placing.Board(random.Random(1))
    board.heard('a', REPORT._replace(incarnation=5), 1.0)
    former = board.view('a')
    former.mine = 3
    fresh = REPORT._replace(suspect=False, incarnation=9)
    board.heard('a', fresh, 2.0)
    board.renew('a', 9)
    assert board.view('a').report == fresh
    assert board.view('a').mine == 0


def upstream(**changes):
    """Return an upstream of a directory."""
    return interfaces.Upstream(
        'a', 'portal', '127.0.0.1:7001', 'h1', 'a', 5, incarnation=5
    )._replace(**changes)


def caller(directory):
    """Return what a node knows of upstreams."""
    return upstream_pool.UpstreamPool(
        'a',
        directory,
        lambda: routings.Routing(rows.NONE, {}),
        random.Random(1),
    )


def test_new_life_is_cold_at_callers_nodes():
    """Symptom: an upstream that has just started gets the work of a warm one.
    Sequence: it was known for long, starts again, says that it is slow.
    Cause: its age was that of the id.
    """

    async def _run():
        first = upstream(warmup_s=3.0)
        directory = fakes.Directory(first)
        known = caller(directory)
        target = known.target(first)
        await asyncio.sleep(10.0)
        assert not known._candidate(first, clock.now()).cold
        second = upstream(incarnation=9, warmup_s=3.0)
        directory.put(second)
        assert known._candidate(second, clock.now()).cold
        return target

    fakes.run(_run())


@pytest.mark.parametrize('told_first', [True, False])
def test_id_that_moves_leaves_its_way_behind(told_first):
    """Symptom: a payout runs at two hosts.
    Sequence: it is handed to the gateway of one host, the id moves to
    another host, the connection is lost, the sender asks again.
    Cause: it asked the gateway of the new life, which knows of no run.
    """

    async def _run():
        first = upstream()
        directory = fakes.Directory(first)
        known = caller(directory)
        target = known.target(first)
        second = upstream(incarnation=9, host='h2', address='127.0.0.1:7002')
        if told_first:
            directory.put(second)
        other = known.target(second)
        assert other is not target
        assert target.upstream.state == interfaces.GONE
        assert other.upstream == second
        # An answer of the former life still comes.
        late = REPORT._replace(incarnation=5)
        known.board.heard('a', late, clock.now())
        assert known.board.view('a').report is None

    fakes.run(_run())


def test_answer_without_length_that_a_new_life_cuts_never_looks_whole():
    """Symptom: a caller gets half of an answer as a whole one.
    Sequence: an answer that ends with its connection is on its way, the
    upstream starts again, the connection is cut.
    Cause: the end of the connection was taken for that of the answer.
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


def test_end_of_a_former_life_elsewhere_ends_nothing():
    """Symptom: what a node knows of an upstream is gone.
    Sequence: an id goes on at another host, for another service; then its
    former host says that it is gone.
    Cause: the id was taken for unique.
    """

    async def _run():
        stands = upstream(incarnation=9)
        directory = fakes.Directory(stands)
        known = caller(directory)
        target = known.target(stands)
        former = upstream(host='h0', service='other', state='gone')
        for callback in directory.callbacks:
            callback(former)
        assert known.targets == {'a': target}
        assert target.upstream is stands

    fakes.run(_run())
