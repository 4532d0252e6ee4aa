"""Asks the control group for grants, on a node.

A request waits for its grant, so that no node spends what it was not granted.
While control elects a leader, requests wait for a moment and are then refused:
a node can't know what others spend meanwhile.

A node that gets no answer from control asks through other nodes; few of them
may be able to.  Where none is, only one request at a time waits to find out
when control can be reached again, and the others are refused at once.
"""

import asyncio
import itertools
import math
import random
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import interfaces
from carawaystair.load import retry_after
from carawaystair import manifest as manifests
from carawaystair.quota import messages
from carawaystair.request import validation

# How long one control host may take to answer, seconds.
CALL_TIMEOUT_S = 0.25
# How long a request waits for its grant, seconds: an election and the round
# after it.
PATIENCE_S = 2.0
# Pause before the leader is asked again that does not grant yet, seconds.
PAUSE_S = 0.05
# Control hosts that leave a question unanswered, one after the other, before
# control counts as out of reach.
MAX_SILENT = 2
# Nodes that are asked at a time to pass a question on, how often, and how long
# each may take, seconds.
RELAYS = 4
RELAY_ROUNDS = 4
RELAY_TIMEOUT_S = 0.15
# How long nodes are not asked again after none of them could help, seconds.
RELAY_PAUSE_S = 0.5
# When a request that was refused without any answer may return, seconds.
RETURN_S = 0.5
# Share of a time to return by which it is spread.
SPREAD = 0.2
MS = 1000


