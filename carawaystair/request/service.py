"""The service that answers callers: start, stop and periodic clean-up."""

import asyncio
import random
import typing

import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import metrics
from carawaystair.request import authentication
from carawaystair.request import connections
from carawaystair.request import handler as handlers
from carawaystair.request import listener as listeners
from carawaystair.request import meters
from carawaystair.request import selection
from carawaystair.request import sender as senders
from carawaystair.request import upstream_limits
from carawaystair import routing as routings

# Callers' idle connections stay open for this time after a stop has begun, so
# that requests that are on their way are still answered.
IDLE_GRACE_S = 0.5
STOP_POLL_S = 0.01


class Parts(typing.NamedTuple):
    """The other parts of the node that the request path uses."""

    directory: interfaces.Directory
    health: interfaces.Health
    evidence: interfaces.Evidence
    admission: interfaces.Admission
    reservations: interfaces.Reservations
    routing: typing.Callable[[], routings.Routing | None]
    quarantine: interfaces.Quarantine
    behind_s: typing.Callable[[], float]
    age_s: typing.Callable[[], float]
    node_count: typing.Callable[[], int]


class Requests(mode.Service):
    """Answers callers.

    :param kernel: the process.
    :param parts: the other parts of the node.
    """

    def __init__(self, kernel, parts: Parts, **kwargs) -> None:
        super().__init__(**kwargs)
        self.kernel = kernel
        self.parts = parts
        self.selector: selection.Selector | None = None
        self.sender: senders.Sender | None = None
        self.handler: handlers.Handler | None = None
        self.listener: listeners.Listener | None = None

    async def on_start(self) -> None:
        """Listen for callers, unless the process is to stop."""
        if self.kernel.shutdown.requested:
            return
        parts = self.parts
        settings = self.kernel.settings
        location = selection.Location(
            settings.host, settings.data_centre, settings.region
        )
        balancers = self.kernel.registry.collect('balancers')
        self.selector = selection.Selector(
            location,
            parts.directory,
            parts.health,
            parts.routing,
            balancers,
            upstream_limits.UpstreamLimits(
                settings.headers,
                parts.node_count,
                self.kernel.timeline,
                random.Random('limits %s' % settings.host),
            ),
        )
        self.sender = senders.Sender(
            self.selector, parts.health, parts.evidence, parts.quarantine
        )
        counts = meters.Meters(self.kernel.timeline)
        metrics.collect(counts.samples)
        metrics.collect(self.sender.samples)
        # The start time makes request ids unique across restarts.
        start = clock.wall_ms() & 0xFFFFFFFF
        self.handler = handlers.Handler(
            settings.host,
            '%s-%x' % (settings.host, start),
            settings.node.drain_s,
            parts.admission,
            parts.reservations,
            parts.routing,
            parts.behind_s,
            self.sender,
            counts,
            authentication.Authenticator(
                parts.routing,
                parts.behind_s,
                parts.age_s,
                settings.node.keys_max_age_s,
            ),
        )
        self.listener = listeners.Listener(self.handler.handle)
        await self.listener.listen(settings.bound(settings.node.listen))

    async def on_stop(self) -> None:
        """Stop listening, wait for requests in flight, then close."""
        if self.listener is None:
            return
        asked_at = self.kernel.shutdown.request()
        handler = self.handler
        handler.stop_deadline = asked_at + self.kernel.settings.node.drain_s
        self.listener.close()
        grace = min(asked_at + IDLE_GRACE_S, handler.stop_deadline)
        while clock.now() < handler.stop_deadline:
            busy = handler.active or self.listener.has_unsent_data
            if not busy and clock.now() >= grace:
                break
            await asyncio.sleep(STOP_POLL_S)
        self.listener.close_idle()
        await self.listener.abort()
        await self.sender.stop(handler.stop_deadline)

    @mode.Service.task
    async def _close_stale(self) -> None:
        """Close stale connections to upstreams."""
        while not self.should_stop:
            await self.sleep(connections.SWEEP_INTERVAL_S)
            self.selector.close_stale(clock.now())
