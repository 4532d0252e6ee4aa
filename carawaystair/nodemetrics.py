"""What a node shows of its own traffic and state in ``/metrics``."""

import collections
import typing

from carawaystair import clock
from carawaystair.control import interfaces as control
from carawaystair import follower
from carawaystair import invariants
from carawaystair.membership import departure_store
from carawaystair.membership import flooding
from carawaystair import metrics


class KernelMetrics:
    """Metrics of links, datagrams, time line and invariants.

    :param kernel: the kernel of the process.
    """

    def __init__(self, kernel) -> None:
        self.kernel = kernel

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        for name in ('links', 'datagrams'):
            part = getattr(self.kernel, name)
            yield metrics.Sample(name + '_sent_total', part.sent)
            yield metrics.Sample(name + '_sent_bytes_total', part.sent_bytes)
            yield metrics.Sample(name + '_refused_total', part.refused)
            yield from part.traffic.samples()
        links = self.kernel.links
        yield metrics.Sample('links_dropped_total', links.dropped)
        yield metrics.Sample('links_open', len(links.peers))
        yield metrics.Sample(
            'timeline_events_total', self.kernel.timeline.total
        )
        for name, count in invariants.BROKEN.items():
            labels = (('name', name),)
            yield metrics.Sample('invariants_broken_total', count, labels)


class FloodMetrics:
    """Metrics of records that other processes pass on.

    :param flooder: the flooding of this process.
    """

    def __init__(self, flooder: flooding.Flooder) -> None:
        self.flooder = flooder

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        flooder = self.flooder
        yield metrics.Sample('records_received_total', flooder.received)
        yield metrics.Sample('records_doubled_total', flooder.duplicates)
        yield metrics.Sample('offers_refused_total', flooder.malformed_offers)


class NodeMetrics:
    """Metrics of configuration, membership and upstreams.

    :param report: returns the node's report, see ``report.make``.
    """

    def __init__(self, report: typing.Callable) -> None:
        self.report = report

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        report = self.report()
        yield metrics.Sample('ready', int(report.ready))
        term, index = report.version.split('.')
        yield metrics.Sample('version_term', int(term))
        yield metrics.Sample('version_index', int(index))
        yield metrics.Sample('members_alive', len(report.members))
        for service in report.services:
            yield from self._service(service)

    def _service(self, service) -> typing.Iterator[metrics.Sample]:
        labels = (('service', service.name),)
        states = collections.Counter(u.state for u in service.upstreams)
        for state, count in sorted(states.items()):
            both = (*labels, ('state', state))
            yield metrics.Sample('upstreams', count, both)
        yield metrics.Sample('ejected', len(service.ejected), labels)
        yield metrics.Sample('slots_known', service.slots, labels)
        yield metrics.Sample('slots_healthy', service.healthy, labels)
        yield metrics.Sample('slots_floor', service.bound, labels)


class FollowerMetrics:
    """Metrics of how a node keeps up with the configuration.

    :param node: the follower of the node.
    """

    def __init__(self, node: follower.Follower) -> None:
        self.node = node

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        counts = self.node.counts
        yield metrics.Sample('config_lag_seconds', self.node.lag.seconds())
        yield metrics.Sample('keys_age_seconds', self.node.age_s())
        yield metrics.Sample('config_steps_total', counts.steps)
        yield metrics.Sample('config_tables_begun_total', counts.tables_begun)
        yield metrics.Sample('config_tables_read_total', counts.tables_read)


class DepartureMetrics:
    """Metrics of what a process remembers of departures.

    :param store: keeps them.
    """

    def __init__(self, store: departure_store.Store) -> None:
        self.store = store

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        store = self.store
        held = store.memory.by_hosts(clock.now())
        count = sum(map(len, held.values()))
        yield metrics.Sample('departures_held', count)
        yield metrics.Sample('departures_complete', int(store.complete()))
        yield metrics.Sample('departures_writes_total', store.writes)
        yield metrics.Sample(
            'departures_written_bytes_total', store.written_bytes
        )


class ControlMetrics:
    """Metrics of a control host.

    :param group: the control group, see ``control.interfaces.Control``.
    """

    def __init__(self, group) -> None:
        self.group = group

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield the samples."""
        status = self.group.status()
        version = self.group.version()
        yield metrics.Sample('version_term', version.term)
        yield metrics.Sample('version_index', version.index)
        for role in (control.LEADER, control.FOLLOWER, control.LEARNER):
            labels = (('role', role),)
            yield metrics.Sample(
                'control_role', int(status.role == role), labels
            )
        yield metrics.Sample('control_term', status.term)
        yield metrics.Sample('control_commit_index', status.commit)
        yield metrics.Sample('control_applied_index', status.applied)
        yield metrics.Sample('control_stale_seconds', status.stale_s)
        voters = sum(member.voting for member in status.members)
        yield metrics.Sample('control_voters', voters)
