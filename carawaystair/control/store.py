"""What a replica must not forget, in memory and on disk.

Changes are made in memory at once and queued for the disk; nothing may be
answered before :meth:`Store.flush` says that they are there.  One writer
takes all that waits and syncs it together (group commit), so that the rate
of commits is not bound by the time of one sync.

A disk that is full or slow keeps the replica out only until there is room, or
the sync has ended: what is queued stays queued, in its order, and nothing is
answered meanwhile.  A disk that failed is not trusted again.
"""

import asyncio
import collections
import random
import typing

from carawaystair import codes
from carawaystair.control import disk as disks
from carawaystair.control import files as files_module
from carawaystair.control import journal as journals
from carawaystair.control import log as log_module
from carawaystair.control import recovery
from carawaystair.control import state_files
from carawaystair import logs

# A sync that takes longer counts as failed until it ends: a leader with such
# a disk would keep the group from choosing a better one.
SYNC_LIMIT_S = 10.0
# How soon a disk that was full is tried again.
FULL_RETRY_S = 0.5
IDENTITY_BITS = 64

LOG = logs.get('store')


class Store:
    """The durable state of one replica.

    :param name: the host's name.
    :param files: the folder.
    :param disk: runs the blocking calls.
    :param rng: makes identities.
    :param sync_limit_s: see :data:`SYNC_LIMIT_S`.
    """

    def __init__(
        self,
        name: str,
        files: files_module.Files,
        disk: disks.Disk,
        rng: random.Random,
        sync_limit_s: float = SYNC_LIMIT_S,
    ) -> None:
        self.name = name
        self.files = files
        self.disk = disk
        self.rng = rng
        self.sync_limit_s = sync_limit_s
        self.failure: codes.Failure | None = None
        # Whether the failure lasts until the process starts again.
        self.lost = False
        self.opened = False
        self.identity = state_files.Identity('', name)
        self.snapshot: state_files.Snapshot | None = None
        self.known: dict[str, state_files.Known] = {}
        self.log = log_module.Log()
        self.term = 0
        self.vote = ''
        self.cut = 0
        self.journal = journals.Journal(files)
        self.pending: list[journals.Row] = []
        self.queued = 0
        self.durable = 0
        self.waiters: collections.deque = collections.deque()
        self.wake = asyncio.Event()
        self.failed_callbacks: list[typing.Callable] = []

    # Opening

    async def open(self) -> None:
        """Read the folder; a defect is left in ``failure``.

        It may be called again while the disk is full.
        """
        try:
            await self.disk.run(self._open)
        except BlockingIOError:
            self.fail(codes.Failure(codes.FOLDER_IN_USE))
        except recovery.Corrupt as error:
            self.fail(error.failure)
        except OSError as error:
            self.fail(failure_of(error), lost=not is_full(error))
        else:
            self.opened = True
            self._note_success()

    def _open(self) -> None:
        self.files.hold()
        identity = state_files.read(
            self.files, state_files.IDENTITY, state_files.Identity
        )
        if identity is None:
            if self.files.names():
                raise state_files.corrupt('the identity is missing')
            identity = self._new_identity(fresh=True)
        self.snapshot = state_files.read_snapshot(self.files)
        self.known = (
            state_files.read(
                self.files,
                state_files.KNOWN,
                dict[str, state_files.Known],
            )
            or {}
        )
        recovered = recovery.read(self.files)
        self.journal = recovered.journal
        self.cut = recovered.cut
        self._rebuild(recovered.rows)
        self.identity = identity._replace(starts=identity.starts + 1)
        state_files.write(self.files, state_files.IDENTITY, self.identity)

    def _new_identity(self, fresh: bool) -> state_files.Identity:
        number = self.rng.getrandbits(IDENTITY_BITS)
        return state_files.Identity('%016x' % number, self.name, fresh)

    def _rebuild(self, rows: typing.Iterable[journals.Row]) -> None:
        """Make the log out of the rows, and fit the snapshot to it."""
        self.term = self.journal.hard.term
        self.vote = self.journal.hard.data.decode()
        entries: list[log_module.Entry] = []
        for row in rows:
            if row.kind == journals.RESET:
                entries = []
            if row.kind == journals.ENTRY:
                entry = log_module.Entry(
                    row.term, row.index, row.sort, row.data
                )
                _replace(entries, entry)
        if _replaced(entries, self.snapshot):
            # A snapshot of the leader was synced, but not the row that
            # empties the log before it.
            entries = []
            self._reset_row()
        self.log = _fit(entries, self.snapshot)
        if self.snapshot is not None:
            # The data is read again when it is needed.
            self.snapshot = self.snapshot._replace(data=b'')
        newest = max(self.log.last_term, self.term)
        if newest > self.term:
            # The snapshot file of a newer term was synced, the row was not.
            self.put_hard(newest, '')

    async def set_aside(self, why: codes.Failure) -> bool:
        """Move a disk's content away and begin anew under a new identity.

        :return: whether that could be done.
        """
        LOG.error('Set the state aside.', why=why.sentence())
        try:
            done = await self.disk.run(self._set_aside)
        except OSError as error:
            self.fail(failure_of(error))
            return False
        if done:
            self.failure = None
            self.lost = False
            self.opened = True
        return done

    def _set_aside(self) -> bool:
        if not state_files.set_aside(self.files):
            return False
        self.identity = self._new_identity(fresh=False)
        state_files.write(self.files, state_files.IDENTITY, self.identity)
        self.journal = journals.Journal(self.files)
        self.log = log_module.Log()
        self.snapshot = None
        self.term = 0
        self.vote = ''
        self.known = {}
        self.pending = []
        self.durable = self.queued
        return True

    # Changing

    def put_hard(self, term: int, vote: str) -> None:
        """Set term and vote."""
        self.term = term
        self.vote = vote
        self._queue(journals.Row(journals.HARD, term, 0, 0, vote.encode()))

    def put_entry(self, entry: log_module.Entry) -> None:
        """Add an entry to the log, in place of what was there before."""
        self.log.append(entry)
        self._queue(
            journals.Row(
                journals.ENTRY,
                entry.term,
                entry.index,
                entry.kind,
                entry.data,
            )
        )

    def _queue(self, row: journals.Row) -> None:
        self.pending.append(row)
        self.queued += 1

    async def flush(self) -> bool:
        """Wait until all changes so far are on disk.

        :return: False when the disk failed or is full: then nothing may be
            answered.
        """
        if self.failure is not None:
            return False
        if self.durable >= self.queued:
            return True
        future = asyncio.get_running_loop().create_future()
        self.waiters.append((self.queued, future))
        self.wake.set()
        return await future

    async def write(self) -> None:
        """Write what is queued, until the disk is lost."""
        while not self.lost:
            await self.wake.wait()
            self.wake.clear()
            while self.pending and not self.lost:
                if not await self._write_batch():
                    await asyncio.sleep(FULL_RETRY_S)

    async def _write_batch(self) -> bool:
        """Write what waits now; without room for it, it waits on."""
        journal, target = self.journal, self.queued
        batch, self.pending = self.pending, []
        error = await self._call(journal.commit, batch)
        if error is not None:
            if is_full(error) and journal is self.journal:
                self.pending = batch + self.pending
            self.fail(failure_of(error), lost=not is_full(error))
            return False
        self.durable = max(self.durable, target)
        self._note_success()
        while self.waiters and self.waiters[0][0] <= self.durable:
            _settle(self.waiters.popleft()[1], True)
        return True

    async def _run(self, function: typing.Callable, *arguments) -> bool:
        """Run a disk call; tell whether it was done.

        Without room nothing has changed, and the call may be made again.
        """
        error = await self._call(function, *arguments)
        if error is None:
            self._note_success()
            return self.failure is None
        if is_full(error):
            LOG.warning('The disk is full.', why=str(error))
        else:
            self.fail(failure_of(error))
        return False

    async def _call(
        self, function: typing.Callable, *arguments
    ) -> OSError | None:
        """Run a disk call; while it takes too long, the store has failed."""
        call = asyncio.ensure_future(self.disk.run(function, *arguments))
        await asyncio.wait({call}, timeout=self.sync_limit_s)
        if not call.done():
            text = 'not done after %g s' % self.sync_limit_s
            self.fail(codes.Failure(codes.SYNC_SLOW, text), lost=False)
            await asyncio.wait({call})
        error = call.exception()
        if error is not None and not isinstance(error, OSError):
            raise error
        return error

    def fail(self, failure: codes.Failure, lost: bool = True) -> None:
        """Answer nothing any more.

        :param lost: whether that holds until the process starts again.
        """
        if self.failure is None or lost:
            LOG.error('Storage failed.', why=failure.sentence(), lost=lost)
        if not self.lost:
            self.failure = failure
        self.lost = self.lost or lost
        for callback in self.failed_callbacks:
            callback(failure)
        while self.waiters:
            _settle(self.waiters.popleft()[1], False)

    def _note_success(self) -> None:
        """Take note that a disk call was done."""
        if self.failure is None or self.lost:
            return
        if self.pending:
            # What was queued before the failure comes first.
            self.wake.set()
            return
        LOG.info('Storage works again.', why=self.failure.sentence())
        self.failure = None

    # Snapshots and knowledge

    async def save_snapshot(
        self, snapshot: state_files.Snapshot, keep: int
    ) -> bool:
        """Save a snapshot of this log, then let go of what it covers.

        :param keep: so many entries before it stay, for followers that are
            a little behind.
        """
        if not await self._run(self._save_snapshot, snapshot):
            return False
        self.snapshot = snapshot._replace(data=b'')
        first = max(snapshot.index - keep, self.log.base_index)
        self.log.compact(first)
        return await self.drop_covered()

    def _save_snapshot(self, snapshot: state_files.Snapshot) -> None:
        state_files.write(self.files, state_files.SNAPSHOT, snapshot)

    async def save_foreign(self, snapshot: state_files.Snapshot) -> bool:
        """Save a snapshot of the leader; ``reset_to`` puts it in force."""
        return await self._run(self._save_snapshot, snapshot)

    def reset_to(self, snapshot: state_files.Snapshot) -> None:
        """Let the log go on from a snapshot of the leader.

        Entries after it stay when the log agrees with it: the leader may
        have counted them.
        """
        self.snapshot = snapshot._replace(data=b'')
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
            return
        self.log = log_module.Log(
            snapshot.term, snapshot.index, snapshot.group
        )
        self._reset_row()

    async def drop_covered(self) -> bool:
        """Remove the segments that the snapshot covers whole."""
        first = self.log.base_index
        return await self._run(self.journal.drop_before, first)

    def _reset_row(self) -> None:
        base = self.snapshot
        self._queue(journals.Row(journals.RESET, base.term, base.index))

    async def load_snapshot(self) -> state_files.Snapshot | None:
        """Read the snapshot with its data.

        :return: None when there is none, or when the disk failed; then
            ``failure`` is set.
        """
        return await self._read(state_files.read_snapshot)

    async def load_framed(self) -> state_files.Framed | None:
        """Read the snapshot as it is sent to others, likewise."""
        return await self._read(state_files.read_framed)

    async def _read(self, function: typing.Callable):
        try:
            return await self.disk.run(function, self.files)
        except recovery.Corrupt as error:
            self.fail(error.failure)
        except OSError as error:
            self.fail(failure_of(error))
        return None

    def learn(self, identity: str, known: state_files.Known) -> None:
        """Take note of what another identity promised."""
        before = self.known.get(identity, state_files.Known())
        self.known[identity] = before.join(known)

    async def save_known(self) -> bool:
        """Save what is known of the other identities."""
        known = dict(self.known)
        return await self._run(
            state_files.write, self.files, state_files.KNOWN, known
        )

    async def belong(self) -> bool:
        """Note that this disk belongs to a group from now on."""
        before = self.identity
        if not before.fresh:
            return True
        identity = before._replace(fresh=False)
        done = await self._run(
            state_files.write, self.files, state_files.IDENTITY, identity
        )
        if done and self.identity == before:
            self.identity = identity
        return done


