"""The outlier detection service of one process."""

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
# Used for a service whose manifest names a detector that is not installed.
DEFAULT_DETECTOR = 'siblings'

Sleep = typing.Callable[[float], typing.Awaitable]


class OutlierDetection(mode.Service):
    """Implements ``interfaces.Health`` and ``interfaces.Evidence``.

    :param members: the processes of the fleet.
    :param directory: the upstreams.
    :param routing: returns the current routing.
    :param links: requests between processes.
    :param datagrams: reports and states between processes.
    :param timeline: records events.
    :param factories: detector factories by name.
    :param rng: source of randomness.
    :param sleep: waits; tests pass one that stalls to simulate a pause.
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
        self.index = upstream_index.UpstreamIndex(directory, routing)
        self.placement = placements.Placement(members)
        self.paced_sender = self.add_dependency(
            paced_sender.PacedSender(datagrams)
        )
        self.health = health.Health(members.me, self.index, rng)
        self.evidence = evidence.Evidence(
            self.health, self.send_report, self.make_detector, timeline, rng
        )
        self.leadership = self.add_dependency(
            leadership.Leadership(
                self.placement,
                self.index,
                links,
                self,
                self.make_pooled_detector,
                self.health.outstanding_leases,
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
        self._bind_request_path()

    def _bind_request_path(self) -> None:
        """Bind the methods of the request path without an extra call."""
        self.ejected = self.health.ejected
        self.weight = self.health.weight
        self.trial = self.health.trial
        self.begin = self.evidence.begin
        self.record = self.evidence.record
        self.record_health_hint = self.evidence.record_health_hint

    def send(self, addresses: typing.Iterable[str], parts) -> None:
        """Send datagrams; those to this process are handled directly."""
        me = self.members.me.gossip
        others = [address for address in addresses if address != me]
        if len(others) < len(tuple(addresses)):
            for part in parts:
                self.handlers[type(part)](me, part)
        self.paced_sender.send(others, parts)

    def send_report(self, report: messages.Report) -> None:
        """Send a report to the coordinator of its service."""
        chosen = self.placement.assignment(report.service)
        self.send((chosen.coordinator.gossip,), (report,))

    def make_detector(self, service: str) -> detectors.Detector:
        """Return a new detector as configured for a service."""
        name = self.index.service(service).detector
        return self.factories.get(name, self.factories[DEFAULT_DETECTOR])()

    def make_pooled_detector(self, service: str) -> detectors.Detector:
        """Return a new detector for the coordinator of a service."""
        detector = self.make_detector(service)
        return (
            detector if detector.pooled else self.factories[DEFAULT_DETECTOR]()
        )

    @mode.Service.task
    async def _tick(self) -> None:
        """Check attempts in flight and send the reports that are due."""
        while not self.should_stop:
            await self.sleep(in_flight.TICK_S)
            self.evidence.tick(clock.now())

    @mode.Service.task
    async def _sweep(self) -> None:
        """Remove what has expired."""
        while not self.should_stop:
            await self.sleep(SWEEP_S)
            now = clock.now()
            self.health.sweep(now)
            self.evidence.sweep(now)

    def _report(self, sender: str, message: messages.Report) -> None:
        self.leadership.receive_report(message, sender)

    def _state(self, sender: str, message: messages.State) -> None:
        self.health.accept(message)

    def _pace(self, sender: str, message: messages.Pace) -> None:
        self.evidence.apply_pace(message)

    def _mirror(self, sender: str, message: messages.Mirror) -> None:
        self.leadership.receive_mirror(message)
