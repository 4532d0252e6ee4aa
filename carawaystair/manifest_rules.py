"""The rules that a manifest of the right shape must keep."""

import collections
import itertools
import re
import typing

from carawaystair import plugins
from carawaystair import shape

if typing.TYPE_CHECKING:
    from carawaystair import manifest as manifests

FORMAT = 1
MAX_NAME = 128
MAX_PREFIX = 1024
MAX_SERVICES = 5_000
MAX_ROUTES = 100_000
MAX_CUSTOMERS = 500_000
MAX_PLACES = 1_000
MAX_STOPS = 10_000

# What names, prefixes and hosts may be made of.
NAME = re.compile(r'[!-.0-~]+')
PREFIX = re.compile(r'/(?!/)(?:(?!//)[!"$-.0-9:->@-~/])*')
HOST = re.compile(r'[A-Za-z0-9.-]{1,253}')


def check(manifest: 'manifests.Manifest') -> typing.Iterator[shape.Mistake]:
    """Yield what is wrong with a manifest of the right shape."""
    return itertools.chain(
        _check_head(manifest),
        _check_places(manifest),
        _check_services(manifest),
        _check_routes(manifest),
        _check_customers(manifest),
        _check_drains(manifest),
        _check_bounds('$.limits', manifest.limits, LIMIT_BOUNDS),
    )


def name_ok(name: str) -> bool:
    """Tell whether a name may stand in row keys and headers.

    A slash, a space or a line end would change their meaning.
    """
    return 0 < len(name) <= MAX_NAME and NAME.fullmatch(name) is not None


def _check_name(path: shape.Path, name: str) -> typing.Iterator[shape.Mistake]:
    if not name_ok(name):
        text = 'the name %r is empty, too long or has odd signs'
        shown = name[: shape.MAX_SHOWN]
        yield shape.Mistake(shape.show(path), text % shown)


def _check_count(
    path: str, held: typing.Sized, most: int
) -> typing.Iterator[shape.Mistake]:
    if len(held) > most:
        text = 'has %d entries; %d are allowed' % (len(held), most)
        yield shape.Mistake(path, text)


def _check_twice(
    path: str, names: typing.Iterable[str]
) -> typing.Iterator[shape.Mistake]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            text = '%r stands %d times' % (name[: shape.MAX_SHOWN], count)
            yield shape.Mistake(path, text)


def _check_head(
    manifest: 'manifests.Manifest',
) -> typing.Iterator[shape.Mistake]:
    if manifest.format != FORMAT:
        yield shape.Mistake('$.format', 'expected %d' % FORMAT)
    yield from _check_name('$.name', manifest.name)


def _check_places(
    manifest: 'manifests.Manifest',
) -> typing.Iterator[shape.Mistake]:
    path = '$.regions'
    if not manifest.regions:
        yield shape.Mistake(path, 'names no region')
    named = data_centres(manifest)
    yield from _check_count(path, named, MAX_PLACES)
    yield from _check_twice(path, named)
    for region, place in manifest.regions.items():
        yield from _check_name((path, region), region)
        if not place.data_centres:
            text = 'names no data centre'
            yield shape.Mistake(shape.show((path, region)), text)
        for index, name in enumerate(place.data_centres):
            inner = ((path, region), 'data_centres')
            yield from _check_name((inner, index), name)


SERVICE_BOUNDS = (
    ('floor_percent', 0, 100),
    ('floor_slots', 0, 10**6),
    ('timeout_ms', 1, 3_600_000),
    ('retry_percent', 0, 100),
    ('queue', 1, 100_000),
    ('key_window_s', 1, 7 * 86_400),
    ('max_body', 0, 2**40),
    ('max_connections', 0, 10**6),
)
LIMIT_BOUNDS = (
    ('max_header_bytes', 256, 2**20),
    ('max_body_bytes', 0, 2**40),
    ('header_timeout_ms', 1, 600_000),
    ('idle_timeout_ms', 1, 3_600_000),
)
MAX_PRIORITY = 10**6
ROUTE_BOUNDS = (
    ('timeout_ms', 0, 600_000),
    ('goal_ms', 0, 3_600_000),
    ('priority', 0, MAX_PRIORITY),
    ('max_attempts', 0, 100),
)
MAX_WEIGHT = 10**9


def _check_services(
    manifest: 'manifests.Manifest',
) -> typing.Iterator[shape.Mistake]:
    yield from _check_count('$.services', manifest.services, MAX_SERVICES)
    for name, service in manifest.services.items():
        path = ('$.services', name)
        yield from _check_name(path, name)
        yield from _check_name((path, 'team'), service.team)
        yield from _check_bounds(path, service, SERVICE_BOUNDS)
        if service.key_region and service.key_region not in manifest.regions:
            shown = service.key_region[: shape.MAX_SHOWN]
            text = 'no region is named %r' % shown
            yield shape.Mistake(shape.show((path, 'key_region')), text)
        yield from _check_plugin(path, service, 'detector', 'detectors')
        yield from _check_plugin(path, service, 'balancer', 'balancers')


def _check_bounds(
    path: shape.Path, value: typing.NamedTuple, bounds: typing.Iterable
) -> typing.Iterator[shape.Mistake]:
    for name, low, high in bounds:
        if not low <= getattr(value, name) <= high:
            text = 'expected %d to %d' % (low, high)
            yield shape.Mistake(shape.show((path, name)), text)


