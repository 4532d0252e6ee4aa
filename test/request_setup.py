"""A request path with scripted upstreams, for tests."""

import asyncio
import collections
import contextlib
import types
import typing

from carawaystair import interfaces
from carawaystair import manifest
from carawaystair import plugins
from carawaystair import request
from carawaystair import routing
from carawaystair import rows
from carawaystair import settings
from carawaystair import shutdown as shutdowns
from carawaystair import timeline
from test import fakes
from test import stubs

LISTEN = 8080


class Seen(typing.NamedTuple):
    """One request as an upstream received it."""

    line: str
    headers: dict[str, str]
    body: bytes


class Answer(typing.NamedTuple):
    """One answer as a caller received it.

    :param ended: whether it is complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    ended: bool = True

    @property
    def outcome(self) -> str:
        """Return the outcome in the answer."""
        return self.headers['caraway-outcome']

    @property
    def code(self) -> str:
        """Return the result code in the answer."""
        return self.headers['caraway-code']


async def read_head(reader) -> tuple[str, dict[str, str]]:
    """Read a first line and headers, with names in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    first, *lines = head.rstrip().split('\r\n')
    pairs = (line.split(': ', 1) for line in lines)
    return first, {name.lower(): value for name, value in pairs}


async def read_body(reader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    body = b''
    while headers.get('transfer-encoding') == 'chunked':
        size = int(await reader.readline(), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            break
    return body


def reply(body: bytes = b'ok', status: int = 200, **headers: str) -> bytes:
    """Return the bytes of an answer."""
    lines = ''.join(
        '%s: %s\r\n' % (name.replace('_', '-'), value)
        for name, value in headers.items()
    )
    head = 'HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n'
    return (head % (status, lines, len(body))).encode() + body


class Upstream:
    """An upstream that records what it ran and answers by a script.

    :param port: the port to listen on.
    :param script: ``await script(upstream, seen, writer)`` answers one
        request; by default the answer is the upstream's id.
    """

    def __init__(self, port: int, script=None) -> None:
        self.port = port
        self.script = script
        self.runs: list[Seen] = []
        self.connections = 0
        self.gone = 0
        self.server = None
        self.writers: set = set()
        # Earlier crashes; after each one the upstream has a new id.
        self.crashes = 0

    @property
    def name(self) -> str:
        """Return the id of the upstream."""
        return 'u%d' % self.port + '-%d' % self.crashes * bool(self.crashes)

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', self.port, limit=2**20
        )

    def crash(self) -> None:
        """Abort all connections and stop listening, as in a crash."""
        self.crashes += 1
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                seen = Seen(line, headers, body)
                self.runs.append(seen)
                if self.script is None:
                    writer.write(reply(self.name.encode()))
                else:
                    await self.script(self, seen, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.gone += 1
        except asyncio.CancelledError:
            # The test is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Setup:
    """A running request path.

    :param upstreams: the upstreams of the service ``portal``.
    :param service: the entry of that service in the manifest.
    :param routes: routes besides ``/portal``.
    """

    def __init__(self, upstreams, service, routes, **parts) -> None:
        self.upstreams = upstreams
        announced = [announce(upstream) for upstream in upstreams]
        self.directory = fakes.Directory(*announced)
        self.health = parts.get('health') or stubs.Health()
        self.evidence = stubs.Evidence()
        self.admission = parts.get('admission') or stubs.Admission()
        self.reservations = parts.get('reservations') or (stubs.Reservations())
        self.routing = make_routing(service, routes)
        self.behind_s = 0.0
        # How old the knowledge of the configuration is, seconds.
        self.age_s = 0.0
        text = (
            '{"host": "h1", "data_centre": "a", "region": "r", "node":'
            ' {"listen": "127.0.0.1:%d", "drain_s": %s,'
            ' "keys_max_age_s": %s}}'
            % (
                LISTEN,
                parts.get('drain_s', 30.0),
                parts.get('keys_max_age_s', 0.0),
            )
        )
        kernel = types.SimpleNamespace(
            settings=settings.parse(text).ok,
            registry=plugins.load(),
            timeline=timeline.Timeline('h1'),
            shutdown=shutdowns.Shutdown(),
        )
        self.path = request.make(
            kernel,
            self.directory,
            self.health,
            self.evidence,
            self.admission,
            self.reservations,
            lambda: self.routing,
            parts.get('quarantine') or stubs.Quarantine(),
            lambda: self.behind_s,
            lambda: self.age_s,
            lambda: parts.get('node_count', 1),
        )

    @property
    def sender(self):
        """Return the sender of the request path."""
        return self.path.sender

    @property
    def runs(self) -> list[Seen]:
        """Return the requests that all upstreams ran."""
        return [seen for upstream in self.upstreams for seen in upstream.runs]

    def outcomes(self) -> dict[str, int]:
        """Return the number of attempts by reported outcome."""
        return dict(
            collections.Counter(a.outcome for a in self.evidence.attempts)
        )

    async def ask(
        self, path: str = '/portal/x', method: str = 'GET', **options
    ) -> Answer:
        """Send a request on a connection of its own, see :func:`ask`."""
        reader, writer = await connect()
        try:
            return await ask(reader, writer, path, method, **options)
        finally:
            writer.close()


def announce(upstream: Upstream, **changes) -> interfaces.Upstream:
    """Return the announcement of an upstream."""
    return interfaces.Upstream(
        upstream.name,
        'portal',
        '127.0.0.1:%d' % upstream.port,
        'h-' + upstream.name,
        'a',
        5,
    )._replace(**changes)


def make_routing(
    service, routes=(), drains=manifest.Drains()
) -> routing.Routing:
    """Return a configuration."""
    document = manifest.Manifest(
        1,
        'test',
        {'r': manifest.Place(('a', 'b'))},
        {'portal': service},
        (manifest.Route('/portal', 'portal'), *routes),
        {'acme': manifest.Customer()},
        drains,
    )
    return routing.Routing(rows.Version(1, 1), rows.from_manifest(document))


@contextlib.asynccontextmanager
async def running(*upstreams, service=None, routes=(), **parts):
    """Run a request path with some upstreams."""
    for upstream in upstreams:
        await upstream.start()
    setup = Setup(upstreams, service or manifest.Service(), routes, **parts)
    await setup.path.start()
    try:
        yield setup
    finally:
        await setup.path.stop()


def connect():
    """Connect to the request path."""
    return asyncio.open_connection('127.0.0.1', LISTEN, limit=2**20)


async def ask(
    reader,
    writer,
    path: str = '/portal/x',
    method: str = 'GET',
    body: bytes | None = None,
    **headers: str,
) -> Answer:
    """Send a request and read its answer."""
    lines = ''.join(
        '%s: %s\r\n' % (name.replace('_', '-'), value)
        for name, value in headers.items()
    )
    if body is not None:
        lines += 'Content-Length: %d\r\n' % len(body)
    head = '%s %s HTTP/1.1\r\nHost: h\r\n%s\r\n' % (method, path, lines)
    writer.write(head.encode() + (body or b''))
    return await read_answer(reader, method)


async def read_answer(reader, method: str = 'GET') -> Answer:
    """Read an answer, or the part that arrives before the connection ends."""
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    if method == 'HEAD' or status in (204, 304):
        return Answer(status, headers, b'')
    try:
        body = await read_body(reader, headers)
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, error.partial, False)
    except ConnectionError:
        return Answer(status, headers, b'', False)
    return Answer(status, headers, body)
