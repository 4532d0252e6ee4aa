"""Assigns parts of allowances to nodes, on the control hosts.

Only the leader assigns.  A tenure counts once a majority of the voters has
recorded it, as grants do (``grantor``): no stale leader can assign then, and
a later one learns of it from a majority.  Until a majority knows all tenures
that may stand, the leader renews those that their holders claim and assigns
none anew.  ``docs/design/standing-allowances.md`` weighs the ways.
"""

import asyncio
import math
import typing

import mode
import xxhash

from carawaystair import clock
from carawaystair.control import interfaces as control
from carawaystair.control import state as states
from carawaystair import decisions
from carawaystair import logs
from carawaystair import metrics
from carawaystair.quota import electorate as electorates
from carawaystair.quota import messages
from carawaystair.quota import parts
from carawaystair.quota import tenures

# How often it is checked whether this host votes and leads, seconds.
SWEEP_INTERVAL_S = 0.25
# Pause before the voters are asked again what they know, seconds.
COLLECT_PAUSE_S = 0.5
# A new leader hears who there is before it assigns, ms.
SETTLE_MS = 1500

LOG = logs.get('quota')


class Told(typing.NamedTuple):
    """What nodes are told of all holders.

    :param changes: changes of the table before it.
    :param known: whether nobody else holds a part.
    :param until_ms: when the first tenure may end.
    :param places: who holds what.
    :param digest: stands for ``places`` and ``known``.
    """

    changes: int
    known: bool
    until_ms: float
    places: tuple[messages.Place, ...]
    digest: int


