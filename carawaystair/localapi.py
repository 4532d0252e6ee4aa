"""The local HTTP API of a node: announcements, status, time line, metrics."""

import typing

from aiohttp import web
import mode
import msgspec

from carawaystair import metrics
from carawaystair import report as reports
from carawaystair import shape

MAX_BODY = 64 * 1024
MAX_EVENTS = 5000


class LocalApi(mode.Service):
    """Serves the routes that the parts of a process bring.

    :param address: ``ip:port`` to listen on.
    :param routes: the routes of all parts.
    :param max_body: bytes of a request's body at most.
    """

    def __init__(
        self,
        address: str,
        routes: typing.Iterable[web.RouteDef],
        max_body: int = MAX_BODY,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.address = address
        self.app = web.Application(client_max_size=max_body)
        self.app.add_routes(routes)
        self.runner = web.AppRunner(self.app, access_log=None)

    async def on_start(self) -> None:
        """Listen."""
        await self.runner.setup()
        ip, port = self.address.rsplit(':', 1)
        site = web.TCPSite(self.runner, ip, int(port), shutdown_timeout=1.0)
        await site.start()

    async def on_stop(self) -> None:
        """Stop listening."""
        await self.runner.cleanup()


def json_response(value, status: int = 200) -> web.Response:
    """Return an answer with ``value`` as JSON."""
    return web.Response(
        body=msgspec.json.encode(value),
        content_type='application/json',
        status=status,
    )


def metrics_route() -> web.RouteDef:
    """Return the route of the metrics of this process."""

    async def _metrics(_request: web.Request) -> web.Response:
        return web.Response(
            text=metrics.text(), content_type='text/plain', charset='utf-8'
        )

    return web.get('/metrics', _metrics)


def observer_routes(
    kernel, report: typing.Callable[[], reports.Report]
) -> list[web.RouteDef]:
    """Return the routes that show what a process does.

    :param kernel: the kernel of the process.
    :param report: returns what the node says of itself.
    """

    async def _status(_request: web.Request) -> web.Response:
        return json_response(shape.plain(report()))

    async def _page(_request: web.Request) -> web.Response:
        newest = list(kernel.timeline.ring)[-reports.EVENTS :]
        return web.Response(text=reports.page(report(), newest))

    async def _timeline(request: web.Request) -> web.Response:
        since = _number(request, 'since', 0)
        limit = min(_number(request, 'limit', 1000), MAX_EVENTS)
        events = kernel.timeline.since(since, limit)
        return json_response([event._asdict() for event in events])

    return [
        web.get('/', _page),
        web.get('/v1/status', _status),
        web.get('/v1/timeline', _timeline),
        metrics_route(),
    ]


def _number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, '')
    return int(text) if text.isascii() and text.isdigit() else default
