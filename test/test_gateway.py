"""Requests between nodes with gateways, as callers and upstreams see them."""

import asyncio
import socket

import pytest

from carawaystair import decisions
from carawaystair.gateway import send_attempts
from carawaystair.gateway import service
from carawaystair.gateway import startup
from carawaystair import manifest
from carawaystair.request import connections
from carawaystair.request import http_server
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups


def test_upstream_receives_request_with_the_configured_headers():
    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            answer = await fleet.ask(
                '/read/x?y=1',
                Caraway_Request_Id='abc',
                Caraway_Deadline_Ms='900',
                Caraway_Caller_Service='spoofed',
            )
            return answer, fleet.runs, fleet.nodes[0].events_of('abc')

    answer, runs, events = pipes.run(scenario())
    assert (answer.status, answer.body) == (200, b'u9001')
    assert runs[0].line == 'GET /read/x?y=1 HTTP/1.1'
    received = runs[0].headers
    assert received['caraway-request-id'] == 'abc'
    assert received['caraway-upstream'] == 'u9001'
    assert received['caraway-caller-service'] == 'shop'
    assert 850 < int(received['caraway-deadline-ms']) <= 900
    assert [event['event'] for event in events] == ['offered', 'answered']


@pytest.mark.parametrize('moment', [0.05, 0.3], ids=['sent', 'running'])
def test_lost_connection_neither_loses_the_answer_nor_runs_it_twice(moment):
    """Guards against an unknown outcome for a request that was run.

    The connection between two nodes is lost silently while the request runs,
    and its answer returns on that connection only.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(1.5), None) as fleet:
            # A first request, so that the nodes know each other.
            await fleet.ask('/read/warm')
            asking = asyncio.ensure_future(
                fleet.ask('/pay/x', 'POST', body=b'pay')
            )
            await asyncio.sleep(moment)
            asyncio.get_running_loop().silence(fleet.nodes[1].gateway)
            answer = await asking
            return answer, [seen.line for seen in fleet.runs]

    answer, lines = pipes.run(scenario())
    assert (answer.status, answer.body) == (200, b'u9001')
    assert lines.count('POST /pay/x HTTP/1.1') == 1


async def leave_only_a_detour(fleet, monkeypatch) -> None:
    """Cut the path from the first node to the second one's gateway.

    The upstream of the third node leaves, so that it is only a detour.
    """
    connect = connections.connect
    for _ in range(4):
        await fleet.ask('/read/warm')
    fleet.nodes[2].announce('draining')
    cut = fleet.nodes[0].service.pool.targets['u9001']

    async def connect_unless_cut(target, until, *timeouts):
        if target == cut:
            raise TimeoutError
        return await connect(target, until, *timeouts)

    monkeypatch.setattr(connections, 'connect', connect_unless_cut)
    asyncio.get_running_loop().silence(fleet.nodes[1].gateway)


def test_broken_path_is_replaced_by_a_detour(monkeypatch):
    """Guards against failed requests whose upstream is healthy.

    Packets between two hosts are lost while both reach all other hosts, and
    only the direct path is tried.
    """

    async def scenario():
        scripts = (None, fleets.slow(0.3), fleets.serve)
        async with fleets.running(*scripts) as fleet:
            await leave_only_a_detour(fleet, monkeypatch)
            answer = await fleet.ask('/pay/x', 'POST', body=b'pay')
            return answer, [seen.line for seen in fleet.runs]

    answer, lines = pipes.run(scenario())
    assert (answer.status, answer.body) == (200, b'u9001')
    assert lines.count('POST /pay/x HTTP/1.1') == 1


def test_broken_connection_on_a_detour_does_not_cancel_the_run(monkeypatch):
    """Guards against an unknown outcome for a request that was running.

    It took a detour, and the connection between the caller's node and the
    third node broke.  If the third node then closes its own connection in the
    orderly way, the gateway assumes that the caller has left and cancels the
    run, which the caller's node is about to resume.
    """

    async def scenario():
        scripts = (None, fleets.slow(1.5), fleets.serve)
        async with fleets.running(*scripts) as fleet:
            await leave_only_a_detour(fleet, monkeypatch)
            asking = asyncio.ensure_future(
                fleet.ask('/pay/x', 'POST', body=b'pay')
            )
            while not any('/pay' in seen.line for seen in fleet.runs):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            loop = asyncio.get_running_loop()
            broken = loop.reset(fleet.nodes[2].gateway)
            answer = await asking
            return broken, answer, [seen.line for seen in fleet.runs]

    broken, answer, lines = pipes.run(scenario())
    assert broken
    assert (answer.status, answer.body) == (200, b'u9001')
    assert lines.count('POST /pay/x HTTP/1.1') == 1


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_third_node_that_stops_does_not_cancel_the_run(method, monkeypatch):
    """Guards against a run that ends with the stop of a third node."""

    async def scenario():
        scripts = (None, fleets.slow(3.0), fleets.serve, fleets.serve)
        async with fleets.running(
            *scripts, lame_duck_s=0.1, drain_s=1.0
        ) as fleet:
            await leave_only_a_detour(fleet, monkeypatch)
            fleet.nodes[3].announce('draining')
            path = '/read/x' if method == 'GET' else '/pay/x'
            body = b'pay' if method == 'POST' else b''
            asking = asyncio.ensure_future(fleet.ask(path, method, body=body))
            while not fleets.run_count(fleet, path):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            third = next(
                node
                for node in fleet.nodes[2:]
                if node.service.hop_handler.active
            )
            await third.service.stop()
            answer = await asking
            return answer.status, answer.body, fleets.run_count(fleet, path)

    assert pipes.run(scenario()) == (200, b'u9001', 1)


def test_restarted_gateway_reports_an_unknown_outcome():
    """Guards against a non-idempotent request that runs twice.

    The gateway's process dies while the request runs, and the new process is
    asked to resume it.  Without memory of the run it would take it for new.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(1.5)) as fleet:
            await fleet.ask('/read/warm')
            asking = asyncio.ensure_future(
                fleet.ask('/pay/x', 'POST', body=b'pay')
            )
            await asyncio.sleep(0.3)
            hop_handler = fleet.nodes[1].service.hop_handler
            fleet.nodes[1].membership.incarnation += 1000
            hop_handler.runs.runs.clear()
            asyncio.get_running_loop().silence(fleet.nodes[1].gateway)
            answer = await asking
            return answer, [seen.line for seen in fleet.runs]

    answer, lines = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')
    assert lines.count('POST /pay/x HTTP/1.1') == 1


