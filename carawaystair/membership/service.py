"""Puts the parts of membership together."""

import asyncio
import math
import random
import typing

from aiohttp import web
import mode

from carawaystair import clock
from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import anti_entropy
from carawaystair.membership import api
from carawaystair.membership import bounds
from carawaystair.membership import dead_prober
from carawaystair.membership import direct_push
from carawaystair.membership import directory as directories
from carawaystair.membership import distance as distances
from carawaystair.membership import expiry
from carawaystair.membership import flooding
from carawaystair.membership import gossip
from carawaystair.membership import join
from carawaystair.membership import members as member_lists
from carawaystair.membership import messages
from carawaystair.membership import probe
from carawaystair.membership import registry as registries
from carawaystair.membership import table as tables

# An arrival waits so long for others, in seconds, and so long since the last
# record, so that the upstreams of a host that starts travel in a few records.
# Leaves don't wait.
GATHER_S = 0.2
SPACING_S = 1.0
# A process that leaves waits so long at most, in seconds, until its
# neighbours have acknowledged that.
LEAVE_S = 1.5
# And so long at least, also when the time to stop is over: a round trip
# between regions and the poll of what is still under way.
LEAVE_LEAST_S = 0.2
# A process that stood still for longer trusts nothing that it knew.  Others
# may have left and be forgotten everywhere else; by anti-entropy it would
# bring them back.
DOUBT_S = 60.0

LOG = logs.get('membership')


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
    :param gateway: where others send work for the upstreams of this host.
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
        gateway: str | None = None,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.identity = identity
        self.transport = transport
        self.datagrams = datagrams
        self.timeline = timeline
        self.rng = rng
        self.incarnation = incarnation
        self.refutations = 0
        self.sequence = 0
        self.left = False
        # By when this process must have ended, monotonic time.
        self.leave_by = math.inf
        self.published = -SPACING_S
        self.gather: asyncio.TimerHandle | None = None
        self.table = tables.Table(identity.host)
        self.table.accused = self.rise
        self.table.outdated = self.renumber
        self.distance = distances.Distance(self.table)
        self.members = member_lists.Members(self.table, timeline)
        self.directory = directories.Directory(self.table, timeline)
        self.registry = registries.Registry(lease_s, self.publish, gateway)
        self.registry.elsewhere = self.directory.life
        self.directory.subscribe(self._told)
        self.table.own(self._record(), self._liveness())
        self.flooder = flooding.Flooder(self.table, transport)
        self.gossip = gossip.Gossip(self.table, datagrams, rng)
        self.prober = probe.Prober(self.table, self.gossip, datagrams, rng)
        self.dead_prober = dead_prober.DeadProber(self.table, self.prober, rng)
        self.prober.suspicions.pause_listeners.append(self._stood_still)
        self.anti_entropy = anti_entropy.AntiEntropy(
            self.table,
            self.flooder,
            self.prober,
            self.dead_prober,
            transport,
            rng,
        )
        self.direct_push = direct_push.DirectPush(
            self.table, self.directory, self.flooder, datagrams
        )
        self.joining = join.Joining(
            self.table,
            self.flooder,
            self.prober,
            self.dead_prober,
            transport,
            seeds,
            rng,
        )
        self.expiry = expiry.HostExpiry(self.table)
        self.api = api.Api(self.registry, self.directory)

    @property
    def joined(self) -> asyncio.Event:
        """Return what is set once this process knows what others know.

        It is set as well when no other process is named to ask.
        """
        return self.anti_entropy.synced

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for the upstreams of this host."""
        return self.api.routes()

    async def on_start(self) -> None:
        """Start the parts."""
        parts = (
            self.directory,
            self.registry,
            self.flooder,
            self.gossip,
            self.prober,
            self.dead_prober,
            self.anti_entropy,
            self.direct_push,
            self.joining,
            self.expiry,
        )
        if not self.joining.seeds:
            self.joined.set()
        for part in parts:
            await self.add_runtime_dependency(part)

    async def on_stop(self) -> None:
        """Leave, unless that was done before."""
        await self.leave()

    async def leave(self) -> None:
        """Tell the fleet that this process and its upstreams leave.

        A process that just fell silent would get new work until the others
        have found it dead.
        """
        if self.left:
            return
        self.left = True
        self._publish()
        left_s = max(self.leave_by - clock.now(), LEAVE_LEAST_S)
        if not await self.flooder.wait_until_acknowledged(
            min(LEAVE_S, left_s)
        ):
            LOG.warning('Left without every acknowledgement.')

    def publish(self, urgent: bool) -> None:
        """Announce the upstreams of this host anew.

        :param urgent: at once, not together with others soon after.
        """
        if urgent:
            self._publish()
        elif self.gather is None:
            loop = asyncio.get_running_loop()
            when = max(loop.time() + GATHER_S, self.published + SPACING_S)
            self.gather = loop.call_at(when, self._publish)

    def _told(self, upstream: interfaces.Upstream) -> None:
        """Let go of a life here whose upstream goes on elsewhere.

        Not while the table changes: this host's own record changes then.
        """
        if upstream.id in self.registry.leases:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.registry.moved, upstream)

    def rise(self, incarnation: int) -> None:
        """Refute what others say of this process.

        :param incarnation: the one that they say it of.
        """
        if messages.process_start(incarnation) > self.incarnation:
            self.renumber(messages.process_start(incarnation))
        elif not self.left and incarnation >= self._liveness():
            self.refutations += 1
            self.table.own(self.table.me.record, self._liveness())
            self.prober.awareness.raise_score()
            self.gossip.refute()

    def renumber(self, incarnation: int) -> None:
        """Number the record above one that others still hold.

        :param incarnation: the one that they hold.
        """
        if self.left or incarnation < self.incarnation:
            return
        if not bounds.start_ok(incarnation + 1):
            # Numbered above it, this process could tell nobody of itself.
            return
        LOG.warning('Others know a later start of this host.')
        self.incarnation = incarnation + 1
        self.refutations = 0
        self._publish()

    def _liveness(self) -> int:
        """Return the incarnation that probes are answered with."""
        return messages.first_incarnation(self.incarnation) + self.refutations

    def _publish(self) -> None:
        if self.gather is not None:
            self.gather.cancel()
            self.gather = None
        self.sequence += 1
        self.published = clock.now()
        record = self._record()
        urgent = messages.ends_upstreams(self.table.me.record, record)
        self.table.own(record, self._liveness())
        self.flooder.forward(self.identity.host, urgent)
        if urgent:
            self.direct_push.push(record)

    def _stood_still(self, late: float) -> None:
        """Take note that this process stood still.

        :param late: for so many seconds.
        """
        self.prober.awareness.raise_score()
        if late < DOUBT_S:
            return
        LOG.warning('Stood still; joins anew.', seconds=round(late))
        self.joined.clear()
        for entry in list(self.table.up()):
            self.table.doubt(entry.member.host)

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
            self.incarnation,
            self.sequence,
            self.left,
            messages.pack(body),
        )
