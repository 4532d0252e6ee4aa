"""Takes callers' connections; whatever is wrong with one gets a number."""

import asyncio

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import web
from aiohttp import web_protocol

from carawaystair import codes
from carawaystair import logs
from carawaystair.request import exchange as exchanges

LOG = logs.get('request')

# Bounds of a request head.  Within them the memory of a connection is
# bounded, however slowly or oddly a caller sends.
MAX_LINE_BYTES = 8 * 1024
MAX_HEADERS = 100
READ_BYTES = 64 * 1024
# A connection on which no whole request head has come for so long is closed,
# be it idle or one of a slow caller; seconds.
KEEPALIVE_S = 75.0
# What is left of a body that nobody wants is read for so long, so that the
# caller gets to read the answer; seconds.
LINGER_S = 2.0
MAX_CONNECTIONS = 20_000
BACKLOG = 1024


class Protocol(web.RequestHandler):
    """One caller's connection."""

    def data_received(self, data: bytes) -> None:
        """Take bytes; tell a body that no more of it will come.

        After a malformed chunk aiohttp queues the error as the connection's
        next request, and whoever reads the body waits for ever.  It would
        show as requests that end at their deadline only.
        """
        super().data_received(data)
        queue = self._messages
        if queue and not isinstance(queue[-1][0], http.RawRequestMessage):
            payloads = [payload for _message, payload in queue]
            if self._current_request is not None:
                payloads.append(self._current_request.content)
            error = web_protocol.RequestPayloadError('malformed')
            for payload in payloads:
                if not payload.is_eof():
                    payload.set_exception(error)

    def log_exception(self, *args, **kwargs) -> None:
        """Log no callers' faults as errors; they have their own codes."""
        LOG.debug('A connection ended early.', why=str(args))

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> exchanges.Written:
        """Answer what could not be read as a request."""
        code = code_of(exc)
        exchange = exchanges.Exchange(request, '-')
        exchange.keep_alive = False
        exchange.refuse(code, codes.NOT_RUN, (message or '').split('\n')[0])
        return exchanges.LAST


class Server(web.Server):
    """Makes the connections of one listener.

    :param handler: answers requests.
    """

    def __init__(self, handler) -> None:
        super().__init__(handler, handler_cancellation=True)

    def __call__(self) -> Protocol:
        """Return the protocol of a new connection."""
        return Protocol(
            self,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=LINGER_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_BYTES,
            auto_decompress=False,
            access_log=None,
        )

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Take a connection, or refuse one too many."""
        super().connection_made(handler, transport)
        if len(self._connections) > MAX_CONNECTIONS:
            transport.write(FULL)
            transport.close()


def code_of(error: BaseException | None) -> codes.Code:
    """Return the code of what is wrong with a request."""
    if isinstance(error, http_exceptions.LineTooLong):
        return codes.HEAD_TOO_LARGE
    text = str(getattr(error, 'message', error))
    if 'Too many headers' in text:
        return codes.HEAD_TOO_LARGE
    return codes.REQUEST_MALFORMED


def _full() -> bytes:
    code = codes.TOO_MANY_CONNECTIONS
    return (
        'HTTP/1.1 503 %s\r\nCaraway-Outcome: %s\r\nCaraway-Code: %s\r\n'
        'Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'
        % (exchanges.phrase(503), codes.NOT_RUN, code.label)
    ).encode()


FULL = _full()


async def listen(server: Server, address: str) -> asyncio.Server:
    """Listen for callers.

    :param address: ``ip:port``.
    """
    ip, _colon, port = address.rpartition(':')
    return await asyncio.get_running_loop().create_server(
        server, ip.strip('[]'), int(port), backlog=BACKLOG
    )
