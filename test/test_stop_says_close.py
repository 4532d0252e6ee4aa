"""Kept connections of a node that stops."""

import asyncio

import pytest

from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

WORK_S = 0.5


async def kept(port: int, count: int, meanwhile) -> list[setups.Answer]:
    """Send requests on one connection at once, and read their answers.

    :param meanwhile: started when they have been sent.
    """
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    head = 'GET %s HTTP/1.1\r\nHost: h\r\n\r\n'
    path = '/portal/x' if port == setups.LISTEN else '/read/x'
    writer.write((head % path).encode() * count)
    await asyncio.sleep(WORK_S / 5)
    stopping = asyncio.ensure_future(meanwhile())
    answers = []
    for _turn in range(count):
        answers.append(await setups.read_answer(reader, 'GET'))
    writer.close()
    await stopping
    return answers


def closing(answers: list[setups.Answer]) -> list[bool]:
    """Return which answers announce the end of their connection."""
    return ['connection' in answer.headers for answer in answers]


@pytest.mark.parametrize('count', [1, 3])
def test_answer_in_a_stop_says_that_its_connection_closes(count):
    """Guards against a next request on a connection that a stop closes.

    The request was taken before the stop began.
    """

    async def scenario():
        async with fleets.running(fleets.slow(WORK_S), drain_s=6.0) as fleet:
            node = fleet.nodes[0]
            return await kept(node.listen, count, node.service.stop)

    answers = pipes.run(scenario())
    assert [answer.status for answer in answers] == [200] * count
    assert closing(answers) == [False] * (count - 1) + [True]


def test_answer_in_a_stop_says_so_without_gateways():
    """Guards against the same where nodes send to upstreams themselves."""

    async def scenario():
        upstream = setups.Upstream(9001, fleets.slow(WORK_S))
        async with setups.running(upstream) as setup:
            return await kept(setups.LISTEN, 1, setup.path.stop)

    answers = pipes.run(scenario())
    assert [answer.status for answer in answers] == [200]
    assert closing(answers) == [True]


def test_answer_before_a_stop_keeps_its_connection():
    """Guards against connections that close after each request."""

    async def nothing() -> None:
        pass

    async def scenario():
        async with fleets.running(fleets.slow(WORK_S)) as fleet:
            return await kept(fleet.nodes[0].listen, 3, nothing)

    assert closing(pipes.run(scenario())) == [False] * 3