def _check_plugin(
    path: shape.Path, service: 'manifests.Service', field: str, kind: str
) -> typing.Iterator[shape.Mistake]:
    """Check that a plug-in of this name is there.

    Nodes would otherwise each find out for themselves, in the middle of
    putting a version in force.
    """
    name, known = getattr(service, field), plugins.names(kind)
    if name not in known:
        shown = name[: shape.MAX_SHOWN]
        text = 'no %s is named %r; there are %s'
        listed = ', '.join(sorted(known))
        yield shape.Mistake(
            shape.show((path, field)), text % (field, shown, listed)
        )


def _check_routes(
    manifest: 'manifests.Manifest',
) -> typing.Iterator[shape.Mistake]:
    yield from _check_count('$.routes', manifest.routes, MAX_ROUTES)
    seen: dict[tuple[str, str], int] = {}
    for index, route in enumerate(manifest.routes):
        path = ('$.routes', index)
        yield from _check_route(path, route)
        yield from _check_bounds(path, route, ROUTE_BOUNDS)
        yield from _check_split(path, route)
        for name in route.services():
            if name not in manifest.services:
                text = 'no service is named %r' % name[: shape.MAX_SHOWN]
                yield shape.Mistake(shape.show((path, 'service')), text)
        first = seen.setdefault((route.host.lower(), route.prefix), index)
        if first != index:
            text = 'has the host and prefix of $.routes[%d]' % first
            yield shape.Mistake(shape.show(path), text)


def _check_route(
    path: shape.Path, route: 'manifests.Route'
) -> typing.Iterator[shape.Mistake]:
    if not PREFIX.fullmatch(route.prefix) or len(route.prefix) > MAX_PREFIX:
        text = 'expected a path: a leading slash, no space, "?", "#" or "//"'
        yield shape.Mistake(shape.show((path, 'prefix')), text)
    if route.host and not HOST.fullmatch(route.host):
        text = 'expected the name of a host, without port or path'
        yield shape.Mistake(shape.show((path, 'host')), text)


def _check_split(
    path: shape.Path, route: 'manifests.Route'
) -> typing.Iterator[shape.Mistake]:
    """Check that the shares of a route add up to something."""
    where = shape.show((path, 'split'))
    if not route.split:
        return
    if route.service:
        yield shape.Mistake(where, 'stands beside a service')
    weights = [share.weight for share in route.split]
    if not all(0 <= weight <= MAX_WEIGHT for weight in weights):
        yield shape.Mistake(where, 'has a weight below 0 or too large')
    elif not sum(weights):
        yield shape.Mistake(where, 'has weights that add up to 0')


CUSTOMER_BOUNDS = (
    ('weight', 1, 10_000),
    ('limit', 0, 10**6),
    ('rate_per_s', 0, 10**6),
    ('burst', 0, 10**6),
)
# A key stands in one header line, without spaces (RFC 6750 2.1).
CUSTOMER_KEY = re.compile(r'[!-~]{1,256}')
MAX_CUSTOMER_KEYS = 100


def _check_customers(
    manifest: 'manifests.Manifest',
) -> typing.Iterator[shape.Mistake]:
    yield from _check_count('$.customers', manifest.customers, MAX_CUSTOMERS)
    # Nearly all are right, and there are many: no generator for each.
    for name in itertools.filterfalse(name_ok, manifest.customers):
        yield from _check_name(('$.customers', name), name)
    for name, customer in manifest.customers.items():
        if not all(
            low <= getattr(customer, field) <= high
            for field, low, high in CUSTOMER_BOUNDS
        ):
            path = ('$.customers', name)
            yield from _check_bounds(path, customer, CUSTOMER_BOUNDS)
        rank = customer.priority
        if rank is not None and not 0 <= rank <= MAX_PRIORITY:
            path = shape.show((('$.customers', name), 'priority'))
            yield shape.Mistake(path, 'expected 0 to %d' % MAX_PRIORITY)
    yield from _check_customer_keys(manifest.customers)


def _check_customer_keys(
    customers: dict[str, 'manifests.Customer'],
) -> typing.Iterator[shape.Mistake]:
    """Check the keys of customers; a mistake never shows one."""
    owners: dict[str, str] = {}
    for name, customer in customers.items():
        path = (('$.customers', name), 'keys')
        if len(customer.keys) > MAX_CUSTOMER_KEYS:
            count = shape.show(path)
            yield from _check_count(count, customer.keys, MAX_CUSTOMER_KEYS)
        for index, key in enumerate(customer.keys):
            if not CUSTOMER_KEY.fullmatch(key):
                text = 'expected 1 to 256 printable ASCII signs, no space'
                yield shape.Mistake(shape.show((path, index)), text)
            owner = owners.setdefault(key, name)
            if owner != name:
                text = 'is a key of customer %r, too'
                shown = owner[: shape.MAX_SHOWN]
                yield shape.Mistake(shape.show((path, index)), text % shown)


def _check_drains(
    manifest: 'manifests.Manifest',
) -> typing.Iterator[shape.Mistake]:
    known = set(data_centres(manifest))
    for field in manifest.drains._fields:
        names = getattr(manifest.drains, field)
        path = '$.drains.%s' % field
        yield from _check_count(path, names, MAX_STOPS)
        yield from _check_twice(path, names)
        for index, name in enumerate(names):
            yield from _check_name((path, index), name)
    for index, name in enumerate(manifest.drains.data_centres):
        if name not in known:
            text = 'no data centre is named %r' % name[: shape.MAX_SHOWN]
            place = ('$.drains.data_centres', index)
            yield shape.Mistake(shape.show(place), text)


def data_centres(manifest: 'manifests.Manifest') -> tuple[str, ...]:
    """Return the names of all data centres."""
    return tuple(
        itertools.chain.from_iterable(
            place.data_centres for place in manifest.regions.values()
        )
    )
