"""Tests of the storage of control."""

import asyncio
import errno
import random

import hypothesis
from hypothesis import strategies
import pytest

from carawaystair import codes
from carawaystair.control import files as files_module
from carawaystair.control import group as groups
from carawaystair.control import journal as journals
from carawaystair.control import log as log_module
from carawaystair.control import recovery
from carawaystair.control import state_files
from carawaystair.control import store as stores
from test import control_fakes
from test import fakes

GROUP = groups.Group('g', (groups.Member('a', '127.0.0.1:1', 'i'),))


def entry(index: int, term: int = 1, data: bytes = b'data'):
    return journals.Row(journals.ENTRY, term, index, log_module.CHANGE, data)


def written(*batches, segment_bytes: int = 1 << 20):
    """Return a folder with batches of rows in it, each synced."""
    folder = control_fakes.Folder(random.Random(1))
    journal = journals.Journal(folder, segment_bytes)
    for batch in batches:
        journal.commit(batch)
    return folder, journal


def entries(folder) -> list:
    rows = recovery.read(folder).rows
    return [row for row in rows if row.kind == journals.ENTRY]


def test_rows_come_back_over_many_segments():
    rows = [entry(index) for index in range(1, 40)]
    folder, _journal = written(*([row] for row in rows), segment_bytes=200)
    assert len(folder.names()) > 5
    assert entries(folder) == rows
    journal = recovery.read(folder).journal
    journal.drop_before(20)
    journal.commit([entry(40)])
    left = entries(folder)
    assert left[0].index <= 20 and left[-1].index == 40


@hypothesis.settings(max_examples=60, derandomize=True)
@hypothesis.given(strategies.integers(0, 10**6))
def test_power_loss_keeps_what_was_synced(seed):
    """Power is lost in the middle of a write.

    Symptom: the host does not start, or lacks a change it acknowledged.
    Sequence: some batches are synced, one is written, power goes; its bytes
    reach the disk in part and in any order.  Cause: an unsynced tail taken
    for corruption, or a synced row taken for an unsynced one.
    """
    rng = random.Random(seed)
    folder, journal = written([entry(1)], [entry(2)], [entry(3)])
    last = [entry(4 + n, data=bytes(30)) for n in range(rng.randint(1, 9))]
    folder.rng = rng
    journal._write(last)
    folder.crash()
    recovered = recovery.read(folder)
    found = [row.index for row in recovered.rows[1:]]
    assert found == list(range(1, len(found) + 1)) and len(found) >= 3
    recovered.journal.commit([entry(len(found) + 1)])
    assert [row.index for row in entries(folder)] == [*found, len(found) + 1]


def test_flipped_bit_in_a_synced_row_is_corruption():
    """The disk returns other bytes than were written.

    Symptom: acknowledged changes vanish at a restart.  Sequence: a bit
    flips in an old row.  Cause: the rows after it are dropped like a torn
    tail.
    """
    batches = [[entry(1)], [entry(2)], [entry(3)]]
    size = len(written(*batches[:2])[0].read(journals.segment_name(1)))
    for offset in range(size):
        folder, _journal = written(*batches)
        folder.flip(journals.segment_name(1), offset)
        with pytest.raises(recovery.Corrupt) as caught:
            recovery.read(folder)
        assert caught.value.failure.code == codes.LOG_CORRUPT


def test_missing_segment_is_corruption():
    rows = [[entry(index)] for index in range(1, 20)]
    folder, _journal = written(*rows, segment_bytes=200)
    folder.remove(journals.segment_name(2))
    with pytest.raises(recovery.Corrupt):
        recovery.read(folder)


@pytest.mark.parametrize('seed', range(10))
def test_rows_read_after_a_kill_outlive_a_power_loss(seed):
    """Guards against answers from rows that were read but never synced."""

    class Killed(Exception):
        """The process ends before its sync."""

    def killed(_name):
        raise Killed

    folder, journal = written([entry(1)])
    folder.rng = random.Random(seed)
    folder.sync, sync = killed, folder.sync
    with pytest.raises(Killed):
        journal.commit([entry(2)])
    folder.sync = sync
    read = entries(folder)
    folder.crash()
    assert entries(folder) == read


