"""Servers that stop in the middle of their answer's head and close."""

import asyncio
import itertools
import typing

import aiohttp
import pytest

from carawaystair import interfaces
from carawaystair.request import http_client
from carawaystair.ui import client as clients
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

BODY = b'whole'
RECEIPT = b'X-Receipt: r\r\n'
HEADS = {
    'length': b'HTTP/1.1 200 OK\r\n%bContent-Length: 5\r\n\r\n' % RECEIPT,
    'chunks': b'HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n'
    % RECEIPT,
    'no-length': b'HTTP/1.1 200 OK\r\n%b\r\n' % RECEIPT,
    'old-version': b'HTTP/1.0 200 OK\r\n%bContent-Length: 5\r\n\r\n' % RECEIPT,
    'interim': b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
    b'HTTP/1.1 200 OK\r\n%bContent-Length: 5\r\n\r\n' % RECEIPT,
    'bare-line-ends': b'HTTP/1.1 200 OK\nX-Receipt: r\nContent-Length: 5\n\n',
}
# Lets what is known of an upstream's failures be forgotten, seconds.
PAUSE_S = 15.0
# A gateway at which only the tests answer.
FAKE_PORT, FAKE_HOST = 7500, 'fake'


def cut_at(path: str) -> int:
    """Return where the answer to a request stops."""
    return int(path.rpartition('/')[2])


def stopping_in(head: bytes, reset: bool):
    """Return a script that stops after as many bytes as the path says."""

    async def script(upstream, seen, writer) -> None:
        writer.write(head[: cut_at(seen.line.split()[1])])
        await asyncio.sleep(0.01)
        if reset:
            writer.transport.abort()
        writer.close()

    return script


async def ask_for_cuts(ask, head: bytes) -> list[setups.Answer]:
    """Ask once for each place at which a head may stop."""
    answers = []
    for place in range(len(head)):
        answers.append(await ask(place))
        await asyncio.sleep(PAUSE_S)
    return answers


def assert_none_whole(answers: typing.Sequence[setups.Answer]) -> None:
    """Check that callers learn of the failure, in a whole answer."""
    assert {answer.status for answer in answers} == {502}
    assert {answer.outcome for answer in answers} == {'unknown'}
    assert all(answer.ended and b'CS-' in answer.body for answer in answers)


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('node', [0, 1], ids=['beside', 'over-a-hop'])
@pytest.mark.parametrize('kind', HEADS)
def test_head_that_stops_short_is_no_answer(kind, node, method, reset):
    """Guards against a success without a body from a server that stopped."""
    head = HEADS[kind]
    path = '/read/%d' if method == 'GET' else '/pay/%d'
    body = b'' if method == 'GET' else b'x'

    async def scenario():
        async with fleets.running(stopping_in(head, reset), None) as fleet:
            answers = await ask_for_cuts(
                lambda place: fleet.ask(path % place, method, node, body=body),
                head,
            )
            return answers, len(fleet.runs)

    answers, runs = pipes.run(scenario())
    assert_none_whole(answers)
    assert method == 'GET' or runs == len(answers)


@pytest.mark.parametrize('reset', [False, True], ids=['close', 'reset'])
@pytest.mark.parametrize('kind', HEADS)
def test_head_that_stops_short_is_no_answer_without_gateways(kind, reset):
    """Guards against the same where nodes send to upstreams themselves."""
    head = HEADS[kind]

    async def scenario():
        upstream = setups.Upstream(9001, stopping_in(head, reset))
        async with setups.running(upstream) as setup:
            return await ask_for_cuts(
                lambda place: setup.ask(
                    path='/portal/%d' % place, method='POST', body=b'x'
                ),
                head,
            )

    assert_none_whole(pipes.run(scenario()))


