"""Reads and checks what a caller sent, before anything is done for it."""

import re
import typing


from carawaystair import codes
from carawaystair.load import crash_suspects
from carawaystair.load import retry_after
from carawaystair import manifest
from carawaystair.request import call as calls
from carawaystair.request import headers
from carawaystair.request import http_server
from carawaystair import routing as routings

NON_IDEMPOTENT = frozenset(('POST', 'PATCH'))
# A tunnel would hide what is asked for; TRACE would show a caller what
# other parties added to its request.
REFUSED_METHODS = frozenset(('CONNECT', 'TRACE'))
MAX_DEADLINE_MS = 3_600_000
MAX_CUSTOMER_LENGTH = 128
MAX_KEY_LENGTH = 255
MAX_ID_LENGTH = 64
CUSTOMER_PATTERN = re.compile(r'[!-~]{1,%d}' % MAX_CUSTOMER_LENGTH)
KEY_PATTERN = re.compile(r'[ -~]{1,%d}' % MAX_KEY_LENGTH)
ID_PATTERN = re.compile(r'[\w.:-]{1,%d}' % MAX_ID_LENGTH, re.ASCII)
DEADLINE_PATTERN = re.compile(r'[0-9]{1,7}', re.ASCII)
# A dot segment, plain or percent-encoded (RFC 3986 5.2.4), or a backslash,
# which some upstreams take for a slash.
DOT_SEGMENT = re.compile(r'[/\\](\.|%2e){1,2}([/\\]|%2f|%5c|$)', re.IGNORECASE)


class Refused(Exception):
    """The request is refused before it was run.

    :param code: why.
    :param detail: the circumstances, for a person.
    :param retry_after_s: when to try again, where the code says to.
    """

    def __init__(
        self, code: codes.Code, detail: str = '', retry_after_s: float = 1.0
    ) -> None:
        super().__init__(code, detail)
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s


def crash_refusal(standing: crash_suspects.Standing) -> Refused:
    """Return the refusal of a request under which upstreams crashed.

    :param standing: what this node knows of it; a gateway may know more.
    """
    detail = '%d upstreams crashed under it, the last %.1f s ago: %s' % (
        standing.crashes,
        standing.age_s,
        ' '.join(standing.incarnations),
    )
    after_s = max(standing.refused_s, retry_after.MAX_S)
    return Refused(codes.CRASHES_UPSTREAMS, detail, after_s)


class RequestTarget(typing.NamedTuple):
    """Where a request goes.

    :param host: the host that it names, without a port, in lower case.
    :param path: path and query.
    :param authority: host and port when the request line names them.
    """

    host: str
    path: str
    authority: str = ''


def read_target(request: http_server.Request) -> RequestTarget:
    """Return where a request goes; raises :class:`Refused`."""
    if request.method in REFUSED_METHODS:
        raise Refused(codes.METHOD_REFUSED, request.method)
    path = request.raw_path
    host = request.headers.get('Host', '')
    authority = ''
    if path[:1] != '/':
        # The absolute form, whose host goes before Host (RFC 9112 3.2.2).
        _scheme, _colon, rest = path.partition('://')
        authority, slash, path = rest.partition('/')
        host, path = authority, slash + path
        if not slash or not authority:
            raise Refused(codes.NO_ROUTE, 'no path')
    if '/.' in path or '%' in path or '\\' in path:
        if DOT_SEGMENT.search(path.partition('?')[0]):
            raise Refused(codes.PATH_REFUSED)
    if not path.isascii() or not host.isascii():
        raise Refused(codes.REQUEST_MALFORMED, 'bytes beyond ASCII')
    if not host.endswith(']'):
        host = host.rpartition(':')[0] or host
    return RequestTarget(host.lower(), path.partition('#')[0], authority)


def match_route(
    routing: routings.Routing, place: RequestTarget
) -> routings.Match | None:
    """Return the route of a request, if there is one."""
    return routing.match(place.host, place.path.partition('?')[0])


