"""Messages of outlier detection; wire numbers 80 to 99.

All but ``Ask`` and ``Held`` travel as datagrams: a lost report costs one
sample, and a lost state is repaired by the next one.
"""

import typing

from carawaystair import wire

# Kinds of entries.
SUSPECTED = 1  # hardly any work while it is tested
EJECTED = 2  # no work
RETURNING = 3  # a growing share of work
CLEAR = 4  # no restriction


class Cell(typing.NamedTuple):
    """Attempts at one upstream by one class of customers.

    :param upstream: id of the upstream.
    :param customer_class: see ``levels.customer_class``.
    :param counts: attempts by category, see ``levels``; a negative number
        retracts attempts that an earlier report counted in another category.
    :param test_answers: how many of them were answered, at any speed, and
        started after the upstream came under suspicion or on trial.
    """

    upstream: str
    customer_class: int
    counts: tuple[int, ...]
    test_answers: int = 0


class Sample(typing.NamedTuple):
    """The latency of one good answer, for the bounds of its route.

    :param route: see ``levels.short_id``.
    :param latency_us: microseconds.
    :param upstream: short id of the upstream, see ``levels.short_id``.
    """

    route: int
    latency_us: int
    upstream: int = 0


@wire.register(80)
class Report(typing.NamedTuple):
    """A node's report on its attempts to the coordinator of a service.

    :param service: the service.
    :param host: the reporting node.
    :param data_centre: its data centre.
    :param epoch: epoch of the newest state that it has accepted.
    :param digest: of the entries that it holds, see ``node_leases.digest``.
    :param bounds: version of the bounds that it holds.
    :param offers_copies: whether its request path sends copies of requests as
        trials.
    :param path_suspected: whether it suspects its own network path, in which
        case its failures are no evidence against upstreams.
    :param cell_share: the share of its cells with only good answers that it
        sent, above 0.0 to 1.0.
    :param cells: the attempts since its last report.
    :param samples: a sample of the latencies.
    """

    service: str
    host: str
    data_centre: str
    epoch: int
    digest: int
    bounds: int
    offers_copies: bool
    path_suspected: bool
    cell_share: float
    cells: tuple[Cell, ...]
    samples: tuple[Sample, ...] = ()


class Entry(typing.NamedTuple):
    """The state of one upstream as granted by the coordinator.

    :param upstream: its id.
    :param kind: one of :data:`SUSPECTED`, :data:`EJECTED`, :data:`RETURNING`,
        :data:`CLEAR`.
    :param serial: grows with every change within an epoch.
    :param ttl_ms: milliseconds until this lease ends.
    :param weight: share of work, in thousandths.
    :param copy_chance: chance that a request is copied to it, in millionths.
    :param severity: a node that can't honour all ejections starts with the
        highest.
    :param data_centre: only for nodes of this data centre, or empty.
    :param customer_class: only for this class of customers, or -1.
    :param test_share: share of requests that treat it as if it were healthy,
        in thousandths.
    """

    upstream: str
    kind: int
    serial: int
    ttl_ms: int
    weight: int = 0
    copy_chance: int = 0
    severity: int = 0
    data_centre: str = ''
    customer_class: int = -1
    test_share: int = 0


@wire.register(81)
class State(typing.NamedTuple):
    """A coordinator's entries for the upstreams of a service.

    :param service: the service.
    :param host: the coordinator.
    :param epoch: grows with every change of the coordinator.
    :param complete: whether these are all of its entries; any other lease that
        a node holds for the service, of this epoch or an earlier one, then
        ends.
    :param entries: all or some of its entries.
    """

    service: str
    host: str
    epoch: int
    complete: bool
    entries: tuple[Entry, ...]


class RouteBounds(typing.NamedTuple):
    """Latency bounds of one route.

    :param route: see ``levels.short_id``.
    :param bounds_us: see ``levels.Bounds``, in microseconds.
    """

    route: int
    bounds_us: tuple[int, ...]


@wire.register(82)
class Pace(typing.NamedTuple):
    """A coordinator's instructions to a node on how to report.

    :param service: the service.
    :param version: of the bounds.
    :param interval_ms: milliseconds between reports of good answers.
    :param min_spacing_ms: least time between reports of bad attempts.
    :param urgent_level: attempts from this level on are reported at once.
    :param bounds: of the routes, all or some of them.
    """

    service: str
    version: int
    interval_ms: int
    min_spacing_ms: int
    urgent_level: int
    bounds: tuple[RouteBounds, ...]


class Phase(typing.NamedTuple):
    """An entry with what a standby needs beyond it.

    :param entry: the entry.
    :param recent_ejections: number of recent ejections, decayed.
    :param backoff_ms: milliseconds until its next trial.
    """

    entry: Entry
    recent_ejections: float = 0.0
    backoff_ms: int = 0


@wire.register(83)
class Mirror(typing.NamedTuple):
    """State that a coordinator replicates to its standby.

    :param service: the service.
    :param epoch: the coordinator's epoch.
    :param complete: whether these are all upstreams with entries.
    :param phases: all or some of them.
    """

    service: str
    epoch: int
    complete: bool
    phases: tuple[Phase, ...]


@wire.register(84)
class Ask(typing.NamedTuple):
    """A new coordinator's request for the leases outstanding for a service.

    :param service: the service.
    """

    service: str


@wire.register(85)
class Held(typing.NamedTuple):
    """The answer to :class:`Ask`.

    :param service: the service.
    :param epoch: the highest epoch that the process has seen.
    :param phases: the leases outstanding; a node doesn't know recent ejections
        and backoff, and leaves them at 0.
    """

    service: str
    epoch: int
    phases: tuple[Phase, ...]
