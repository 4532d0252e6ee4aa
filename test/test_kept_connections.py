"""Tests of requests that arrive while their connection is being closed.

Such a request must either be answered or not be sent on: its caller can't
know whether it was run.
"""

import asyncio
import json
import socket
import time

import pytest

from carawaystair import explain
from carawaystair import manifest
from carawaystair.request import listener as listeners
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

IDLE_S = 2.0
# Requests on one connection; the second arrives while it is closed.
BOTH = ['GET /read/a HTTP/1.1', 'GET /read/b HTTP/1.1']


def block_event_loop(seconds: float) -> None:
    """Block the event loop for a while, as on a busy host."""
    asyncio.get_running_loop().virtual.time += seconds


async def ask_and_idle(writer, reader, rest_s: float) -> None:
    """Use a connection once, and leave it idle."""
    await setups.ask(reader, writer, '/read/a')
    await asyncio.sleep(rest_s)


async def ask_again(reader, writer) -> setups.Answer | None:
    """Use an open connection again; return None when it is closed instead."""
    try:
        return await setups.ask(reader, writer, '/read/b')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def test_request_that_was_read_is_answered_after_the_idle_timeout():
    """Guards against closing a connection whose request has been read.

    The event loop was blocked, and one iteration both read the request and
    found the idle timeout over.  The timer only checked whether the
    connection's task was waiting, which it does until the next iteration, so
    it closed the connection.  Then the task woke up and sent the request on:
    the caller got no answer, and the upstream's run was cut off.
    """

    async def scenario():
        limits = manifest.Limits(idle_timeout_ms=int(IDLE_S * 1000))
        async with fleets.running(
            None, fleets.slow(0.1), limits=limits
        ) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            await ask_and_idle(writer, reader, IDLE_S * 0.75)
            second = asyncio.ensure_future(ask_again(reader, writer))
            await asyncio.sleep(0)
            block_event_loop(IDLE_S)
            answer = await second
            return answer, [seen.line for seen in fleet.runs]

    answer, runs = pipes.run(scenario())
    assert runs == BOTH
    assert answer is not None
    assert (answer.status, answer.ended) == (200, True)


def test_request_whose_caller_has_closed_is_not_sent_on():
    """Guards against sending on a request whose caller has left.

    The event loop was blocked, and one iteration read both the request and the
    close of its connection.  The connection's task woke up afterwards and sent
    the request on without checking whether the connection was open; the log
    had a "left" event with one offer, 0 ms after the request was read.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(0.1)) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            await ask_and_idle(writer, reader, 0.5)
            second = asyncio.ensure_future(ask_again(reader, writer))
            await asyncio.sleep(0)
            writer.close()
            await second
            await asyncio.sleep(1.0)
            return fleet.nodes[0].lines.lines, fleet.runs

    lines, runs = pipes.run(scenario())
    assert [seen.line for seen in runs] == BOTH[:1]
    assert [line for line in lines if b'"left"' in line] == []


@pytest.mark.parametrize('error', [ConnectionResetError, BrokenPipeError])
def test_request_is_answered_when_another_connection_breaks(
    error, monkeypatch
):
    """Guards against closing a caller's connection when another one breaks.

    Any ``ConnectionError`` during the handling of a request was taken as a
    sign that its caller had left.
    """

    async def scenario():
        async with fleets.running(None, fleets.serve) as fleet:

            async def broken(*_arguments):
                raise error('of another connection')

            node = fleet.nodes[0].service
            monkeypatch.setattr(node.dispatcher.client, 'send', broken)
            return await fleet.ask('/read/a')

    answer = pipes.run(scenario())
    assert (answer.status, answer.outcome) == (500, 'unknown')


def _ended_by_caller(_node, writer) -> None:
    writer.close()


def _ended_by_node(node, _writer) -> None:
    for connection in node.service.caller_listener.connections:
        connection.transport.abort()


@pytest.mark.parametrize(
    ('end', 'closed_by'),
    [(_ended_by_caller, 'caller'), (_ended_by_node, 'node')],
)
def test_log_says_who_closed_a_connection_with_an_open_request(end, closed_by):
    """Guards against a log that doesn't say who closed a connection.

    The "left" event of an unanswered request must tell whether the caller or
    the node closed its connection.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(1.0)) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            asked = asyncio.ensure_future(ask_again(reader, writer))
            await asyncio.sleep(0.5)
            end(fleet.nodes[0], writer)
            await asyncio.sleep(0.1)
            await asyncio.gather(asked, return_exceptions=True)
            return [json.loads(line) for line in fleet.nodes[0].lines.lines]

    events = pipes.run(scenario())
    left = [event for event in events if event.get('event') == 'left']
    assert [event['closed_by'] for event in left] == [closed_by]
    cause = {'caller': 'its caller left', 'node': explain.sentence(left[0])}
    assert explain.cause(left) == cause[closed_by]
    assert closed_by in explain.sentence(left[0])


def test_request_that_arrived_with_its_callers_close_is_not_run():
    """Guards against running a request that arrived with its caller's close.

    The event loop was blocked; afterwards both the request and the end of the
    stream had arrived.  A transport reads the end one iteration after the
    bytes, and the connection's task wakes up between the two, so that a check
    whether the connection is open came one iteration too early.  After a block
    of 41 ms, one of three such requests reached the upstream.
    """
    taken = []

    async def handle(request) -> bool:
        taken.append(request.raw_path)
        await asyncio.sleep(0.2)
        return True

    async def scenario():
        found = listeners.Listener(handle)
        await found.listen('127.0.0.1:0')
        address = found.server.sockets[0].getsockname()
        raw = socket.create_connection(address)
        await asyncio.sleep(0.05)
        raw.sendall(b'GET /read/a HTTP/1.1\r\nHost: a\r\n\r\n')
        raw.close()
        # Blocks the event loop: both have arrived when it continues.
        time.sleep(0.05)
        await asyncio.sleep(0.3)
        found.close()
        await found.abort()

    asyncio.run(scenario())
    assert taken == []


def test_requests_after_a_long_body_are_all_read():
    """Guards against requests that stay unread after a long body.

    Of ten requests that arrived right after one with a long body, three stayed
    in the parser for ever while the connection was open.
    """
    gets, size = 10, 200_000
    lines = [
        'GET /read/%d HTTP/1.1\r\nHost: a\r\n\r\n' % n for n in range(gets)
    ]
    head = 'POST /pay/0 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'

    async def scenario():
        async with fleets.running(None, fleets.slow(0.02)) as fleet:
            _reader, writer = await asyncio.open_connection(
                '127.0.0.1', 8000, limit=2**22
            )
            writer.write((head % size).encode() + b'x' * size)
            writer.write(''.join(lines).encode())
            await asyncio.sleep(30.0)
            writer.close()
            return len(fleet.runs)

    assert pipes.run(scenario()) == gets + 1
