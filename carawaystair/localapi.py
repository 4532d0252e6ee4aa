"""The local HTTP API of a node: announcements, status, time line, metrics."""

import typing

from aiohttp import web
import mode
import msgspec

from carawaystair import guarded_listener
from carawaystair import metrics
from carawaystair import report as reports
from carawaystair import shape

MAX_BODY = 64 * 1024
MAX_CONNECTIONS = 64
MAX_EVENTS = 5000
# Requests in flight get so long to finish when the listener stops, seconds.
SHUTDOWN_S = 1.0


class LocalApi(mode.Service):
    """Serves the routes that the parts of a process bring.

    :param address: ``ip:port`` to listen on.
    :param routes: the routes of all parts.
    :param max_body: bytes of a request's body at most.
    :param max_connections: most open connections.
    """

    def __init__(
        self,
        address: str,
        routes: typing.Iterable[web.RouteDef],
        max_body: int = MAX_BODY,
        max_connections: int = MAX_CONNECTIONS,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.app = web.Application(
            client_max_size=max_body,
            middlewares=[guarded_listener.note_requests],
        )
        self.app.add_routes(routes)
        self.runner = web.AppRunner(
            self.app, access_log=None, shutdown_timeout=SHUTDOWN_S
        )
        self.listener = guarded_listener.GuardedListener(
            address, guarded_listener.Bounds(max_connections, max_body)
        )

    async def on_start(self) -> None:
        """Listen."""
        await self.runner.setup()
        await self.listener.start(self.runner)

    async def on_stop(self) -> None:
        """Stop listening."""
        self.listener.close()
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

    if guarded_listener.COUNTS.samples not in metrics.COLLECTORS:
        metrics.collect(guarded_listener.COUNTS.samples)
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
