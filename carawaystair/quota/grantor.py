"""Grants requests of customers, on the control hosts.

Only the leader grants.  Each round of grants goes to all voters and counts
once a majority holds it.  That proves two things at once: that no later leader
exists, since a majority follows this term, and that a later one will learn of
these grants, since it asks a majority, too.  A voter that answers a later
leader refuses the rounds of earlier ones from then on.

After a restart of most control hosts nobody knows what was granted within the
last window, but it was no more than customers are allowed.  Until that window
is over, the leader grants what quotas may be exceeded by.
"""

import asyncio
import functools
import typing

import mode

from carawaystair import clock
from carawaystair.control import interfaces as control
from carawaystair.control import state as states
from carawaystair import logs
from carawaystair import manifest as manifests
from carawaystair import metrics
from carawaystair.quota import electorate as electorates
from carawaystair.quota import ledger as ledgers
from carawaystair.quota import messages
from carawaystair.quota import parts
from carawaystair import rows

# Rounds begin at least so far apart, seconds: requests that come together
# share one.
ROUND_INTERVAL_S = 0.005
# How long a new leader waits before it asks again what was granted, seconds.
RECOVERY_PAUSE_S = 0.1
# The same once no earlier leader can grant: it waits for a window to pass, and
# each answer holds all grants of the last one.
FENCED_PAUSE_S = 0.5
# How often it is checked whether this host still votes, and old grants are
# forgotten, seconds.
SWEEP_INTERVAL_S = 0.25
# Customers with metrics of their own; the others share one.
MAX_SHOWN_CUSTOMERS = 50
OTHER = 'other'

LOG = logs.get('quota')


Quota = parts.Quota


class Round:
    """Grants that are sent to the voters together.

    :param done: tells whether a majority holds them.
    """

    def __init__(self, done: asyncio.Future) -> None:
        self.done = done
        self.grants: list[ledgers.Grant] = []


