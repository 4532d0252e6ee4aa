"""Reservations as a service of a node, see ``interfaces.Reservations``."""

import asyncio
import random
import typing

import expression
import mode

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.reservations import activation
from carawaystair.reservations import following
from carawaystair.reservations import messages
from carawaystair.reservations import names
from carawaystair.reservations import owner
from carawaystair.reservations import placement
from carawaystair.reservations import planner
from carawaystair.reservations import replica
from carawaystair.reservations import store
from carawaystair.reservations import transfer
from carawaystair import routing as routings
from carawaystair import timeline as timelines

EXPIRE_EVERY_S = 5.0
# A request whose key's replicas this node does not know yet waits for them in
# steps of the first, up to the second: whoever is refused must be told soon.
NOT_PLACED_S = 0.05
NOT_PLACED_MOST_S = 0.3
# Memory for the keys kept here.
CAPACITY = 16 * 1024 * 1024


BY_DATAGRAM = (
    messages.Ask,
    messages.Vote,
    messages.Settle,
    messages.Release,
    messages.Done,
    messages.Rows,
)
BY_LINK = (
    messages.Rows,
    messages.Fetch,
    messages.Probe,
    messages.AskPeerRows,
)


class Reservations(mode.Service):
    """The keys of this node's requests, and those that it keeps for others.

    :param transport: for messages, between few processes or large ones.
    :param datagrams: for asks, votes and outcomes: any node talks to the
        replicas of any key, and a link to every other node would cost more
        memory than control may.
    :param members: the membership.
    :param routing: returns the current configuration.
    :param control_hosts: addresses of the control hosts.
    :param timeline: takes note of events.
    :param rng: for sessions, backoff and choices.
    :param wall_ms: wall clock at the start, see ``names.session``.
    :param capacity: bytes for the keys kept here.
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
        capacity: int = CAPACITY,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.transport = transport
        self.datagrams = datagrams
        self.members = members
        self.routing = routing
        self.rng = rng
        self.host = members.me.host
        self.session = names.session(wall_ms, rng)
        self.budget = store.Budget(capacity)
        self.book = placement.Book()
        self.following = following.Following(
            self.book, transport.call, members, control_hosts, rng
        )
        hurry = self.following.hurry
        self.replica = replica.Replica(
            self.host, self.session, self.book, self.budget, self._send, hurry
        )
        self.transfers = transfer.Transfers(self.replica)
        self.activation = activation.Activation(
            self.replica, self.transfers, transport.call, timeline, rng
        )
        tokens = names.Tokens(self.host, self.session)
        self.owner = owner.Owner(self._send, self.book, tokens, rng, hurry)
        self.planner = planner.Planner(
            members,
            routing,
            self.following,
            transport.call,
            transport.send,
            timeline,
        )
        self.handlers = {
            messages.Ask: self.replica.ask,
            messages.Settle: self.replica.settle,
            messages.Release: self.replica.release,
            messages.Vote: self.owner.vote,
            messages.Done: self.owner.outcomes.done,
            messages.Rows: self._rows,
            messages.Fetch: self.transfers.fetch,
            messages.Probe: self._probe,
            messages.AskPeerRows: self._peer_rows,
        }
        for kind in BY_DATAGRAM:
            datagrams.handle(kind, self.handlers[kind])
        for kind in BY_LINK:
            transport.handle(kind, self._receive)

    async def on_stop(self) -> None:
        """Stop what runs in the background."""
        self.activation.stop()
        self.owner.outcomes.stop()

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
        if not 0 < len(key.encode()) <= names.MAX_KEY:
            return codes.fail(codes.KEY_INVALID)
        found = self.routing().service(service)
        name = names.name(service, customer, key)
        partition = await self._partition(service, name, deadline)
        if found is None or partition is None:
            return codes.fail(codes.KEYS_NOT_PLACED, service)
        wish = owner.Wish(
            partition,
            name,
            names.customer(customer),
            names.request(digest),
            found.key_window_s,
        )
        return await self.owner.reserve(wish, deadline)

    async def settle(
        self, token: str, answer: bytes, status: int = 200
    ) -> None:
        """Store an answer, see ``interfaces.Reservations``.

        Returns when a majority has it or a second has passed; it is sent on
        in the background.
        """
        await self.owner.settle(token, answer, status)

    async def release(self, token: str) -> None:
        """Give a key back, see ``interfaces.Reservations``."""
        await self.owner.release(token)

    async def _partition(
        self, service: str, name: bytes, deadline: float
    ) -> int | None:
        """Return the key's partition, once its placement is known.

        Before any region holds keys there is nothing to wait for.
        """
        until = min(deadline, clock.now() + NOT_PLACED_MOST_S)
        while True:
            number = self.book.partition(service, name)
            if number is not None and self.book.get(number) is not None:
                return number
            self.following.hurry()
            if number is None and self.book.space.regions:
                self.planner.need_home()
            late = clock.now() + NOT_PLACED_S >= until
            if late or not self.book.space.regions:
                return None
            await asyncio.sleep(NOT_PLACED_S)

    # Messages

    def _send(self, to: str, message) -> None:
        if to == self.members.me.gossip:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.handlers[type(message)], to, message)
        else:
            self.datagrams.send(to, message)

    async def _receive(self, sender: str, message):
        return self.handlers[type(message)](sender, message)

    def _rows(self, _sender: str, message: messages.Rows) -> None:
        following.take(self.book, message)

    def _peer_rows(
        self, _sender: str, ask: messages.AskPeerRows
    ) -> messages.Rows:
        return messages.answer(self.book, ask)

    def _probe(self, _sender: str, ask: messages.Probe) -> messages.Probed:
        me = self.members.me
        return messages.Probed(
            placement.Replica(
                me.host, me.peer, me.gossip, me.data_centre, self.session
            ),
            self.replica.active(ask.partitions),
            self.budget.used / self.budget.capacity,
        )

    # Tasks

    @mode.Service.task
    async def _follow(self) -> None:
        """Keep the book of placements new."""
        await self.following.run()

    @mode.Service.task
    async def _plan(self) -> None:
        """Plan placements, where this node is the one that does."""
        await self.planner.run()

    @mode.Service.task
    async def _forget(self) -> None:
        """Forget what may be forgotten."""
        await self.forget()

    async def forget(self) -> None:
        """Forget keys whose window has passed, now and then."""
        while True:
            await asyncio.sleep(EXPIRE_EVERY_S)
            self.replica.expire()
            self.owner.expire()
            self.activation.report()