def test_caller_that_leaves_frees_the_slot():
    """Guards against runs for callers that have left.

    A caller closes its connection while its request runs.  The close has to
    cross two hops and end the connection to the upstream.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(5.0)) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(b'GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n')
            await asyncio.sleep(0.5)
            busy = fleet.nodes[1].service.executor.slots['u9001'].queue.running
            writer.close()
            await asyncio.sleep(0.3)
            queue = fleet.nodes[1].service.executor.slots['u9001'].queue
            return busy, queue.running

    assert pipes.run(scenario()) == (1, 0)


def test_draining_upstream_gets_no_new_work_after_the_acknowledgement():
    """Guards against requests that reach an upstream that is leaving.

    The upstream has announced it, but other nodes do not know yet, so that
    the gateway itself has to refuse new work.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            await fleet.ask('/read/a')
            fleet.nodes[1].membership.publish = lambda urgent: None
            fleet.nodes[1].membership.registry.publish = lambda urgent: None
            fleet.nodes[1].announce('draining')
            answer = await fleet.ask('/read/b')
            return answer, len(fleet.runs)

    answer, runs = pipes.run(scenario())
    assert (answer.status, answer.outcome, runs) == (503, 'not-run', 1)


def test_second_answer_to_an_earlier_request_is_skipped():
    """Guards against callers that get the answer to another request.

    An upstream answers a request twice, and the second answer arrives when
    the next request is on the connection.  Only its id shows which it is.
    """

    async def script(upstream, seen, writer):
        request_id = seen.headers['caraway-request-id']
        if request_id == 'two':
            writer.write(fleets.good(b'one again', Caraway_Request_Id='one'))
        answer = fleets.good(
            request_id.encode(), Caraway_Request_Id=request_id
        )
        writer.write(answer)

    async def scenario():
        async with fleets.running(script) as fleet:
            first = await fleet.ask('/read/a', Caraway_Request_Id='one')
            second = await fleet.ask('/read/b', Caraway_Request_Id='two')
            return first.body, second.body, fleet.nodes[0].upstream.connections

    assert pipes.run(scenario()) == (b'one', b'two', 1)