class Grantor(mode.Service):
    """The quota service of one control host.

    :param shared: state of the replica of the control log.
    :param group: the control group, which has the configuration.
    :param quota: how requests are counted.
    """

    def __init__(
        self,
        shared: states.State,
        group: control.Control,
        quota: Quota,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.shared = shared
        self.group = group
        self.transport = shared.transport
        self.quota = quota
        self.window_ms = quota.window_ms
        self.ledger = ledgers.Ledger(quota.window_ms)
        # What leaders granted that did not know earlier grants.
        self.spare = ledgers.Ledger(quota.window_ms)
        # The term in which no earlier leader can grant any more.
        self.fenced_term = -1
        self.round: Round | None = None
        self.returned: list[ledgers.Grant] = []
        # The term in which this host knows all earlier grants, and the
        # voters that hold them.
        self.term = -1
        self.voters: frozenset[str] = frozenset()
        self.electorate = electorates.Electorate(shared)
        self.recovery: asyncio.Task | None = None
        self.voter_since_ms: int | None = None
        self.granted = 0
        self.refused: dict[str, int] = {}
        self.transport.handle(messages.Acquire, self.on_acquire)
        self.transport.handle(messages.GiveBack, self.on_give_back)
        self.transport.handle(messages.Record, self.on_record)
        self.transport.handle(messages.Collect, self.on_collect)

    async def on_start(self) -> None:
        """Show metrics."""
        metrics.collect(self.samples)

    def samples(self) -> typing.Iterator[metrics.Sample]:
        """Yield grants and refusals, of a bounded number of customers."""
        yield metrics.Sample('quota_granted_total', self.granted)
        for customer, count in self.refused.items():
            labels = (('customer', customer),)
            yield metrics.Sample('quota_refused_total', count, labels)

    @mode.Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            now_ms = clock.uptime_ms()
            self.ledger.evict(now_ms)
            self.spare.evict(now_ms)
            state = self.shared
            votes = state.ready and state.group.votes(state.identity)
            if not votes:
                self.voter_since_ms = None
            elif self.voter_since_ms is None:
                self.voter_since_ms = now_ms
            if self._leads() and self.term != state.term:
                # Before the first request needs it.
                self._recover()
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def _leads(self) -> bool:
        return self.shared.role == control.LEADER and self.shared.ready

    # Requests

    async def on_acquire(
        self, _sender: str, ask: messages.Acquire
    ) -> messages.Acquired:
        """Grant or refuse one request."""
        state = self.shared
        if not self._leads():
            return messages.Acquired(
                messages.NOT_LEADER, leader=state.leader_peer
            )
        allowed = self._allowance(ask.customer)
        if allowed is None:
            # The node has an older version; nothing limits the customer.
            return messages.Acquired(messages.GRANTED)
        most = self.quota.split(allowed)[parts.LEADER]
        verdict = self._take(ask, most, self.quota.recovery(allowed))
        if verdict is None:
            return messages.Acquired(messages.RECOVERING)
        if not verdict.granted:
            self._count_refusal(ask.customer)
            return messages.Acquired(
                messages.OVER,
                verdict.retry_ms,
                room_ms=self.ledger.room_ms(
                    ask.customer, most, clock.uptime_ms()
                ),
            )
        # A grant that is known may be one that no majority holds yet.
        if not await self._replicate(ledgers.Grant(ask.customer, ask.id)):
            return messages.Acquired(
                messages.NOT_LEADER, leader=state.leader_peer
            )
        self.granted += 1
        return messages.Acquired(messages.GRANTED)

    def _take(
        self, ask: messages.Acquire, most: int, recovery: int
    ) -> ledgers.Verdict | None:
        """Decide on a request; None if this leader may not do so yet.

        :param most: grants that a window may hold.
        :param recovery: the same while earlier grants are not known.
        """
        now_ms = clock.uptime_ms()
        if self.term == self.shared.term:
            return self.ledger.take(ask.customer, ask.id, most, now_ms)
        self._recover()
        if self.fenced_term != self.shared.term:
            return None
        verdict = self.spare.take(ask.customer, ask.id, recovery, now_ms)
        if not verdict.granted:
            return None
        self.ledger.record([ledgers.Grant(ask.customer, ask.id)], now_ms)
        return verdict

    def _allowance(self, customer: str) -> int | None:
        """Return what a window may hold; None where nothing limits it."""
        row = self.group.table().get(rows.CUSTOMER + customer)
        return None if row is None else _allowance(row, self.window_ms)

    def _count_refusal(self, customer: str) -> None:
        shown = customer in self.refused or (
            len(self.refused) < MAX_SHOWN_CUSTOMERS
        )
        name = customer if shown else OTHER
        self.refused[name] = self.refused.get(name, 0) + 1

    async def on_give_back(
        self, _sender: str, message: messages.GiveBack
    ) -> None:
        """Remove the grant of a request that was not run."""
        if not self._leads() or self.term != self.shared.term:
            return
        self.ledger.give_back(message.customer, message.id)
        self.returned.append(ledgers.Grant(message.customer, message.id))

    # Rounds of the leader

    async def _replicate(self, grant: ledgers.Grant) -> bool:
        """Return whether a majority of the voters holds a grant."""
        if self.round is None:
            loop = asyncio.get_running_loop()
            self.round = Round(loop.create_future())
            self.add_future(self._send_round(self.round))
        current = self.round
        current.grants.append(grant)
        # A request that is no longer waited for must not end the round.
        return await asyncio.shield(current.done)

    async def _send_round(self, current: Round) -> None:
        await asyncio.sleep(ROUND_INTERVAL_S)
        self.round = None
        returned, self.returned = self.returned, []
        done = False
        try:
            done = await self._send_grants(current.grants, returned)
        finally:
            if not current.done.done():
                current.done.set_result(done)

    async def _send_grants(
        self,
        grants: typing.Sequence[ledgers.Grant],
        returned: typing.Sequence[ledgers.Grant],
    ) -> bool:
        state, term = self.shared, self.shared.term
        voters = self.electorate.identities()
        sent = [(grants, self.term != term)]
        if voters != self.voters:
            # The majorities before and after may have no host in common
            # after two changes of the group.
            now_ms = clock.uptime_ms()
            sent = [(self.ledger.current(now_ms), False)]
            if spare := self.spare.current(now_ms):
                sent.append((spare, True))
        held = await asyncio.gather(
            *(
                self.electorate.ask(
                    messages.Record(
                        state.group.id,
                        term,
                        tuple(some),
                        tuple(returned),
                        self.quota.holders,
                        recovery,
                    )
                )
                for some, recovery in sent
            )
        )
        done = state.leads(term) and all(
            self.electorate.is_majority({a.identity for a in answers if a.ok})
            for answers in held
        )
        if done:
            self.voters = voters
        return done

    # Recovery of a new leader

    def _recover(self) -> None:
        if self.recovery is None or self.recovery.done():
            self.recovery = self.add_future(self._collect(self.shared.term))

    async def _collect(self, term: int) -> None:
        """Learn what earlier leaders granted within the last window."""
        state = self.shared
        while state.leads(term):
            message = messages.Collect(
                state.group.id, term, self.quota.holders
            )
            voters = self.electorate.identities()
            answers = await self.electorate.ask(message)
            now_ms = clock.uptime_ms()
            for answer in answers:
                self.ledger.record(answer.grants, now_ms)
                self.spare.record(answer.recovery, now_ms)
            if self.electorate.is_majority({a.identity for a in answers}):
                self.fenced_term = term
            complete = {a.identity for a in answers if a.complete}
            enough = self._complete(now_ms) and self.electorate.is_majority(
                complete
            )
            if enough and state.leads(term):
                self.term, self.voters = term, voters
                LOG.info('Grants.', term=term, known=len(self.ledger.grants))
                return
            fenced = self.fenced_term == term
            await asyncio.sleep(FENCED_PAUSE_S if fenced else RECOVERY_PAUSE_S)

    def _complete(self, now_ms: int) -> bool:
        """Return whether this host holds what it recorded in the window.

        A process that started since has forgotten it.
        """
        since_ms = self.voter_since_ms
        return since_ms is not None and now_ms - since_ms > self.window_ms

    # Voters

    async def on_record(
        self, _sender: str, message: messages.Record
    ) -> messages.Recorded | None:
        """Hold the grants of a leader, unless a later one was seen."""
        state = self.shared
        if not state.ready or state.foreign(message.group):
            return None
        identity = state.identity
        alike = message.holders == self.quota.holders
        if message.term < state.term or not alike:
            return messages.Recorded(identity, state.term, False)
        now_ms = clock.uptime_ms()
        self.ledger.record(message.grants, now_ms)
        if message.recovery:
            self.spare.record(message.grants, now_ms)
        for grant in message.returned:
            self.ledger.give_back(grant.customer, grant.id)
        return messages.Recorded(identity, message.term, True)

    async def on_collect(
        self, _sender: str, message: messages.Collect
    ) -> messages.Collected | None:
        """Tell a new leader what this host holds; follow no earlier one."""
        state = self.shared
        if not await electorates.follow(state, message, self.quota.holders):
            return None
        now_ms = clock.uptime_ms()
        return messages.Collected(
            state.identity,
            message.term,
            self._complete(now_ms),
            tuple(self.ledger.current(now_ms)),
            tuple(self.spare.current(now_ms)),
        )


@functools.lru_cache(maxsize=4096)
def _allowance(row: bytes, window_ms: int) -> int | None:
    customer = rows.decode(manifests.Customer, row)
    if not customer.rate_per_s:
        return None
    return ledgers.allowance(customer.rate_per_s, customer.burst, window_ms)


def make(kernel, group) -> Grantor:
    """Return the quota service of a control host.

    :param group: the replicated control group.
    """
    quota = parts.quota(kernel.settings.control)
    return Grantor(group.replica.shared, group, quota)
