"""The manifest: the pipeline's single statement of intent.

A manifest is one JSON document.  Inside the fleet it is a table of rows (see
``rows``), so that a change costs what it changes and not what stays.
"""

import collections
import itertools
import typing

import expression
import msgspec

from carawaystair import codes
from carawaystair import shape

FORMAT = 1
MAX_BYTES = 64 * 1024 * 1024
MAX_DEPTH = 16
MAX_NAME = 128
# The class that takes customers whom the manifest does not name.
OTHER = 'other'

FAST = 'fast'
CONSERVATIVE = 'conservative'

SHORT = 'short'
BULK = 'bulk'


class Place(typing.NamedTuple):
    """A region.

    :param data_centres: names of its data centres.
    """

    data_centres: tuple[str, ...]


class Service(typing.NamedTuple):
    """What the fleet is to do for one service.

    :param team: the team that may change it.
    :param floor_percent: ejections leave at least this share of the slots
        of the service's known upstreams.
    :param floor_slots: and at least this many slots; the larger bound holds.
    :param detection: ``fast`` weighs detection time more, ``conservative``
        weighs false ejections more.
    :param detector: name of the detector plug-in.
    :param balancer: name of the balancer plug-in.
    :param timeout_ms: budget of a request that brings no deadline.
    :param retry_percent: retries and hedges, as a share of first attempts.
    :param queue: requests that may wait on one node.
    :param key_window_s: how long an idempotency key is remembered.
    :param max_body: bytes of a request body at most.
    """

    team: str = 'operators'
    floor_percent: int = 50
    floor_slots: int = 0
    detection: typing.Literal['fast', 'conservative'] = CONSERVATIVE
    detector: str = 'siblings'
    balancer: str = 'peak'
    timeout_ms: int = 5000
    retry_percent: int = 10
    queue: int = 256
    key_window_s: int = 3600
    max_body: int = 8 * 1024 * 1024


class Route(typing.NamedTuple):
    """Which requests go to a service.

    :param prefix: path prefix, matched at segment borders.
    :param service: name of the service.
    :param host: the Host header, or empty for any.
    :param idempotent: whether a request may be run twice; None decides by
        method: POST and PATCH may not.
    :param kind: ``short`` answers or ``bulk`` transfers.
    """

    prefix: str
    service: str
    host: str = ''
    idempotent: bool | None = None
    kind: typing.Literal['short', 'bulk'] = SHORT


class Customer(typing.NamedTuple):
    """What a customer is owed.

    :param weight: share of a busy service relative to other customers.
    :param limit: requests at once on one service over the fleet, 0 for
        none.
    """

    weight: int = 1
    limit: int = 0


class Drains(typing.NamedTuple):
    """Planned stops.

    :param hosts: hosts that get no new work.
    :param data_centres: data centres that get no new work.
    """

    hosts: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()


class Manifest(typing.NamedTuple):
    """The whole document.

    :param format: version of the format, :data:`FORMAT`.
    :param name: name of the deployment.
    :param regions: regions by name.
    :param services: services by name.
    :param routes: routes in no particular order: the longest prefix wins,
        and one with a host goes before one without.
    :param customers: customers by name.
    :param drains: planned stops.
    """

    format: int
    name: str
    regions: dict[str, Place]
    services: dict[str, Service]
    routes: tuple[Route, ...]
    customers: dict[str, Customer] = {}
    drains: Drains = Drains()


# Reading


def read(
    data: bytes,
) -> expression.Result[Manifest, tuple[codes.Code, list[shape.Mistake]]]:
    """Decode and check a manifest, whole.

    :param data: the JSON document.
    :return: the manifest, or the code and every mistake found.
    """
    if len(data) > MAX_BYTES:
        text = 'has %d bytes; %d are allowed' % (len(data), MAX_BYTES)
        return _malformed(text)
    try:
        decoded = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _malformed(str(error))
    mistakes: list[shape.Mistake] = []
    manifest = shape.build(Manifest, decoded, mistakes=mistakes)
    if not mistakes:
        mistakes.extend(check(manifest))
    if mistakes:
        return expression.Error((codes.MANIFEST_INVALID, mistakes))
    return expression.Ok(manifest)


def _malformed(text: str) -> expression.Result:
    mistakes = [shape.Mistake('$', text)]
    return expression.Error((codes.MANIFEST_MALFORMED, mistakes))


def check(manifest: Manifest) -> list[shape.Mistake]:
    """Return what is wrong with a manifest of the right shape."""
    return [
        *_check_head(manifest),
        *_check_names(manifest),
        *itertools.chain.from_iterable(
            _check_service('$.services.%s' % name, service)
            for name, service in manifest.services.items()
        ),
        *_check_routes(manifest),
        *_check_customers(manifest),
        *_check_drains(manifest),
    ]


def _check_head(manifest):
    if manifest.format != FORMAT:
        yield shape.Mistake('$.format', 'expected %d' % FORMAT)
    if not manifest.regions:
        yield shape.Mistake('$.regions', 'names no region')
    named = collections.Counter(data_centres(manifest))
    for name, count in named.items():
        if count > 1:
            text = 'data centre %r stands in %d regions' % (name, count)
            yield shape.Mistake('$.regions', text)


def _check_names(manifest):
    named = itertools.chain(
        (('$.services', name) for name in manifest.services),
        (('$.customers', name) for name in manifest.customers),
    )
    for path, name in named:
        # Names stand in row keys and headers, where a slash or a line end
        # would change the meaning.
        plain = name.isascii() and name.isprintable() and '/' not in name
        if not plain or not 0 < len(name) <= MAX_NAME or ' ' in name:
            text = 'the name %r is empty, too long or has odd signs' % name
            yield shape.Mistake(path, text)


def _check_service(path, service):
    bounds = (
        ('floor_percent', 0, 100),
        ('floor_slots', 0, 10**6),
        ('timeout_ms', 1, 3_600_000),
        ('retry_percent', 0, 100),
        ('queue', 1, 100_000),
        ('key_window_s', 1, 7 * 86_400),
        ('max_body', 0, 2**40),
    )
    for name, low, high in bounds:
        if not low <= getattr(service, name) <= high:
            text = 'expected %d to %d' % (low, high)
            yield shape.Mistake('%s.%s' % (path, name), text)


def _check_routes(manifest):
    seen = set()
    for index, route in enumerate(manifest.routes):
        path = '$.routes[%d]' % index
        if not route.prefix.startswith('/'):
            yield shape.Mistake(path + '.prefix', 'expected a leading slash')
        if route.service not in manifest.services:
            text = 'no service is named %r' % route.service
            yield shape.Mistake(path + '.service', text)
        key = (route.host.lower(), route.prefix)
        if key in seen:
            yield shape.Mistake(path, 'stands twice: %s%s' % key)
        seen.add(key)


def _check_customers(manifest):
    for name, customer in manifest.customers.items():
        path = '$.customers.%s' % name
        if not 1 <= customer.weight <= 10_000:
            yield shape.Mistake(path + '.weight', 'expected 1 to 10000')
        if customer.limit < 0:
            yield shape.Mistake(path + '.limit', 'expected 0 or more')


def _check_drains(manifest):
    known = set(data_centres(manifest))
    for index, name in enumerate(manifest.drains.data_centres):
        if name not in known:
            path = '$.drains.data_centres[%d]' % index
            yield shape.Mistake(path, 'no data centre is named %r' % name)


def data_centres(manifest: Manifest) -> tuple[str, ...]:
    """Return the names of all data centres."""
    return tuple(
        itertools.chain.from_iterable(
            place.data_centres for place in manifest.regions.values()
        )
    )