def _replace(entries: list, entry: log_module.Entry) -> None:
    """Add a row's entry in place of the entries that it replaced."""
    if entries and entry.index <= entries[-1].index:
        del entries[max(entry.index - entries[0].index, 0) :]
    if entries and entry.index != entries[-1].index + 1:
        raise recovery.Corrupt(
            codes.Failure(
                codes.LOG_CORRUPT,
                'entry %d follows entry %d' % (entry.index, entries[-1].index),
            )
        )
    entries.append(entry)


def _replaced(entries: list, snapshot: state_files.Snapshot | None) -> bool:
    """Tell whether a snapshot does not stand on these entries."""
    if snapshot is None or not entries:
        return False
    before = entries[0].index - 1
    terms = {entry.index: entry.term for entry in entries}
    return before < snapshot.index and (
        terms.get(snapshot.index) != snapshot.term
    )


def _fit(
    entries: list, snapshot: state_files.Snapshot | None
) -> log_module.Log:
    """Return the log of the entries, with the snapshot below it."""
    first = entries[0].index if entries else None
    if snapshot is None:
        if entries and first != 1:
            raise state_files.corrupt('the snapshot is missing')
        log = log_module.Log()
    elif first is None or first == snapshot.index + 1:
        log = log_module.Log(snapshot.term, snapshot.index, snapshot.group)
    elif first > snapshot.index:
        raise state_files.corrupt('the snapshot is older than the log')
    else:
        # The term of the entry before the first one is not known any more.
        base = entries.pop(0)
        log = log_module.Log(base.term, base.index, snapshot.group)
    for entry in entries:
        log.append(entry)
    return log


def _settle(future: asyncio.Future, value: bool) -> None:
    if not future.done():
        future.set_result(value)


def is_full(error: OSError) -> bool:
    """Tell whether an error only says that the disk has no room."""
    return error.errno in files_module.FULL


def failure_of(error: OSError) -> codes.Failure:
    """Return the numbered failure for an error of the disk."""
    code = codes.DISK_FULL if is_full(error) else codes.STORAGE_FAILED
    return codes.Failure(code, str(error))