def test_failed_sync_is_never_tried_again():
    """A sync fails once.

    Symptom: an acknowledged change is gone after a crash.  Sequence: a sync
    fails, the next one succeeds.  Cause: the kernel drops the dirty pages
    at the failure, so that the second sync has nothing to write.
    """
    folder, journal = written([entry(1)])
    folder.errors['sync'] = errno.EIO
    with pytest.raises(OSError):
        journal.commit([entry(2)])
    folder.errors.clear()
    with pytest.raises(OSError):
        journal.commit([entry(3)])


async def opened(folder, delay_s: float = 0.0, limit_s: float = 1.0):
    """Return an open store with its writer running."""
    disk = control_fakes.Disk(random.Random(1), delay_s)
    store = stores.Store('a', folder, disk, random.Random(1), limit_s)
    await store.open()
    store.writer = asyncio.create_task(store.write())
    return store


def test_full_disk_answers_nothing_and_keeps_what_was_synced():
    """The disk is full.

    Symptom: a change is answered and lost.  Sequence: a write takes only a
    part of its bytes.  Cause: the answer does not wait for the sync.
    """

    async def _run():
        folder = control_fakes.Folder(random.Random(1))
        store = await opened(folder)
        store.put_entry(log_module.Entry(1, 1, log_module.CHANGE, b'one'))
        assert await store.flush()
        folder.room = 10
        store.put_entry(log_module.Entry(1, 2, log_module.CHANGE, b'two'))
        assert not await store.flush()
        assert store.failure.code == codes.DISK_FULL
        folder.room = 1 << 20
        assert not await store.flush()
        again = await opened(folder)
        assert again.failure is None and again.log.last_index == 1
        assert again.cut > 0

    fakes.run(_run())


def test_sync_that_hangs_ends_the_store():
    async def _run():
        store = await opened(control_fakes.Folder(random.Random(1)))
        store.disk.delay_s = 1000.0
        store.put_hard(1, 'x')
        assert not await store.flush()
        assert store.failure.code == codes.SYNC_SLOW

    fakes.run(_run())


def change(index: int) -> log_module.Entry:
    return log_module.Entry(1, index, log_module.CHANGE, b'%d' % index)


@pytest.mark.parametrize('room', [0, 1, 10, 30, 200])
@pytest.mark.parametrize('segment_bytes', [1, 1 << 20])
def test_store_goes_on_once_a_full_disk_has_room(room, segment_bytes):
    """Guards against control hosts that stay out after a full disk."""

    async def _run():
        folder = control_fakes.Folder(random.Random(1))
        store = await opened(folder)
        store.journal.segment_bytes = segment_bytes
        store.put_entry(change(1))
        assert await store.flush()
        folder.room = room
        for index in range(2, 20):
            store.put_entry(change(index))
            await store.flush()
        assert store.failure.code == codes.DISK_FULL and not store.lost
        await asyncio.sleep(60)
        assert not await store.flush()
        folder.room = 1 << 20
        await asyncio.sleep(2 * stores.FULL_RETRY_S)
        assert store.failure is None and await store.flush()
        store.put_entry(change(20))
        assert await store.flush()
        folder.crash()
        again = await opened(folder)
        assert [again.log.entry(n) for n in range(1, 21)] == [
            change(n) for n in range(1, 21)
        ]

    fakes.run(_run())


@pytest.mark.parametrize('seed', range(20))
def test_power_loss_on_a_full_disk_keeps_what_was_answered(seed):
    """Guards against logs that can't be read after a full disk."""

    async def _run():
        rng = random.Random(seed)
        folder = control_fakes.Folder(rng)
        kept, index = 0, 0
        for _life in range(4):
            folder.room = 1 << 20
            store = await opened(folder)
            assert store.failure is None and store.log.last_index >= kept
            index = store.log.last_index
            store.journal.segment_bytes = rng.choice([1, 100, 1 << 20])
            for _turn in range(rng.randint(1, 6)):
                index += 1
                folder.room = rng.choice([rng.randint(0, 100), 1 << 20])
                store.put_entry(change(index))
                if await store.flush():
                    kept = index
                await asyncio.sleep(rng.choice([0.0, 1.0]))
            store.writer.cancel()
            folder.crash()

    fakes.run(_run())