class Client:
    """Gets grants; one for each node.

    :param transport: messages to other processes.
    :param members: the processes believed alive.
    :param control_hosts: addresses of the control hosts in the settings.
    :param prefix: prefix of the ids of grants, different after every start.
    :param rng: the source of randomness.
    """

    def __init__(
        self,
        transport: interfaces.Transport,
        members: interfaces.Members,
        control_hosts: typing.Sequence[str],
        prefix: str,
        rng: random.Random,
    ) -> None:
        self.transport = transport
        self.members = members
        self.control_hosts = tuple(control_hosts)
        self.prefix = prefix
        self.rng = rng
        self.numbers = itertools.count(1)
        # Where the leader of control was last known.
        self.leader = ''
        # Questions in a row that no control host answered.
        self.silent = 0
        # Whether a request finds out if control can be reached again.
        self.probing = False
        # The node that passed a question on, or until when none is asked.
        self.relay = ''
        self.no_relay_until = -math.inf
        transport.handle(messages.Relay, self._on_relay)

    async def acquire(
        self, name: str, customer: manifests.Customer | None, until: float
    ) -> 'Lease | None':
        """Wait until a request may run.

        :param name: name of the customer.
        :param customer: the customer; None for requests of nobody.
        :param until: monotonic time by which it must be known.
        :return: the grant; None where nothing limits the customer.
        :raises validation.Refused: when it must not run.
        """
        if customer is None or not customer.rate_per_s:
            return None
        lease = Lease(self, name, '%s-%x' % (self.prefix, next(self.numbers)))
        answer = await self._ask_or_probe(
            messages.Acquire(name, lease.id),
            min(until, clock.now() + PATIENCE_S),
        )
        if answer is None:
            detail = '%d control hosts silent in a row' % self.silent
            after_s = retry_after.retry_after_s(RETURN_S, self.rng)
            raise validation.Refused(codes.QUOTA_UNKNOWN, detail, after_s)
        if answer.result == messages.OVER:
            after_s = answer.retry_ms / MS
            after_s *= 1.0 + SPREAD * self.rng.random()
            detail = 'customer %s, room in %.2f s' % (
                name,
                answer.retry_ms / MS,
            )
            raise validation.Refused(codes.QUOTA_USED, detail, after_s)
        return lease

    async def _ask_or_probe(
        self, question: messages.Acquire, until: float
    ) -> messages.Acquired | None:
        """Ask, unless control is out of reach and another request asks."""
        if self.silent < MAX_SILENT:
            answer = await self._ask(question, until)
            if answer is not None or self.silent < MAX_SILENT:
                return answer
        answer = await self._ask_relays(question, until)
        if answer is not None or self.probing:
            return answer
        self.probing = True
        try:
            return await self._ask(question, until)
        finally:
            self.probing = False

    async def _ask_relays(
        self, question: messages.Acquire, until: float
    ) -> messages.Acquired | None:
        """Ask through other nodes; None if none of them reaches the leader.

        Those that can't say so at once.  The one that can is asked first from
        then on.
        """
        message = messages.Relay(question.customer, question.id)
        for _round in range(RELAY_ROUNDS):
            left_s = until - clock.now()
            if left_s <= 0.0 or clock.now() < self.no_relay_until:
                return None
            nodes = [self.relay] if self.relay else self._sample_nodes()
            timeout_s = min(RELAY_TIMEOUT_S, left_s)
            results = await asyncio.gather(
                *(
                    self.transport.call(node, message, timeout_s)
                    for node in nodes
                )
            )
            self.relay = ''
            for node, result in zip(nodes, results):
                answer = result.default_value(None)
                if _is_decided(answer):
                    self.relay = node
                    return answer
        self.no_relay_until = clock.now() + RELAY_PAUSE_S
        return None

    def _sample_nodes(self) -> list[str]:
        me = self.members.me.host
        nodes = [
            member.peer
            for member in self.members.alive()
            if not member.control and member.host != me
        ]
        return self.rng.sample(nodes, min(RELAYS, len(nodes)))

    async def _on_relay(
        self, _sender: str, message: messages.Relay
    ) -> messages.Acquired:
        """Ask control for another node."""
        answer = None
        if self.silent < MAX_SILENT:
            question = messages.Acquire(message.customer, message.id)
            until = clock.now() + RELAY_TIMEOUT_S
            answer = await self._ask(question, until)
        return answer or messages.Acquired(messages.UNREACHABLE)

    async def _ask(
        self, question: messages.Acquire, until: float
    ) -> messages.Acquired | None:
        """Ask until the leader decides; None if it does not in time."""
        tried: set[str] = set()
        while True:
            address = self.leader or self._any_control_host(tried)
            left_s = until - clock.now()
            out_of_reach = self.silent >= MAX_SILENT and not self.probing
            if not address or left_s <= 0.0 or out_of_reach:
                return None
            result = await self.transport.call(
                address, question, min(CALL_TIMEOUT_S, left_s)
            )
            answer = result.default_value(None)
            if _is_decided(answer):
                self.leader, self.silent = address, 0
                return answer
            tried.add(address)
            await self._follow(address, answer)

    async def _follow(
        self, asked: str, answer: messages.Acquired | None
    ) -> None:
        """Find out whom to ask next."""
        if answer is None:
            self.silent += 1
            if self.leader == asked:
                self.leader = ''
            return
        self.silent = 0
        if answer.result == messages.NOT_LEADER:
            self.leader = answer.leader if answer.leader != asked else ''
            if self.leader:
                return
        await asyncio.sleep(PAUSE_S)

    def _any_control_host(self, tried: set[str]) -> str:
        """Return a control host, one not tried yet if there is one."""
        alive = [m.peer for m in self.members.alive() if m.control]
        hosts = alive or list(self.control_hosts)
        untried = [host for host in hosts if host not in tried]
        if not untried:
            tried.clear()
        return self.rng.choice(untried or hosts) if hosts else ''

    def give_back(self, lease: 'Lease') -> None:
        """Return the grant of a request that was not run."""
        if self.leader:
            message = messages.GiveBack(lease.customer, lease.id)
            self.transport.send(self.leader, message)


class Lease(typing.NamedTuple):
    """The grant of one request.

    :param client: gave it.
    :param customer: name of the customer.
    :param id: identifies the grant.
    """

    client: Client
    customer: str
    id: str

    def give_back(self) -> None:
        """Return it: the request was not run and will not be."""
        self.client.give_back(self)


def _is_decided(answer) -> bool:
    return (
        isinstance(answer, messages.Acquired)
        and answer.result in messages.DECIDED
    )
