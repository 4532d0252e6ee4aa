"""The service that answers callers."""

import asyncio
import itertools
import random
import socket
import typing

import aiohttp
from aiohttp import web
import mode
import msgspec

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.request import headers
from carawaystair import rows

NON_IDEMPOTENT = frozenset(('POST', 'PATCH'))


class Parts(typing.NamedTuple):
    """The other parts of the node that the path works with."""

    directory: interfaces.Directory
    health: interfaces.Health
    evidence: interfaces.Evidence
    admission: interfaces.Admission
    reservations: interfaces.Reservations
    routing: typing.Callable


class Requests(mode.Service):
    """Answers callers.

    :param kernel: the process.
    :param parts: the other parts of the node.
    """

    def __init__(self, kernel, parts: Parts, **kwargs) -> None:
        super().__init__(**kwargs)
        self.kernel = kernel
        self.parts = parts
        self.random = random.Random(kernel.settings.host)
        self.numbers = itertools.count(1)
        self.server = None
        self.session = None

    async def on_start(self) -> None:
        """Bind the listener."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
        self.session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )
        handler = web.Server(self.handle, access_log=None)
        ip, _colon, port = self.kernel.settings.node.listen.rpartition(':')
        self.server = await asyncio.get_running_loop().create_server(
            handler, ip, int(port), family=socket.AF_UNSPEC
        )

    async def on_stop(self) -> None:
        """Stop accepting."""
        self.server.close()
        await self.session.close()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request."""
        number = next(self.numbers)
        name = '%s-%x' % (self.kernel.settings.host, number)
        routing = self.parts.routing()
        if routing is None or routing.version == rows.NONE:
            return refuse(codes.NOT_READY, name)
        match = routing.match(request.host, request.raw_path)
        if match is None:
            return refuse(codes.NO_ROUTE, name)
        body = await request.read()
        return await self.forward(request, match, body, name)

    async def forward(self, request, match, body, name) -> web.Response:
        """Send a request to one upstream."""
        upstream = self.choose(match.route.service)
        if upstream is None:
            return refuse(codes.NO_UPSTREAM, name)
        sent = headers.travelling(request.headers)
        sent.append((headers.REQUEST_ID, name))
        url = 'http://%s%s' % (upstream.address, request.raw_path)
        started = clock.now()
        timeout = match.service.timeout_ms / 1000
        try:
            async with self.session.request(
                request.method,
                url,
                headers=sent,
                data=body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(timeout),
            ) as answer:
                data = await answer.read()
        except aiohttp.ClientConnectorError:
            self.note(match, upstream, interfaces.REFUSED, started)
            return refuse(codes.CONNECT_FAILED, name)
        except asyncio.TimeoutError:
            self.note(match, upstream, interfaces.TIMEOUT, started)
            return refuse(codes.ANSWER_LATE, name, codes.UNKNOWN)
        except (aiohttp.ClientError, OSError):
            self.note(match, upstream, interfaces.BROKEN, started)
            return refuse(codes.ANSWER_LOST, name, codes.UNKNOWN)
        outcome = interfaces.GOOD if answer.status < 500 else interfaces.ERROR
        self.note(match, upstream, outcome, started)
        return whole(answer, data, name)

    def choose(self, service: str) -> interfaces.Upstream | None:
        """Choose an upstream at random."""
        ejected = self.parts.health.ejected(service)
        found = [
            upstream
            for upstream in self.parts.directory.upstreams(service)
            if upstream.state == interfaces.UP and upstream.id not in ejected
        ]
        return self.random.choice(found) if found else None

    def note(self, match, upstream, outcome: str, started: float) -> None:
        """Record what an attempt showed."""
        self.parts.evidence.record(
            interfaces.Attempt(
                match.route.service,
                upstream.id,
                '',
                outcome,
                clock.now() - started,
                started,
                match.key,
            )
        )


def whole(answer, data: bytes, name: str) -> web.Response:
    """Return an upstream's answer for the caller."""
    response = web.Response(
        status=answer.status, reason=answer.reason, body=data
    )
    response.headers.extend(
        (key, value)
        for key, value in headers.travelling(answer.headers)
        if key.lower() != 'content-length'
    )
    response.headers[headers.OUTCOME] = codes.COMPLETE
    response.headers[headers.CODE] = codes.OK.label
    response.headers[headers.REQUEST_ID] = name
    return response


def refuse(
    code: codes.Code, name: str, outcome: str = codes.NOT_RUN
) -> web.Response:
    """Return the answer for a request that did not complete."""
    body = msgspec.json.encode(
        {'code': code.label, 'name': code.name, 'text': code.text}
    )
    response = web.Response(
        status=code.status, body=body, content_type='application/json'
    )
    response.headers[headers.OUTCOME] = outcome
    response.headers[headers.CODE] = code.label
    response.headers[headers.REQUEST_ID] = name
    return response
