"""The membership service of one process, composed of its parts."""

import asyncio
import math
import random
import typing

from aiohttp import web
import mode

from carawaystair import clock
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair import logs
from carawaystair.membership import address_locations as locations
from carawaystair.membership import anti_entropy
from carawaystair.membership import api
from carawaystair.membership import bounds
from carawaystair.membership import dead_prober
from carawaystair.membership import departure_store
from carawaystair.membership import departures
from carawaystair.membership import direct_push
from carawaystair.membership import directory as directories
from carawaystair.membership import expiry
from carawaystair.membership import flooding
from carawaystair.membership import gossip
from carawaystair.membership import join
from carawaystair.membership import members as member_lists
from carawaystair.membership import messages
from carawaystair.membership import probe
from carawaystair.membership import registry as registries
from carawaystair.membership import table as tables

# A record with new upstreams is published this long after the first of them,
# and not sooner than the interval after the previous record, both in seconds.
# So the upstreams of a host that starts are sent in a few records.  Records
# that remove or drain upstreams are published at once.
PUBLISH_DELAY_S = 0.2
MIN_PUBLISH_INTERVAL_S = 1.0
# Maximum time in seconds that a leaving process waits for its neighbours to
# acknowledge its last record.
MAX_LEAVE_WAIT_S = 1.5
# Minimum time in seconds for the same, even if the deadline has passed: a
# round trip between regions and the interval of polling for acknowledgements.
MIN_LEAVE_WAIT_S = 0.2
# After a longer stall, in seconds, a process discards what it knows of other
# hosts.  Some may have left and been removed from all other tables; by
# anti-entropy this process would bring them back.
MAX_STALL_S = 60.0

LOG = logs.get('membership')


