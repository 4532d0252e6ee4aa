"""Reading and validation of request heads."""

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
# A CONNECT tunnel would hide the requests in it; TRACE would show a caller
# the headers that were added to its request.
REFUSED_METHODS = frozenset(('CONNECT', 'TRACE'))
AUTHORIZATION = b'authorization'
MAX_DEADLINE_MS = 3_600_000
MAX_CUSTOMER_LENGTH = 128
MAX_KEY_LENGTH = 255
MAX_ID_LENGTH = 64
CUSTOMER_PATTERN = re.compile(r'[!-~]{1,%d}' % MAX_CUSTOMER_LENGTH)
KEY_PATTERN = re.compile(r'[ -~]{1,%d}' % MAX_KEY_LENGTH)
ID_PATTERN = re.compile(r'[\w.:-]{1,%d}' % MAX_ID_LENGTH, re.ASCII)
DEADLINE_PATTERN = re.compile(r'[0-9]{1,7}', re.ASCII)
# A dot segment, plain or percent-encoded (RFC 3986 5.2.4), between slashes or
# backslashes, which some upstreams treat as slashes.
DOT_SEGMENT = re.compile(r'[/\\](\.|%2e){1,2}([/\\]|%2f|%5c|$)', re.IGNORECASE)


class Refused(Exception):
    """Raised when a request is refused before it was run.

    :param code: result code for the caller.
    :param detail: human-readable details.
    :param retry_after_s: seconds until a retry makes sense, sent with codes
        that invite one.
    """

    def __init__(
        self, code: codes.Code, detail: str = '', retry_after_s: float = 1.0
    ) -> None:
        super().__init__(code, detail)
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s


def crash_refusal(standing: crash_suspects.Standing) -> Refused:
    """Return the refusal of a request that crashes upstreams.

    :param standing: its standing at this node; a gateway may know of more
        crashes.
    """
    detail = '%d upstreams crashed under it, the last %.1f s ago: %s' % (
        standing.crashes,
        standing.age_s,
        ' '.join(standing.incarnations),
    )
    after_s = max(standing.refused_s, retry_after.MAX_S)
    return Refused(codes.CRASHES_UPSTREAMS, detail, after_s)


class RequestTarget(typing.NamedTuple):
    """The target of a request (RFC 9112 3.2).

    :param host: the host, without a port, in lower case.
    :param path: path and query.
    :param authority: host and port if the request line contains them.
    """

    host: str
    path: str
    authority: str = ''


def read_target(request: http_server.Request) -> RequestTarget:
    """Return the target of a request.

    :raises Refused: when it is malformed or not allowed.
    """
    if request.method in REFUSED_METHODS:
        raise Refused(codes.METHOD_REFUSED, request.method)
    path = request.raw_path
    host = request.headers.get('Host', '')
    authority = ''
    if path[:1] != '/':
        # In the absolute form, the host overrides Host (RFC 9112 3.2.2).
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
    routing: routings.Routing, target: RequestTarget
) -> routings.Match | None:
    """Return the route of a request, None if no route matches."""
    return routing.match(target.host, target.path.partition('?')[0])


def read_call(
    request: http_server.Request,
    target: RequestTarget,
    match: routings.Match,
    get_customer: typing.Callable[[str], typing.Any],
    own_id: str,
    host: str,
    now: float,
    max_duration_s: float,
    keyed_customer: str | None = None,
) -> calls.Call:
    """Read the head of a request.

    :param get_customer: returns a customer's entry in the manifest, or None.
    :param own_id: the id that this node gave the request.
    :param host: the host of this node.
    :param max_duration_s: upper bound of the time to its deadline, seconds.
    :param keyed_customer: the customer whose key it brought, '' for none;
        None where keys are not required, so that it names its customer.
    :raises Refused: when a header is invalid or the request loops.
    """
    fields = request.headers
    method = request.method
    if 'Via' in fields and _looped(fields.getall('Via'), host):
        raise Refused(codes.LOOP)
    keyed = keyed_customer is not None
    customer = keyed_customer if keyed else _customer(fields)
    idempotent = match.route.idempotent
    if idempotent is None:
        idempotent = method not in NON_IDEMPOTENT
    # All customers that the manifest doesn't name share one class, so that
    # invented names bring no advantage.
    charged = (
        customer if customer and get_customer(customer) else manifest.OTHER
    )
    return calls.Call(
        _request_id(fields, own_id),
        match,
        customer,
        charged,
        now
        + min(read_timeout_ms(fields, match.service) / 1000, max_duration_s),
        idempotent,
        '' if idempotent else _key(fields),
        method,
        target.path,
        upstream_head(request, target, customer, host, keyed),
    )


def upstream_head(
    request: http_server.Request,
    target: RequestTarget,
    customer: str,
    host: str,
    keyed: bool = False,
) -> bytes:
    """Return the request line and headers to send upstream.

    :param keyed: whether its key is left out.
    """
    raw = request.raw_headers
    if keyed:
        raw = [pair for pair in raw if pair[0].lower() != AUTHORIZATION]
    if target.authority:
        raw = [pair for pair in raw if pair[0].lower() != b'host']
    first = headers.request_head(
        request.method, target.path, request.headers, raw
    )
    last = 'Via: 1.1 %s\r\n%s%s' % (
        host,
        'Caraway-Customer: %s\r\n' % customer if customer else '',
        'Host: %s\r\n' % target.authority if target.authority else '',
    )
    # Via lists the hops in order, so this node's comes last.
    return first + last.encode()


def _single(fields, name: str, code: codes.Code) -> str | None:
    """Return the value of a header that must not be repeated."""
    value = fields.get(name)
    if value is not None and len(fields.getall(name)) > 1:
        raise Refused(code, 'repeated')
    return value


def _customer(fields) -> str:
    value = _single(fields, headers.CUSTOMER, codes.CUSTOMER_INVALID)
    if value is None:
        return ''
    if not CUSTOMER_PATTERN.fullmatch(value):
        raise Refused(codes.CUSTOMER_INVALID)
    return value


def _key(fields) -> str:
    value = _single(fields, headers.IDEMPOTENCY_KEY, codes.KEY_INVALID)
    if value is None:
        return ''
    if not KEY_PATTERN.fullmatch(value):
        raise Refused(codes.KEY_INVALID)
    return value


def read_timeout_ms(
    fields, service: manifest.Service, name: str = headers.DEADLINE
) -> int:
    """Return the time until the deadline of a request, in ms.

    :param name: the header that carries it.
    """
    value = _single(fields, name, codes.DEADLINE_INVALID)
    if value is None:
        return service.timeout_ms
    if not DEADLINE_PATTERN.fullmatch(value) or int(value) > MAX_DEADLINE_MS:
        raise Refused(codes.DEADLINE_INVALID)
    if int(value) == 0:
        raise Refused(codes.DEADLINE_EXPIRED)
    return int(value)


def _request_id(fields, own_id: str) -> str:
    """Return the caller's id followed by this node's, or only the latter.

    This node's id is always part of it, because a caller may use its own id
    more than once.
    """
    value = fields.get(headers.REQUEST_ID)
    if value is None or not ID_PATTERN.fullmatch(value):
        return own_id
    return '%s.%s' % (value, own_id)


def _looped(values: typing.Iterable[str], host: str) -> bool:
    """Return whether ``Via`` (RFC 9110 7.6.3) contains this node."""
    hops = (hop.split() for hop in ','.join(values).split(','))
    return any(len(hop) > 1 and hop[1] == host for hop in hops)
