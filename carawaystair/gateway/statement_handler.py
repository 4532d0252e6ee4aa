"""Applies what the upstreams of this host state in their answers."""

import typing

from carawaystair import clock
from carawaystair import decisions
from carawaystair.gateway import hops
from carawaystair.gateway import instances
from carawaystair.gateway import send_attempts
from carawaystair import interfaces
from carawaystair.load import request_rate
from carawaystair.membership import registry as registries
from carawaystair import metrics
from carawaystair.request import statements
from carawaystair import settings as settings_module
from carawaystair import timeline as timeline_module

MS = 1000
MILLI = 1000

LIMITED = 'upstream-limited'
UNLIMITED = 'upstream-unlimited'
LEAVING = 'upstream-leaving'


class StatementHandler:
    """Applies statements at the gateway; one for each process.

    :param registry: leases of the upstreams of this host.
    :param names: names of the headers.
    :param recorder: records events.
    :param timeline: receives what changes for an upstream.
    """

    def __init__(
        self,
        registry: registries.Registry,
        names: settings_module.Headers,
        recorder: decisions.Recorder,
        timeline: timeline_module.Timeline,
    ) -> None:
        self.registry = registry
        self.names = names
        self.recorder = recorder
        self.timeline = timeline

    def read(
        self,
        hop: hops.Hop,
        instance: instances.Instance,
        attempt: send_attempts.UpstreamAttempt,
        outcome: str,
        began: float,
    ) -> None:
        """Apply what an answer states about its upstream.

        :param outcome: what the answer says about its upstream.
        :param began: monotonic time at which the request was sent.
        """
        now = clock.now()
        instance.answered = True
        stated = statements.parse(attempt.message.raw_headers, self.names)
        before, instance.statement = instance.statement, stated
        if stated != before:
            self._record(hop, instance, before, now - began)
        rate = instance.slots.queue.rate
        was_limited = rate.limited
        if stated.limit is not None:
            changed = rate.state(stated.limit, began, now)
        else:
            # Only a sound answer shows that the limit is over.
            sound = outcome == interfaces.GOOD and not stated.has_malformed
            changed = sound and rate.end(began)
        if changed:
            self._rate_changed(instance, was_limited, 'its answers')
        if stated.leaving:
            self._drain(instance, 'its answers')

    def hear(self, hop: hops.Hop, instance: instances.Instance) -> None:
        """Apply what the sender of a request knows of statements.

        A limit only before this process had an answer of the upstream itself.
        """
        if not hop.stated_incarnation:
            return
        same = hop.stated_incarnation == instance.announcement.incarnation
        if not same and instance.name not in self.registry.assigned:
            # It has started anew since.
            return
        if hop.stated_leaving:
            self._drain(instance, hop.host)
        if hop.stated_limit and not instance.answered:
            now = clock.now()
            rate = instance.slots.queue.rate
            was_limited = rate.limited
            if rate.state(hop.stated_limit / MILLI, now, now):
                self._rate_changed(instance, was_limited, hop.host)

    def is_leaving(self, instance: instances.Instance) -> bool:
        """Return whether an upstream stated that it leaves."""
        incarnation = instance.announcement.incarnation
        return self.registry.leaving.get(instance.name) == incarnation

    def _drain(self, instance: instances.Instance, source: str) -> None:
        lease = self.registry.leases.get(instance.name)
        if lease is None or self.is_leaving(instance):
            return
        incarnation = instance.announcement.incarnation
        if lease.announcement.incarnation == incarnation:
            self.registry.drain(instance.name)
            self._tell(instance, LEAVING, 'by %s' % source)

    def _rate_changed(
        self, instance: instances.Instance, was_limited: bool, source: str
    ) -> None:
        rate = instance.slots.queue.rate
        instance.slots.apply_rate()
        if rate.limited and not was_limited:
            text = '%.3g requests a second, by %s' % (rate.per_s, source)
            self._tell(instance, LIMITED, text)
        elif was_limited and not rate.limited:
            self._tell(instance, UNLIMITED, 'by %s' % source)

    def _tell(
        self, instance: instances.Instance, kind: str, text: str
    ) -> None:
        self.timeline.record(
            kind,
            text,
            service=instance.announcement.service,
            upstream=instance.name,
        )

    def _record(
        self,
        hop: hops.Hop,
        instance: instances.Instance,
        before: statements.Statement,
        took_s: float,
    ) -> None:
        stated, announcement = instance.statement, instance.announcement
        self.recorder.tell(
            decisions.Stated(
                hop.id,
                instance.name,
                announcement.service,
                announcement.incarnation,
                statements.shown(stated.limit),
                statements.shown(before.limit),
                stated.leaving,
                int(took_s * MS),
                stated.malformed,
            ),
            decisions.BELIEF,
        )


def samples(
    name: str, rate: request_rate.RequestRate, leaving: bool
) -> typing.Iterator[metrics.Sample]:
    """Yield the metrics of what an upstream states.

    :param name: id of the upstream.
    """
    labels = (('upstream', name),)
    if rate.limited:
        yield metrics.Sample('gateway_limit', rate.per_s, labels)
        yield metrics.Sample(
            'gateway_limit_wait_seconds', rate.wait_s(1, clock.now()), labels
        )
    yield metrics.Sample('gateway_stated_leaving', int(leaving), labels)