class Identity(typing.NamedTuple):
    """The identity of this process, as published in its record.

    :param host: name of its host, unique in the fleet.
    :param data_centre: data centre of the host.
    :param region: region of the data centre.
    :param peer: ``ip:port`` at which it takes messages.
    :param gossip: ``ip:port`` at which it takes datagrams.
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

    :param identity: the identity of the process.
    :param transport: sends and receives messages.
    :param datagrams: sends and receives datagrams.
    :param timeline: receives events.
    :param rng: the source of randomness.
    :param incarnation: grows with every start of the process.
    :param seeds: message addresses of processes through which to join.
    :param lease_s: duration of an upstream's lease in seconds.
    :param gateway: address to which other hosts send requests for the
        upstreams of this host; None for the upstreams' own addresses.
    :param recorder: records events; None to record none.
    :param store: keeps departures of other hosts' upstreams; None for the
        memory of this process.
    :param control_group: returns the control group, at a control host.
    :param control_hosts: message addresses of some control hosts.
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
        recorder: decisions.Recorder | None = None,
        store: departure_store.DepartureStore | None = None,
        control_group: typing.Callable[
            [], interfaces.ControlGroup
        ] = interfaces.ControlGroup,
        control_hosts: typing.Sequence[str] = (),
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
        # Monotonic time by which this process must have stopped.
        self.leave_deadline = math.inf
        self.published_at = -MIN_PUBLISH_INTERVAL_S
        self.publish_timer: asyncio.TimerHandle | None = None
        self.table = tables.Table(identity.host)
        self.table.on_accused = self.refute
        self.table.on_newer_start = self.renumber
        self.address_locations = locations.AddressLocations(self.table)
        self.members = member_lists.Members(self.table, timeline)
        self.directory = directories.Directory(self.table, timeline)
        self.registry = registries.Registry(
            lease_s, self.publish, gateway, recorder
        )
        self.registry.fleet_incarnation = self.directory.incarnation
        self.directory.subscribe(self._end_moved_lease)
        self.table.set_own_record(self._record(), self._own_incarnation())
        self.flooder = flooding.Flooder(self.table, transport)
        self.gossip = gossip.Gossip(self.table, datagrams, rng)
        self.prober = probe.Prober(self.table, self.gossip, datagrams, rng)
        self.dead_prober = dead_prober.DeadProber(self.table, self.prober, rng)
        self.prober.suspicions.pause_listeners.append(self._handle_stall)
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
        self.departures = departures.Departures(
            self.table,
            self.registry,
            transport,
            seeds,
            store or departure_store.MemoryOnly(),
            control_group,
            control_hosts,
            recorder,
        )
        self.api = api.Api(self.registry, self.directory, self.departures)

    @property
    def joined(self) -> asyncio.Event:
        """Return the event that is set once the table agrees with others.

        It is also set if there are no seeds.
        """
        return self.anti_entropy.synced

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes for the upstreams of this host."""
        return self.api.routes()

    async def on_start(self) -> None:
        """Start the services of which membership is composed."""
        parts = (
            self.directory,
            self.registry,
            self.departures,
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
        """Leave the fleet, unless that was done before."""
        await self.leave()

    async def leave(self) -> None:
        """Publish that this process and its upstreams leave the fleet.

        If the process only stopped, it would get new requests until other
        processes have detected that it is dead.
        """
        if self.left:
            return
        self.left = True
        self._publish()
        remaining_s = max(self.leave_deadline - clock.now(), MIN_LEAVE_WAIT_S)
        if not await self.flooder.wait_until_acknowledged(
            min(MAX_LEAVE_WAIT_S, remaining_s)
        ):
            LOG.warning('Left before all neighbours acknowledged it.')

    def publish(self, urgent: bool) -> None:
        """Publish a new record with the upstreams of this host.

        :param urgent: whether to publish at once instead of waiting for
            further changes.
        """
        if urgent:
            self._publish()
        elif self.publish_timer is None:
            loop = asyncio.get_running_loop()
            when = max(
                loop.time() + PUBLISH_DELAY_S,
                self.published_at + MIN_PUBLISH_INTERVAL_S,
            )
            self.publish_timer = loop.call_at(when, self._publish)

    def _end_moved_lease(self, upstream: interfaces.Upstream) -> None:
        """End the lease of an upstream that has started on another host.

        This is deferred until the current change of the table is complete,
        since it changes this host's own record.
        """
        if upstream.id in self.registry.leases:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.registry.end_if_moved, upstream)

    def refute(self, incarnation: int) -> None:
        """Refute a report that this process is suspect or dead.

        :param incarnation: the incarnation in the report.
        """
        if messages.process_start(incarnation) > self.incarnation:
            self.renumber(messages.process_start(incarnation))
        elif not self.left and incarnation >= self._own_incarnation():
            self.refutations += 1
            self.table.set_own_record(
                self.table.own_entry.record, self._own_incarnation()
            )
            self.prober.awareness.raise_score()
            self.gossip.refute()

    def renumber(self, incarnation: int) -> None:
        """Publish the record with an incarnation above one that others hold.

        :param incarnation: the one that they hold.
        """
        if self.left or incarnation < self.incarnation:
            return
        if not bounds.process_incarnation_ok(incarnation + 1):
            # A record with a higher incarnation could not be sent.
            return
        LOG.warning('Other processes know a later start of this host.')
        self.incarnation = incarnation + 1
        self.refutations = 0
        self._publish()

    def _own_incarnation(self) -> int:
        """Return the incarnation with which this process answers probes."""
        return messages.first_incarnation(self.incarnation) + self.refutations

    def _publish(self) -> None:
        if self.publish_timer is not None:
            self.publish_timer.cancel()
            self.publish_timer = None
        self.sequence += 1
        self.published_at = clock.now()
        record = self._record()
        urgent = messages.ends_upstreams(self.table.own_entry.record, record)
        self.table.set_own_record(record, self._own_incarnation())
        self.flooder.forward(self.identity.host, urgent)
        if urgent:
            self.direct_push.push(record)

    def _handle_stall(self, late: float) -> None:
        """Lower the confidence in own probes after a stall; rejoin if long.

        :param late: duration of the stall in seconds.
        """
        self.prober.awareness.raise_score()
        if late < MAX_STALL_S:
            return
        LOG.warning(
            'Process stalled; joining the fleet again.', seconds=round(late)
        )
        self.joined.clear()
        for entry in list(self.table.live_entries()):
            self.table.presume_dead(entry.member.host)

    def _record(self) -> messages.Record:
        identity = self.identity
        body = messages.Body(
            identity.data_centre,
            identity.region,
            identity.peer,
            identity.gossip,
            identity.control,
            () if self.left else self.registry.rows(),
        )
        return messages.Record(
            identity.host,
            self.incarnation,
            self.sequence,
            self.left,
            messages.pack(body),
        )
