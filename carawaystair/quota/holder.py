"""Grants parts of allowances without asking control, on a node.

A holder may grant while its tenure lasts, by a ledger of its own that nobody
else needs.  A process that starts again holds nothing: it is another one.
"""

import asyncio
import random
import typing

import mode

from carawaystair import clock
from carawaystair import decisions
from carawaystair import interfaces
from carawaystair import manifest as manifests
from carawaystair import metrics
from carawaystair.quota import client as clients
from carawaystair.quota import ledger as ledgers
from carawaystair.quota import messages
from carawaystair.quota import parts
from carawaystair.quota import tenures

# How often control is asked, seconds, and how often while it does not answer
# or, by those that hold parts, while others have no holder.
RENEW_S = 2.0
RETRY_S = 0.5
# How long an answer may take, seconds.
CALL_TIMEOUT_S = 0.25
# Control hosts asked one after the other before the next pause.
MAX_HOPS = 3
# Share of a pause by which it is spread.
SPREAD = 0.2
MS = 1000


class Configuration(typing.Protocol):
    """What a holder knows of customers."""

    def customer(self, name: str) -> manifests.Customer | None:
        """Return a customer; None if unknown."""

    def age_s(self) -> float:
        """Return how long ago this was surely the newest, seconds."""


class Holder(mode.Service):
    """The part of a node that holds parts; one for each node.

    :param me: the process.
    :param transport: messages to other processes.
    :param client: asks for grants; it is told who holds what.
    :param quota: how requests are counted.
    :param customer: returns a customer in the configuration in force.
    :param age_s: returns how long ago that was surely the newest, seconds.
    :param max_age_s: allowances are granted by a configuration no older than
        this, as keys are accepted; 0 for any.
    :param rng: the source of randomness.
    :param recorder: records events.
    """

    def __init__(
        self,
        me: tenures.Process,
        transport: interfaces.Transport,
        client: 'clients.Client',
        quota: parts.Quota,
        customer: typing.Callable[[str], manifests.Customer | None],
        age_s: typing.Callable[[], float],
        max_age_s: float,
        rng: random.Random,
        recorder: decisions.Recorder,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.me = me
        self.transport = transport
        self.client = client
        self.quota = quota
        self.customer = customer
        self.age_s = age_s
        self.max_age_s = max_age_s
        self.rng = rng
        self.recorder = recorder
        self.held = tenures.Held()
        self.ledgers = {
            part: ledgers.Ledger(quota.window_ms)
            for part in range(1, quota.holders + 1)
        }
        self.granted: dict[int, int] = dict.fromkeys(self.ledgers, 0)
        # Refusals by reason.
        self.refused = {'over': 0, 'not-held': 0, 'stale': 0}
        self.lost = 0
        self.released = False
        # Digest of what control last told of all holders, and whether each
        # part had one.
        self.seen, self.complete = 0, False
        transport.handle(messages.AcquirePart, self.on_acquire)
        transport.handle(messages.GiveBackPart, self.on_give_back)

    async def on_start(self) -> None:
        """Show metrics."""
        metrics.collect(self.samples)

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield what this node holds and has granted."""
        held = self.held.claims(clock.uptime_ms())
        yield metrics.Sample('quota_parts_held', len(held))
        yield metrics.Sample('quota_tenures_lost_total', self.lost)
        for part, count in self.granted.items():
            labels = (('part', str(part)),)
            yield metrics.Sample('quota_part_granted_total', count, labels)
        for reason, count in self.refused.items():
            labels = (('reason', reason),)
            yield metrics.Sample('quota_part_refused_total', count, labels)

    # Tenures

    @mode.Service.task
    async def _tend(self) -> None:
        while self.quota.holders and not (self.should_stop or self.released):
            settled = await self.tend()
            now_ms = clock.uptime_ms()
            ended = self.held.end(now_ms)
            self.lost += len(ended)
            self._tell('ended', ended, 0)
            for ledger in self.ledgers.values():
                ledger.evict(now_ms)
            pause_s = RENEW_S if settled else RETRY_S
            await asyncio.sleep(pause_s * self.rng.uniform(1 - SPREAD, 1))

    async def tend(self) -> bool:
        """Ask control who holds what; return whether there is no hurry."""
        tried: set[str] = set()
        for _hop in range(MAX_HOPS):
            address = self.client.leader
            if not address or address in tried:
                address = self.client.any_control_host(tried)
            if not address:
                return False
            tried.add(address)
            answer = await self._ask(address)
            if answer is None:
                continue
            if answer.result == messages.GRANTED:
                self.client.leader = address
                return self.complete or not answer.held
            if answer.result != messages.NOT_LEADER:
                return answer.result == messages.NOT_HELD
            if answer.leader and answer.leader not in tried:
                self.client.leader = answer.leader
        return False

    async def _ask(self, address: str) -> messages.Tended | None:
        # The tenure is counted from here on: control decides later.
        asked_ms = clock.uptime_ms()
        question = messages.Tend(
            self.me, self.quota, self.held.claims(asked_ms), self.seen
        )
        # A late answer must not count: the part may have been assigned anew
        # a window after the tenure that the question claims.
        timeout_s = min(CALL_TIMEOUT_S, self.quota.window_ms / MS / 2)
        result = await self.transport.call(address, question, timeout_s)
        answer = result.default_value(None)
        if not isinstance(answer, messages.Tended):
            return None
        now_ms = clock.uptime_ms()
        if answer.result == messages.GRANTED:
            late = now_ms - asked_ms > 2 * timeout_s * MS
            if not late and not self.released:
                began = self.held.extend(answer.held, asked_ms, now_ms)
                self._tell('began', began, tenures.TENURE_MS)
            if answer.digest != self.seen:
                self.client.know(answer.places, answer.known)
                self.complete = len(answer.places) == len(
                    parts.keys(self.quota.holders)
                )
                self.seen = answer.digest
        return answer

    def _tell(
        self, change: str, keys: typing.Sequence[parts.Key], left_ms: int
    ) -> None:
        if not keys:
            return
        self.recorder.tell(
            decisions.TenureChanged(
                change, parts.names(keys), self.me.host, self.me.id, left_ms
            ),
            decisions.BELIEF,
        )

    def release(self) -> None:
        """Grant nothing any more: the process stops."""
        self.released = True
        keys = self.held.clear()
        self._tell('ended', keys, 0)
        if keys and self.client.leader:
            message = messages.Release(self.me, keys)
            self.transport.send(self.client.leader, message)

    # Requests

    async def on_acquire(
        self, _sender: str, ask: messages.AcquirePart
    ) -> messages.Acquired:
        """Grant or refuse one request."""
        now_ms = clock.uptime_ms()
        key = parts.Key(parts.slice_of(ask.customer), ask.part)
        if not self.held.holds(key, now_ms):
            return self._not_held('not-held')
        if self.max_age_s and self.age_s() >= self.max_age_s:
            # A limit may have been lowered since.
            return self._not_held('stale')
        most = self._part(ask.customer, ask.part)
        if most is None:
            # A version that differs from that of the node that asks.
            return self._not_held('stale')
        ledger = self.ledgers[ask.part]
        verdict = ledger.take(ask.customer, ask.id, most, now_ms)
        if verdict.granted:
            self.granted[ask.part] += 1
            return messages.Acquired(messages.GRANTED)
        self.refused['over'] += 1
        room_ms = ledger.room_ms(ask.customer, most, now_ms)
        return messages.Acquired(
            messages.OVER, verdict.retry_ms, room_ms=room_ms
        )

    def _part(self, name: str, part: int) -> int | None:
        """Return what a part may grant in a window; None if unknown."""
        customer = self.customer(name)
        if customer is None or not customer.rate_per_s:
            return None
        most = ledgers.allowance(
            customer.rate_per_s, customer.burst, self.quota.window_ms
        )
        return self.quota.split(most)[part]

    def _not_held(self, reason: str) -> messages.Acquired:
        self.refused[reason] += 1
        return messages.Acquired(messages.NOT_HELD)

    async def on_give_back(
        self, _sender: str, message: messages.GiveBackPart
    ) -> None:
        """Remove the grant of a request that was not run."""
        ledger = self.ledgers.get(message.part)
        if ledger is not None:
            ledger.give_back(message.customer, message.id)
