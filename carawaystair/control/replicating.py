"""The leader's side of replication: one task for each other member."""

import asyncio
import typing

from carawaystair import clock
from carawaystair.control import group as groups
from carawaystair.control import messages
from carawaystair.control import progress as progress_module
from carawaystair.control import state as states
from carawaystair.control import state_files

# Bounds on one message and on what is under way to one follower.
BATCH_ENTRIES = 256
BATCH_BYTES = 512 * 1024
PIPELINE = 8
# Bytes of one piece of a snapshot.
PIECE_BYTES = 256 * 1024

Progress = progress_module.Progress


class Replicating:
    """Keeps the logs of the other members like the leader's.

    :param state: what the parts of the replica share.
    :param spawn: runs a coroutine for as long as the replica lives.
    :param answered: called after each answer of a member.
    """

    def __init__(
        self,
        state: states.State,
        spawn: typing.Callable[..., typing.Any],
        answered: typing.Callable[[], None],
    ) -> None:
        self.state = state
        self.spawn = spawn
        self.answered = answered
        self.peers: dict[str, Progress] = {}
        self.round = 0
        state.transport.handle(messages.Appended, self.on_appended)

    def reconfigure(self) -> None:
        """Begin to send to new members; let gone ones know."""
        state = self.state
        now = clock.now()
        wanted = {
            member.identity: member
            for member in state.group.members
            if member.identity != state.identity
        }
        for identity, progress in self.peers.items():
            if identity not in wanted:
                progress.leave(state.log.group_index, now)
        for identity, member in wanted.items():
            progress = self.peers.get(identity)
            if progress is None:
                progress = Progress(member, state.log.last_index + 1, now)
                self.peers[identity] = progress
                self.spawn(self._replicate(progress, state.term))
            progress.member = member
            progress.leave_index = 0

    def end(self) -> None:
        """Stop sending."""
        for progress in self.peers.values():
            progress.wake.set()
        self.peers = {}

    def rouse(self) -> None:
        """Send something to all at once."""
        for progress in self.peers.values():
            progress.rouse()

    def wake(self) -> None:
        """Let all see that there is something to send."""
        for progress in self.peers.values():
            progress.wake.set()

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
        if self.peers.get(progress.member.identity) is progress:
            del self.peers[progress.member.identity]

    def _serves(self, progress: Progress, term: int) -> bool:
        current = self.peers.get(progress.member.identity) is progress
        gone = progress.gone(self.state.commit, clock.now())
        return self.state.leads(term) and current and not gone

    def _due(self, progress: Progress) -> bool:
        now = clock.now()
        if now - progress.sent_at >= self.state.timing.heartbeat_s:
            return True
        if now - progress.heard > self.state.timing.election_s:
            # A silent member gets heartbeats only, however much is proposed.
            progress.back_to(progress.match + 1)
            return False
        return progress.poke or self._room(progress)

    def _room(self, progress: Progress) -> bool:
        """Tell whether entries wait and may be sent."""
        more = progress.next <= self.state.log.last_index
        few = len(progress.sent) < PIPELINE
        return more and few and not progress.probing

    def _send(self, progress: Progress) -> None:
        """Send entries, or a heartbeat when there are none to send."""
        state = self.state
        entries: tuple = ()
        prev = progress.next - 1
        if self._room(progress):
            entries = state.log.slice(
                progress.next, BATCH_ENTRIES, BATCH_BYTES
            )
            progress.next += len(entries)
            progress.sent.append(progress.next - 1)
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
            () if entries else self._promises(),
            progress.member.identity,
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
            answer = await self._send_piece(progress, term, snapshot, offset)
            if answer is None or answer.identity != progress.member.identity:
                await asyncio.sleep(state.timing.heartbeat_s)
                continue
            progress.heard = clock.now()
            state.observe(answer.term)
            if answer.done:
                progress.back_to(snapshot.index + 1)
                progress.rouse()
                return
            offset = answer.received

    async def _send_piece(
        self,
        progress: Progress,
        term: int,
        snapshot: state_files.Framed,
        offset: int,
    ) -> messages.Installed | None:
        state = self.state
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
        return result.default_value(None)

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
            progress.started_again(answer.start)
        if answer.ok:
            self._agreed(progress, answer)
        elif answer.prev_index > progress.match:
            self._refused(progress, answer)
        self.answered()

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

    def _refused(self, progress: Progress, answer: messages.Appended) -> None:
        """Go back to where the logs may agree."""
        if progress.probing and answer.prev_index != progress.next - 1:
            # Late: it refuses what has been taken back already.
            return
        place = min(answer.prev_index - 1, answer.match)
        progress.back_to(max(place, progress.match) + 1)
        progress.rouse()

    # The quorum

    def of_voters(
        self, own: typing.Any, of_peer: typing.Callable[[Progress], typing.Any]
    ) -> typing.Any:
        """Return the greatest value that a majority of the voters reaches.

        :param own: this replica's value.
        :param of_peer: returns the value of another member.
        """
        state = self.state
        values = [
            own
            if voter.identity == state.identity
            else of_peer(self.peers[voter.identity])
            for voter in state.group.voters()
        ]
        return groups.majority_value(values, state.group.quorum())

    def quorum_age(self) -> float:
        """Return how long ago a quorum last followed, in seconds."""
        now = clock.now()
        return now - self.of_voters(now, lambda peer: peer.heard)

    def fresh(self, progress: Progress) -> bool:
        """Tell whether a member answered lately."""
        return clock.now() - progress.heard < self.state.timing.election_s

    def caught_up(self, progress: Progress) -> bool:
        """Tell whether a member has all that is committed."""
        return self.fresh(progress) and progress.match >= self.state.commit
