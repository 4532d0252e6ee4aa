"""Requests that are resumed when connections, links or hosts fail."""

import asyncio

import pytest

from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

ROUTES = (
    *fleets.ROUTES,
    fleets.manifest.Route('/new/', 'portal', idempotent=True, goal_ms=2000),
    fleets.manifest.Route('/other/', 'other', idempotent=True),
)
# The third node's upstream is of another service: it only forwards requests.
THREE = {
    'services': ('portal', 'portal', 'other'),
    'routes': ROUTES,
    'retry_slack': 0,
}
PATHS = [('GET', '/read/x'), ('POST', '/pay/x')]


@pytest.mark.parametrize('fault', ['queue', 'silence', 'frozen'])
def test_request_of_a_new_route_at_a_silent_gateway_goes_elsewhere(fault):
    """Guards against waiting for a silent gateway until the deadline."""

    async def scenario():
        first = []

        async def script(upstream, seen, writer):
            if '/new/x' in seen.line:
                first.append(upstream)
            await asyncio.sleep(0.5 if len(first) == 1 else 0.05)
            writer.write(fleets.good(upstream.name.encode()))

        async with fleets.running(
            None, script, script, routes=ROUTES
        ) as fleet:
            for _ in range(4):
                await fleet.ask('/read/warm')
            loop = asyncio.get_running_loop()
            began = loop.time()
            asking = asyncio.ensure_future(fleet.ask('/new/x'))
            while not first:
                await asyncio.sleep(0.005)
            port = first[0].port - 2000
            if fault == 'queue':
                loop.queue(port, 8.0)
            elif fault == 'silence':
                loop.silence(port)
                loop.swallowing.add('127.0.0.1:%d' % port)
            else:
                # Connections are made, but nothing arrives on them.
                loop.silence(port)
                make = loop.create_connection

                async def silent(*args, **options):
                    made = await make(*args, **options)
                    if made[0].get_extra_info('peername')[1] == port:
                        made[0].silent = made[0].peer.silent = True
                    return made

                loop.create_connection = silent
            answer = await asking
            return answer.status, round(loop.time() - began, 2)

    status, took = pipes.run(scenario())
    assert (status, took < 2.0) == (200, True), (status, took)


@pytest.mark.parametrize('queue_s', [0.2, 0.4])
def test_refusal_counts_if_later_attempts_were_never_sent(queue_s):
    """Guards against 504 for a request that was refused in time."""

    async def script(upstream, seen, writer):
        await asyncio.sleep(3.0 if 'fill' in seen.line else 0.05)
        writer.write(fleets.good(b'w'))

    async def scenario():
        async with fleets.running(
            None, script, retry_slack=0, slots=1
        ) as fleet:
            await asyncio.gather(
                *(fleet.ask('/read/w%d' % i) for i in range(3))
            )
            filling = asyncio.ensure_future(
                fleet.ask('/pay/fill', 'POST', body=b'x')
            )
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            loop.queue(7001, queue_s)
            asking = asyncio.ensure_future(
                fleet.ask('/pay/x', 'POST', body=b'x')
            )
            await asyncio.sleep(0.5)
            began = loop.time()
            for instance in fleet.nodes[1].service.executor.instances.values():
                instance.slots.refuse_waiting('leaving')
            fleet.nodes[1].service.executor.stopping = True
            answer = await asking
            filling.cancel()
            took = loop.time() - began
            ran = sum('/pay/x' in seen.line for seen in fleet.runs)
            return answer.status, round(took, 2), ran

    status, took, ran = pipes.run(scenario())
    assert (status, took < 1.5, ran) == (503, True, 0), (status, took, ran)


