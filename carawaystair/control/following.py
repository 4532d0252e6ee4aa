"""A follower: takes entries and snapshots from the leader."""

import msgspec

from carawaystair.control import files as files_module
from carawaystair.control import interfaces
from carawaystair.control import log as log_module
from carawaystair.control import messages
from carawaystair.control import state as states
from carawaystair.control import state_files
from carawaystair import invariants
from carawaystair import logs

# A larger snapshot is refused: it is collected in memory.
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024

LOG = logs.get('raft')


class Following:
    """The part of a replica that follows.

    :param state: what the parts share.
    """

    def __init__(self, state: states.State) -> None:
        self.state = state
        # The snapshot that is being received, and its pieces so far.
        self.incoming: tuple = ()
        self.pieces = bytearray()
        self.installing = False
        state.transport.handle(messages.Append, self.on_append)
        state.transport.handle(messages.Install, self.on_install)

    def _follow(self, sender: str, term: int, leader: str) -> None:
        """Follow the leader of a term that is not older than this one's."""
        state = self.state
        state.observe(term)
        invariants.check(
            invariants.ONE_LEADER,
            state.role != interfaces.LEADER,
            'two leaders in term %d' % term,
        )
        state.step_down('another leader')
        state.leader = leader
        state.leader_peer = sender
        state.heard_leader()
        if not state.store.vote:
            # The term is taken: no vote is left to give in it.
            state.store.put_hard(term, leader)

    async def on_append(self, sender: str, message: messages.Append) -> None:
        """Take entries; answer once they are on disk."""
        state = self.state
        if not state.ready or state.foreign(message.group):
            return
        if message.term < state.term:
            self._answer(sender, message, False, 0)
            return
        self._follow(sender, message.term, message.leader)
        state.heard_leader(message.age_ms / 1000)
        state.counted = message.member == state.identity
        for identity, known in message.known:
            state.store.learn(identity, known)
        # A disk that may be an old copy acknowledges nothing: that would
        # hide from the others what it had acknowledged before.
        if not state.proven:
            return
        agreed = self._agrees(message)
        if agreed and not self._take(message.entries):
            return
        match = message.prev_index + len(message.entries)
        hint = 0 if agreed else self._hint(message)
        start = state.store.identity.starts
        if not (await state.store.belong() and await state.store.flush()):
            return
        same = start == state.store.identity.starts
        if state.term != message.term or not same:
            return
        if agreed:
            state.advance(min(message.commit, match))
        self._answer(sender, message, agreed, match if agreed else hint)

    def _answer(
        self, sender: str, message: messages.Append, ok: bool, match: int
    ) -> None:
        state = self.state
        answer = messages.Appended(
            state.term,
            state.identity,
            state.store.identity.starts,
            ok,
            match,
            message.prev_index,
            message.round,
        )
        state.transport.send(sender, answer)

    def _agrees(self, message: messages.Append) -> bool:
        log = self.state.log
        if message.prev_index < log.base_index:
            # What the snapshot covers is committed and agrees.
            return True
        return log.term_at(message.prev_index) == message.prev_term

    def _hint(self, message: messages.Append) -> int:
        """Return the last index at which the logs may agree.

        Skips the whole term of the entry that disagrees, so that a long
        branch costs one round a term and not one an entry.
        """
        log = self.state.log
        if message.prev_index > log.last_index:
            return log.last_index
        term = log.term_at(message.prev_index)
        place = message.prev_index
        while place > log.base_index and log.term_at(place) == term:
            place -= 1
        return max(place, self.state.commit)

    def _take(self, entries: tuple[log_module.Entry, ...]) -> bool:
        """Add the entries that are not here yet.

        :return: False when that would undo what is committed.
        """
        state = self.state
        for entry in entries:
            if entry.index <= state.log.base_index:
                continue
            if state.log.term_at(entry.index) == entry.term:
                continue
            kept = invariants.check(
                invariants.COMMITTED_STAYS,
                entry.index > state.commit,
                'entry %d is committed' % entry.index,
            )
            if not kept:
                return False
            state.store.put_entry(entry)
        return True

    # Snapshots

    async def on_install(
        self, sender: str, message: messages.Install
    ) -> messages.Installed | None:
        """Collect the pieces of a snapshot and put it in force."""
        state = self.state
        if not state.ready or state.foreign(message.group):
            return None
        if message.term < state.term:
            return messages.Installed(state.term, state.identity, 0)
        self._follow(sender, message.term, message.leader)
        if not state.proven or self.installing:
            return None
        if message.last_index <= state.commit:
            return self._installed(True)
        self._collect(message)
        if len(self.pieces) < message.total:
            return self._installed(False)
        data, self.pieces = bytes(self.pieces), bytearray()
        self.incoming = ()
        self.installing = True
        try:
            done = await self._install(data)
        finally:
            self.installing = False
        return self._installed(done)

    def _installed(self, done: bool) -> messages.Installed:
        state = self.state
        return messages.Installed(
            state.term, state.identity, len(self.pieces), done
        )

    def _collect(self, message: messages.Install) -> None:
        source = (
            message.term,
            message.leader,
            message.last_index,
            message.total,
        )
        if source != self.incoming:
            self.incoming = source
            self.pieces = bytearray()
        fits = len(self.pieces) + len(message.data) <= MAX_SNAPSHOT_BYTES
        if message.offset == len(self.pieces) and fits:
            self.pieces += message.data

    async def _install(self, data: bytes) -> bool:
        """Put a whole snapshot in force, unless it came damaged."""
        state = self.state
        body = files_module.unframe(data)
        if body is None:
            LOG.warning('A snapshot came damaged.')
            return False
        snapshot = msgspec.msgpack.decode(body, type=state_files.Snapshot)
        if not await state.store.save_foreign(snapshot):
            return False
        if snapshot.index > state.applied:
            state.store.reset_to(snapshot)
            state.machine.restore(snapshot.data)
            state.applied = snapshot.index
            state.advance(snapshot.index)
        await state.store.belong()
        return await state.store.flush() and await state.store.drop_covered()
