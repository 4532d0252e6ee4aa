"""Long bodies beyond what a node receives at the same time."""

import asyncio
import types

import pytest

from carawaystair.gateway import hops
from carawaystair.request import http_server
from carawaystair.request import listener as listeners
from carawaystair.request import validation
from test import gateway_setup as fleets
from test import pipes
from test import request_setup as setups

HEAD = b'POST /pay/%b HTTP/1.1\r\nHost: x\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'4e20\r\n' + bytes(20_000) + b'\r\n'
LONG = bytes(100_000)


async def begin(name: bytes):
    """Begin to send a long body."""
    reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
    writer.write(CHUNKED % name + CHUNK)
    await asyncio.sleep(0.1)
    return reader, writer


def run(scenario, max_bodies: int):
    """Run a scenario with a fleet; return its result and what has run."""

    async def whole():
        async with fleets.running(
            None, fleets.serve, max_bodies=max_bodies
        ) as fleet:
            result = await scenario(fleet)
            await asyncio.sleep(1.0)
            handler = fleet.nodes[0].service.caller_handler
            assert not handler.receptions
            assert len(handler.receiver.intake.bodies) <= max_bodies
            return result, [seen.line.split()[1] for seen in fleet.runs]

    return pipes.run(whole())


def test_body_that_stopped_is_told_that_it_has_not_run():
    """Guards against bodies that stop short and keep out all others."""

    async def scenario(fleet):
        reader, writer = await begin(b'stopped')
        await asyncio.sleep(2.0)
        answer = await fleet.ask('/pay/whole', 'POST', body=LONG)
        told = await setups.read_answer(reader)
        writer.close()
        return told, answer

    (told, answer), ran = run(scenario, 1)
    assert (told.status, told.code, told.outcome) == (
        503,
        'CS-3017',
        'not-run',
    )
    assert 'retry-after' in told.headers
    assert answer.status == 200
    assert ran == ['/pay/whole']


def test_body_without_room_is_told_that_it_has_not_run():
    """Guards against a node that holds more bodies than it has room for."""

    async def scenario(fleet):
        _reader, writer = await begin(b'first')
        refused = await fleet.ask('/pay/refused', 'POST', body=LONG)
        short = await fleet.ask('/pay/short', 'POST', body=b'x' * 10_000)
        writer.write(CHUNK + b'0\r\n\r\n')
        told = await setups.read_answer(_reader)
        writer.close()
        return refused, short, told

    (refused, short, told), ran = run(scenario, 1)
    assert (refused.status, refused.code, refused.outcome) == (
        503,
        'CS-3017',
        'not-run',
    )
    assert 'retry-after' in refused.headers
    assert (short.status, told.status) == (200, 200)
    assert ran == ['/pay/short', '/pay/first']


def test_bodies_one_after_another_need_one_place():
    """Guards against places of bodies that are not given back."""

    async def scenario(fleet):
        return [
            (await fleet.ask('/pay/%d' % n, 'POST', body=LONG)).status
            for n in range(5)
        ]

    statuses, ran = run(scenario, 1)
    assert statuses == [200] * 5
    assert len(ran) == 5


async def send_as_node(fleet, resumed: bool) -> dict[str, str]:
    """Send a long body to a gateway; return the headers of its answer."""
    node = fleet.nodes[1]
    process = str(node.service.membership.incarnation) if resumed else ''
    hop = hops.Hop(
        'sent', 'h0', node.upstream.name, 'shop', 'shop', '/pay/', 8000, 8000,
        0, False, False, True, False, False, 1, process, resumed,
    )  # fmt: skip
    reader, writer = await asyncio.open_connection('127.0.0.1', node.gateway)
    writer.write(HEAD % b'x' + b'Content-Length: %d\r\n' % len(LONG))
    writer.write(hops.header_line(hop) + b'\r\n' + LONG)
    first, headers = await setups.read_head(reader)
    while first.startswith('HTTP/1.1 1'):
        first, headers = await setups.read_head(reader)
    writer.close()
    return headers


def test_body_of_a_request_that_may_have_run_is_not_refused():
    """Guards against not-run for a request whose first send has run."""
    name = hops.REFUSAL.decode()

    async def scenario(fleet):
        receiver = fleet.nodes[1].service.hop_handler.receiver
        receiver.intake.limit = 0
        refused = await send_as_node(fleet, False)
        resumed = await send_as_node(fleet, True)
        return refused.get(name, ''), resumed.get(name, ''), receiver.refused

    (refused, resumed, count), _ran = run(scenario, 1)
    assert refused.startswith('busy')
    assert not resumed.startswith('busy')
    assert count == 1


def test_node_beyond_the_connections_gets_no_answer():
    """Guards against not-run for a request that was sent before."""

    async def scenario(fleet):
        fleet.nodes[1].service.node_listener.max_connections = 0
        reader, _writer = await asyncio.open_connection(
            '127.0.0.1', fleet.nodes[1].gateway
        )
        try:
            return await reader.read()
        except ConnectionError:
            return b''

    assert run(scenario, 1) == (b'', [])


def test_body_is_not_asked_for_when_its_sender_has_left():
    """Guards against a run that fails by a defect when its sender is gone."""
    gone = types.SimpleNamespace(
        connection=types.SimpleNamespace(open=False),
        headers={'Content-Length': '5'},
    )
    hop = types.SimpleNamespace(expects_continue=True)

    async def scenario(fleet):
        handler = fleet.nodes[1].service.hop_handler
        with pytest.raises(validation.Refused):
            await handler._receive_body(hop, gone)

    run(scenario, 1)


def test_connection_waits_for_another_reader_of_its_body():
    """Guards against an answer that is cut off as its body is still read."""

    async def handle(request) -> bool:
        reading.append(asyncio.create_task(request.content.readany()))
        await asyncio.sleep(0.1)
        request.write(b'answer')
        return False

    async def scenario():
        listener = listeners.Listener(handle)
        await listener.listen('127.0.0.1:8000')
        reader, writer = await asyncio.open_connection('127.0.0.1', 8000)
        writer.write(HEAD % b'x' + b'Content-Length: 9\r\n\r\n')
        began = asyncio.get_running_loop().time()
        answer = await reader.read()
        await asyncio.gather(*reading, return_exceptions=True)
        return answer, asyncio.get_running_loop().time() - began

    reading: list[asyncio.Task] = []
    answer, took_s = pipes.run(scenario())
    assert answer == b'answer'
    assert took_s >= http_server.LINGER_TIMEOUT_S
