"""Applies committed entries to the machine and takes snapshots."""

import asyncio
import math
import typing

from carawaystair import clock
from carawaystair.control import interfaces
from carawaystair.control import leading as leading_module
from carawaystair.control import log as log_module
from carawaystair.control import state as states
from carawaystair.control import state_files
from carawaystair import logs
from carawaystair import rows

# Other tasks run at least so often while a backlog is applied.
SLICE_S = 0.005
# Pause before a snapshot that could not be saved is tried again.
SNAPSHOT_RETRY_S = 5.0

LOG = logs.get('raft')


class Applying:
    """The part of a replica that applies.

    :param state: what the parts share.
    :param leading: answers those who proposed.
    """

    def __init__(
        self, state: states.State, leading: leading_module.Leading
    ) -> None:
        self.state = state
        self.leading = leading
        # Called with each index once it is applied.
        self.callbacks: list[typing.Callable[[int], None]] = []
        self.applied_event = asyncio.Event()
        # Monotonic time before which no snapshot is tried.
        self.snapshot_at = -math.inf

    async def restore(self) -> None:
        """Begin at the snapshot of this disk, if there is one."""
        state = self.state
        snapshot = await state.store.load_snapshot()
        if snapshot is None or snapshot.index <= state.applied:
            return
        state.machine.restore(snapshot.data)
        state.applied = snapshot.index
        state.advance(snapshot.index)

    async def run(self) -> None:
        """Apply what is committed."""
        state = self.state
        await state.proven_event.wait()
        await self.restore()
        while not state.lost:
            await state.committed.wait()
            state.committed.clear()
            started = clock.now()
            while state.applied < state.commit:
                self._apply_one()
                if clock.now() - started > SLICE_S:
                    await asyncio.sleep(0)
                    started = clock.now()
            if self._grown():
                await self._compact()

    def _apply_one(self) -> None:
        state = self.state
        entry = state.log.entry(state.applied + 1)
        result = b''
        if entry.kind == log_module.CHANGE:
            version = rows.Version(entry.term, entry.index)
            result = state.machine.apply(version, entry.data)
        state.applied = entry.index
        if state.role == interfaces.LEADER:
            self.leading.applied(entry, result)
        self.applied_event.set()
        for callback in self.callbacks:
            callback(entry.index)

    async def reach(self, index: int) -> None:
        """Wait until an index is applied here."""
        while self.state.applied < index:
            self.applied_event.clear()
            await self.applied_event.wait()

    def _grown(self) -> bool:
        """Tell whether the log is long enough for a snapshot."""
        state = self.state
        if clock.now() < self.snapshot_at:
            return False
        before = 0
        if state.store.snapshot is not None:
            before = state.store.snapshot.index
        limits = state.limits
        many = state.applied - before >= limits.compact_entries
        return many or (self._large() and state.applied > before)

    def _large(self) -> bool:
        return self.state.log.size >= self.state.limits.compact_bytes

    async def _compact(self) -> None:
        """Take a snapshot and let go of the log that it covers."""
        state = self.state
        index = state.applied
        snapshot = state_files.Snapshot(
            state.log.term_at(index),
            index,
            state.log.group_at(index),
            state.machine.snapshot(),
        )
        LOG.info('Takes a snapshot.', index=index, bytes=len(snapshot.data))
        keep = 0 if self._large() else state.limits.keep_entries
        if not await state.store.save_snapshot(snapshot, keep):
            self.snapshot_at = clock.now() + SNAPSHOT_RETRY_S
