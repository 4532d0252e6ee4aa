"""Processor time of a request through the path, against a naive relay.

Caller, relay and upstream run in one process, so that all processor time is
counted; what a direct call costs is taken off.  Each round runs the three
ways one after another, so that noise of the machine meets all of them.
"""

import asyncio
import random
import statistics
import time
import types
import typing

from aiohttp import web

from bench import figures
from bench import naive
from carawaystair import interfaces
from carawaystair import manifest
from carawaystair import plugins
from carawaystair import request
from carawaystair import routing as routings
from carawaystair import rows
from carawaystair import settings
from carawaystair import timeline
from test import stubs

TITLE = 'Processor time of the request path, against a naive relay.'
CONCURRENCY = 4
BODY = b'x' * 512
UPSTREAMS = 8
FIRST_PORT = 19_300
ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Date: Thu, 01 Jan 1970 00:00:00 GMT\r\nServer: x\r\n'
    b'Content-Length: %d\r\n\r\n' % len(BODY)
) + BODY
HEADERS = (
    'Host: portal.example\r\nUser-Agent: bench\r\nAccept: */*\r\n'
    'Accept-Encoding: gzip\r\nCaraway-Customer: acme\r\n'
)


class Upstream(asyncio.Protocol):
    """Answers every read with the same answer."""

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer one request."""
        self.transport.write(ANSWER)


class Caller(asyncio.Protocol):
    """Sends requests one after another on one connection."""

    def __init__(self, request: bytes, count: int, done) -> None:
        self.request = request
        self.left = count
        self.done = done
        self.times: list[float] = []
        self.buffer = b''

    def connection_made(self, transport) -> None:
        """Send the first request."""
        self.transport = transport
        self.send()

    def send(self) -> None:
        """Send a request."""
        self.started = time.perf_counter()
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Take an answer, then send the next request."""
        self.buffer += data
        if not self.buffer.endswith(BODY):
            return
        if not self.buffer.startswith(b'HTTP/1.1 200'):
            raise ValueError(self.buffer)
        self.buffer = b''
        self.times.append(time.perf_counter() - self.started)
        self.left -= 1
        if self.left:
            self.send()
        else:
            self.transport.close()
            self.done.set_result(self.times)


class Way(typing.NamedTuple):
    """What one way of asking cost.

    :param cpu_us: processor time of a request, us.
    :param times: seconds that each request took.
    """

    cpu_us: float
    times: list[float]


async def drive(port: int, count: int, method: str = 'GET') -> Way:
    """Send requests to a port and return what they cost."""
    loop = asyncio.get_running_loop()
    data = ('%s /portal/x?y=1 HTTP/1.1\r\n%s' % (method, HEADERS)).encode()
    body = b'b' * 200 if method == 'POST' else b''
    if body:
        data += b'Content-Length: %d\r\n' % len(body)
    data += b'\r\n' + body
    futures = [loop.create_future() for _n in range(CONCURRENCY)]
    before = time.process_time()
    for future in futures:
        await loop.create_connection(
            lambda done=future: Caller(data, count // CONCURRENCY, done),
            '127.0.0.1',
            port,
        )
    times = [taken for future in futures for taken in await future]
    return Way((time.process_time() - before) / len(times) * 1e6, times)


def make_path(port: int, addresses: list[str]):
    """Return a request path before upstreams."""
    text = (
        '{"host": "h1", "data_centre": "a", "region": "r", "node":'
        ' {"listen": "127.0.0.1:%d", "drain_s": 0.0}}' % port
    )
    kernel = types.SimpleNamespace(
        settings=settings.parse(text).ok,
        registry=plugins.load(),
        timeline=timeline.Timeline('h1'),
    )
    document = manifest.Manifest(
        manifest.FORMAT,
        'bench',
        {'r': manifest.Place(('a',))},
        {'portal': manifest.Service()},
        (manifest.Route('/portal', 'portal'),),
        {'acme': manifest.Customer()},
    )
    routing = routings.Routing(
        rows.Version(1, 1), rows.from_manifest(document)
    )
    upstreams = [
        interfaces.Upstream(address, 'portal', address, 'h', 'a', 5)
        for address in addresses
    ]
    directory = Directory(tuple(upstreams))
    return request.make(
        kernel,
        directory,
        stubs.Health(),
        Evidence(),
        Admission(),
        stubs.Reservations(),
        lambda: routing,
        stubs.Quarantine(),
    )


class Directory(typing.NamedTuple):
    """Upstreams that never change."""

    known: tuple[interfaces.Upstream, ...]

    def upstreams(self, service: str) -> tuple[interfaces.Upstream, ...]:
        """Return them all."""
        return self.known

    def subscribe(self, callback) -> None:
        """Never call back."""


class Evidence(stubs.Evidence):
    """Evidence that is forgotten."""

    def record(self, attempt: interfaces.Attempt) -> None:
        """Forget."""


class Permit:
    """Leave to run, which is not counted."""

    def release(self, outcome: str, latency_s: float) -> None:
        """Do nothing."""


PERMIT = Permit()


class Admission(stubs.Admission):
    """Admission that counts nothing."""

    def try_admit(
        self, service: str, customer: str, deadline: float, bulk: bool
    ) -> Permit:
        """Admit."""
        return PERMIT


async def measure(rounds: int, count: int) -> dict[str, list[Way]]:
    """Measure the ways, in turn."""
    loop = asyncio.get_running_loop()
    ports = range(FIRST_PORT, FIRST_PORT + UPSTREAMS)
    servers = [
        await loop.create_server(Upstream, '127.0.0.1', port) for port in ports
    ]
    addresses = ['127.0.0.1:%d' % port for port in ports]
    client = naive.session()
    relay_port, path_port = FIRST_PORT + 20, FIRST_PORT + 21
    servers.append(
        await loop.create_server(
            web.Server(naive.relay(client, addresses), access_log=None),
            '127.0.0.1',
            relay_port,
        )
    )
    path = make_path(path_port, addresses)
    await path.start()
    ways = {
        'direct': (FIRST_PORT, 'GET'),
        'naive': (relay_port, 'GET'),
        'path': (path_port, 'GET'),
        'naive_post': (relay_port, 'POST'),
        'path_post': (path_port, 'POST'),
    }
    found: dict[str, list[Way]] = {name: [] for name in ways}
    for port, method in ways.values():
        await drive(port, CONCURRENCY * 50, method)
    for _round in range(rounds):
        for name, (port, method) in ways.items():
            found[name].append(await drive(port, count, method))
    await path.stop()
    await client.close()
    for server in servers:
        server.close()
    return found


def run(seed: int, quick: bool) -> list:
    """Compare the processor time of a request."""
    random.seed(seed)
    rounds, count = (3, 400) if quick else (12, 2000)
    found = asyncio.run(measure(rounds, count))
    direct = statistics.median(way.cpu_us for way in found['direct'])
    added = {
        name: [way.cpu_us - direct for way in ways]
        for name, ways in found.items()
        if name != 'direct'
    }
    ratios = {
        name: [
            ours / theirs
            for ours, theirs in zip(
                added['path' + name], added['naive' + name], strict=True
            )
        ]
        for name in ('', '_post')
    }
    return [
        *(
            figures.bootstrap('request.cpu.%s' % name, 'us', values)
            for name, values in added.items()
        ),
        figures.bootstrap('request.cpu.ratio', 'ratio', ratios['']),
        figures.bootstrap('request.cpu.ratio_post', 'ratio', ratios['_post']),
    ]
