"""Puts the parts of membership together."""

import asyncio
import random
import typing

from aiohttp import web
import mode

from carawaystair import interfaces
from carawaystair.membership import api
from carawaystair.membership import directory as directories
from carawaystair.membership import flood as floods
from carawaystair.membership import join
from carawaystair.membership import members as member_lists
from carawaystair.membership import messages
from carawaystair.membership import registry as registries
from carawaystair.membership import table as tables

# Arrivals wait so long for others, in seconds, so that the upstreams of a
# host that starts travel in one record.  Leaves don't wait.
GATHER_S = 0.2


class Identity(typing.NamedTuple):
    """Who this process is.

    :param host: the name of its host, unique in the fleet.
    :param data_centre: the data centre of the host.
    :param region: the region of the data centre.
    :param peer: ``ip:port`` for messages.
    :param gossip: ``ip:port`` for datagrams.
    :param control: whether it is a control host only.
    """

    host: str
    data_centre: str
    region: str
    peer: str
    gossip: str
    control: bool = False


class Membership(mode.Service):
    """Membership and directory of one process.

    :param identity: who it is.
    :param transport: its messages.
    :param datagrams: its datagrams.
    :param timeline: takes events.
    :param rng: the source of randomness.
    :param incarnation: grows with every start of the process.
    :param seeds: addresses for messages of some other processes.
    :param lease_s: seconds that an upstream's announcement holds.
    """

    def __init__(
        self,
        identity: Identity,
        transport: interfaces.Transport,
        datagrams,
        timeline,
        rng: random.Random,
        incarnation: int,
        seeds: typing.Sequence[str] = (),
        lease_s: float = 6.0,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.identity = identity
        self.transport = transport
        self.datagrams = datagrams
        self.timeline = timeline
        self.rng = rng
        # The incarnation of the record; the one that probes are answered
        # with starts there and grows with every refutation.
        self.started_as = incarnation
        self.incarnation = incarnation
        self.sequence = 0
        self.left = False
        self.gather: asyncio.TimerHandle | None = None
        self.table = tables.Table(identity.host)
        self.table.accused = self.rise
        self.members = member_lists.Members(self.table, timeline)
        self.directory = directories.Directory(self.table, timeline)
        self.registry = registries.Registry(lease_s, self.publish)
        self.table.own(self._record(), incarnation)
        self.flood = floods.Flood(self.table, transport)
        self.joining = join.Joining(
            self.table, self.flood, transport, seeds, rng
        )
        self.api = api.Api(self.registry, self.directory)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for the upstreams of this host."""
        return self.api.routes()

    async def on_start(self) -> None:
        """Start the parts."""
        for part in (self.directory, self.registry, self.flood, self.joining):
            await self.add_runtime_dependency(part)

    def publish(self, urgent: bool) -> None:
        """Announce the upstreams of this host anew.

        :param urgent: at once, not together with others soon after.
        """
        if urgent:
            self._publish()
        elif self.gather is None:
            loop = asyncio.get_running_loop()
            self.gather = loop.call_later(GATHER_S, self._publish)

    def rise(self, incarnation: int) -> None:
        """Refute what others say of this process.

        :param incarnation: the one that they say it of.
        """
        if self.left or incarnation < self.incarnation:
            return
        self.incarnation = incarnation + 1
        self.table.own(self._record(), self.incarnation)

    def _publish(self) -> None:
        if self.gather is not None:
            self.gather.cancel()
            self.gather = None
        self.sequence += 1
        self.table.own(self._record(), self.incarnation)
        self.flood.spread(self.identity.host)

    def _record(self) -> messages.Record:
        who = self.identity
        body = messages.Body(
            who.data_centre,
            who.region,
            who.peer,
            who.gossip,
            who.control,
            () if self.left else self.registry.rows(),
        )
        return messages.Record(
            who.host,
            self.started_as,
            self.sequence,
            self.left,
            messages.pack(body),
        )