@pytest.mark.parametrize('stops', [False, True], ids=['steady', 'stopping'])
@pytest.mark.parametrize(('method', 'path'), PATHS)
def test_run_is_resumed_at_a_gateway_that_stops(method, path, stops):
    """Guards against a stop that makes one broken connection final."""

    async def scenario():
        script = fleets.slow(2.0)
        async with fleets.running(
            None, script, retry_slack=0, lame_duck_s=0.5
        ) as fleet:
            await fleet.ask('/read/warm')
            loop = asyncio.get_running_loop()
            body = b'x' if method == 'POST' else b''
            asking = asyncio.ensure_future(fleet.ask(path, method, body=body))
            while not any(path in seen.line for seen in fleet.runs):
                await asyncio.sleep(0.01)
            mine = [
                pipe
                for pipe in loop.made
                if pipe.get_extra_info('peername')[1] == 7001 and not pipe.lost
            ]
            other = asyncio.ensure_future(fleet.ask('/read/other'))
            await asyncio.sleep(0.1)
            if stops:
                asyncio.ensure_future(fleet.nodes[1].service.stop())
            await asyncio.sleep(0.2)
            for pipe in mine:
                pipe._lose(ConnectionResetError())
                pipe.peer._lose(ConnectionResetError())
            answer = await asking
            await other
            count = sum(path in seen.line for seen in fleet.runs)
            return len(mine), answer.status, count

    assert pipes.run(scenario()) == (1, 200, 1)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_third_node_that_loses_its_connection_ends_nothing(method):
    """Guards against taking the failure of a third node for the gateway's."""

    path = '/read/x' if method == 'GET' else '/pay/x'

    async def scenario():
        script = fleets.slow(2.0)
        async with fleets.running(
            None,
            script,
            fleets.serve,
            **THREE,
        ) as fleet:
            asking = await fleets.ask_until_running(fleet, path, method)
            loop = asyncio.get_running_loop()
            before = list(loop.made)
            hit = []
            # The open connection is delayed more than new ones.
            loop.queue(7001, 0.8)
            loop.queues['127.0.0.1:7001'] = 0.2
            await asyncio.sleep(0.4)
            # The third node's connection breaks, not the sender's.
            for pipe in loop.made:
                if (
                    pipe not in before
                    and pipe.get_extra_info('peername')[1] == 7001
                    and not pipe.lost
                ):
                    hit.append(pipe)
                    pipe._lose(ConnectionResetError())
                    pipe.peer._lose(ConnectionResetError())
            answer = await asking
            return answer.status, fleets.run_count(fleet, path), len(hit)

    assert pipes.run(scenario()) == (200, 1, 1)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_long_answer_that_went_to_another_attempt_is_not_lost(method):
    """Guards against aborting a long answer that is on its way."""

    path = '/read/x' if method == 'GET' else '/pay/x'
    body = b'y' * 300_000

    async def script(upstream, seen, writer):
        if 'warm' in seen.line:
            writer.write(fleets.good(b'w'))
            return
        await asyncio.sleep(0.3)
        writer.write(fleets.good(body))

    async def scenario():
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(fleet, path, method)
            loop = asyncio.get_running_loop()
            # The open connection is delayed more than new ones.
            loop.queue(7001, 0.6)
            loop.queues['127.0.0.1:7001'] = 0.2
            answer = await asking
            return (
                answer.status,
                len(answer.body),
                fleets.run_count(fleet, path),
            )

    assert pipes.run(scenario()) == (200, len(body), 1)


def test_attempts_are_limited_while_connections_are_refused():
    """Guards against resuming without a pause."""

    async def scenario():
        script = fleets.slow(3.0)
        async with fleets.running(
            None,
            script,
            fleets.serve,
            **THREE,
        ) as fleet:
            asking = await fleets.ask_until_running(fleet, '/pay/x', 'POST')
            loop = asyncio.get_running_loop()
            loop.silence(7001)
            loop.listeners.pop('127.0.0.1:7001')
            await asyncio.sleep(1.0)
            count = fleet.nodes[0].service.client.resumed
            asking.cancel()
            return count

    assert pipes.run(scenario()) < 20


