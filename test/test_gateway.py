"""Requests between nodes with gateways: what callers and upstreams see."""

import asyncio
import socket

import pytest

from carawaystair import decisions
from carawaystair.gateway import send_attempts
from carawaystair.gateway import service
from carawaystair.gateway import startup
from carawaystair import manifest
from carawaystair.request import connections
from carawaystair.request import incoming
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups


def test_request_reaches_upstream_with_the_deployments_headers():
    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            answer = await fleet.ask(
                '/read/x?y=1',
                Caraway_Request_Id='abc',
                Caraway_Deadline_Ms='900',
                Caraway_Caller_Service='spoofed',
            )
            return answer, fleet.runs, fleet.nodes[0].events_of('abc')

    answer, runs, story = pipes.run(scenario())
    assert (answer.status, answer.body) == (200, b'u9001')
    assert runs[0].line == 'GET /read/x?y=1 HTTP/1.1'
    told = runs[0].headers
    assert told['caraway-request-id'] == 'abc'
    assert told['caraway-upstream'] == 'u9001'
    assert told['caraway-caller-service'] == 'shop'
    assert 850 < int(told['caraway-deadline-ms']) <= 900
    assert [event['event'] for event in story] == ['offered', 'answered']


@pytest.mark.parametrize('moment', [0.05, 0.3], ids=['sent', 'running'])
def test_lost_connection_does_not_lose_the_answer_nor_run_it_twice(moment):
    """Symptom: a payout was made, its caller is told that nobody knows.
    Sequence: the connection between two nodes is lost silently while the
    request runs.
    Cause: the answer returns on the lost connection only.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(1.5), None) as fleet:
            # One request before it, so that the nodes know each other.
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


async def leave_only_the_way_round(fleet, monkeypatch) -> None:
    """Cut the way from the first node to the second one's gateway.

    The upstream of the third node leaves, so that it serves as a way only.
    """
    connect = connections.connect
    for _ in range(4):
        await fleet.ask('/read/warm')
    fleet.nodes[2].announce('draining')
    cut = fleet.nodes[0].service.pool.targets['u9001']

    async def connect_unless_cut(target, until, *patience):
        if target == cut:
            raise TimeoutError
        return await connect(target, until, *patience)

    monkeypatch.setattr(connections, 'connect', connect_unless_cut)
    asyncio.get_running_loop().silence(fleet.nodes[1].gateway)


def test_way_that_is_cut_is_gone_round_through_a_third_node(monkeypatch):
    """Symptom: a payout fails though its upstream is well.
    Sequence: packets from one host to another are lost, both reach others.
    Cause: the only way that was tried is the direct one.
    """

    async def scenario():
        scripts = (None, fleets.slow(0.3), fleets.serve)
        async with fleets.running(*scripts) as fleet:
            await leave_only_the_way_round(fleet, monkeypatch)
            answer = await fleet.ask('/pay/x', 'POST', body=b'pay')
            return answer, [seen.line for seen in fleet.runs]

    answer, lines = pipes.run(scenario())
    assert (answer.status, answer.body) == (200, b'u9001')
    assert lines.count('POST /pay/x HTTP/1.1') == 1


def test_broken_connection_on_a_detour_does_not_cancel_the_run(monkeypatch):
    """A payout that ran was broken off, and its caller told that nobody knows.

    It went through a third node, and the connection between the caller's
    node and that one broke.  The third node closed its own connection to the
    gateway in the normal way, which means that the caller has left: the
    gateway cancelled the run that the caller's node asked for again.
    """

    async def scenario():
        scripts = (None, fleets.slow(1.5), fleets.serve)
        async with fleets.running(*scripts) as fleet:
            await leave_only_the_way_round(fleet, monkeypatch)
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


def test_gateway_that_started_again_says_that_it_does_not_know():
    """Symptom: a payout runs twice.
    Sequence: the gateway's process dies while the request runs and a new one
    is asked for it.
    Cause: the new process has no memory of the run and takes it for new.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(1.5)) as fleet:
            await fleet.ask('/read/warm')
            asking = asyncio.ensure_future(
                fleet.ask('/pay/x', 'POST', body=b'pay')
            )
            await asyncio.sleep(0.3)
            door = fleet.nodes[1].service.hop_handler
            fleet.nodes[1].membership.incarnation += 1000
            door.runs.runs.clear()
            asyncio.get_running_loop().silence(fleet.nodes[1].gateway)
            answer = await asking
            return answer, [seen.line for seen in fleet.runs]

    answer, lines = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')
    assert lines.count('POST /pay/x HTTP/1.1') == 1


