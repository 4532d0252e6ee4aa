"""Outlier detection of one process: puts its parts together."""

import asyncio
import random
import typing

import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair.outlier import detectors
from carawaystair.outlier import evidence
from carawaystair.outlier import health
from carawaystair.outlier import in_flight
from carawaystair.outlier import leadership
from carawaystair.outlier import messages
from carawaystair.outlier import paced_sender
from carawaystair.outlier import placement as placements
from carawaystair.outlier import upstream_index
from carawaystair import timeline as timelines

SWEEP_S = 1.0
# The detector of a service that names one that is not installed.
DEFAULT = 'siblings'

Sleep = typing.Callable[[float], typing.Awaitable]


class OutlierDetection(mode.Service):
    """Keeps ``interfaces.Health`` and ``interfaces.Evidence``.

    :param members: the processes of the fleet.
    :param directory: the upstreams.
    :param routing: returns the current routing.
    :param links: questions and answers between processes.
    :param datagrams: reports and states between processes.
    :param timeline: takes the events.
    :param factories: detector factories by name.
    :param rng: source of randomness.
    :param sleep: waits; tests let it stall to stand in for a pause.
    """

    def __init__(
        self,
        members: interfaces.Members,
        directory: interfaces.Directory,
        routing: typing.Callable,
        links: interfaces.Transport,
        datagrams: typing.Any,
        timeline: timelines.Timeline,
        factories: typing.Mapping[str, detectors.Factory],
        rng: random.Random,
        sleep: Sleep = asyncio.sleep,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.members = members
        self.factories = factories
        self.sleep = sleep
        self.known = upstream_index.Known(directory, routing)
        self.choice = placements.Choice(members)
        self.outgoing = self.add_dependency(paced_sender.Outgoing(datagrams))
        self.health = health.Health(members.me, self.known, rng)
        self.evidence = evidence.Evidence(
            self.health, self.tell, self.make, timeline, rng
        )
        self.lead = self.add_dependency(
            leadership.Lead(
                self.choice,
                self.known,
                links,
                self,
                self.pooled,
                self.health.outstanding,
                timeline,
                rng,
            )
        )
        self.handlers = {
            messages.Report: self._report,
            messages.State: self._state,
            messages.Pace: self._pace,
            messages.Mirror: self._mirror,
        }
        for kind, handler in self.handlers.items():
            datagrams.handle(kind, handler)
        self._expose()

    def _expose(self) -> None:
        """Take the hot path straight to the parts."""
        self.ejected = self.health.ejected
        self.weight = self.health.weight
        self.trial = self.health.trial
        self.begin = self.evidence.begin
        self.record = self.evidence.record
        self.record_health_hint = self.evidence.record_health_hint

    def send(self, addresses: typing.Iterable[str], parts) -> None:
        """Send datagrams; those to this process take no detour."""
        me = self.members.me.gossip
        others = [address for address in addresses if address != me]
        if len(others) < len(tuple(addresses)):
            for part in parts:
                self.handlers[type(part)](me, part)
        self.outgoing.send(others, parts)

    def tell(self, report: messages.Report) -> None:
        """Send a report to the coordinator of its service."""
        chosen = self.choice.of(report.service)
        self.send((chosen.coordinator.gossip,), (report,))

    def make(self, service: str) -> detectors.Detector:
        """Return a new detector of the kind that a service asks for."""
        name = self.known.service(service).detector
        return self.factories.get(name, self.factories[DEFAULT])()

    def pooled(self, service: str) -> detectors.Detector:
        """Return a new detector for the coordinator of a service."""
        detector = self.make(service)
        return detector if detector.pooled else self.factories[DEFAULT]()

    @mode.Service.task
    async def _tick(self) -> None:
        """Look for overdue answers and send what is due."""
        while not self.should_stop:
            await self.sleep(in_flight.TICK_S)
            self.evidence.tick(clock.now())

    @mode.Service.task
    async def _sweep(self) -> None:
        """Forget what is over."""
        while not self.should_stop:
            await self.sleep(SWEEP_S)
            now = clock.now()
            self.health.sweep(now)
            self.evidence.sweep(now)

    def _report(self, sender: str, message: messages.Report) -> None:
        self.lead.take(message, sender)

    def _state(self, sender: str, message: messages.State) -> None:
        self.health.accept(message)

    def _pace(self, sender: str, message: messages.Pace) -> None:
        self.evidence.take_pace(message)

    def _mirror(self, sender: str, message: messages.Mirror) -> None:
        self.lead.mirror(message)