def test_store_goes_on_once_a_slow_sync_has_ended():
    """Guards against control hosts that stay out after a slow sync."""

    async def _run():
        store = await opened(control_fakes.Folder(random.Random(3)))
        store.disk.delay_s = 20.0
        store.put_entry(change(1))
        assert not await store.flush()
        assert store.failure.code == codes.SYNC_SLOW
        store.disk.delay_s = 0.0
        await asyncio.sleep(60)
        assert store.failure is None
        store.put_entry(change(2))
        assert await store.flush() and store.durable == store.queued

    fakes.run(_run())


def test_store_opens_once_a_full_disk_has_room():
    """Guards against control hosts that stay out if started on a full disk."""

    async def _run():
        folder = control_fakes.Folder(random.Random(1))
        folder.errors['replace'] = errno.ENOSPC
        store = await opened(folder)
        assert not store.opened and not store.lost
        assert store.failure.code == codes.DISK_FULL
        folder.errors.clear()
        await store.open()
        assert store.opened and store.failure is None
        store.put_entry(change(1))
        assert await store.flush()

    fakes.run(_run())


def test_snapshot_without_room_is_not_taken():
    """Guards against hosts that give up although their log has room."""

    async def _run():
        folder = control_fakes.Folder(random.Random(1))
        store = await opened(folder)
        store.put_entry(change(1))
        assert await store.flush()
        folder.errors['replace'] = errno.ENOSPC
        assert not await store.save_snapshot(
            state_files.Snapshot(1, 1, GROUP, b'state'), 0
        )
        assert not await store.belong() and store.identity.fresh
        store.put_entry(change(2))
        assert await store.flush() and store.failure is None
        folder.errors.clear()
        assert await store.belong() and not store.identity.fresh
        assert await store.save_snapshot(
            state_files.Snapshot(1, 1, GROUP, b'state'), 0
        )

    fakes.run(_run())


def test_damaged_snapshot_is_not_used():
    async def _run():
        folder = control_fakes.Folder(random.Random(1))
        store = await opened(folder)
        for index in (1, 2, 3):
            store.put_entry(log_module.Entry(1, index, log_module.CHANGE))
        snapshot = state_files.Snapshot(1, 2, GROUP, b'state')
        assert await store.flush() and await store.save_snapshot(snapshot, 1)
        again = await opened(folder)
        assert again.log.last_index == 3 and again.log.base_index == 1
        assert (await again.load_snapshot()).data == b'state'
        for offset in range(len(folder.read(state_files.SNAPSHOT))):
            folder.flip(state_files.SNAPSHOT, offset)
            broken = await opened(folder)
            assert broken.failure.code == codes.SNAPSHOT_CORRUPT
            folder.flip(state_files.SNAPSHOT, offset)

    fakes.run(_run())


def test_crash_between_a_foreign_snapshot_and_its_row():
    """A follower crashes while it installs a snapshot.

    Symptom: the host does not start any more.  Sequence: the snapshot of
    the leader is on disk, the row that empties the log is not; the process
    starts, goes on and starts again.  Cause: the log has a gap.
    """

    async def _run():
        folder = control_fakes.Folder(random.Random(1))
        store = await opened(folder)
        store.put_entry(log_module.Entry(1, 1, log_module.CHANGE))
        assert await store.flush()
        snapshot = state_files.Snapshot(2, 9, GROUP, b'state')
        assert await store.save_foreign(snapshot)
        for index in (10, 11):
            store = await opened(folder)
            assert store.failure is None
            assert store.log.last_index == index - 1
            store.put_entry(log_module.Entry(2, index, log_module.CHANGE))
            assert await store.flush()
        assert (await opened(folder)).log.base_index == 9

    fakes.run(_run())


def test_real_folder(tmp_path):
    folder = files_module.Folder(tmp_path)
    folder.hold()
    with pytest.raises(BlockingIOError):
        files_module.Folder(tmp_path).hold()
    journal = journals.Journal(folder)
    journal.commit([entry(1), entry(2)])
    folder.replace('small', files_module.frame(b'one'))
    folder.replace('small', files_module.frame(b'two'))
    folder.append(journals.segment_name(1), b'torn')
    folder.close()
    folder = files_module.Folder(tmp_path)
    folder.hold()
    recovered = recovery.read(folder)
    assert recovered.cut == 4 and len(recovered.rows) == 3
    assert files_module.unframe(folder.read('small')) == b'two'
    folder.set_aside(folder.names(), 'set-aside-1')
    assert folder.names() == [] and folder.folders() == ['set-aside-1']
    folder.close()