def test_caller_that_leaves_frees_the_upstream():
    """Symptom: upstreams work for callers that have long gone.
    Sequence: a caller closes its connection while its request runs.
    Cause: the leaving must cross two hops and close the last connection.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(5.0)) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(b'GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n')
            await asyncio.sleep(0.5)
            busy = fleet.nodes[1].service.executor.slots['u9001'].queue.running
            writer.close()
            await asyncio.sleep(0.3)
            line = fleet.nodes[1].service.executor.slots['u9001'].queue
            return busy, line.running

    assert pipes.run(scenario()) == (1, 0)


def test_draining_upstream_gets_no_new_work_from_the_acknowledgement_on():
    """Symptom: requests reach an upstream that has said it leaves.
    Sequence: it says so; other nodes have not heard of it yet.
    Cause: the gateway itself must hold work back, not only those who choose.
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


def test_second_answer_to_an_earlier_request_is_passed_over():
    """Symptom: a caller gets the answer to somebody else's request.
    Sequence: an upstream sends a second answer when the next request is
    already on the connection.
    Cause: only the id in the answer tells whose it is.
    """

    async def script(upstream, seen, writer):
        name = seen.headers['caraway-request-id']
        if name == 'two':
            writer.write(fleets.good(b'one again', Caraway_Request_Id='one'))
        answer = fleets.good(name.encode(), Caraway_Request_Id=name)
        writer.write(answer)

    async def scenario():
        async with fleets.running(script) as fleet:
            first = await fleet.ask('/read/a', Caraway_Request_Id='one')
            second = await fleet.ask('/read/b', Caraway_Request_Id='two')
            return first.body, second.body, fleet.nodes[0].upstream.connections

    assert pipes.run(scenario()) == (b'one', b'two', 1)


def test_answer_without_a_receipt_is_no_success():
    async def script(upstream, seen, writer):
        writer.write(setups.reply(b'whatever'))

    async def scenario():
        async with fleets.running(script) as fleet:
            return await fleet.ask('/pay/a', 'POST', body=b'x')

    answer = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')


