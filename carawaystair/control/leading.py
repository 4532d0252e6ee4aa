"""The leader: replication, commitment, reads, and when to step down."""

import asyncio
import collections
import typing

import expression

from carawaystair import clock
from carawaystair import codes
from carawaystair.control import group as groups
from carawaystair.control import interfaces
from carawaystair.control import log as log_module
from carawaystair.control import messages
from carawaystair.control import state as states
from carawaystair.control import state_files
from carawaystair import logs
from carawaystair import rows

# Bounds on one message and on what is under way to one follower.
BATCH_ENTRIES = 256
BATCH_BYTES = 512 * 1024
PIPELINE = 8
# Bytes of one piece of a snapshot.
PIECE_BYTES = 256 * 1024

LOG = logs.get('raft')


class Progress:
    """What the leader knows of one other member.

    :param member: the member.
    :param next_index: the next entry to send.
    :param now: the monotonic time.
    """

    def __init__(
        self, member: groups.Member, next_index: int, now: float
    ) -> None:
        self.member = member
        self.next = next_index
        self.match = 0
        # How often a process has started on the member's disk.
        self.start = 0
        # Until the logs are known to agree, only heartbeats are sent.
        self.probing = True
        self.sent: collections.deque[int] = collections.deque()
        self.sent_at = 0.0
        self.heard = now
        self.round = 0
        self.poke = True
        self.wake = asyncio.Event()

    def back_to(self, index: int) -> None:
        """Send from ``index`` on again, once the logs agree there."""
        self.next = max(index, 1)
        self.probing = True
        self.sent.clear()

    def rouse(self) -> None:
        """Send something at once."""
        self.poke = True
        self.wake.set()


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
        self.peers: dict[str, Progress] = {}
        self.first = 0
        self.own_match = 0
        # Bytes of entries that are not applied yet.
        self.waiting_bytes = 0
        self.own_wake = asyncio.Event()
        self.round = 0
        self.reads: collections.deque = collections.deque()
        state.transport.handle(messages.Appended, self.on_appended)
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
        self.round = 0
        self.waiting_bytes = 0
        self.reconfigure()
        # Entries of earlier terms count as committed only below one of this
        # term (Ongaro 2014, 3.6.2), so there must be one.
        self.first = self.put(log_module.NOOP)
        self.spawn(self._own(term))
        self.spawn(self._watch(term))

    def _end(self) -> None:
        """Give up what only a leader may promise."""
        for progress in self.peers.values():
            progress.wake.set()
        self.peers = {}
        self.own_wake.set()
        for _round, future in self.reads:
            _settle(future, False)
        self.reads.clear()
        for future in self.state.waiters.values():
            _settle(future, None)
        self.state.waiters.clear()

    def reconfigure(self) -> None:
        """Begin to send to new members, stop sending to gone ones."""
        state = self.state
        wanted = {
            member.identity: member
            for member in state.group.members
            if member.identity != state.identity
        }
        old, self.peers = self.peers, {}
        for identity, member in wanted.items():
            progress = old.pop(identity, None)
            if progress is None:
                last = state.log.last_index
                progress = Progress(member, last + 1, clock.now())
                self.spawn(self._replicate(progress, state.term))
            progress.member = member
            self.peers[identity] = progress
        for progress in old.values():
            progress.wake.set()

    # Proposing

    def put(self, kind: int, data: bytes = b'') -> int:
        """Add an entry to the log; returns its index."""
        state = self.state
        index = state.log.last_index + 1
        entry = log_module.Entry(state.term, index, kind, data)
        state.store.put_entry(entry)
        self.waiting_bytes += len(data)
        for progress in self.peers.values():
            progress.wake.set()
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
            self.reconfigure()
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

    # Sending

    async def _replicate(self, progress: Progress, term: int) -> None:
        """Keep one member's log like this one, while this replica leads."""
        while self._serves(progress, term):
            if progress.next <= self.state.log.base_index:
                await self._install(progress, term)
            elif self._due(progress):
                self._send(progress)
                await asyncio.sleep(0)
            else:
                await self._pause(progress)

    def _serves(self, progress: Progress, term: int) -> bool:
        current = self.peers.get(progress.member.identity)
        return self.state.leads(term) and current is progress

    def _due(self, progress: Progress) -> bool:
        now = clock.now()
        if now - progress.sent_at >= self.state.timing.heartbeat_s:
            return True
        if now - progress.heard > self.state.timing.election_s:
            # A silent member gets heartbeats only, however much is proposed.
            progress.back_to(progress.match + 1)
            return False
        more = progress.next <= self.state.log.last_index
        room = len(progress.sent) < PIPELINE and not progress.probing
        return progress.poke or (more and room)

    def _send(self, progress: Progress) -> None:
        """Send entries, or a heartbeat when there are none to send."""
        state = self.state
        entries: tuple = ()
        room = len(progress.sent) < PIPELINE and not progress.probing
        prev = progress.next - 1
        if room and progress.next <= state.log.last_index:
            entries = state.log.slice(
                progress.next, BATCH_ENTRIES, BATCH_BYTES
            )
            progress.next += len(entries)
            progress.sent.append(progress.next - 1)
        idle = not entries
        message = messages.Append(
            state.group.id,
            state.term,
            state.identity,
            state.log.term_at(prev),
            prev,
            state.commit,
            entries,
            self.round,
            int(1000 * self.quorum_age()),
            self._promises() if idle else (),
        )
        progress.sent_at = clock.now()
        progress.poke = False
        state.transport.send(progress.member.peer, message)

    def _promises(self) -> tuple:
        """Return what the voters acknowledged.

        Symptom without it: a host whose disk went back to an old copy votes
        for a leader that lacks entries which that host had acknowledged,
        and they are lost.  Only the leader saw the acknowledgement, and the
        leader is gone; so all voters are told.
        """
        known = self.state.store.known
        identities = [m.identity for m in self.state.group.voters()]
        return tuple((i, known[i]) for i in identities if i in known)

    async def _pause(self, progress: Progress) -> None:
        """Wait until there is something to send."""
        progress.wake.clear()
        since = clock.now() - progress.sent_at
        left = max(self.state.timing.heartbeat_s - since, 0.001)
        try:
            # Not wait_for: in Python 3.11 it may lose a cancellation.
            async with asyncio.timeout(left):
                await progress.wake.wait()
        except TimeoutError:
            pass

    async def _install(self, progress: Progress, term: int) -> None:
        """Send the snapshot in pieces to a member that is far behind."""
        state = self.state
        snapshot = await state.store.load_framed()
        if snapshot is None:
            state.step_down('the snapshot cannot be read')
            return
        offset = 0
        while self._serves(progress, term):
            piece = messages.Install(
                state.group.id,
                term,
                state.identity,
                snapshot.term,
                snapshot.index,
                offset,
                len(snapshot.data),
                snapshot.data[offset : offset + PIECE_BYTES],
            )
            result = await state.transport.call(
                progress.member.peer, piece, state.timing.install_s
            )
            answer = result.default_value(None)
            if answer is None or answer.identity != progress.member.identity:
                await asyncio.sleep(state.timing.heartbeat_s)
                continue
            progress.heard = clock.now()
            if answer.term > state.term:
                state.observe(answer.term)
            if answer.done:
                progress.back_to(snapshot.index + 1)
                progress.rouse()
                return
            offset = answer.received

    # Answers

    async def on_appended(
        self, _sender: str, answer: messages.Appended
    ) -> None:
        """Take note of what a member has on disk."""
        state = self.state
        if answer.term > state.term and state.group.find(answer.identity):
            state.observe(answer.term)
        progress = self.peers.get(answer.identity)
        if progress is None or not state.leads(answer.term):
            return
        if answer.start < progress.start:
            return
        progress.heard = clock.now()
        progress.round = max(progress.round, answer.round)
        if answer.start > progress.start:
            # The process started again.  Its log may have lost what it
            # never synced, so nothing counts that it said before.
            progress.start = answer.start
            progress.match = 0
            progress.probing = True
            progress.sent.clear()
        if answer.ok:
            self._agreed(progress, answer)
        elif answer.prev_index > progress.match:
            self._refused(progress, answer)
        self._confirm_reads()

    def _agreed(self, progress: Progress, answer: messages.Appended) -> None:
        known = state_files.Known(answer.term, answer.term, answer.match)
        self.state.store.learn(answer.identity, known)
        while progress.sent and progress.sent[0] <= answer.match:
            progress.sent.popleft()
        progress.match = max(progress.match, answer.match)
        progress.next = max(progress.next, progress.match + 1)
        if progress.probing:
            progress.probing = False
            progress.next = progress.match + 1
        progress.wake.set()
        self.commit()

    def _refused(self, progress: Progress, answer: messages.Appended) -> None:
        """Go back to where the logs may agree."""
        place = min(answer.prev_index - 1, answer.match)
        if progress.probing and answer.prev_index != progress.next - 1:
            # Late: it refuses what has been taken back already.
            return
        progress.back_to(max(place, progress.match) + 1)
        progress.rouse()

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
        voters = state.group.voters()
        matches = [self._match(voter.identity) for voter in voters]
        index = groups.majority_value(matches, state.group.quorum())
        if index <= state.commit or state.log.term_at(index) != state.term:
            return
        state.advance(index)
        for progress in self.peers.values():
            progress.rouse()

    def _match(self, identity: str) -> int:
        if identity == self.state.identity:
            return self.own_match
        return self.peers[identity].match

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
        self.round += 1
        future = asyncio.get_running_loop().create_future()
        self.reads.append((self.round, future))
        for progress in self.peers.values():
            progress.rouse()
        self._confirm_reads()
        return await future and state.leads(term)

    def _confirm_reads(self) -> None:
        if not self.reads:
            return
        state = self.state
        rounds = [
            self.round
            if voter.identity == state.identity
            else self.peers[voter.identity].round
            for voter in state.group.voters()
        ]
        reached = groups.majority_value(rounds, state.group.quorum())
        while self.reads and self.reads[0][0] <= reached:
            _settle(self.reads.popleft()[1], True)

    def quorum_age(self) -> float:
        """Return how long ago a quorum last followed, in seconds."""
        now = clock.now()
        heard = [
            now
            if voter.identity == self.state.identity
            else self.peers[voter.identity].heard
            for voter in self.state.group.voters()
        ]
        quorum = self.state.group.quorum()
        return now - groups.majority_value(heard, quorum)

    async def _watch(self, term: int) -> None:
        """Step down when no quorum is heard; mend the group's standing."""
        state = self.state
        while state.leads(term):
            if self.quorum_age() > state.timing.election_s:
                state.heard = clock.now() - self.quorum_age()
                state.step_down('no quorum answers')
                return
            await self._return_votes()
            await asyncio.sleep(state.timing.election_s / 4)

    async def _return_votes(self) -> None:
        """Give members whose disk was lost their vote back."""
        state = self.state
        fit = [
            p.member
            for p in self.peers.values()
            if p.member.standing == groups.RETURNING and self.caught_up(p)
        ]
        if fit and self.settled():
            voter = fit[0]._replace(standing=groups.VOTER)
            group = state.group.put(voter)
            self.spawn(self.propose(log_module.GROUP, groups.encode(group)))

    def caught_up(self, progress: Progress) -> bool:
        """Tell whether a member has all that is committed."""
        return self.fresh(progress) and progress.match >= self.state.commit

    def fresh(self, progress: Progress) -> bool:
        """Tell whether a member answered lately."""
        return clock.now() - progress.heard < self.state.timing.election_s

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
