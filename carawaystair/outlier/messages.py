"""Messages of outlier detection; wire numbers 80 to 99.

All but ``Ask`` and ``Held`` travel as datagrams: a lost report is one sample
less, and a lost state is repaired by the next one.
"""

import typing

from carawaystair import wire

# What an entry says of an upstream.
SUSPECTED = 1  # under suspicion: hardly any work while it is tested
EJECTED = 2  # no work
RETURNING = 3  # work again, growing
CLEAR = 4  # nothing is held against it any more


class Cell(typing.NamedTuple):
    """Attempts at one upstream for one class of customers.

    :param upstream: id of the upstream.
    :param customer_class: see ``levels.customer_class``.
    :param counts: attempts by category, see ``levels``; a negative number
        takes back what an earlier report said too early.
    :param tested: how many of them were answered, quickly or not, and
        began after the upstream came under suspicion or trial.
    """

    upstream: str
    customer_class: int
    counts: tuple[int, ...]
    test_answers: int = 0


class Sample(typing.NamedTuple):
    """The latency of one good answer, for the bounds of its route.

    :param route: see ``levels.short``.
    :param latency_us: microseconds.
    :param upstream: short number of the upstream, see ``levels.short``.
    """

    route: int
    latency_us: int
    upstream: int = 0


@wire.register(80)
class Report(typing.NamedTuple):
    """A node tells the coordinator of a service what its attempts showed.

    :param service: the service.
    :param host: the reporting node.
    :param data_centre: its data centre.
    :param epoch: epoch of the newest state that it holds.
    :param digest: of the entries that it holds, see ``held.digest``.
    :param bounds: version of the bounds that it holds.
    :param copies: whether its request path sends copies as trials.
    :param suspect: whether it suspects its own path, so that its failures
        say nothing of upstreams.
    :param share: the share of its cells that it sent, above 0.0 to 1.0.
    :param cells: the attempts since its last report.
    :param samples: some latencies.
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
    """What holds for one upstream.

    :param upstream: its id.
    :param kind: one of :data:`HELD`, :data:`EJECTED`, :data:`RETURNING`,
        :data:`CLEAR`.
    :param serial: grows with every change within an epoch.
    :param ttl_ms: milliseconds until this lease ends.
    :param weight: share of work, in thousandths.
    :param trial: chance that a request is copied to it, in millionths.
    :param severity: the worse first, when a node can't honour all.
    :param data_centre: only for nodes of this data centre, or empty.
    :param customer_class: only for this class of customers, or -1.
    :param trickle: share of requests that treat it as if it were well, in
        thousandths.
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
    """A coordinator tells nodes what it holds against upstreams.

    :param service: the service.
    :param host: the coordinator.
    :param epoch: grows with every change of the coordinator.
    :param full: whether these are all of its entries; whatever else a node
        holds for the service, of this epoch or an earlier one, then ends.
    :param entries: all or some of its entries.
    """

    service: str
    host: str
    epoch: int
    complete: bool
    entries: tuple[Entry, ...]


class RouteBounds(typing.NamedTuple):
    """Latency bounds of one route.

    :param route: see ``levels.short``.
    :param bounds_us: see ``levels.Bounds``, in microseconds.
    """

    route: int
    bounds_us: tuple[int, ...]


@wire.register(82)
class Pace(typing.NamedTuple):
    """A coordinator tells a node how to report.

    :param service: the service.
    :param version: of the bounds.
    :param every_ms: milliseconds between reports of good answers.
    :param spacing_ms: least time between reports of bad attempts.
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
    """What a standby must know beyond an entry.

    :param entry: the entry.
    :param flaps: ejections of late, decayed.
    :param backoff_ms: milliseconds until its next trial.
    """

    entry: Entry
    recent_ejections: float = 0.0
    backoff_ms: int = 0


@wire.register(83)
class Mirror(typing.NamedTuple):
    """A coordinator tells its standby what it would need to take over.

    :param service: the service.
    :param epoch: the coordinator's epoch.
    :param whole: whether these are all upstreams with entries.
    :param phases: all or some of them.
    """

    service: str
    epoch: int
    complete: bool
    phases: tuple[Phase, ...]


@wire.register(84)
class Ask(typing.NamedTuple):
    """A new coordinator asks a process what it holds for a service.

    :param service: the service.
    """

    service: str


@wire.register(85)
class Held(typing.NamedTuple):
    """The answer to :class:`Ask`.

    :param service: the service.
    :param epoch: the highest epoch that the process has seen.
    :param phases: what holds; a node knows no flaps and no backoff.
    """

    service: str
    epoch: int
    phases: tuple[Phase, ...]
