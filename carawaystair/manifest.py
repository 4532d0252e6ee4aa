"""The manifest: the pipeline's single statement of intent.

A manifest is one JSON document.  Inside the fleet it is a table of rows (see
``rows``), so that a change costs what it changes and not what stays.
"""

import itertools
import typing

import expression

from carawaystair import codes
from carawaystair import documents
from carawaystair import manifest_rules as rules
from carawaystair import shape

FORMAT = rules.FORMAT
data_centres = rules.data_centres
# Three times what the sizes to design for take, written without spaces.
MAX_BYTES = 24 * 1024 * 1024
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
    :param key_region: the region that holds the idempotency keys; taken
        when the service is first seen and then kept.  Empty for the first
        region of the fleet.
    :param health_path: path of the upstreams' own health answer, or empty.
    :param max_connections: connections that an upstream takes from all
        callers together; 0 where it does not say.
    :param notes: what the pipeline keeps with the service; handed back as it
        came and not read.
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
    key_region: str = ''
    health_path: str = ''
    max_connections: int = 0
    notes: str = ''


class Share(typing.NamedTuple):
    """A service's part of the requests of a route.

    :param service: name of the service.
    :param weight: its part, in proportion to the other weights.
    """

    service: str
    weight: int


class Route(typing.NamedTuple):
    """Which requests go to a service.

    :param prefix: path prefix, matched at segment borders.
    :param service: name of the service; empty where ``split`` names several.
    :param host: the Host header, or empty for any.
    :param idempotent: whether a request may be run twice; None decides by
        method: POST and PATCH may not.
    :param kind: ``short`` answers or ``bulk`` transfers.
    :param name: names the route for whoever changes it; may be empty.
    :param split: the services that share the requests.
    :param timeout_ms: a request gets so long at most; 0 for the timeout of
        the service.
    :param goal_ms: an answer within this time is worth most; 0 for none.
    :param priority: rank among the routes of a service, 0 first.
    :param max_attempts: upstreams that may get one request; 0 leaves it to
        the node.
    :param notes: as with a service.
    :param public: whether callers need no key, where others do.
    """

    prefix: str
    service: str = ''
    host: str = ''
    idempotent: bool | None = None
    kind: typing.Literal['short', 'bulk'] = SHORT
    name: str = ''
    split: tuple[Share, ...] = ()
    timeout_ms: int = 0
    goal_ms: int = 0
    priority: int = 0
    max_attempts: int = 0
    notes: str = ''
    public: bool = False

    def services(self) -> tuple[str, ...]:
        """Return the services that requests of this route may go to."""
        if not self.split:
            return (self.service,)
        return tuple(share.service for share in self.split)


class Customer(typing.NamedTuple):
    """What a customer is owed.

    :param weight: share of a busy service relative to other customers.
    :param limit: requests at once on one service over the fleet, 0 for
        none.
    :param keys: secrets of its callers; each names this customer.
    :param rate_per_s: requests a second over the fleet, in the long run; 0
        for any number.
    :param burst: requests beyond the rate in one quota window.
    :param priority: rank among customers, 0 first, which goes before the
        rank of routes; None for the rank of the route alone.
    :param notes: as with a service.
    """

    weight: int = 1
    limit: int = 0
    keys: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    burst: int = 0
    priority: int | None = None
    notes: str = ''


class Drains(typing.NamedTuple):
    """Planned stops.

    :param hosts: hosts that get no new work.
    :param data_centres: data centres that get no new work.
    """

    hosts: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()


class Limits(typing.NamedTuple):
    """What a caller may send to a node, and how long it may take.

    :param max_header_bytes: bytes of one header line, or of the first line.
    :param max_body_bytes: bytes of a body, over any service's own bound.
    :param header_timeout_ms: time for a request's head once it has begun.
    :param idle_timeout_ms: an idle connection is kept open for so long.
    :param notes: as with a service.
    """

    max_header_bytes: int = 8 * 1024
    max_body_bytes: int = 2**40
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000
    notes: str = ''


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
    :param limits: bounds of what callers may send.
    :param revision: the pipeline's own number of the document, which grows;
        0 where it has none.
    :param require_keys: whether callers must bring the key of a customer.
    """

    format: int
    name: str
    regions: dict[str, Place]
    services: dict[str, Service]
    routes: tuple[Route, ...]
    customers: dict[str, Customer] = {}
    drains: Drains = Drains()
    limits: Limits = Limits()
    revision: int = 0
    require_keys: bool = False


# Reading


def read(
    data: bytes,
) -> expression.Result[Manifest, tuple[codes.Code, list[shape.Mistake]]]:
    """Decode and check a manifest, whole.

    :param data: the JSON document.
    :return: the manifest, or the code and every mistake found.
    """
    decoded = documents.decode(data, MAX_BYTES)
    if decoded.is_error():
        return expression.Error((codes.MANIFEST_MALFORMED, decoded.error))
    mistakes: list[shape.Mistake] = []
    manifest = shape.build(Manifest, decoded.ok, mistakes=mistakes)
    if not mistakes:
        every = rules.check(manifest)
        mistakes.extend(itertools.islice(every, shape.MAX_MISTAKES))
    if mistakes:
        return expression.Error((codes.MANIFEST_INVALID, mistakes))
    return expression.Ok(manifest)
