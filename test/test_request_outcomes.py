"""Tests of the outcomes that callers get when a connection fails.

Each upstream records the requests that it ran, so that an outcome can be
compared with what happened.
"""

import asyncio

import pytest

from carawaystair import interfaces
from carawaystair import invariants
from test import pipes
from test import request_setup as setups


def scripted(script, method='POST', others=(), service=None, **options):
    """Send one request, with one scripted upstream and perhaps others."""

    async def scenario():
        upstream = setups.Upstream(9001, script)
        upstreams = [upstream, *(setups.Upstream(port) for port in others)]
        async with setups.running(*upstreams, service=service) as setup:
            answer = await setup.ask(method=method, **options)
            await asyncio.sleep(0.1)
            return answer, upstream, setup

    return pipes.run(scenario())


async def die(upstream, seen, writer):
    """Run the request, then close the connection without an answer."""
    writer.close()


async def refuse(upstream, seen, writer):
    """State that the request was not run, see docs/operate/answers.md."""
    upstream.runs.pop()
    writer.write(
        setups.reply(b'full', 503, Caraway_Outcome='not-run', Retry_After='1')
    )


def test_dies_before_connect():
    """Guards against an unknown outcome of a request that was not sent.

    The upstream's host is down when the request arrives, so that no byte can
    have been sent.
    """

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(upstream) as setup:
            upstream.server.close()
            answer = await setup.ask(method='POST', body=b'pay')
            return answer, setup

    answer, setup = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('not-run', 'CS-4002')
    assert setup.runs == []
    assert setup.outcomes() == {interfaces.REFUSED: 1}


def test_connect_times_out():
    """Guards against a request that waits for its deadline to connect.

    The network drops everything that is sent to the upstream.  Connecting must
    time out early, and the request go to another upstream.
    """

    async def scenario():
        upstreams = setups.Upstream(9001), setups.Upstream(9002)
        async with setups.running(*upstreams) as setup:
            asyncio.get_running_loop().swallowing.add('127.0.0.1:9001')
            now = asyncio.get_running_loop().time()
            found = [
                await setup.ask(method='POST', body=b'pay') for _n in range(9)
            ]
            took = asyncio.get_running_loop().time() - now
            return found, took, setup

    found, took, setup = pipes.run(scenario())
    assert {answer.body for answer in found} == {b'u9002'}
    assert len(setup.runs) == 9
    # The balancer avoids the upstream after it failed once.
    assert setup.outcomes() == {interfaces.REFUSED: 1, interfaces.GOOD: 9}
    assert took < 1.0


def test_dies_after_connect():
    """Guards against a wrong outcome, and against a second run.

    The connection ends right after it was opened, while the request is on its
    way: it was sent, so its outcome is unknown.
    """

    async def scenario():
        upstream = setups.Upstream(9001)
        other = setups.Upstream(9002)
        async with setups.running(upstream, other) as setup:
            setup.directory.put(setups.announce(other, state='gone'))

            async def serve(reader, writer):
                writer.transport.abort()

            upstream.server.close()
            await asyncio.start_server(serve, '127.0.0.1', 9001)
            answer = await setup.ask(method='POST', body=b'pay')
            return answer, setup

    answer, setup = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4003')
    assert setup.runs == []


def test_dies_mid_request_body():
    """Guards against a truncated body that counts as a whole one.

    The upstream dies while a long body is streamed to it; the outcome is
    unknown.
    """

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(upstream, setups.Upstream(9002)) as setup:
            setup.directory.put(
                setups.announce(setup.upstreams[1], state='gone')
            )

            async def serve(reader, writer):
                await reader.readexactly(100_000)
                writer.transport.abort()

            upstream.server.close()
            await asyncio.start_server(serve, '127.0.0.1', 9001)
            answer = await setup.ask(method='PUT', body=bytes(2_000_000))
            return answer, setup

    answer, setup = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4003')
    assert setup.runs == []