@pytest.mark.parametrize('kind', HEADS)
def test_lookup_whose_head_stops_short_runs_again(kind):
    """Guards against half a head where another upstream has the answer.

    Some of the requests are hedged: their first upstream is slow.
    """
    head = HEADS[kind]

    async def slowly(upstream, seen, writer) -> None:
        await asyncio.sleep(1.0 if cut_at(seen.line.split()[1]) % 2 else 0.0)
        await stopping_in(head, False)(upstream, seen, writer)

    async def scenario():
        async with fleets.running(None, slowly, fleets.serve) as fleet:
            return await ask_for_cuts(
                lambda place: fleet.ask('/read/%d' % place), head
            )

    answers = pipes.run(scenario())
    assert {(one.status, one.body) for one in answers} == {(200, b'u9002')}


async def serve_cut(answer: bytes, reader, writer) -> None:
    """Take requests as a gateway that ends while it passes an answer on."""
    try:
        while True:
            line, headers = await setups.read_head(reader)
            await setups.read_body(reader, headers)
            writer.write(b'HTTP/1.1 102 Processing\r\n\r\n')
            await asyncio.sleep(0.01)
            writer.write(answer[: cut_at(line.split()[1])])
            await asyncio.sleep(0.01)
            writer.close()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    ('kind', 'body'),
    [
        ('length', BODY),
        ('chunks', b'5\r\nwhole\r\n0\r\n\r\n'),
        ('old-version', BODY),
    ],
)
def test_gateway_that_ends_within_an_answer_has_not_answered(
    kind, body, method
):
    """Guards against a short answer of a gateway that was killed."""
    answer = HEADS[kind] + body
    path = '/read/%d' if method == 'GET' else '/pay/%d'

    async def scenario():
        async with fleets.running(None) as fleet:
            server = await asyncio.start_server(
                lambda *streams: serve_cut(answer, *streams),
                '127.0.0.1',
                FAKE_PORT,
            )
            fleet.publish(
                interfaces.Upstream(
                    'fake-1',
                    'portal',
                    '127.0.0.1:%d' % FAKE_PORT,
                    FAKE_HOST,
                    'a',
                    5,
                )
            )
            asked = {'body': b'x'} if method == 'POST' else {}
            answers = await ask_for_cuts(
                lambda place: fleet.ask(path % place, method, **asked), answer
            )
            server.close()
            return answers

    answers = pipes.run(scenario())
    assert all(one.ended for one in answers)
    assert {one.outcome for one in answers} <= {'unknown', 'not-run'}
    assert {one.status for one in answers} <= {502, 503, 504}


def test_connection_that_ends_within_a_head_raises():
    """Guards against a parser that takes a part of a head for all of it."""

    async def scenario():
        loop = asyncio.get_running_loop()
        raised = 0
        heads = itertools.chain.from_iterable(
            (head[:place] for place in range(len(head)))
            for head in (HEADS[kind] for kind in HEADS if kind != 'interim')
        )
        for data in heads:
            proto = http_client.ClientProtocol(loop)
            proto.connection_made(asyncio.Transport())
            proto.expect(False)
            proto.data_received(data)
            proto.connection_lost(None)
            with pytest.raises(aiohttp.ClientError):
                await proto.head(loop.time() + 1.0)
            raised += 1
        return raised

    assert asyncio.run(scenario()) > 100


@pytest.mark.parametrize('kind', ['length', 'chunks', 'no-length'])
def test_administrator_is_told_no_success_by_half_an_answer(kind):
    """Guards against a command that reports what no control host said."""
    answer = HEADS[kind] + (
        b'7\r\n{"a":1}\r\n0\r\n\r\n' if kind == 'chunks' else b'{"a":1}'
    )
    answer = answer.replace(b'Length: 5', b'Length: 7')
    places = range(len(answer))

    async def scenario():
        async def serve(reader, writer) -> None:
            line, _headers = await setups.read_head(reader)
            writer.write(answer[: cut_at(line.split()[1])])
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = clients.Client('http://127.0.0.1:%d' % port)
        replies = [
            await client.ask('GET', '/v1/%d' % place) for place in places
        ]
        server.close()
        return replies

    assert not any(reply.is_ok() for reply in asyncio.run(scenario()))
