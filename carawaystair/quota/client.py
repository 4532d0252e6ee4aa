"""Asks the control group for grants, on a node.

A request waits for its grant, so that no node spends what it was not granted.
While control elects a leader, requests wait for a moment and are then refused:
a node can't know what others spend meanwhile.

A node that gets no answer from control asks through other nodes; few of them
may be able to.  Where none is, only one request at a time waits to find out
when control can be reached again, and the others are refused at once.

Where nodes hold parts of allowances, their holders are asked first, and
control for its own part only when they have no room or do not answer.  A part
that has no room for a customer is not asked again before it may have.
"""

import asyncio
import itertools
import math
import random
import typing

from carawaystair import clock
from carawaystair import codes
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair.load import retry_after
from carawaystair import manifest as manifests
from carawaystair.quota import choice as choices
from carawaystair.quota import ledger as ledgers
from carawaystair.quota import messages
from carawaystair.quota import parts
from carawaystair.request import validation

# How long one control host may take to answer, seconds.
CALL_TIMEOUT_S = 0.25
# How long the holder of a part may take, seconds.
HOLDER_TIMEOUT_S = 0.15
# How long control is not asked for more than an allowance after it did not
# decide, seconds.
UNDECIDED_S = 0.5
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
    :param quota: how requests are counted where nodes hold parts.
    :param data_centre: where the node stands.
    :param recorder: records events.
    """

    def __init__(
        self,
        transport: interfaces.Transport,
        members: interfaces.Members,
        control_hosts: typing.Sequence[str],
        prefix: str,
        rng: random.Random,
        quota: parts.Quota = parts.Quota(0),
        data_centre: str = '',
        recorder: decisions.Recorder | None = None,
    ) -> None:
        self.transport = transport
        self.members = members
        self.control_hosts = tuple(control_hosts)
        self.prefix = prefix
        self.rng = rng
        self.quota = quota
        self.choice = choices.Choice(quota.holders, data_centre, rng)
        # Until when control is taken for undecided.
        self.undecided_until = -math.inf
        self.recorder = recorder
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

    def know(
        self, places: typing.Iterable[messages.Place], everybody: bool
    ) -> None:
        """Take over who holds which part.

        :param everybody: whether nobody else holds one.
        """
        self.choice.know(places, everybody)

    async def acquire(
        self,
        name: str,
        customer: manifests.Customer | None,
        until: float,
        request: str = '',
    ) -> 'Lease | None':
        """Wait until a request may run.

        :param name: name of the customer.
        :param customer: the customer; None for requests of nobody.
        :param until: monotonic time by which it must be known.
        :param request: id of the request, for the logs.
        :return: the grant; None where nothing limits the customer.
        :raises validation.Refused: when it must not run.
        """
        if customer is None or not customer.rate_per_s:
            return None
        number = '%s-%x' % (self.prefix, next(self.numbers))
        until = min(until, clock.now() + PATIENCE_S)
        said: dict[int, str] = {}
        if self.choice.holders:
            granted = await self._ask_holders(name, number, until, said)
            if granted is not None:
                return Lease(self, name, number, granted)
        used = self._is_used(customer, said)
        retry_ms = await self._ask_leader(name, number, until, used, said)
        if retry_ms is None:
            return Lease(self, name, number)
        used = self._is_used(customer, said)
        raise self._refusal(request, name, retry_ms, used, said)

    def _is_used(
        self, customer: manifests.Customer, said: dict[int, str]
    ) -> bool:
        """Return whether the parts without room are a whole allowance.

        More than that is the spare, which is not worth waiting for.
        """
        window_ms = self.quota.window_ms
        most = ledgers.allowance(
            customer.rate_per_s, customer.burst, window_ms
        )
        split = self.quota.split(most)
        full = [part for part, why in said.items() if why == choices.FULL]
        return bool(full) and (
            len(full) == len(split) or sum(split[p] for p in full) >= most
        )

    async def _ask_leader(
        self,
        name: str,
        number: str,
        until: float,
        used: bool,
        said: dict[int, str],
    ) -> int | None:
        """Ask for a grant of the part of control.

        :param used: whether the other parts were a whole allowance.
        :param said: takes what the part said.
        :return: None if it is granted, else when it may be, ms.
        """
        now = clock.now()
        if self.choice.holders:
            room = self.choice.room_at(name, parts.LEADER, now)
            if room is not None:
                said[parts.LEADER] = choices.FULL
                return int((room - now) * MS)
        answer, silent = None, set()
        if used:
            until = min(until, now + CALL_TIMEOUT_S)
        if not used or now >= self.undecided_until:
            answer = await self._ask_or_probe(
                messages.Acquire(name, number), until, silent
            )
            if answer is None:
                self.undecided_until = clock.now() + UNDECIDED_S
                # One may have granted; this request asks no more.
                for address in silent:
                    self.transport.send(
                        address, messages.GiveBack(name, number)
                    )
        if answer is None:
            said[parts.LEADER] = choices.UNDECIDED
            return int(RETURN_S * MS)
        self.undecided_until = -math.inf
        if answer.result == messages.GRANTED:
            return None
        said[parts.LEADER] = choices.FULL
        if self.choice.holders:
            self.choice.set_full(
                name, parts.LEADER, answer.room_ms / MS, clock.now()
            )
        return answer.retry_ms

    async def _ask_holders(
        self, name: str, number: str, until: float, said: dict[int, str]
    ) -> choices.Candidate | None:
        """Ask the holders of a customer's parts, each once.

        :param said: takes what each part said.
        :return: the one that granted.
        """
        candidates, known = self.choice.order(name, clock.now())
        said.update(known)
        for candidate in candidates:
            left_s = until - clock.now()
            if left_s <= 0.0:
                said[candidate.part] = choices.UNDECIDED
                continue
            result = await self.transport.call(
                candidate.peer,
                messages.AcquirePart(name, number, candidate.part),
                min(HOLDER_TIMEOUT_S, left_s),
            )
            answer = result.default_value(None)
            if _is_decided(answer) and answer.result == messages.GRANTED:
                return candidate
            self._note(name, number, candidate, answer, said)
        return None

    def _note(
        self,
        name: str,
        number: str,
        candidate: choices.Candidate,
        answer: messages.Acquired | None,
        said: dict[int, str],
    ) -> None:
        """Remember why a holder has not granted."""
        now = clock.now()
        if _is_decided(answer):
            said[candidate.part] = choices.FULL
            room_s = answer.room_ms / MS
            self.choice.set_full(name, candidate.part, room_s, now)
            return
        why = choices.NOT_HELD
        if answer is None:
            # It may have granted; this request never asks it again.
            why = choices.SILENT
            self._return_part(name, number, candidate)
        said[candidate.part] = why
        self.choice.avoid(name, candidate, why, now)

    def _refusal(
        self,
        request: str,
        name: str,
        retry_ms: int,
        used: bool,
        said: dict[int, str],
    ) -> validation.Refused:
        """Return the refusal of a request that no part granted.

        :param used: whether the customer has used its allowance.
        """
        if used:
            retry_s = self._room_s(name, retry_ms / MS, said)
            code = codes.QUOTA_USED
            detail = 'customer %s, room in %.2f s' % (name, retry_s)
            after_s = retry_s * (1.0 + SPREAD * self.rng.random())
        else:
            code, retry_s = codes.QUOTA_UNKNOWN, RETURN_S
            detail = '%d control hosts silent in a row' % self.silent
            after_s = retry_after.retry_after_s(RETURN_S, self.rng)
        if self.choice.holders:
            asked = ' '.join('%d:%s' % pair for pair in sorted(said.items()))
            detail += ', parts ' + asked
            self._tell(request, name, code, asked, retry_s)
        return validation.Refused(code, detail, after_s)

    def _room_s(
        self, name: str, leader_s: float, said: dict[int, str]
    ) -> float:
        """Return when the first part has room, seconds.

        :param leader_s: when that of control has, if it is full.
        """
        now = clock.now()
        rooms = [
            self.choice.room_at(name, part, now)
            for part in range(1, self.choice.holders + 1)
        ]
        known_s = [room - now for room in rooms if room is not None]
        if said[parts.LEADER] == choices.FULL or not known_s:
            known_s.append(leader_s)
        return min(known_s)

    def _tell(
        self,
        request: str,
        name: str,
        code: codes.Code,
        asked: str,
        retry_s: float,
    ) -> None:
        if self.recorder is not None:
            self.recorder.tell(
                decisions.QuotaRefused(
                    request, name, code.label, asked, int(retry_s * MS)
                ),
                decisions.TROUBLE,
            )

    async def _ask_or_probe(
        self, question: messages.Acquire, until: float, silent: set[str]
    ) -> messages.Acquired | None:
        """Ask, unless control is out of reach and another request asks.

        :param silent: takes the control hosts that did not answer.
        """
        if self.silent < MAX_SILENT:
            answer = await self._ask(question, until, silent)
            if answer is not None or self.silent < MAX_SILENT:
                return answer
        answer = await self._ask_relays(question, until)
        if answer is not None or self.probing:
            return answer
        self.probing = True
        try:
            return await self._ask(question, until, silent)
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
            # Who asked may get the grant through another node.
            answer = await self._ask(question, until, set())
        return answer or messages.Acquired(messages.UNREACHABLE)

    async def _ask(
        self, question: messages.Acquire, until: float, silent: set[str]
    ) -> messages.Acquired | None:
        """Ask until the leader decides; None if it does not in time.

        :param silent: takes the control hosts that did not answer.
        """
        tried: set[str] = set()
        while True:
            address = self.leader or self.any_control_host(tried)
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
            if answer is None:
                silent.add(address)
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

    def any_control_host(self, tried: set[str]) -> str:
        """Return a control host, one not tried yet if there is one."""
        alive = [m.peer for m in self.members.alive() if m.control]
        hosts = alive or list(self.control_hosts)
        untried = [host for host in hosts if host not in tried]
        if not untried:
            tried.clear()
        return self.rng.choice(untried or hosts) if hosts else ''

    def give_back(self, lease: 'Lease') -> None:
        """Return the grant of a request that was not run."""
        if lease.holder is not None:
            self._return_part(lease.customer, lease.id, lease.holder)
        elif self.leader:
            message = messages.GiveBack(lease.customer, lease.id)
            self.transport.send(self.leader, message)

    def _return_part(
        self, name: str, number: str, holder: choices.Candidate
    ) -> None:
        message = messages.GiveBackPart(name, number, holder.part)
        self.transport.send(holder.peer, message)


class Lease(typing.NamedTuple):
    """The grant of one request.

    :param client: gave it.
    :param customer: name of the customer.
    :param id: identifies the grant.
    :param holder: who granted; None for the leader of control.
    """

    client: Client
    customer: str
    id: str
    holder: choices.Candidate | None = None

    def give_back(self) -> None:
        """Return it: the request was not run and will not be."""
        self.client.give_back(self)


def _is_decided(answer) -> bool:
    return (
        isinstance(answer, messages.Acquired)
        and answer.result in messages.DECIDED
    )