def test_caller_dies_mid_request_body():
    """Guards against an upstream that runs a request with half a body.

    The caller closes its connection in the middle of a long body.  The
    upstream's connection must be aborted before the declared length is
    reached.
    """

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(upstream) as setup:
            _reader, writer = await setups.connect()
            writer.write(
                b'PUT /portal/x HTTP/1.1\r\nHost: h\r\n'
                b'Content-Length: 200000\r\n\r\n' + bytes(100_000)
            )
            await asyncio.sleep(0.1)
            held = setup.admission.held
            writer.close()
            await asyncio.sleep(1.0)
            return upstream, held, setup.admission.held

    upstream, held, left = pipes.run(scenario())
    assert upstream.connections == upstream.gone == 1
    assert upstream.runs == []
    assert (held, left) == (1, 0)


@pytest.mark.parametrize('body', [b'pay', bytes(200_000)])
def test_dies_after_body(body):
    """Guards against a second run of a request that may run only once.

    The upstream runs the request and dies before it answers, so that the
    outcome is unknown.
    """

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, die) for n in range(3)]
        async with setups.running(*upstreams) as setup:
            return await setup.ask(method='POST', body=body), setup

    answer, setup = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4003')
    assert [seen.body for seen in setup.runs] == [body]


def test_dies_before_headers_end():
    """Guards against forwarding a truncated answer head.

    The upstream dies while it sends the head of its answer.
    """

    async def script(upstream, seen, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Le')
        await asyncio.sleep(0.01)
        writer.close()

    answer, upstream, setup = scripted(script, body=b'pay')
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4003')
    assert len(upstream.runs) == 1


def test_dies_mid_answer():
    """Guards against forwarding a truncated answer.

    The upstream dies while it sends a short body.  Short answers are buffered
    until they are complete.
    """

    async def script(upstream, seen, writer):
        writer.write(setups.reply(b'x' * 100)[:-50])
        await asyncio.sleep(0.01)
        writer.close()

    answer, upstream, setup = scripted(script, body=b'pay')
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4003')
    answer, upstream, setup = scripted(script, 'GET', others=[9002])
    assert (answer.outcome, answer.body) == ('complete', b'u9002')


def test_refused_before_running():
    """A request that an upstream refused is sent to another one."""
    answer, upstream, setup = scripted(refuse, others=[9002], body=b'pay')
    assert (answer.outcome, answer.body) == ('complete', b'u9002')
    assert len(setup.runs) == 1
    answer, upstream, setup = scripted(refuse, body=b'pay')
    assert (answer.outcome, answer.code) == ('not-run', 'CS-4008')
    assert answer.headers['retry-after'] == '1'
    assert setup.outcomes() == {interfaces.SHED: 1}


def test_late_answer():
    """Guards against waiting past the deadline, and against lost slots.

    The upstream takes longer than the deadline of the request.  Its slot
    counts as used until it has stopped.
    """
    slots = []

    async def script(upstream, seen, writer):
        await asyncio.sleep(0.3)
        writer.write(setups.reply())

    async def scenario():
        upstream = setups.Upstream(9001, script)
        async with setups.running(upstream) as setup:
            loop = asyncio.get_running_loop()
            now = loop.time()
            answer = await setup.ask(
                method='POST', body=b'pay', Caraway_Deadline_Ms='200'
            )
            took = loop.time() - now
            slots.append((setup.admission.held, in_flight(setup)))
            await asyncio.sleep(1.0)
            slots.append((setup.admission.held, in_flight(setup)))
            return answer, took, upstream, setup

    answer, took, upstream, setup = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4004')
    assert 0.2 <= took < 0.21
    assert len(upstream.runs) == 1
    assert slots == [(1, 1), (0, 0)]
    assert setup.outcomes() == {interfaces.TIMEOUT: 1}


def in_flight(setup):
    """Return the number of attempts in flight at all upstreams."""
    targets = setup.sender.selector.targets.values()
    return sum(target.in_flight for target in targets)


def test_deadline_is_forwarded():
    """The time that is left is sent upstream; without any, nothing is sent."""

    async def scenario():
        async with setups.running(setups.Upstream(9001)) as setup:
            await setup.ask(Caraway_Deadline_Ms='700')
            expired = await setup.ask(Caraway_Deadline_Ms='0')
            return expired, setup.runs

    expired, runs = pipes.run(scenario())
    assert (expired.outcome, expired.code) == ('not-run', 'CS-3011')
    assert [600 < int(s.headers['caraway-deadline-ms']) < 700 for s in runs]
    assert len(runs) == 1


def test_caller_leaves():
    """Guards against upstreams that work for callers that have left.

    The caller closes its connection while its request runs.  The upstream's
    connection is closed, and its slot counts as used until it has stopped.
    """

    async def script(upstream, seen, writer):
        await asyncio.sleep(0.4)
        writer.write(setups.reply())

    async def scenario():
        upstream = setups.Upstream(9001, script)
        async with setups.running(upstream) as setup:
            _reader, writer = await setups.connect()
            writer.write(b'GET /portal/x HTTP/1.1\r\nHost: h\r\n\r\n')
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            during = setup.admission.held, in_flight(setup)
            await asyncio.sleep(0.5)
            after = setup.admission.held, in_flight(setup)
            return during, after, upstream.gone, setup.outcomes()

    during, after, gone, outcomes = pipes.run(scenario())
    assert during == (1, 1)
    assert after == (0, 0)
    assert gone == 1
    assert outcomes == {interfaces.CANCELLED: 1}


def test_answer_of_another_request():
    """Guards against disclosing an answer to another caller.

    The upstream sends an answer with the id of another request.
    """

    async def script(upstream, seen, writer):
        writer.write(setups.reply(b'secret', Caraway_Request_Id='other'))

    answer, _upstream, setup = scripted(script, body=b'x')
    assert (answer.outcome, answer.code) == ('unknown', 'CS-4007')
    assert b'secret' not in answer.body


def test_answer_without_a_request():
    """Guards against answers that reach the caller of a later request.

    The upstream answers twice, and the second answer arrives on the idle
    connection, which must not be used again.
    """

    async def script(upstream, seen, writer):
        writer.write(setups.reply(seen.headers['caraway-request-id'].encode()))
        writer.write(setups.reply(b'again'))

    async def scenario():
        upstream = setups.Upstream(9001, script)
        async with setups.running(upstream) as setup:
            answers = [await setup.ask() for _n in range(3)]
            return answers, upstream.connections

    answers, connections = pipes.run(scenario())
    assert [a.body.decode() for a in answers] == [
        a.headers['caraway-request-id'] for a in answers
    ]
    assert connections == 3


@pytest.mark.parametrize(
    'data',
    [
        b'HTTP/1.1 200 OK\r\n\r\nno length',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        b'HTTP/1.1 101 Switching\r\nUpgrade: tcp\r\n'
        b'Connection: upgrade\r\n\r\n',
        b'garbage\r\n\r\n',
    ],
)
def test_answer_is_malformed(data):
    """An answer without an unambiguous end is not forwarded."""

    async def script(upstream, seen, writer):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.close()

    answer, upstream, setup = scripted(script, body=b'x')
    assert answer.outcome == 'unknown'
    assert answer.code in ('CS-4005', 'CS-4006')
    assert setup.outcomes() == {interfaces.BROKEN: 1}


def test_retry_storm():
    """Guards against retry storms while all upstreams fail.

    Retries are paid from a budget that only first attempts fill.
    """

    async def script(upstream, seen, writer):
        writer.write(setups.reply(b'no', 500))

    async def scenario():
        upstreams = [setups.Upstream(9001 + n, script) for n in range(4)]
        async with setups.running(*upstreams) as setup:
            answers = [await setup.ask() for _n in range(300)]
            return answers, setup.runs

    answers, runs = pipes.run(scenario())
    assert {(a.status, a.outcome) for a in answers} == {(500, 'complete')}
    # 10 tokens in reserve and one for every ten first attempts.
    assert len(runs) <= 300 + 10 + 30
    assert len(runs) >= 300 + 30


def test_retry_uses_another_upstream():
    """A retry goes to an upstream that has not been tried."""

    async def script(upstream, seen, writer):
        writer.write(setups.reply(b'no', 502))

    async def scenario():
        upstreams = setups.Upstream(9001, script), setups.Upstream(9002)
        async with setups.running(*upstreams) as setup:
            chosen = setup.sender.selector.candidates('portal', 0.0)
            for target in chosen.candidates.targets:
                if target.upstream.id == 'u9002':
                    # By its latency it would be the last choice.
                    target.observe(60.0, 0.0)
            answer = await setup.ask()
            return answer, len(upstreams[0].runs)

    answer, runs = pipes.run(scenario())
    assert (answer.body, runs) == (b'u9002', 1)


def test_caller_sends_malformed_body():
    """Guards against an upstream that runs a request with half a body.

    A long chunked body becomes malformed while it is streamed.  The upstream's
    connection must be aborted, and the failure not count against the upstream.
    """

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(upstream) as setup:
            reader, writer = await setups.connect()
            chunk = b'%x\r\n%b\r\n' % (70_000, bytes(70_000))
            writer.write(
                b'PUT /portal/x HTTP/1.1\r\nHost: h\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n' + chunk
            )
            await asyncio.sleep(0.1)
            begun = upstream.connections
            writer.write(b'zz\r\n')
            answer = await setups.read_answer(reader)
            return answer, begun, upstream, setup

    answer, begun, upstream, setup = pipes.run(scenario())
    assert begun == 1
    assert (answer.outcome, answer.code) == ('unknown', 'CS-3007')
    assert (upstream.runs, upstream.gone) == ([], 1)
    assert setup.outcomes() == {interfaces.CANCELLED: 1}


def test_non_idempotent_uses_recently_used_connections_only():
    """Guards against unknown outcomes because of stale connections.

    A connection that died while idle must not be used for a request that may
    run only once: that one needs a new or recently used connection.
    """

    async def scenario():
        upstream = setups.Upstream(9001)
        async with setups.running(upstream) as setup:
            await setup.ask()
            await setup.ask(method='POST', body=b'1')
            early = upstream.connections
            await asyncio.sleep(2.0)
            await setup.ask(method='POST', body=b'2')
            late = upstream.connections
            await asyncio.sleep(2.0)
            await setup.ask()
            return early, late, upstream.connections

    assert pipes.run(scenario()) == (1, 2, 2)


def test_drain_while_connecting(monkeypatch):
    """Guards against new requests to an upstream that is leaving.

    It begins to leave while a connection to it is opened, so its state must be
    checked again before the first byte is sent.
    """
    monkeypatch.setattr(invariants, 'RAISE', True)

    async def scenario():
        upstreams = setups.Upstream(9001), setups.Upstream(9002)
        async with setups.running(*upstreams) as setup:
            asking = [
                asyncio.create_task(setup.ask(method='POST', body=b'x'))
                for _n in range(10)
            ]
            await asyncio.sleep(pipes.DELAY_S * 2.5)
            leaving = setups.announce(upstreams[0], state='draining')
            setup.directory.put(leaving)
            return await asyncio.gather(*asking)

    answers = pipes.run(scenario())
    assert {answer.body for answer in answers} == {b'u9002'}


def test_no_upstream():
    """Without an upstream, a request is refused at once."""

    async def scenario():
        async with setups.running() as setup:
            return await setup.ask()

    answer = pipes.run(scenario())
    assert (answer.outcome, answer.code) == ('not-run', 'CS-4001')
