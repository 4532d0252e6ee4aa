"""Requests on kept connections, when the node closes one at that moment.

A request that crosses the close of its connection must be answered, or must
not be passed on: its caller can't know whether it was run.
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
# Requests of one kept connection; the second one crosses its close.
BOTH = ['GET /read/a HTTP/1.1', 'GET /read/b HTTP/1.1']


def hold_up(seconds: float) -> None:
    """Let the event loop do nothing for a while, as on a busy host."""
    asyncio.get_running_loop().virtual.time += seconds


async def ask_and_wait(writer, reader, rest_s: float) -> None:
    """Use a connection once, and let it rest."""
    await setups.ask(reader, writer, '/read/a')
    await asyncio.sleep(rest_s)


async def ask_again(reader, writer) -> setups.Answer | None:
    """Use a kept connection; return None when it is closed instead."""
    try:
        return await setups.ask(reader, writer, '/read/b')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def test_request_that_was_read_is_answered_although_the_idle_time_is_over():
    """A node passed a request on and closed its connection at once, so that
    the caller heard nothing and the upstream was cut off. The event loop had
    been held up, and one turn of it both read the request and found the idle
    time of the connection over. The timer looked only at whether the task of
    the connection stood at its wait, which it does until the next turn: it
    closed the connection, then the task woke and passed the request on. This
    has the shape of a record of callers, but is not shown to be its cause:
    those connections were too young for the idle time of 15 s.

        6.122 s  request sent
        6.163 s  the connection is closed with no answer
        6.163 s  reaches the upstream
        6.164 s  its run ends: 0 cut
    """

    async def scenario():
        limits = manifest.Limits(idle_timeout_ms=int(IDLE_S * 1000))
        async with fleets.running(
            None, fleets.slow(0.1), limits=limits
        ) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            await ask_and_wait(writer, reader, IDLE_S * 0.75)
            second = asyncio.ensure_future(ask_again(reader, writer))
            await asyncio.sleep(0)
            hold_up(IDLE_S)
            answer = await second
            return answer, [seen.line for seen in fleet.runs]

    answer, runs = pipes.run(scenario())
    assert runs == BOTH
    assert answer is not None
    assert (answer.status, answer.ended) == (200, True)


def test_request_whose_caller_has_closed_already_is_not_passed_on():
    """A request was passed on for nobody. The event loop of the node was held
    up, and one turn brought the request and the close of its connection; the
    task of the connection woke afterwards, and passed the request on without
    a look at whether anybody could still be answered. The log of the node
    said "left" with one offer, zero milliseconds after the request was read.
    """

    async def scenario():
        async with fleets.running(None, fleets.slow(0.1)) as fleet:
            reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
            await ask_and_wait(writer, reader, 0.5)
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
def test_broken_connection_of_another_is_no_reason_to_leave_unanswered(
    error, monkeypatch
):
    """A caller's connection was closed without a word because another one
    had broken. Whatever raises a ``ConnectionError`` while a request is
    handled was taken for the sign that its caller has gone; the caller was
    still there and heard nothing.
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
def test_log_tells_who_ended_a_connection_with_a_request_in_hand(
    end, closed_by
):
    """Callers reported connections that were closed without an answer, and
    the log could not tell whether the node had done it: it said "left" for
    whatever ended a connection. Now it says by whom.
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


def test_request_that_came_with_its_callers_close_is_not_taken_up():
    """A request was passed on, and its run cut off a millisecond later, for a
    caller that had closed its connection already. The loop had been held up;
    when it went on, the request and the end of the stream were both there. A
    real transport reads the end one turn after the bytes, and the task of the
    connection wakes between the two: a look at whether the connection is open
    came one turn too early. With three such requests and a hold-up of 41 ms
    one reached the upstream.
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
        # Nothing runs meanwhile: both are there when the loop goes on.
        time.sleep(0.05)
        await asyncio.sleep(0.3)
        found.close()
        await found.abort()

    asyncio.run(scenario())
    assert taken == []


def test_requests_behind_a_long_body_are_all_read():
    """Ten requests came right behind one with a long body. Seven of them were
    answered; the others stayed unread in the parser for good, while the
    connection stood open and nothing was said.
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