def read_call(
    request: http_server.Request,
    place: RequestTarget,
    match: routings.Match,
    known: typing.Callable[[str], typing.Any],
    name: str,
    host: str,
    now: float,
    max_duration_s: float,
) -> calls.Call:
    """Read the head of a request; raises :class:`Refused`.

    :param known: returns what the manifest says of a customer, or None.
    :param name: the request's own id.
    :param host: the host of this node.
    :param max_duration_s: time that a request may have at most.
    """
    given = request.headers
    method = request.method
    if 'Via' in given and _looped(given.getall('Via'), host):
        raise Refused(codes.LOOP)
    customer = _customer(given)
    idempotent = match.route.idempotent
    if idempotent is None:
        idempotent = method not in NON_IDEMPOTENT
    # A customer that the manifest does not name shares a class with others
    # like it, so that made-up names gain nothing.
    charged = customer if customer and known(customer) else manifest.OTHER
    return calls.Call(
        _request_id(given, name),
        match,
        customer,
        charged,
        now
        + min(read_timeout_ms(given, match.service) / 1000, max_duration_s),
        idempotent,
        '' if idempotent else _key(given),
        method,
        place.path,
        upstream_head(request, place, customer, host),
    )


def upstream_head(
    request: http_server.Request,
    place: RequestTarget,
    customer: str,
    host: str,
) -> bytes:
    """Return the request line and headers that go upstream."""
    raw = request.raw_headers
    if place.authority:
        raw = [pair for pair in raw if pair[0].lower() != b'host']
    first = headers.request_head(
        request.method, place.path, request.headers, raw
    )
    last = 'Via: 1.1 %s\r\n%s%s' % (
        host,
        'Caraway-Customer: %s\r\n' % customer if customer else '',
        'Host: %s\r\n' % place.authority if place.authority else '',
    )
    # Via names the hops in their order, so ours comes last.
    return first + last.encode()


def _single(given, name: str, code: codes.Code) -> str | None:
    """Return a header that must not be repeated."""
    value = given.get(name)
    if value is not None and len(given.getall(name)) > 1:
        raise Refused(code, 'repeated')
    return value


def _customer(given) -> str:
    value = _single(given, headers.CUSTOMER, codes.CUSTOMER_INVALID)
    if value is None:
        return ''
    if not CUSTOMER_PATTERN.fullmatch(value):
        raise Refused(codes.CUSTOMER_INVALID)
    return value


def _key(given) -> str:
    value = _single(given, headers.IDEMPOTENCY_KEY, codes.KEY_INVALID)
    if value is None:
        return ''
    if not KEY_PATTERN.fullmatch(value):
        raise Refused(codes.KEY_INVALID)
    return value


def read_timeout_ms(
    given, service: manifest.Service, name: str = headers.DEADLINE
) -> int:
    """Return the time that a request has, in ms.

    :param name: the header that says so.
    """
    value = _single(given, name, codes.DEADLINE_INVALID)
    if value is None:
        return service.timeout_ms
    if not DEADLINE_PATTERN.fullmatch(value) or int(value) > MAX_DEADLINE_MS:
        raise Refused(codes.DEADLINE_INVALID)
    if int(value) == 0:
        raise Refused(codes.DEADLINE_EXPIRED)
    return int(value)


def _request_id(given, name: str) -> str:
    """Return the caller's id with our own behind it, or our own.

    Ours stays part of it, because a caller may use its id twice.
    """
    value = given.get(headers.REQUEST_ID)
    if value is None or not ID_PATTERN.fullmatch(value):
        return name
    return '%s.%s' % (value, name)


def _looped(values: typing.Iterable[str], host: str) -> bool:
    """Tell whether ``Via`` (RFC 9110 7.6.3) names this node."""
    hops = (hop.split() for hop in ','.join(values).split(','))
    return any(len(hop) > 1 and hop[1] == host for hop in hops)