@pytest.mark.parametrize('body', [200_000, 1])
def test_streamed_body_does_not_wait_for_a_dead_host(body):
    """Guards against waiting for a dead host until the deadline."""

    async def script(upstream, seen, writer):
        await asyncio.sleep(0.0 if 'warm' in seen.line else 30.0)
        writer.write(fleets.good(b'w'))

    async def scenario():
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(
                fleet, '/pay/x', 'POST', body=b'z' * body
            )
            loop = asyncio.get_running_loop()
            await asyncio.sleep(0.2)
            loop.silence(7001)
            loop.swallowing.add('127.0.0.1:7001')
            began = loop.time()
            await asyncio.sleep(0.5)
            up = next(iter(fleet.nodes[1].announced.values()))
            fleet.publish(up._replace(state='gone'))
            answer = await asking
            return answer.status, round(loop.time() - began, 1)

    status, took = pipes.run(scenario())
    assert took < 3.0, (status, took)


@pytest.mark.parametrize('chunked', [False, True])
@pytest.mark.parametrize('work_s', [0.3, 0.5, 0.7])
@pytest.mark.parametrize(('method', 'path'), PATHS)
def test_long_answer_arrives_over_a_delayed_link(
    method, path, work_s, chunked
):
    """Guards against long answers that get lost on a full link."""

    body = b'y' * 300_000

    async def script(upstream, seen, writer):
        if 'warm' in seen.line:
            writer.write(fleets.good(b'w'))
            return
        await asyncio.sleep(work_s)
        if not chunked:
            writer.write(fleets.good(body))
            return
        writer.write(
            b'HTTP/1.1 200 X\r\nX-Receipt: r\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for start in range(0, len(body), 30_000):
            part = body[start : start + 30_000]
            writer.write(b'%x\r\n%b\r\n' % (len(part), part))
            await asyncio.sleep(0.01)
        writer.write(b'0\r\n\r\n')

    async def scenario():
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(fleet, path, method)
            asyncio.get_running_loop().queue(7001, 0.24)
            answer = await asking
            return (
                answer.status,
                len(answer.body),
                fleets.run_count(fleet, path),
            )

    assert pipes.run(scenario()) == (200, len(body), 1)


@pytest.mark.parametrize(('method', 'path'), PATHS)
def test_run_is_resumed_when_the_path_is_slower_than_the_connect_timeout(
    method, path
):
    """Guards against a fixed timeout when connections are made again."""

    async def scenario():
        script = fleets.slow(2.0)
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(fleet, path, method)
            loop = asyncio.get_running_loop()
            loop.queue(7001, 0.4)
            loop.reset(7001)
            answer = await asking
            return answer.status, fleets.run_count(fleet, path)

    assert pipes.run(scenario()) == (200, 1)


@pytest.mark.parametrize(('method', 'path'), PATHS)
def test_stopping_gateway_waits_for_a_run_whose_connection_broke(method, path):
    """Guards against a stop that ends before a run is resumed."""

    async def scenario():
        script = fleets.slow(4.0)
        async with fleets.running(
            None, script, retry_slack=0, lame_duck_s=1.0
        ) as fleet:
            asking = await fleets.ask_until_running(fleet, path, method)
            loop = asyncio.get_running_loop()
            asyncio.ensure_future(fleet.nodes[1].service.stop())
            await asyncio.sleep(1.5)
            loop.reset(7001)
            answer = await asking
            return answer.status, fleets.run_count(fleet, path)

    assert pipes.run(scenario()) == (200, 1)


def test_failure_counts_whichever_attempt_brings_it():
    """Guards against 504 for a run that failed in time."""

    async def script(upstream, seen, writer):
        if 'warm' in seen.line:
            writer.write(fleets.good(b'w'))
            return
        await asyncio.sleep(0.7)
        writer.transport.abort()

    async def scenario():
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(fleet, '/pay/x', 'POST')
            loop = asyncio.get_running_loop()
            loop.queue(7001, 0.4)
            began = loop.time()
            answer = await asking
            return answer.status, round(loop.time() - began, 1)

    status, took = pipes.run(scenario())
    assert (status, took < 2.0) == (502, True), (status, took)


@pytest.mark.parametrize('after_s', [0.1, 0.2, 0.3, 0.5, 0.7])
@pytest.mark.parametrize('queue_s', [0.2, 0.5])
@pytest.mark.parametrize(('method', 'path'), PATHS)
def test_run_ends_when_its_caller_leaves_during_resumption(
    method, path, queue_s, after_s
):
    """Guards against runs and tasks that are left over."""

    async def scenario():
        script = fleets.slow(4.0)
        async with fleets.running(
            None, script, fleets.serve, **THREE
        ) as fleet:
            await fleet.ask('/other/warm')
            await fleet.ask('/read/warm')
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            body = b'' if method == 'GET' else b'x'
            asking = asyncio.ensure_future(
                setups.ask(reader, writer, path, method, body=body)
            )
            while not fleets.run_count(fleet, path):
                await asyncio.sleep(0.01)
            loop = asyncio.get_running_loop()
            loop.queue(7001, queue_s)
            await asyncio.sleep(after_s)
            asking.cancel()
            writer.close()
            await asyncio.sleep(0.3)
            tasks = [
                task
                for task in asyncio.all_tasks()
                if 'answer' in repr(task.get_coro())
            ]
            return (
                sum(
                    slots.queue.running
                    for slots in fleet.nodes[1].service.executor.slots.values()
                ),
                len(tasks),
            )

    assert pipes.run(scenario()) == (0, 0)


def test_lost_idle_connections_are_closed_together():
    """Guards against a broken path that each request detects anew."""

    async def scenario():
        script = fleets.slow(0.05)
        async with fleets.running(
            None, script, fleets.serve, slots=20, **THREE
        ) as fleet:
            await fleet.ask('/other/warm')
            await asyncio.gather(
                *(fleet.ask('/read/w%d' % i) for i in range(7))
            )
            loop = asyncio.get_running_loop()
            loop.silence(7001)
            began = loop.time()
            for i in range(7):
                answer = await fleet.ask('/read/x%d' % i)
                assert answer.status == 200
            return loop.time() - began

    assert pipes.run(scenario()) < 0.9


@pytest.mark.parametrize(('method', 'path'), PATHS)
def test_host_taken_for_dead_may_still_answer_an_open_attempt(method, path):
    """Guards against giving up a run whose host is only slow."""

    async def scenario():
        script = fleets.slow(0.7)
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(fleet, path, method)
            loop = asyncio.get_running_loop()
            loop.queue(7001, 0.6)
            await asyncio.sleep(0.3)
            up = next(iter(fleet.nodes[1].announced.values()))
            fleet.publish(up._replace(state='gone'))
            answer = await asking
            return answer.status, fleets.run_count(fleet, path)

    assert pipes.run(scenario()) == (200, 1)


@pytest.mark.parametrize(('method', 'path'), PATHS)
def test_connection_that_the_system_timed_out_is_not_waited_for(method, path):
    """Guards against an endless loop: its error is a TimeoutError, too."""

    async def scenario():
        script = fleets.slow(2.0)
        async with fleets.running(None, script, retry_slack=0) as fleet:
            asking = await fleets.ask_until_running(fleet, path, method)
            loop = asyncio.get_running_loop()
            for pipe in loop.made:
                if pipe.get_extra_info('peername')[1] == 7001:
                    pipe._lose(TimeoutError(110, 'Connection timed out'))
                    pipe.peer._lose(ConnectionResetError())
            answer = await asking
            return answer.status, fleets.run_count(fleet, path)

    assert pipes.run(scenario()) == (200, 1)
