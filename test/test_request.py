"""The request path, over real sockets on loopback."""

import asyncio
import socket
import types

import aiohttp
from aiohttp import web

from carawaystair import interfaces
from carawaystair import manifest
from carawaystair import request
from carawaystair.request import inert
from carawaystair import routing
from carawaystair import rows
from carawaystair import settings
from test import fakes


def free_port():
    """Return a port that was free a moment ago."""
    with socket.socket() as end:
        end.bind(('127.0.0.1', 0))
        return end.getsockname()[1]


def make_kernel():
    """Return what the path needs of a kernel."""
    text = (
        '{"host": "h1", "data_centre": "a", "region": "r",'
        ' "node": {"listen": "127.0.0.1:%d"}}' % free_port()
    )
    return types.SimpleNamespace(settings=settings.parse(text).ok)


def make_routing(**services):
    """Return a configuration with one route a service."""
    document = manifest.Manifest(
        1,
        'test',
        {'r': manifest.Place(('a', 'b'))},
        services,
        tuple(manifest.Route('/' + name, name) for name in services),
    )
    return routing.Routing(rows.Version(1, 1), rows.from_manifest(document))


def test_whole_answer():
    """A request reaches its service; the answer carries the outcome."""

    async def scenario():
        async def upstream(incoming):
            return web.Response(text=await incoming.text() + incoming.path)

        port = free_port()
        server = await asyncio.get_running_loop().create_server(
            web.Server(upstream), '127.0.0.1', port
        )
        place = '127.0.0.1:%d' % port
        directory = fakes.Directory(
            interfaces.Upstream('u1', 'portal', place, 'h1', 'a', 5)
        )
        kernel = make_kernel()
        table = make_routing(portal=manifest.Service())
        evidence = inert.Evidence()
        path = request.make(
            kernel,
            directory,
            inert.Health(),
            evidence,
            inert.Admission(),
            inert.Reservations(),
            lambda: table,
        )
        await path.start()
        url = 'http://%s/portal/x' % kernel.settings.node.listen
        async with aiohttp.ClientSession() as session:
            async with session.post(url, data='hello') as answer:
                text = await answer.text()
        await path.stop()
        server.close()
        return text, answer.headers, evidence.attempts

    text, headers, attempts = asyncio.run(scenario())
    assert text == 'hello/portal/x'
    assert headers['Caraway-Outcome'] == 'complete'
    assert headers['Caraway-Code'] == 'CS-0000'
    assert [attempt.outcome for attempt in attempts] == ['good']