class Delegator(mode.Service):
    """Assigns parts; one for each control host.

    :param shared: state of the replica of the control log.
    :param quota: how requests are counted.
    :param recorder: records events.
    """

    def __init__(
        self,
        shared: states.State,
        quota: parts.Quota,
        recorder: decisions.Recorder,
        **kwargs,
    ) -> None:
        super().__init__(**kwargs)
        self.shared = shared
        self.transport = shared.transport
        self.quota = quota
        self.recorder = recorder
        self.table = tenures.Table(quota)
        self.electorate = electorates.Electorate(shared)
        # The term in which no earlier leader can assign any more, and the
        # one in which this host knows all earlier tenures.
        self.fenced_term = -1
        self.known_term = -1
        # When this leader may have heard of all processes that ask.
        self.settled_ms = 0
        self.voters: frozenset[str] = frozenset()
        self.told: Told | None = None
        self.voter_since_ms: int | None = None
        # Whether this process has voted, and since the group was founded.
        self.voted = self.founder = False
        self.assigned = 0
        self.transport.handle(messages.Tend, self.on_tend)
        self.transport.handle(messages.Release, self.on_release)
        self.transport.handle(messages.RecordTenures, self.on_record)
        self.transport.handle(messages.CollectTenures, self.on_collect)

    async def on_start(self) -> None:
        """Show metrics."""
        metrics.collect(self.samples)

    def samples(self):
        """Yield the tenures that this host knows."""
        yield metrics.Sample('quota_tenures', len(self.table.entries))
        yield metrics.Sample('quota_tenures_assigned_total', self.assigned)

    @mode.Service.task
    async def _sweep(self) -> None:
        while self.quota.holders and not self.should_stop:
            self._watch_vote(clock.uptime_ms())
            state = self.shared
            if self._leads() and self.known_term != state.term:
                await self._collect(state.term)
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def _watch_vote(self, now_ms: int) -> None:
        state = self.shared
        if not (state.ready and state.group.votes(state.identity)):
            self.voter_since_ms = None
        elif self.voter_since_ms is None:
            self.founder = state.founded and not self.voted
            self.voted, self.voter_since_ms = True, now_ms

    def _leads(self) -> bool:
        return self.shared.role == control.LEADER and self.shared.ready

    # Questions of nodes

    async def on_tend(
        self, _sender: str, ask: messages.Tend
    ) -> messages.Tended:
        """Renew and assign; tell who holds what."""
        state, term = self.shared, self.shared.term
        if not self._leads():
            return messages.Tended(
                messages.NOT_LEADER, leader=state.leader_peer
            )
        if ask.quota != self.quota:
            return messages.Tended(messages.NOT_HELD)
        if self.fenced_term != term:
            return messages.Tended(messages.RECOVERING)
        now_ms = clock.uptime_ms()
        known = self.known_term == term
        decided = self.table.renew(
            ask.process, ask.claims, term, known, now_ms
        )
        assigned = []
        if known:
            assigned = self._assign(ask.process, now_ms)
        if decided or assigned:
            if not await self._replicate([*decided, *assigned]):
                return messages.Tended(
                    messages.NOT_LEADER, leader=state.leader_peer
                )
            self._tell(ask.process, assigned)
        held = tuple(tenure.key for tenure in (*decided, *assigned))
        told = self._places(self.known_term == term)
        places = () if told.digest == ask.seen else told.places
        return messages.Tended(
            messages.GRANTED, '', held, places, told.known, told.digest
        )

    async def on_release(
        self, _sender: str, message: messages.Release
    ) -> None:
        """Let the parts of a process that stops rest for a window only."""
        if self._leads() and self.known_term == self.shared.term:
            now_ms = clock.uptime_ms()
            self.table.release(message.process, message.keys, now_ms)

    def _assign(
        self, process: tenures.Process, now_ms: int
    ) -> list[tenures.Tenure]:
        term = self.shared.term
        peers = {voter.peer for voter in self.shared.group.voters()}
        if now_ms < self.settled_ms:
            self.table.hear(process, now_ms)
            return []
        return self.table.assign(process, peers, term, now_ms)

    def _tell(
        self,
        process: tenures.Process,
        assigned: typing.Sequence[tenures.Tenure],
    ) -> None:
        if not assigned:
            return
        self.assigned += len(assigned)
        names = parts.names(tenure.key for tenure in assigned)
        self.recorder.tell(
            decisions.TenureChanged(
                'assigned',
                names,
                process.host,
                process.id,
                tenures.TENURE_MS,
            ),
            decisions.BELIEF,
        )

    def _places(self, known: bool) -> Told:
        """Return who holds what; found anew only when that changes."""
        now_ms, changes, told = (
            clock.uptime_ms(),
            self.table.changes,
            self.told,
        )
        if (
            told is None
            or (told.changes, told.known) != (changes, known)
            or now_ms >= told.until_ms
        ):
            entries = [
                (key, entry)
                for key, entry in sorted(self.table.entries.items())
                if entry.until_ms > now_ms
            ]
            places = tuple(
                messages.Place(
                    key,
                    entry.tenure.process.peer,
                    entry.tenure.process.data_centre,
                )
                for key, entry in entries
            )
            until_ms = min(
                (entry.until_ms for _key, entry in entries), default=math.inf
            )
            digest = hash_of(places, known)
            told = self.told = Told(changes, known, until_ms, places, digest)
        return told

    async def _replicate(self, decided: list[tenures.Tenure]) -> bool:
        """Return whether a majority of the voters knows these tenures."""
        state, term = self.shared, self.shared.term
        voters = self.electorate.identities()
        if voters != self.voters:
            # The majorities before and after may have no host in common
            # after two changes of the group.
            decided = self.table.current(clock.uptime_ms())
        message = messages.RecordTenures(
            state.group.id, term, self.quota.holders, tuple(decided)
        )
        replies = await self.electorate.ask(message)
        recorded = {reply.identity for reply in replies if reply.ok}
        done = self.electorate.is_majority(recorded) and state.leads(term)
        if done:
            self.voters = voters
        return done

    # A new leader

    async def _collect(self, term: int) -> None:
        """Learn what earlier leaders have assigned."""
        state = self.shared
        while state.leads(term):
            message = messages.CollectTenures(
                state.group.id, term, self.quota.holders
            )
            voters = self.electorate.identities()
            replies = await self.electorate.ask(message)
            now_ms = clock.uptime_ms()
            for reply in replies:
                self.table.record(reply.tenures, now_ms)
            answered = {reply.identity for reply in replies}
            if not state.leads(term):
                return
            if self.electorate.is_majority(answered):
                self.fenced_term = term
            complete = {r.identity for r in replies if r.complete}
            if self._complete(now_ms):
                complete.add(state.identity)
            if len(complete & voters) >= state.group.quorum():
                self.known_term, self.voters = term, voters
                self.settled_ms = now_ms + SETTLE_MS
                LOG.info('Assigns.', term=term, known=len(self.table.entries))
                return
            self._watch_vote(now_ms)
            await asyncio.sleep(COLLECT_PAUSE_S)

    def _complete(self, now_ms: int) -> bool:
        """Return whether this host knows all tenures that it recorded.

        A process that started since has forgotten them; they are over after
        some time.  Before the group was founded there were none.
        """
        since_ms = self.voter_since_ms
        if since_ms is None:
            return False
        over_ms = tenures.TENURE_MS + self.table.rest_ms
        return self.founder or now_ms - since_ms > over_ms

    # Voters

    async def on_record(
        self, _sender: str, message: messages.RecordTenures
    ) -> messages.Recorded | None:
        """Hold the tenures of a leader, unless a later one was seen."""
        state = self.shared
        if not state.ready or state.foreign(message.group):
            return None
        alike = message.holders == self.quota.holders
        if message.term < state.term or not alike:
            return messages.Recorded(state.identity, state.term, False)
        self.table.record(message.tenures, clock.uptime_ms())
        return messages.Recorded(state.identity, message.term, True)

    async def on_collect(
        self, _sender: str, message: messages.CollectTenures
    ) -> messages.CollectedTenures | None:
        """Tell a new leader what this host knows; follow no earlier one."""
        state = self.shared
        if not await electorates.follow(state, message, self.quota.holders):
            return None
        now_ms = clock.uptime_ms()
        return messages.CollectedTenures(
            state.identity,
            message.term,
            self._complete(now_ms),
            tuple(self.table.current(now_ms)),
        )


def hash_of(places: typing.Sequence[messages.Place], known: bool) -> int:
    """Return what stands for an answer's places, 32 bits and not 0."""
    text = repr((known, *places))
    return xxhash.xxh32_intdigest(text.encode()) or 1


def make(kernel, group) -> Delegator:
    """Return the part of a control host that assigns.

    :param group: the replicated control group.
    """
    quota = parts.quota(kernel.settings.control)
    return Delegator(group.replica.shared, quota, kernel.recorder)
