"""Reservations as a service of a node, see ``interfaces.Reservations``."""

import asyncio
import random
import typing

import expression
import mode

from carawaystair import codes
from carawaystair import interfaces
from carawaystair.reservations import messages
from carawaystair.reservations import names
from carawaystair.reservations import owner
from carawaystair.reservations import placement
from carawaystair.reservations import replica
from carawaystair.reservations import store
from carawaystair import routing as routings
from carawaystair import timeline as timelines

EXPIRE_EVERY_S = 5.0
DEFAULT_WINDOW_S = 3600
CAPACITY = 16 * 1024 * 1024


class Reservations(mode.Service):
    """The keys of this node's requests, and those that it keeps for others.

    :param transport: for messages.
    :param members: the membership.
    :param routing: returns the current configuration.
    :param timeline: takes note of events.
    :param rng: for tokens and backoff.
    :param incarnation: of this process.
    :param capacity: bytes for the keys kept here.
    """

    def __init__(
        self,
        transport: interfaces.Transport,
        members: interfaces.Members,
        routing: typing.Callable[[], routings.Routing],
        timeline: timelines.Timeline,
        rng: random.Random,
        incarnation: int,
        capacity: int = CAPACITY,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.transport = transport
        self.members = members
        self.routing = routing
        self.timeline = timeline
        self.placements = placement.Live(members)
        host = members.me.host
        self.replica = replica.Replica(
            host, incarnation, self.placements, store.Budget(capacity)
        )
        tokens = names.Tokens(host, incarnation, rng)
        self.owner = owner.Owner(self._send, self.placements, tokens, rng)
        self.handlers = {
            messages.Ask: self.replica.ask,
            messages.Settle: self.replica.settle,
            messages.Release: self.replica.release,
            messages.Vote: self.owner.vote,
            messages.Done: self.owner.done,
        }
        for kind in self.handlers:
            transport.handle(kind, self._receive)

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRE_EVERY_S)
            self.replica.expire()

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
        window = found.key_window_s if found else DEFAULT_WINDOW_S
        return await self.owner.reserve(
            names.name(service, customer, key),
            names.customer(customer),
            names.request(digest),
            window,
            deadline,
        )

    async def settle(
        self, token: str, answer: bytes, status: int = 200
    ) -> None:
        """Store an answer, see ``interfaces.Reservations``."""
        await self.owner.settle(token, answer, status)

    async def release(self, token: str) -> None:
        """Give a key back, see ``interfaces.Reservations``."""
        await self.owner.release(token)

    def _send(self, to: str, message) -> None:
        if to == self.members.me.peer:
            asyncio.get_running_loop().call_soon(self._here, to, message)
        else:
            self.transport.send(to, message)

    def _here(self, sender: str, message) -> None:
        answer = self.handlers[type(message)](message)
        if answer is not None:
            self._send(sender, answer)

    async def _receive(self, sender: str, message) -> None:
        self._here(sender, message)
