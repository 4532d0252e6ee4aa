"""The leader: proposals, commitment, reads, and when to step down."""

import asyncio
import collections
import typing

import expression

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import group as groups
from carawaystair.control import growth
from carawaystair.control import interfaces
from carawaystair.control import log as log_module
from carawaystair.control import replicating
from carawaystair.control import state as states
from carawaystair.control import state_files
from carawaystair import logs
from carawaystair import rows

LOG = logs.get('raft')


class Leading:
    """The part of a replica that leads.

    :param state: what the parts share.
    :param spawn: runs a coroutine for as long as the replica lives.
    """

    def __init__(
        self, state: states.State, spawn: typing.Callable[..., typing.Any]
    ) -> None:
        self.state = state
        self.spawn = spawn
        self.others = replicating.Replicating(state, spawn, self._answered)
        self.first = 0
        self.own_match = 0
        # Bytes of entries that are not applied yet.
        self.waiting_bytes = 0
        self.own_wake = asyncio.Event()
        self.reads: collections.deque = collections.deque()
        state.step_down_callbacks.append(self._end)

    # Beginning and end

    def begin(self) -> None:
        """Lead the term that this replica was just elected for."""
        state = self.state
        term = state.term
        LOG.info('Leads.', term=term)
        state.record('control-leader', 'term %d' % term)
        state.role = interfaces.LEADER
        state.leader = state.identity
        state.leader_peer = state.transport.address
        self.own_match = 0
        self.others.round = 0
        self.waiting_bytes = 0
        self.others.reconfigure()
        # Entries of earlier terms count as committed only below one of this
        # term (Ongaro 2014, 3.6.2), so there must be one.
        self.first = self.put(log_module.NOOP)
        self.spawn(self._own(term))
        self.spawn(self._watch(term))

    def _end(self) -> None:
        """Give up what only a leader may promise."""
        self.others.end()
        self.own_wake.set()
        for _round, future in self.reads:
            _settle(future, False)
        self.reads.clear()
        for future in self.state.waiters.values():
            _settle(future, None)
        self.state.waiters.clear()

    # Proposing

    def put(self, kind: int, data: bytes = b'') -> int:
        """Add an entry to the log; returns its index."""
        state = self.state
        index = state.log.last_index + 1
        entry = log_module.Entry(state.term, index, kind, data)
        state.store.put_entry(entry)
        self.waiting_bytes += len(data)
        self.others.wake()
        self.own_wake.set()
        return index

    async def propose(
        self, kind: int, data: bytes
    ) -> expression.Result[tuple[rows.Version, bytes], codes.Failure]:
        """Add an entry and wait until it is applied.

        :return: its version and the machine's result.
        """
        state = self.state
        if state.failure is not None:
            return expression.Error(state.failure)
        if state.role != interfaces.LEADER:
            return codes.fail(codes.NOT_LEADER, state.leader_peer)
        if self._busy(len(data)):
            return codes.fail(codes.CONTROL_BUSY)
        term = state.term
        index = self.put(kind, data)
        if kind == log_module.GROUP:
            self.others.reconfigure()
        future = asyncio.get_running_loop().create_future()
        state.waiters[index] = future
        result = await future
        if result is None:
            return codes.fail(codes.OUTCOME_UNKNOWN, 'lost the lead')
        return expression.Ok((rows.Version(term, index), result))

    def _busy(self, size: int) -> bool:
        limits = self.state.limits
        waiting = self.state.log.last_index - self.state.commit
        full = self.waiting_bytes + size > limits.pending_bytes
        return waiting >= limits.pending or (waiting > 0 and full)

    def applied(self, entry: log_module.Entry, result: bytes) -> None:
        """Answer whoever proposed an entry that is now applied."""
        self.waiting_bytes = max(self.waiting_bytes - len(entry.data), 0)
        future = self.state.waiters.pop(entry.index, None)
        if future is not None:
            _settle(future, result)
        if entry.kind != log_module.GROUP:
            return
        if not self.state.group.votes(self.state.identity):
            self.state.step_down('not a voter any more')

    # Committing

    async def _own(self, term: int) -> None:
        """Count this replica's own disk like that of any other."""
        state = self.state
        while state.leads(term):
            self.own_wake.clear()
            last = state.log.last_index
            if not await state.store.flush():
                return
            if state.leads(term):
                self.own_match = last
                known = state_files.Known(term, term, last)
                state.store.learn(state.identity, known)
                self.commit()
                await self.own_wake.wait()

    def commit(self) -> None:
        """Commit what a majority of the voters has on disk."""
        state = self.state
        index = self.others.of_voters(self.own_match, lambda p: p.match)
        if index <= state.commit or state.log.term_at(index) != state.term:
            return
        state.advance(index)
        self.others.rouse()

    def _answered(self) -> None:
        """Look what the answer of a member changes."""
        self.commit()
        self._confirm_reads()

    # Reads and the quorum

    async def confirm(self) -> bool:
        """Tell whether a quorum still follows, asked from now on.

        A leader that was cut off may have been replaced without knowing;
        what it reads then may be old.
        """
        state = self.state
        term = state.term
        if not state.leads(term):
            return False
        self.others.round += 1
        future = asyncio.get_running_loop().create_future()
        self.reads.append((self.others.round, future))
        self.others.rouse()
        self._confirm_reads()
        return await future and state.leads(term)

    def _confirm_reads(self) -> None:
        if not self.reads:
            return
        reached = self.others.of_voters(self.others.round, lambda p: p.round)
        while self.reads and self.reads[0][0] <= reached:
            _settle(self.reads.popleft()[1], True)

    async def _watch(self, term: int) -> None:
        """Step down when no quorum is heard; mend the group's standing."""
        state = self.state
        while state.leads(term):
            if self.others.quorum_age() > state.timing.election_s:
                state.heard = clock.now() - self.others.quorum_age()
                state.step_down('no quorum answers')
                return
            await self._tend_group()
            await asyncio.sleep(state.timing.election_s / 4)

    async def _tend_group(self) -> None:
        """Make the change of members that is needed next, if one is."""
        if not self.settled():
            return
        now = clock.now()
        views = [
            growth.View(p.member, self.others.caught_up(p), now - p.heard)
            for p in self.others.peers.values()
            if not p.leave_index
        ]
        grow_to = self.state.timing.grow_to
        group = growth.next_group(self.state.group, views, grow_to)
        if group is not None:
            LOG.info('Changes the members.', members=group.shown())
            self.spawn(self.propose(log_module.GROUP, groups.encode(group)))

    def settled(self) -> bool:
        """Tell whether the members may be changed.

        Only one change may be under way, and only after an entry of this
        term is committed: otherwise a change of an earlier leader that no
        majority saw could be counted with other voters than this one's.
        """
        state = self.state
        return (
            state.commit >= self.first
            and state.commit >= state.log.group_index
        )


def _settle(future: asyncio.Future, value) -> None:
    if not future.done():
        future.set_result(value)