def test_answer_without_a_receipt_is_a_failure():
    async def script(upstream, seen, writer):
        writer.write(setups.reply(b'whatever'))

    async def scenario():
        async with fleets.running(script) as fleet:
            return await fleet.ask('/pay/a', 'POST', body=b'x')

    answer = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')


def test_answer_without_length_is_complete_when_its_connection_closes():
    async def script(upstream, seen, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nX-Receipt: r\r\n\r\nall of it')
        writer.close()

    async def scenario():
        async with fleets.running(script) as fleet:
            return await fleet.ask('/read/a')

    answer = pipes.run(scenario())
    assert (answer.status, answer.body) == (200, b'all of it')


def test_not_run_status_without_the_not_run_header_is_not_forwarded():
    """Guards against callers that retry a request that was run.

    An upstream answers 503 after it ran a request, but 503 tells callers that
    it was not run.
    """

    async def script(upstream, seen, writer):
        writer.write(setups.reply(b'oops', 503, X_Receipt='r'))

    async def scenario():
        async with fleets.running(script) as fleet:
            return await fleet.ask('/pay/a', 'POST', body=b'x')

    answer = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')


def test_stop_completes_requests_and_accepts_new_ones_while_callers_leave():
    """Guards against answers that are cut off when a node stops.

    Callers notice the stop two seconds later.  Until then the node has to
    serve them, and after that to complete what it has begun.
    """

    async def scenario():
        async with fleets.running(
            None, fleets.slow(1.0), lame_duck_s=2.4
        ) as fleet:
            early = asyncio.ensure_future(fleet.ask('/read/a'))
            await asyncio.sleep(0.1)
            stopping = asyncio.ensure_future(fleet.nodes[0].service.stop())
            await asyncio.sleep(2.0)
            late = await fleet.ask('/pay/b', 'POST', body=b'x')
            await stopping
            return (await early).status, late.status

    assert pipes.run(scenario()) == (200, 200)


def test_stop_answers_remaining_callers_when_the_drain_time_is_over():
    """Guards against closed connections without an answer.

    An answer takes longer than the node's drain time.
    """

    async def scenario():
        async with fleets.running(
            None, fleets.slow(60.0), drain_s=3.0, lame_duck_s=1.0
        ) as fleet:
            long = asyncio.ensure_future(
                fleet.ask('/pay/a', 'POST', body=b'x')
            )
            await asyncio.sleep(0.1)
            await fleet.nodes[0].service.stop()
            return await long

    answer = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (504, 'unknown')


def test_long_answers_arrive_complete_and_a_cut_one_never_looks_complete():
    body = bytes(range(256)) * 4096

    async def complete(upstream, seen, writer):
        writer.write(fleets.good(body))

    async def cut(upstream, seen, writer):
        writer.write(fleets.good(body)[:-5])
        await writer.drain()
        writer.close()

    async def scenario(script):
        async with fleets.running(None, script) as fleet:
            answer = await fleet.ask('/read/a')
            queue = fleet.nodes[1].service.executor.slots['u9001'].queue
            return answer, queue.running

    answer, running = pipes.run(scenario(complete))
    assert (answer.body, answer.ended, running) == (body, True, 0)
    answer, running = pipes.run(scenario(cut))
    assert (answer.ended, running) == (False, 0)


def test_long_bodies_arrive_unchanged():
    body = bytes(range(256)) * 2048

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            answer = await fleet.ask('/pay/a', 'POST', body=body)
            return answer.status, fleet.runs[0].body

    assert pipes.run(scenario()) == (200, body)


def test_requests_right_after_a_start_wait_for_the_upstreams():
    """Guards against requests refused for two seconds after a restart of all
    processes.

    Callers return at once, while upstreams announce themselves again within
    their interval.  What is unknown must not be taken not to exist.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            registry = fleet.nodes[1].membership.registry
            registry.withdraw(list(registry.leases))
            early = asyncio.ensure_future(fleet.ask('/read/a'))
            await asyncio.sleep(1.0)
            fleet.nodes[1].announce()
            first = (await early).status
            fleet.nodes[1].announce('gone')
            await asyncio.sleep(startup.STARTUP_S)
            loop = asyncio.get_running_loop()
            began = loop.time()
            later = (await fleet.ask('/read/a')).status
            return first, later, loop.time() - began

    first, later, took = pipes.run(scenario())
    assert (first, later) == (200, 503)
    assert took < 0.1


@pytest.mark.parametrize('chunked', [False, True])
def test_bodies_beyond_the_limit_are_refused_and_not_run(chunked):
    limits = manifest.Limits(max_body_bytes=1000)

    async def scenario():
        async with fleets.running(fleets.serve, limits=limits) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            head = b'POST /pay/a HTTP/1.1\r\nHost: h\r\n'
            if chunked:
                writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
                writer.write(b'800\r\n%b\r\n0\r\n\r\n' % (b'x' * 0x800))
            else:
                writer.write(head + b'Content-Length: 2048\r\n\r\n')
                writer.write(b'x' * 2048)
            answer = await setups.read_answer(reader)
            good = await fleet.ask('/pay/b', 'POST', body=b'x' * 1000)
            return answer.status, good.status, len(fleet.runs)

    assert pipes.run(scenario()) == (413, 200, 1)


@pytest.mark.parametrize(
    'data, status',
    [
        (
            b'GET /read/a HTTP/1.1\r\nHost: h\r\nX: %b\r\n\r\n'
            % (b'y' * 9000),
            431,
        ),
        (b'GET /read/a HTTP/1.1\r\nHo st: h\r\n\r\n', 400),
        (
            b'POST /pay/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
        ),
        (
            b'POST /pay/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
            400,
        ),
        (b'GET /read/../pay/ HTTP/1.1\r\nHost: h\r\n\r\n', 400),
    ],
    ids=['long', 'malformed', 'both lengths', 'two lengths', 'dots'],
)
def test_malformed_requests_are_refused_and_affect_no_others(data, status):
    async def scenario():
        async with fleets.running(fleets.serve) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(data)
            answer = await setups.read_answer(reader)
            good = await fleet.ask('/read/b')
            return answer.status, good.status, len(fleet.runs)

    assert pipes.run(scenario()) == (status, 200, 1)


def test_incomplete_request_is_dropped_after_the_header_timeout():
    limits = manifest.Limits(header_timeout_ms=500)

    async def scenario():
        async with fleets.running(fleets.serve, limits=limits) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(b'GET /read/a HT')
            loop = asyncio.get_running_loop()
            began = loop.time()
            data = await reader.read()
            took = loop.time() - began
            return data, took, len(fleet.runs)

    data, took, runs = pipes.run(scenario())
    assert took < 1.0
    assert runs == 0


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_requests_with_the_same_id_get_their_own_answers(method):
    """Guards against the answer to another request, or a failure.

    Two callers use the same id, or one uses it twice, and both requests meet
    at one gateway.  It must not join the second to the run of the first, as
    it does when a request is resumed after a lost connection.
    """

    async def own(upstream, seen, writer):
        await asyncio.sleep(0.1)
        writer.write(fleets.good(seen.line.split()[1].encode()))

    paths = ['/read/a', '/read/b', '/read/c', '/read/d']

    async def scenario():
        async with fleets.running(None, own, slots=2) as fleet:
            body = b'x' if method == 'POST' else None
            return await asyncio.gather(
                *(
                    fleet.ask(
                        path, method=method, body=body, Caraway_Request_Id='a'
                    )
                    for path in paths
                )
            )

    found = pipes.run(scenario())
    assert [answer.body.decode() for answer in found] == paths
    assert {answer.status for answer in found} == {200}


def test_traffic_split_keeps_its_shares():
    share = manifest.Share
    split = (share('portal', 9), share('other', 1))
    routes = (manifest.Route('/read/', split=split, idempotent=True),)

    async def scenario():
        async with fleets.running(None, fleets.serve, routes=routes) as fleet:
            return [(await fleet.ask('/read/a')).status for _ in range(100)]

    found = pipes.run(scenario())
    # The other service has no upstream: its share is refused, not moved.
    assert found.count(200) == 90
    assert found.count(503) == 10


def test_malformed_hop_is_refused_and_affects_no_others():
    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 7001)
            writer.write(
                b'GET /read/x HTTP/1.1\r\nHost: h\r\n'
                b'Caraway-Hop: [1,2]\r\n\r\n'
            )
            answer = await setups.read_answer(reader)
            good = await fleet.ask('/read/a')
            return answer, good.status

    answer, status = pipes.run(scenario())
    assert answer.headers['caraway-refusal'] == 'malformed'
    assert status == 200


def test_log_lines_per_second_are_bounded_and_omitted_ones_are_counted(
    monkeypatch,
):
    lines = fleets.LogLines()
    recorder = decisions.Recorder('h', lines)
    now = [5_000]
    monkeypatch.setattr(decisions.clock, 'wall_ms', lambda: now[0])
    for number in range(500):
        recorder.tell(decisions.Left('r%d' % number, 1, 1, 'caller'))
    now[0] += 1_000
    recorder.tell(decisions.Left('last', 1, 1, 'caller'))
    # The other lines of a process are only a few a second.
    assert sum(decisions.ROOM.values()) <= 46
    assert len(lines.lines) == decisions.ROOM[decisions.ROUTINE] + 1
    last = fleets.fakes.json.loads(lines.lines[-1])
    assert last['left_out'] == 500 - decisions.ROOM[decisions.ROUTINE]


def test_connections_between_nodes_break_when_nothing_is_acknowledged():
    """Guards against requests that run seconds after their callers left.

    A request waits at a gateway and its caller leaves, but the end of the
    connection between the nodes is lost.  By default the gateway's connection
    would stay open for minutes.
    """

    async def scenario():
        made = asyncio.get_running_loop().create_future()

        class Seen(http_server.Connection):
            def connection_made(self, transport):
                super().connection_made(transport)
                made.set_result(transport.get_extra_info('socket'))

        loop = asyncio.get_running_loop()
        bounds = http_server.Bounds(ack_timeout_s=1.0)
        server = await loop.create_server(
            lambda: Seen(loop, None, None, set(), bounds), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        _reader, writer = await asyncio.open_connection('127.0.0.1', port)
        raw = await made
        found = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        writer.close()
        server.close()
        return found

    assert asyncio.run(scenario()) == 1000
    assert (
        service._node_limits().ack_timeout_s
        == send_attempts.UNACKNOWLEDGED_TIMEOUT_S
    )


@pytest.mark.parametrize('error', [ConnectionResetError, KeyError])
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_exception_at_the_gateway_is_answered_at_once(
    error, method, monkeypatch
):
    """Guards against requests that are resumed until their deadlines.

    When an exception closed the connection between two nodes, the caller's
    node took it for lost and resumed the request: 5.03 s for one that was
    not idempotent.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:

            async def broken(*_arguments):
                raise error('of another connection')

            executor = fleet.nodes[1].service.executor
            monkeypatch.setattr(executor, '_send', broken)
            began = asyncio.get_running_loop().time()
            body = b'x' if method == 'POST' else b''
            path = '/pay/a' if method == 'POST' else '/read/a'
            answer = await fleet.ask(path, method, body=body)
            took = asyncio.get_running_loop().time() - began
            return answer.status, took

    status, took = pipes.run(scenario())
    assert status in (500, 502)
    assert took < 1.0


def test_request_that_met_an_exception_is_logged_as_answered():
    """Guards against requests that are answered with 500 but logged as if
    the caller had left.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:

            async def broken(*_arguments):
                raise ConnectionResetError('of another connection')

            node = fleet.nodes[0]
            node.service.dispatcher.client.send = broken
            answer = await fleet.ask('/read/a', Caraway_Request_Id='r1')
            return answer.status, [e['event'] for e in node.events_of('r1')]

    status, events = pipes.run(scenario())
    assert status == 500
    assert events[-1] == 'answered'
