"""What a node says of itself: for programs, and for a person at night."""

import typing

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import invariants
from carawaystair.outlier import floor
from carawaystair import timeline

# Control not heard of for so long is worth a line.
STALE_S = 60.0
# A newer configuration that is known for so long and not in force is, too:
# it is to be in force everywhere within this time.
BEHIND_S = 2.0
# The newest events at the end of the page.
EVENTS = 15


class ServiceReport(typing.NamedTuple):
    """One service as a node sees it.

    :param name: its name.
    :param upstreams: its upstreams.
    :param ejected: ids that get no work from this node.
    :param slots: slots of all upstreams known.
    :param healthy: slots of those that take work.
    :param bound: slots that ejections must leave.
    """

    name: str
    upstreams: tuple[interfaces.Upstream, ...]
    ejected: tuple[str, ...]
    slots: int
    healthy: int
    bound: int


class Report(typing.NamedTuple):
    """The state of a node.

    :param host: its name.
    :param data_centre: where it stands.
    :param region: where that is.
    :param ready: whether it serves.
    :param version: configuration in force.
    :param vouched_s: seconds since control vouched for it, None for never.
    :param behind_s: seconds since it first heard of a newer configuration.
    :param members: names of the members believed alive.
    :param services: the services.
    :param invariants_broken: how often each invariant was broken.
    """

    host: str
    data_centre: str
    region: str
    ready: bool
    version: str
    vouched_s: float | None
    behind_s: float
    members: tuple[str, ...]
    services: tuple[ServiceReport, ...]
    invariants_broken: dict[str, int]


def make(settings, follower, members, directory, health) -> Report:
    """Return the report of a node.

    :param settings: its settings.
    :param follower: its configuration.
    :param members: the membership.
    :param directory: the upstreams.
    :param health: which of them are ejected.
    """
    routing = follower.routing()
    vouched = follower.confirmed_at
    return Report(
        settings.host,
        settings.data_centre,
        settings.region,
        follower.ready,
        str(follower.version()),
        None if vouched is None else round(clock.now() - vouched, 1),
        round(follower.lag.seconds(), 1),
        tuple(sorted(member.host for member in members.alive())),
        tuple(
            _service(name, routing, directory, health)
            for name in sorted(routing.services())
        ),
        dict(invariants.BROKEN),
    )


def _service(name, routing, directory, health) -> ServiceReport:
    upstreams = directory.upstreams(name)
    ejected = health.ejected(name)
    capacity = floor.measure(
        routing.service(name),
        upstreams,
        ejected,
        lambda upstream: upstream.state == interfaces.UP,
    )
    return ServiceReport(
        name,
        upstreams,
        tuple(sorted(ejected)),
        capacity.known,
        capacity.healthy,
        capacity.required_slots,
    )


# For a person


def alarms(report: Report) -> list[str]:
    """Return what wants attention, the worst first."""
    found = [
        'invariant %s was broken %d times: keep the time line, report it'
        % (name, count)
        for name, count in report.invariants_broken.items()
    ]
    if not report.ready:
        found.append('this node serves nothing: no current configuration')
    stale = report.vouched_s is None or report.vouched_s > STALE_S
    if stale and report.ready:
        found.append('control has not vouched for the configuration lately')
    if report.behind_s > BEHIND_S:
        found.append(
            'a newer configuration is known for %.1f s and not in force'
            % report.behind_s
        )
    if len(report.members) == 1:
        found.append('this node knows no other one')
    for service in report.services:
        found.extend(_service_alarms(service))
    return found


def _service_alarms(service: ServiceReport) -> typing.Iterator[str]:
    if not service.upstreams:
        yield '%s has no upstream at all' % service.name
    elif service.healthy <= service.bound:
        yield '%s is at its floor: %d of %d slots take work' % (
            service.name,
            service.healthy,
            service.slots,
        )
    if service.ejected:
        yield '%s: ejected %s' % (service.name, ', '.join(service.ejected))


def page(report: Report, events: typing.Sequence[timeline.Event]) -> str:
    """Return the status page: the alarms first, as plain text."""
    found = alarms(report)
    vouched = 'never'
    if report.vouched_s is not None:
        vouched = '%.0f s ago' % report.vouched_s
    lines = [
        '%s: %s' % (report.host, 'LOOK HERE' if found else 'all is well'),
        *('  ! %s' % text for text in found),
        '',
        'place          %s, %s' % (report.data_centre, report.region),
        'configuration  %s, vouched for %s' % (report.version, vouched),
        'members alive  %d' % len(report.members),
        '',
        '%-24s %9s %9s %7s %9s'
        % ('service', 'upstreams', 'slots', 'floor', 'healthy'),
        *map(_service_line, report.services),
        '',
        'newest events, times in UTC',
        *map(_event_line, events[-EVENTS:]),
    ]
    return '\n'.join(lines) + '\n'


def _service_line(service: ServiceReport) -> str:
    return '%-24s %9d %9d %7d %9d' % (
        service.name,
        len(service.upstreams),
        service.slots,
        service.bound,
        service.healthy,
    )


def _event_line(event: timeline.Event) -> str:
    words = (event.kind, event.service, event.upstream, event.version)
    return '  %s %s %s' % (
        timeline.clock_text(event.time),
        ' '.join(filter(None, words)),
        event.text,
    )
