"""The reservation service of a node, see ``interfaces.Reservations``."""

import asyncio
import random
import typing

import expression
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.reservations import activation
from carawaystair.reservations import coordinator
from carawaystair.reservations import identifiers
from carawaystair.reservations import messages
from carawaystair.reservations import placement_table
from carawaystair.reservations import placement_updates
from carawaystair.reservations import planner
from carawaystair.reservations import replica_server
from carawaystair.reservations import store
from carawaystair.reservations import transfer
from carawaystair import routing as routings
from carawaystair import timeline as timelines

EXPIRE_INTERVAL_S = 5.0
# A request for a key whose placement is unknown polls for it at this interval,
# up to the maximum; it is short so that a refusal comes soon.
PLACEMENT_POLL_S = 0.05
PLACEMENT_WAIT_MAX_S = 0.3
# Memory for the keys that this node holds.
CAPACITY_BYTES = 16 * 1024 * 1024


DATAGRAM_MESSAGES = (
    messages.Ask,
    messages.Vote,
    messages.Settle,
    messages.Release,
    messages.Done,
    messages.Rows,
)
LINK_MESSAGES = (
    messages.Rows,
    messages.Fetch,
    messages.Probe,
    messages.AskPeerRows,
)


class Reservations(mode.Service):
    """Reserves keys for the requests of this node and holds replicas.

    :param transport: for large messages and those between few processes.
    :param datagrams: for asks, votes and outcomes: any node talks to the
        replicas of any key, and links to every other node would need more
        memory than the control plane may use.
    :param members: the fleet membership.
    :param routing: returns the current configuration.
    :param control_hosts: addresses of the control hosts.
    :param timeline: records events.
    :param rng: random source for sessions, backoff and choices.
    :param wall_ms: wall clock at the start, see ``identifiers.new_session``.
    :param capacity: memory for the keys that this node holds, bytes.
    """

    def __init__(
        self,
        transport: interfaces.Transport,
        datagrams,
        members: interfaces.Members,
        routing: typing.Callable[[], routings.Routing],
        control_hosts: typing.Sequence[str],
        timeline: timelines.Timeline,
        rng: random.Random,
        wall_ms: int,
        capacity: int = CAPACITY_BYTES,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.transport = transport
        self.datagrams = datagrams
        self.members = members
        self.routing = routing
        self.rng = rng
        self.host = members.me.host
        self.session = identifiers.new_session(wall_ms, rng)
        self.budget = store.MemoryBudget(capacity)
        self.placement_table = placement_table.PlacementTable()
        self.placement_updater = placement_updates.PlacementUpdater(
            self.placement_table, transport.call, members, control_hosts, rng
        )
        request_refresh = self.placement_updater.request_refresh
        self.replica_server = replica_server.ReplicaServer(
            self.host,
            self.session,
            self.placement_table,
            self.budget,
            self._send,
            request_refresh,
        )
        self.transfer_server = transfer.TransferServer(self.replica_server)
        self.activator = activation.Activator(
            self.replica_server,
            self.transfer_server,
            transport.call,
            timeline,
            rng,
        )
        tokens = identifiers.TokenGenerator(self.host, self.session)
        self.coordinator = coordinator.Coordinator(
            self._send, self.placement_table, tokens, rng, request_refresh
        )
        self.planner = planner.Planner(
            members,
            routing,
            self.placement_updater,
            transport.call,
            transport.send,
            timeline,
        )
        self.handlers = {
            messages.Ask: self.replica_server.on_ask,
            messages.Settle: self.replica_server.on_settle,
            messages.Release: self.replica_server.on_release,
            messages.Vote: self.coordinator.on_vote,
            messages.Done: self.coordinator.outcome_sender.acknowledge,
            messages.Rows: self._on_rows,
            messages.Fetch: self.transfer_server.on_fetch,
            messages.Probe: self._on_probe,
            messages.AskPeerRows: self._on_ask_peer_rows,
        }
        for kind in DATAGRAM_MESSAGES:
            datagrams.handle(kind, self.handlers[kind])
        for kind in LINK_MESSAGES:
            transport.handle(kind, self._receive)

    async def on_stop(self) -> None:
        """Stop background tasks."""
        self.activator.stop()
        self.coordinator.outcome_sender.stop()

    # interfaces.Reservations

    async def reserve(
        self,
        service: str,
        customer: str,
        key: str,
        digest: bytes,
        deadline: float,
    ) -> expression.Result[interfaces.Reserved, codes.Failure]:
        """Reserve a key, see ``interfaces.Reservations``."""
        if not 0 < len(key.encode()) <= identifiers.MAX_KEY_BYTES:
            return codes.fail(codes.KEY_INVALID)
        settings = self.routing().service(service)
        key_digest = identifiers.key_digest(service, customer, key)
        partition = await self._partition(service, key_digest, deadline)
        if settings is None or partition is None:
            return codes.fail(codes.KEYS_NOT_PLACED, service)
        request = coordinator.KeyRequest(
            partition,
            key_digest,
            identifiers.customer_id(customer),
            identifiers.request_digest(digest),
            settings.key_window_s,
        )
        return await self.coordinator.reserve(request, deadline)

    async def settle(
        self, token: str, answer: bytes, status: int = 200
    ) -> None:
        """Store an answer, see ``interfaces.Reservations``.

        Return when a majority of the replicas has acknowledged it or a second
        has passed; sending continues in the background.
        """
        await self.coordinator.settle(token, answer, status)

    async def release(self, token: str) -> None:
        """Release a key, see ``interfaces.Reservations``."""
        await self.coordinator.release(token)

    async def _partition(
        self, service: str, key_digest: bytes, deadline: float
    ) -> int | None:
        """Return the partition of a key when its placement is known.

        :return: None if it is still unknown after the wait, or at once if no
            region holds keys.
        """
        until = min(deadline, clock.now() + PLACEMENT_WAIT_MAX_S)
        while True:
            partition = self.placement_table.partition(service, key_digest)
            if (
                partition is not None
                and self.placement_table.get(partition) is not None
            ):
                return partition
            self.placement_updater.request_refresh()
            if partition is None and self.placement_table.key_space.regions:
                self.planner.request_assignment()
            late = clock.now() + PLACEMENT_POLL_S >= until
            if late or not self.placement_table.key_space.regions:
                return None
            await asyncio.sleep(PLACEMENT_POLL_S)

    # Messages

    def _send(self, to: str, message) -> None:
        if to == self.members.me.gossip:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.handlers[type(message)], to, message)
        else:
            self.datagrams.send(to, message)

    async def _receive(self, sender: str, message):
        return self.handlers[type(message)](sender, message)

    def _on_rows(self, _sender: str, message: messages.Rows) -> None:
        placement_updates.apply_rows(self.placement_table, message)

    def _on_ask_peer_rows(
        self, _sender: str, ask: messages.AskPeerRows
    ) -> messages.Rows:
        return messages.newer_rows(self.placement_table, ask)

    def _on_probe(self, _sender: str, ask: messages.Probe) -> messages.Probed:
        me = self.members.me
        return messages.Probed(
            placement_table.Replica(
                me.host, me.peer, me.gossip, me.data_centre, self.session
            ),
            self.replica_server.active_epochs(ask.partitions),
            self.budget.used / self.budget.capacity,
        )

    # Tasks

    @mode.Service.task
    async def _update_placements(self) -> None:
        """Keep the known placements up to date."""
        await self.placement_updater.run()

    @mode.Service.task
    async def _plan(self) -> None:
        """Plan placements while this node is elected."""
        await self.planner.run()

    @mode.Service.task
    async def _expire(self) -> None:
        """Remove expired keys."""
        await self.run_expiry()

    async def run_expiry(self) -> None:
        """Remove expired keys and grants at intervals."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self.replica_server.expire()
            self.coordinator.expire()
            self.activator.report()