def test_answer_without_length_is_whole_when_its_connection_is_closed():
    async def script(upstream, seen, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nX-Receipt: r\r\n\r\nall of it')
        writer.close()

    async def scenario():
        async with fleets.running(script) as fleet:
            return await fleet.ask('/read/a')

    answer = pipes.run(scenario())
    assert (answer.status, answer.body) == (200, b'all of it')


def test_promise_without_its_mark_is_not_passed_on():
    """Symptom: a caller repeats a payout that was made.
    Sequence: an upstream answers 503 after it ran a request.
    Cause: 503 tells callers that the request was not run.
    """

    async def script(upstream, seen, writer):
        writer.write(setups.reply(b'oops', 503, X_Receipt='r'))

    async def scenario():
        async with fleets.running(script) as fleet:
            return await fleet.ask('/pay/a', 'POST', body=b'x')

    answer = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (502, 'unknown')


def test_stop_cuts_nothing_and_takes_requests_until_callers_have_left():
    """Symptom: answers are cut off when a node stops.
    Sequence: the node is told to stop; its callers notice two seconds later.
    Cause: it must serve them until then, and finish what it has.
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


def test_stop_whose_time_is_over_answers_what_is_left():
    """Symptom: callers of a node that stopped hear nothing.
    Sequence: an answer takes longer than the node has to stop.
    Cause: its connections are closed without a word.
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


def test_long_answers_pass_whole_and_a_cut_one_never_looks_whole():
    body = bytes(range(256)) * 4096

    async def whole(upstream, seen, writer):
        writer.write(fleets.good(body))

    async def cut(upstream, seen, writer):
        writer.write(fleets.good(body)[:-5])
        await writer.drain()
        writer.close()

    async def scenario(script):
        async with fleets.running(None, script) as fleet:
            answer = await fleet.ask('/read/a')
            line = fleet.nodes[1].service.executor.slots['u9001'].queue
            return answer, line.running

    answer, running = pipes.run(scenario(whole))
    assert (answer.body, answer.ended, running) == (body, True, 0)
    answer, running = pipes.run(scenario(cut))
    assert (answer.ended, running) == (False, 0)


def test_long_bodies_pass_unchanged():
    body = bytes(range(256)) * 2048

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            answer = await fleet.ask('/pay/a', 'POST', body=body)
            return answer.status, fleet.runs[0].body

    assert pipes.run(scenario()) == (200, body)


def test_requests_right_after_a_start_wait_for_the_upstreams():
    """Symptom: every request is rejected for two seconds after a restart of
    the whole fleet.
    Sequence: callers are back at once; upstreams announce themselves again
    within their interval.
    Cause: what is not known yet is taken for what does not exist.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:
            fleet.nodes[1].announce('gone')
            early = asyncio.ensure_future(fleet.ask('/read/a'))
            await asyncio.sleep(1.0)
            fleet.nodes[1].membership.registry.left.clear()
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
def test_odd_requests_are_refused_without_harm_to_others(data, status):
    async def scenario():
        async with fleets.running(fleets.serve) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            writer.write(data)
            answer = await setups.read_answer(reader)
            good = await fleet.ask('/read/b')
            return answer.status, good.status, len(fleet.runs)

    assert pipes.run(scenario()) == (status, 200, 1)


def test_half_a_request_is_let_go_within_the_limit():
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
def test_requests_with_one_id_get_each_its_own_answer(method):
    """Two callers, or one that asks twice, use the same id.

    Symptom: the answer to another request, or a failure of the proxy.
    Sequence: a request runs; another one with its id meets the same
    gateway.  Cause: the gateway takes it for a question for the first one,
    as it would be after a lost connection.
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


def test_split_keeps_its_shares():
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


def test_malformed_hop_is_refused_without_harm():
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


def test_lines_of_a_second_are_bounded_and_what_is_left_out_is_counted(
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
    # Other lines of a process are a few a second.
    assert sum(decisions.ROOM.values()) <= 46
    assert len(lines.lines) == decisions.ROOM[decisions.ROUTINE] + 1
    last = fleets.fakes.json.loads(lines.lines[-1])
    assert last['left_out'] == 500 - decisions.ROOM[decisions.ROUTINE]


def test_connections_between_nodes_break_when_nothing_is_acknowledged():
    """Symptom: a request runs seconds after its caller has left.
    Sequence: it waits at a gateway; its caller leaves; the close is lost on
    the way between the two nodes.
    Cause: the gateway's connection stays open for minutes.
    """

    async def scenario():
        made = asyncio.get_running_loop().create_future()

        class Seen(incoming.Connection):
            def connection_made(self, transport):
                super().connection_made(transport)
                made.set_result(transport.get_extra_info('socket'))

        loop = asyncio.get_running_loop()
        bounds = incoming.Bounds(silence_s=1.0)
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
        service._node_limits().silence_s
        == send_attempts.UNACKNOWLEDGED_TIMEOUT_S
    )


@pytest.mark.parametrize('error', [ConnectionResetError, KeyError])
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_defect_at_the_gateway_is_answered_at_once(error, method, monkeypatch):
    """An error at the gateway beside the upstream closed the connection of
    the node that had asked, which took it for lost and asked again and again:
    5.03 s for a request that may run once, until its time was over.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:

            async def broken(*_arguments):
                raise error('of another connection')

            work = fleet.nodes[1].service.executor
            monkeypatch.setattr(work, '_send', broken)
            began = asyncio.get_running_loop().time()
            body = b'x' if method == 'POST' else b''
            path = '/pay/a' if method == 'POST' else '/read/a'
            answer = await fleet.ask(path, method, body=body)
            took = asyncio.get_running_loop().time() - began
            return answer.status, took

    status, took = pipes.run(scenario())
    assert status in (500, 502)
    assert took < 1.0


def test_request_that_met_a_defect_is_told_as_answered():
    """A caller that was answered 500 stood in the log as one that had left,
    and was missing among the answers.
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
